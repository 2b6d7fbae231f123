package api

import (
	"errors"
	"net/http"
	"time"

	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// pendingRead is a request about a job that takes a read of its own: the mirror does not know
// the job, or was late.
type pendingRead struct {
	jobID     string
	respond   func(http1.Reply)
	arrivedAt time.Time
}

// readBatcher is the requests that wait for a read. Where there are more than can be read, the
// ones that were refused most often in a row go first and are refused last, so that while half
// of the requests can be answered no job's user is refused twice in a row, and no user is
// refused for ever while others are served (docs/incidents/forgotten.md).
type readBatcher struct {
	waiting  []pendingRead
	shedding loadShedding
}

// add adds a request, and returns the one to refuse if there are too many: of those refused
// least often the last that came.
func (b *readBatcher) add(read pendingRead) (shed pendingRead, full bool) {
	b.waiting = append(b.waiting, read)
	if len(b.waiting) <= tuning.MaxPendingReads {
		return pendingRead{}, false
	}
	fewest := 0
	for i, other := range b.waiting {
		if b.shedding.timesShed(other.jobID) <= b.shedding.timesShed(b.waiting[fewest].jobID) {
			fewest = i
		}
	}
	return b.take(fewest), true
}

// first is the index of the request to be read first: of those refused most often the first
// that came.
func (b *readBatcher) first() int {
	first := 0
	for i, other := range b.waiting {
		if b.shedding.timesShed(other.jobID) > b.shedding.timesShed(b.waiting[first].jobID) {
			first = i
		}
	}
	return first
}

func (b *readBatcher) take(i int) pendingRead {
	read := b.waiting[i]
	b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
	return read
}

// requestRead has a job's state read for a user.
func (s *Server) requestRead(read pendingRead) {
	if shed, full := s.reads.add(read); full {
		s.shedLoad(shed.jobID, shed.respond)
	}
	s.reconcileReads()
}

// reconcileReads reads what the budget has room for. A request whose user has given up is not
// read: a queue of those would have every answer come too late.
func (s *Server) reconcileReads() {
	b := &s.reads
	for len(b.waiting) > 0 {
		i := b.first()
		read := b.waiting[i]
		waited, kept := s.state.Now.Sub(read.arrivedAt), tuning.ReadsKept
		if waited > tuning.ReadDeadline || b.shedding.timesShed(read.jobID) > 0 {
			kept = 0 // decisions can keep the budget below any share of it
		}
		switch {
		case s.client.Unavailable():
			b.take(i).respond(unavailable())
		case waited > tuning.QueryTimeout:
			b.take(i)
			s.shedLoad(read.jobID, read.respond)
		case !s.client.AllowsRead(kept):
			return
		default:
			b.take(i)
			s.readCurrent(read.jobID, func(final jobs.Final, err error) { s.answerRead(read, final, err) })
		}
	}
}

// answerRead answers a request with what its read found.
func (s *Server) answerRead(read pendingRead, final jobs.Final, err error) {
	switch {
	case errors.Is(err, errNoJob):
		s.reads.shedding.reset(read.jobID)
		read.respond(errorReply(http.StatusNotFound, "no such job"))
		return
	case err != nil:
		read.respond(unavailable())
		return
	}
	if final.State == jobs.Live {
		if wait := s.acknowledgeAccepted(read.jobID); wait > 0 {
			s.holdAnswer(wait, func() { s.requestRead(read) })
			return
		}
	}
	s.reads.shedding.reset(read.jobID)
	s.answer(read.jobID, http.StatusOK, final, true, read.respond)
}
