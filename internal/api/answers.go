package api

import (
	"net/http"
	"time"

	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Every response that reports a job's state is sent by Server.answer, no matter how the state was
// found. That keeps reads monotonic: no user gets an older state of a job than any user has been
// told before, by this controller or another one (package readconsistency).

// heldAnswer is a response about a job that must not be sent before dueAt.
type heldAnswer struct {
	jobID string
	dueAt time.Time
	send  func()
}

// holdAnswer schedules a call of send after wait has passed.
func (s *Server) holdAnswer(jobID string, wait time.Duration, send func()) {
	s.held = append(s.held, heldAnswer{jobID: jobID, dueAt: s.state.Now.Add(wait), send: send})
}

// AcksConfirmed makes the held responses due that no other controller stands against any more,
// because all have confirmed that they know of the state.
func (s *Server) AcksConfirmed() {
	for i := range s.held {
		held := &s.held[i]
		if dueAt := s.state.Now.Add(s.acks.Remaining(held.jobID, s.state.Now)); dueAt.Before(held.dueAt) {
			held.dueAt = dueAt
		}
	}
}

// ReleaseHeld sends the held responses that are due. The event loop calls it in each iteration.
func (s *Server) ReleaseHeld() {
	if len(s.held) == 0 {
		return
	}
	var due, rest []heldAnswer
	for _, h := range s.held {
		if h.dueAt.After(s.state.Now) {
			rest = append(rest, h)
		} else {
			due = append(due, h)
		}
	}
	s.held = rest
	for _, h := range due {
		h.send()
	}
}

// WaitForHeld returns how long the event loop may sleep, at most limit, so that held responses are
// sent on time.
func (s *Server) WaitForHeld(limit time.Duration) time.Duration {
	for _, h := range s.held {
		limit = max(0, min(limit, h.dueAt.Sub(s.state.Now)))
	}
	return limit
}

// newestState returns the newest known state of a job, given the state that a read found.
func (s *Server) newestState(jobID string, found jobs.StoredState) jobs.StoredState {
	if found.State != jobs.Live {
		return found
	}
	if ended, ok := s.finals.Get(jobID); ok {
		return ended
	}
	if acknowledged, ok := s.acks.Latest(jobID); ok && acknowledged.State != jobs.Live {
		return acknowledged
	}
	if s.cancellations.Cancelled(jobID) { // another controller reported it after this read, or the mirror lags
		found.State = jobs.Cancelled
	}
	return found
}

// answer responds to a user with the state that was found for a job, or with a newer one if it is
// known. A final state that no user has been told yet is sent only after the other controllers have
// confirmed that they know of it, or no longer answer from what they read before it. withCounts adds
// the counts of tasks to the response.
func (s *Server) answer(jobID string, status int, found jobs.StoredState, withCounts bool, respond func(http1.Reply)) {
	found = s.newestState(jobID, found)
	if found.State != jobs.Live || status == http.StatusCreated {
		if wait := s.acknowledge(jobID, found); wait > 0 {
			s.holdAnswer(jobID, wait, func() { s.answer(jobID, status, found, withCounts, respond) })
			return
		}
	}
	respond(http1.Reply{Status: status, Body: s.statusOf(jobID, found, withCounts)})
}

// acknowledge records the state that a user is about to be told, and returns how long the response
// has to be held.
func (s *Server) acknowledge(jobID string, found jobs.StoredState) time.Duration {
	if found.State == jobs.Cancelled {
		s.cancellations.Acknowledge(jobID) // before the response is sent, whoever cancelled the job
	}
	return s.acks.Acknowledge(jobID, found, s.state.Now)
}

// acknowledgeAccepted returns how long users must not yet be told that a job is live, because its
// acceptance is new to the other controllers. The state has to be read again after that time, since
// it may be outdated by then.
func (s *Server) acknowledgeAccepted(jobID string) time.Duration {
	live := jobs.StoredState{State: jobs.Live}
	if s.mirror.Revision(jobs.JobPrefix+jobID) <= s.agedEpoch.epoch || s.newestState(jobID, live).State != jobs.Live {
		return 0
	}
	return s.acknowledge(jobID, live)
}

// agedEpoch tracks an epoch that the mirror reached at least tuning.AckSettledAfter ago. The
// acceptance of a job at or before this epoch is no longer new to any controller.
type agedEpoch struct {
	epoch, next uint64
	nextAt      time.Time // when the mirror was at next
}

// advance records the epoch that the mirror has reached now.
func (a *agedEpoch) advance(epoch uint64, now time.Time) {
	if now.Sub(a.nextAt) >= tuning.AckSettledAfter {
		a.epoch, a.next, a.nextAt = a.next, epoch, now
	}
}
