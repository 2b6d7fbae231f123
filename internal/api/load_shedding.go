package api

import (
	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// loadShedding counts, by job, how many requests in a row were refused because of overload. It
// keeps the last tuning.MaxShedJobs jobs that had a request refused.
type loadShedding struct {
	count map[string]int // by job ID
	order []string       // job IDs by time of first refusal; includes jobs whose count was reset since
}

// timesShed returns how many requests about a job were refused in a row.
func (l *loadShedding) timesShed(jobID string) int { return l.count[jobID] }

// recordShed records that a request about a job was refused.
func (l *loadShedding) recordShed(jobID string) {
	if jobID == "" {
		return // the request is not about a job
	}
	if l.count == nil {
		l.count = map[string]int{}
	}
	if l.count[jobID]++; l.count[jobID] > 1 {
		return
	}
	if l.order = append(l.order, jobID); len(l.order) > tuning.MaxShedJobs {
		delete(l.count, l.order[0])
		l.order = l.order[1:]
	}
}

// reset clears a job's count, because a request about the job was answered.
func (l *loadShedding) reset(jobID string) { delete(l.count, jobID) }

// shedLoad refuses a request because of overload, and gives the next request about the same job
// priority over others.
func (s *Server) shedLoad(jobID string, respond func(http1.Reply)) {
	s.reads.shedding.recordShed(jobID)
	respond(http1.Unavailable("too many questions"))
}
