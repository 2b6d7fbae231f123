package api

import (
	"net/http"
	"time"

	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Every answer that tells what became of a job leaves through Server.answer, whatever found
// it. That keeps reads monotonic: no user gets a state older than what any user was told of
// the job before, here or by another controller (package readconsistency).

// heldAnswer is an answer that may not be sent before its time.
type heldAnswer struct {
	dueAt time.Time
	send  func()
}

// holdAnswer has send called once wait has passed.
func (s *Server) holdAnswer(wait time.Duration, send func()) {
	s.held = append(s.held, heldAnswer{dueAt: s.state.Now.Add(wait), send: send})
}

// ReleaseHeld sends the held answers that are due. It is called with each turn of the loop.
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

// WaitForHeld is how long the loop may sleep, at most limit, so that held answers are sent in
// time.
func (s *Server) WaitForHeld(limit time.Duration) time.Duration {
	for _, h := range s.held {
		limit = max(0, min(limit, h.dueAt.Sub(s.state.Now)))
	}
	return limit
}

// newest is the newest known state of a job, where final was found.
func (s *Server) newest(jobID string, final jobs.Final) jobs.Final {
	if final.State != jobs.Live {
		return final
	}
	if ended, ok := s.finals.Get(jobID); ok {
		return ended
	}
	if acknowledged, ok := s.acks.Latest(jobID); ok && acknowledged.State != jobs.Live {
		return acknowledged
	}
	if s.cancellations.Cancelled(jobID) { // told elsewhere since this was read, or while the mirror lags
		final.State = jobs.Cancelled
	}
	return final
}

// answer answers a user with what was found of a job, or with what is newer. A final state that
// is news is sent only once the other controllers had time to receive it.
func (s *Server) answer(jobID string, status int, final jobs.Final, counts bool, respond func(http1.Reply)) {
	final = s.newest(jobID, final)
	if final.State != jobs.Live || status == http.StatusCreated {
		if wait := s.acknowledge(jobID, final); wait > 0 {
			s.holdAnswer(wait, func() { s.answer(jobID, status, final, counts, respond) })
			return
		}
	}
	respond(http1.Reply{Status: status, Body: s.statusOf(jobID, final, counts)})
}

// acknowledge notes what a user is about to be told, and returns how long the answer has to
// wait.
func (s *Server) acknowledge(jobID string, final jobs.Final) time.Duration {
	if final.State == jobs.Cancelled {
		s.cancellations.Acknowledge(jobID) // before the answer is sent, whoever cancelled it
	}
	return s.acks.Acknowledge(jobID, final, s.state.Now)
}

// acknowledgeAccepted returns how long users must not be told of a live job that was found,
// since that it was accepted is news. What was found grows old meanwhile and has to be found
// again.
func (s *Server) acknowledgeAccepted(jobID string) time.Duration {
	live := jobs.Final{State: jobs.Live}
	if s.mirror.Revision(jobs.JobPrefix+jobID) <= s.agedEpoch.epoch || s.newest(jobID, live).State != jobs.Live {
		return 0
	}
	return s.acknowledge(jobID, live)
}

// agedEpoch is the epoch that the mirror had reached at least tuning.AckYoung ago: that a job
// accepted before it is live is no news any more.
type agedEpoch struct {
	epoch, next uint64
	nextAt      time.Time // the mirror was at next
}

func (a *agedEpoch) advance(epoch uint64, now time.Time) {
	if now.Sub(a.nextAt) >= tuning.AckYoung {
		a.epoch, a.next, a.nextAt = a.next, epoch, now
	}
}
