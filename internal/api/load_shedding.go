package api

import (
	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// loadShedding counts how many times in a row the requests about a job were refused for want
// of room, for the last tuning.MaxShedEntries jobs of which one was.
type loadShedding struct {
	count map[string]int // by job
	order []string       // jobs as first refused; also holds jobs that were answered since
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

// reset notes that a request about a job was answered.
func (l *loadShedding) reset(jobID string) { delete(l.count, jobID) }

// shedLoad refuses a request for want of room; the next one about its job goes before others.
func (s *Server) shedLoad(jobID string, respond func(http1.Reply)) {
	s.reads.shedding.shed(jobID)
	respond(http1.Unavailable("too many questions"))
}
