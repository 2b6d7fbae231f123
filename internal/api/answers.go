package api

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Every answer that tells what became of a job leaves through answer, whatever found it:
// nobody is told something older than what was told of the job before, here or by another
// controller (package readconsistency).

// heldAnswer waits until what it tells may be told.
type heldAnswer struct {
	at   time.Time
	send func()
}

// hold does something a moment later.
func (s *Server) holdAnswer(wait time.Duration, send func()) {
	s.held = append(s.held, heldAnswer{s.state.Now.Add(wait), send})
}

// ReleaseHeld does what was held until now. It is called with each turn of the loop.
func (s *Server) ReleaseHeld() {
	if len(s.held) == 0 {
		return
	}
	var due, rest []heldAnswer
	for _, h := range s.held {
		if h.at.After(s.state.Now) {
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

// WaitForHeld tells how long the loop may sleep for what is held.
func (s *Server) WaitForHeld(limit time.Duration) time.Duration {
	for _, h := range s.held {
		limit = max(0, min(limit, h.at.Sub(s.state.Now)))
	}
	return limit
}

// newest is what is known to have become of a job, if that is newer than what was found.
func (s *Server) newest(jobID string, final jobs.Final) jobs.Final {
	if final.State != jobs.Live {
		return final
	}
	if end, ok := s.finals.Get(jobID); ok {
		return end
	}
	if acknowledged, ok := s.acks.Latest(jobID); ok && acknowledged.State != jobs.Live {
		return acknowledged
	}
	if s.cancellations.Cancelled(jobID) { // told elsewhere since this was read, or while the mirror lags
		final.State = jobs.Cancelled
	}
	return final
}

// answer tells a user what was found of a job, or what is newer. An end that is news leaves
// only once it was passed on.
func (s *Server) answer(jobID string, status int, final jobs.Final, counts bool, respond func(http1.Reply)) {
	final = s.newest(jobID, final)
	if final.State != jobs.Live || status == 201 {
		if wait := s.acknowledge(jobID, final); wait > 0 {
			s.holdAnswer(wait, func() { s.answer(jobID, status, final, counts, respond) })
			return
		}
	}
	respond(http1.Reply{Status: status, Body: s.statusOf(jobID, final, counts)})
}

// acknowledge notes what a user is about to be told, and gives back how long that has to wait.
func (s *Server) acknowledge(jobID string, final jobs.Final) time.Duration {
	if final.State == jobs.Cancelled {
		s.cancellations.Acknowledge(jobID) // before the answer leaves, whoever cancelled it
	}
	return s.acks.Acknowledge(jobID, final, s.state.Now)
}

// agedEpoch is where the mirror was a while ago.
type agedEpoch struct {
	epoch, next uint64
	at          time.Time // it was at next
}

func (a *agedEpoch) advance(epoch uint64, now time.Time) {
	if now.Sub(a.at) >= tuning.AckYoung {
		a.epoch, a.next, a.at = a.next, epoch, now
	}
}

// acknowledgeAccepted tells how long a live job that was found must not be told, since that it is
// accepted is news: what was found grows old meanwhile and has to be found again.
func (s *Server) acknowledgeAccepted(jobID string) time.Duration {
	if s.mirror.Revision(jobs.JobPrefix+jobID) <= s.agedEpoch.epoch ||
		s.newest(jobID, jobs.Final{State: jobs.Live}).State != jobs.Live {
		return 0
	}
	return s.acknowledge(jobID, jobs.Final{State: jobs.Live})
}
