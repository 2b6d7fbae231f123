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
	uid     string
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
func (a *readBatcher) add(q pendingRead) (away pendingRead, full bool) {
	a.waiting = append(a.waiting, q)
	if len(a.waiting) <= tuning.MaxPendingReads {
		return pendingRead{}, false
	}
	i := 0
	for k, w := range a.waiting {
		if a.shedding.times(w.uid) <= a.shedding.times(a.waiting[i].uid) {
			i = k
		}
	}
	return a.take(i), true
}

// first is the question to be read first: of those sent away most often the first that
// came.
func (a *readBatcher) first() int {
	i := 0
	for k, w := range a.waiting {
		if a.shedding.times(w.uid) > a.shedding.times(a.waiting[i].uid) {
			i = k
		}
	}
	return i
}

func (a *readBatcher) take(i int) pendingRead {
	q := a.waiting[i]
	a.waiting = append(a.waiting[:i], a.waiting[i+1:]...)
	return q
}

// loadShedding tells how many times in a row users were sent away who asked about a job, for
// the jobs of whom that was last done.
type loadShedding struct {
	count map[string]int
	order []string // as first sent away; holds jobs that were answered since
}

func (s *loadShedding) times(jobID string) int { return s.count[jobID] }

func (s *loadShedding) shed(jobID string) {
	if jobID == "" {
		return // not about a job
	}
	if s.count == nil {
		s.count = map[string]int{}
	}
	if s.count[jobID]++; s.count[jobID] > 1 {
		return
	}
	if s.order = append(s.order, jobID); len(s.order) > tuning.MaxShedEntries {
		delete(s.count, s.order[0])
		s.order = s.order[1:]
	}
}

func (s *loadShedding) answered(jobID string) { delete(s.count, jobID) }

// requestRead has a job's state read for a user.
func (fr *Server) requestRead(q pendingRead) {
	if away, full := fr.reads.add(q); full {
		fr.shedLoad(away.uid, away.respond)
	}
	fr.reconcileReads()
}

// shedLoad sends a user away for want of room; the next time the job goes before others.
func (fr *Server) shedLoad(jobID string, respond func(http1.Reply)) {
	fr.reads.shedding.shed(jobID)
	respond(http1.Refuse("too many questions"))
}

// reconcileReads reads what there is room for. A question whose user has gone is not read: a
// queue of those would have every answer come too late.
func (fr *Server) reconcileReads() {
	a := &fr.reads
	for len(a.waiting) > 0 {
		i := a.first()
		q := a.waiting[i]
		waited, kept := fr.Now.Sub(q.at), tuning.ReadsKept
		if waited > tuning.ReadDeadline || a.shedding.times(q.uid) > 0 {
			kept = 0 // decisions can keep the budget below any share of it
		}
		switch {
		case fr.Client.Unavailable():
			a.take(i).respond(http1.Refuse("state unavailable"))
		case waited > tuning.QueryTimeout:
			a.take(i)
			fr.shedLoad(q.uid, q.respond)
		case !fr.Client.AllowsRead(kept):
			return
		default:
			a.take(i)
			fr.current(q.uid, func(s jobs.Final, err error) { fr.answerRead(q, s, err) })
		}
	}
}

func (fr *Server) answerRead(q pendingRead, s jobs.Final, err error) {
	switch {
	case errors.Is(err, errNoJob):
		fr.reads.shedding.answered(q.uid)
		q.respond(http1.Reply{Status: 404, Body: http1.ErrorBody("no such job")})
	case err != nil:
		q.respond(http1.Refuse("state unavailable"))
	default:
		if s.State == jobs.Live {
			if wait := fr.acknowledgeAccepted(q.uid); wait > 0 {
				fr.hold(wait, func() { fr.requestRead(q) })
				return
			}
		}
		fr.reads.shedding.answered(q.uid)
		fr.answer(q.uid, 200, s, true, q.respond)
	}
}
