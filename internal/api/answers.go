package api

import (
	"errors"
	"time"

	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Every answer that tells what became of a job leaves through answer, whatever found it:
// nobody is told something older than what was told of the job before, here or by another
// controller (package readconsistency).

// heldAnswer waits until what it tells may be told.
type heldAnswer struct {
	at time.Time
	do func()
}

// hold does something a moment later.
func (fr *Server) hold(wait time.Duration, do func()) {
	fr.held = append(fr.held, heldAnswer{fr.Now.Add(wait), do})
}

// ReleaseHeld does what was held until now. It is called with each turn of the loop.
func (fr *Server) ReleaseHeld() {
	if len(fr.held) == 0 {
		return
	}
	var due, rest []heldAnswer
	for _, h := range fr.held {
		if h.at.After(fr.Now) {
			rest = append(rest, h)
		} else {
			due = append(due, h)
		}
	}
	fr.held = rest
	for _, h := range due {
		h.do()
	}
}

// WaitForHeld tells how long the loop may sleep for what is held.
func (fr *Server) WaitForHeld(most time.Duration) time.Duration {
	for _, h := range fr.held {
		most = max(0, min(most, h.at.Sub(fr.Now)))
	}
	return most
}

// newest is what is known to have become of a job, if that is newer than what was found.
func (fr *Server) newest(jobID string, f jobs.Final) jobs.Final {
	if f.State != jobs.Live {
		return f
	}
	if end, ok := fr.finals.Get(jobID); ok {
		return end
	}
	if word, ok := fr.Acks.Latest(jobID); ok && word.State != jobs.Live {
		return word
	}
	if fr.Cancelled(jobID) { // told elsewhere since this was read, or while the mirror lags
		f.State = jobs.Cancelled
	}
	return f
}

// answer tells a user what was found of a job, or what is newer. An end that is news leaves
// only once it was passed on.
func (fr *Server) answer(jobID string, status int, f jobs.Final, counts bool, respond func(http1.Reply)) {
	f = fr.newest(jobID, f)
	if f.State != jobs.Live || status == 201 {
		if wait := fr.acknowledge(jobID, f); wait > 0 {
			fr.hold(wait, func() { fr.answer(jobID, status, f, counts, respond) })
			return
		}
	}
	respond(http1.Reply{Status: status, Body: fr.statusOf(jobID, f, counts)})
}

// acknowledge notes what a user is about to be told, and gives back how long that has to wait.
func (fr *Server) acknowledge(jobID string, f jobs.Final) time.Duration {
	if f.State == jobs.Cancelled {
		fr.AcknowledgeCancellation(jobID) // before the answer leaves, whoever cancelled it
	}
	return fr.Acks.Acknowledge(jobID, f, fr.Now)
}

// agedEpoch is where the mirror was a while ago.
type agedEpoch struct {
	epoch, next uint64
	at          time.Time // it was at next
}

func (a *agedEpoch) pass(epoch uint64, now time.Time) {
	if now.Sub(a.at) >= tuning.AckYoung {
		a.epoch, a.next, a.at = a.next, epoch, now
	}
}

// acknowledgeAccepted tells how long a live job that was found must not be told, since that it is
// accepted is news: what was found grows old meanwhile and has to be found again.
func (fr *Server) acknowledgeAccepted(jobID string) time.Duration {
	if fr.Mirror.Revision(jobs.JobPrefix+jobID) <= fr.agedEpoch.epoch ||
		fr.newest(jobID, jobs.Final{State: jobs.Live}).State != jobs.Live {
		return 0
	}
	return fr.acknowledge(jobID, jobs.Final{State: jobs.Live})
}

// current reads a job's state for an answer that leaves at once. That a job is live or
// unknown is only told if the answer came at once: what came late is from before, and
// another controller may have told the user something newer since. It is read once more,
// if there is time.
func (fr *Server) current(jobID string, done func(jobs.Final, error)) {
	began := fr.Now
	var read func()
	read = func() {
		left := fr.Now
		fr.read(jobID, func(f jobs.Final, err error) {
			unknown := errors.Is(err, errNoJob)
			if err == nil && f.State != jobs.Live || err != nil && !unknown {
				done(f, err)
				return
			}
			word, heard := fr.Acks.Latest(jobID)
			switch {
			case heard && word.State != jobs.Live:
				done(word, nil)
			case fr.Now.Sub(left) <= tuning.ReadFresh && !(unknown && heard):
				done(f, err)
			case fr.Now.Sub(began) <= tuning.ReadDeadline && fr.Client.AllowsRead(tuning.ReadsKept):
				read()
			default:
				done(jobs.Final{}, store.ErrNoAnswer)
			}
		})
	}
	read()
}
