package api

import (
	"errors"
	"net/http"
	"time"

	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// pendingRead is a request about a job that needs a separate read of the state service, because the
// mirror does not have the job or is late.
type pendingRead struct {
	jobID     string
	respond   func(http1.Reply)
	arrivedAt time.Time
	secondary bool // the request also waits for the mirror, so a failed read does not refuse it
}

// readQueue holds the requests that wait for a read. Under overload, requests about the jobs that
// were refused most often in a row are read first and refused last. As long as half of the requests
// can be answered, no job's user is refused twice in a row, and no user is refused forever while
// others are served (docs/incidents/forgotten.md).
type readQueue struct {
	waiting  []pendingRead
	shedding loadShedding
}

// add adds a request. If the queue is full, it returns the request to refuse: the last to arrive
// among those refused least often.
func (q *readQueue) add(read pendingRead) (shed pendingRead, full bool) {
	q.waiting = append(q.waiting, read)
	if len(q.waiting) <= tuning.MaxPendingReads {
		return pendingRead{}, false
	}
	fewest := 0
	for i, other := range q.waiting {
		if q.shedding.timesShed(other.jobID) <= q.shedding.timesShed(q.waiting[fewest].jobID) {
			fewest = i
		}
	}
	return q.take(fewest), true
}

// first returns the index of the request to read first: the first to arrive among those refused
// most often.
func (q *readQueue) first() int {
	first := 0
	for i, other := range q.waiting {
		if q.shedding.timesShed(other.jobID) > q.shedding.timesShed(q.waiting[first].jobID) {
			first = i
		}
	}
	return first
}

// take removes and returns the request at index i.
func (q *readQueue) take(i int) pendingRead {
	read := q.waiting[i]
	q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
	return read
}

// requestRead queues a read of a job's state for a user.
func (s *Server) requestRead(read pendingRead) {
	if shed, full := s.reads.add(read); full {
		s.countRefusedRead(shed, atQueue)
		s.shedLoad(shed.jobID, shed.respond)
	}
	s.reconcileReads()
}

// countRefusedRead counts a request that is refused in a step, unless it also waits for the mirror.
func (s *Server) countRefusedRead(read pendingRead, step refusalStep) {
	if !read.secondary {
		s.counts.refused[step]++
	}
}

// reconcileReads sends as many reads as the request budget allows. It refuses requests whose users
// have timed out instead of reading for them: otherwise, with a long queue, every response would
// come too late.
func (s *Server) reconcileReads() {
	q := &s.reads
	for len(q.waiting) > 0 {
		i := q.first()
		read := q.waiting[i]
		waited, reserve := s.state.Now.Sub(read.arrivedAt), tuning.ReservedReadShare
		if waited > tuning.ReadDeadline || q.shedding.timesShed(read.jobID) > 0 {
			reserve = 0 // decisions can keep the free budget below any reserve
		}
		switch {
		case s.client.Unavailable():
			s.countRefusedRead(read, atState)
			q.take(i).respond(unavailable())
		case waited > tuning.QueryTimeout:
			s.countRefusedRead(read, atQueue)
			q.take(i)
			s.shedLoad(read.jobID, read.respond)
		case !s.client.AllowsRead(reserve):
			return
		default:
			q.take(i)
			s.readCurrent(read.jobID, func(found jobs.StoredState, err error) { s.answerRead(read, found, err) })
		}
	}
}

// answerRead responds to a request with the result of its read.
func (s *Server) answerRead(read pendingRead, found jobs.StoredState, err error) {
	switch {
	case errors.Is(err, errNoJob):
		s.reads.shedding.reset(read.jobID)
		read.respond(errorReply(http.StatusNotFound, "no such job"))
		return
	case err != nil:
		s.countRefusedRead(read, atJobRead)
		read.respond(unavailable())
		return
	}
	if found.State == jobs.Live {
		if wait := s.acknowledgeAccepted(read.jobID); wait > 0 {
			s.holdAnswer(read.jobID, wait, func() { s.requestRead(read) })
			return
		}
	}
	s.reads.shedding.reset(read.jobID)
	s.counts.answered[fromRead]++
	s.answer(read.jobID, http.StatusOK, found, true, read.respond)
}
