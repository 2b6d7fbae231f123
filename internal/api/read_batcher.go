package api

import (
	"errors"
	"time"

	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// pendingRead is a user's question about a job that takes a read of its own: the mirror does
// not know the job, or did not get far enough in time.
type pendingRead struct {
	jobID   string
	respond func(http1.Reply)
	at      time.Time // the question came
}

// readBatcher are those that wait for a read. Where there are more than can be read, the ones
// that were sent away most often go first and are sent away last, so that while half of
// the questions can be answered no job's user is sent away twice in a row, and no user
// is sent away for ever while others are served (docs/incidents/forgotten.md).
type readBatcher struct {
	waiting  []pendingRead
	shedding loadShedding
}

// add takes a question in, and gives back the one to send away if there are too many: of
// those sent away least often the last that came.
func (b *readBatcher) add(q pendingRead) (shed pendingRead, full bool) {
	b.waiting = append(b.waiting, q)
	if len(b.waiting) <= tuning.MaxPendingReads {
		return pendingRead{}, false
	}
	i := 0
	for k, other := range b.waiting {
		if b.shedding.timesShed(other.jobID) <= b.shedding.timesShed(b.waiting[i].jobID) {
			i = k
		}
	}
	return b.take(i), true
}

// first is the question to be read first: of those sent away most often the first that
// came.
func (b *readBatcher) first() int {
	i := 0
	for k, other := range b.waiting {
		if b.shedding.timesShed(other.jobID) > b.shedding.timesShed(b.waiting[i].jobID) {
			i = k
		}
	}
	return i
}

func (b *readBatcher) take(i int) pendingRead {
	q := b.waiting[i]
	b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
	return q
}

// requestRead has a job's state read for a user.
func (s *Server) requestRead(q pendingRead) {
	if shed, full := s.reads.add(q); full {
		s.shedLoad(shed.jobID, shed.respond)
	}
	s.reconcileReads()
}

// reconcileReads reads what there is room for. A question whose user has gone is not read: a
// queue of those would have every answer come too late.
func (s *Server) reconcileReads() {
	b := &s.reads
	for len(b.waiting) > 0 {
		i := b.first()
		q := b.waiting[i]
		waited, kept := s.state.Now.Sub(q.at), tuning.ReadsKept
		if waited > tuning.ReadDeadline || b.shedding.timesShed(q.jobID) > 0 {
			kept = 0 // decisions can keep the budget below any share of it
		}
		switch {
		case s.client.Unavailable():
			b.take(i).respond(http1.Refuse("state unavailable"))
		case waited > tuning.QueryTimeout:
			b.take(i)
			s.shedLoad(q.jobID, q.respond)
		case !s.client.AllowsRead(kept):
			return
		default:
			b.take(i)
			s.readCurrent(q.jobID, func(final jobs.Final, err error) { s.answerRead(q, final, err) })
		}
	}
}

func (s *Server) answerRead(q pendingRead, final jobs.Final, err error) {
	switch {
	case errors.Is(err, errNoJob):
		s.reads.shedding.reset(q.jobID)
		q.respond(http1.Reply{Status: 404, Body: http1.ErrorBody("no such job")})
	case err != nil:
		q.respond(http1.Refuse("state unavailable"))
	default:
		if final.State == jobs.Live {
			if wait := s.acknowledgeAccepted(q.jobID); wait > 0 {
				s.holdAnswer(wait, func() { s.requestRead(q) })
				return
			}
		}
		s.reads.shedding.reset(q.jobID)
		s.answer(q.jobID, 200, final, true, q.respond)
	}
}
