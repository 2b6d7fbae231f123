package api

import (
	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// loadShedding tells how many times in a row users were sent away who asked about a job, for
// the jobs of whom that was last done.
type loadShedding struct {
	count map[string]int
	order []string // as first sent away; holds jobs that were answered since
}

func (l *loadShedding) timesShed(jobID string) int { return l.count[jobID] }

func (l *loadShedding) shed(jobID string) {
	if jobID == "" {
		return // not about a job
	}
	if l.count == nil {
		l.count = map[string]int{}
	}
	if l.count[jobID]++; l.count[jobID] > 1 {
		return
	}
	if l.order = append(l.order, jobID); len(l.order) > tuning.MaxShedEntries {
		delete(l.count, l.order[0])
		l.order = l.order[1:]
	}
}

func (l *loadShedding) reset(jobID string) { delete(l.count, jobID) }

// shedLoad sends a user away for want of room; the next time the job goes before others.
func (s *Server) shedLoad(jobID string, respond func(http1.Reply)) {
	s.reads.shedding.shed(jobID)
	respond(http1.Refuse("too many questions"))
}
