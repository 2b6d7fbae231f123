package api

import (
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// ReconcileQueries reads the epoch for the polls that wait, and deals with those that
// have waited for too long.
func (s *Server) ReconcileQueries() {
	p := &s.queries
	rounds := p.rounds[:0]
	for _, r := range p.rounds {
		if r.queries = s.handleOverdue(r.queries); len(r.queries) > 0 {
			rounds = append(rounds, r)
		}
	}
	p.rounds = rounds
	p.waiting, p.reading = s.handleOverdue(p.waiting), s.handleOverdue(p.reading)
	s.AnswerQueries(time.Time{})
	s.reconcileReads()
	s.agedEpoch.advance(s.mirror.Epoch, s.state.Now)
	// One reading serves all who wait, so it must not stand behind calls that serve one
	// user each: while the budget holds those back it is made less often, before them.
	gap, level := tuning.QueryGap, store.PriorityPoll
	if s.client.Waiting() > 0 {
		gap, level = tuning.QueryRetry, store.PriorityUrgent
	}
	since := s.state.Now.Sub(p.readAt)
	if len(p.waiting)+len(p.reading) == 0 && !p.awaitsProof() || since < gap || p.inFlight && since < tuning.QueryRetry {
		return
	}
	p.lastReading++
	p.inFlight, p.readAt = true, s.state.Now
	for i := range p.waiting {
		p.waiting[i].reading = p.lastReading
	}
	p.reading, p.waiting = append(p.reading, p.waiting...), nil
	reading, left := p.lastReading, s.state.Now
	s.client.ReadEpoch(level, func(epoch uint64, err error) {
		last := reading == p.lastReading
		if last {
			p.inFlight = false
		}
		if err != nil && !last {
			return // a later reading is under way
		}
		// A reading serves all that came before it, also where a later one was begun
		// because it took long: else none would ever serve while all take long.
		n := 0
		for n < len(p.reading) && p.reading[n].reading <= reading {
			n++
		}
		served := p.reading[:n:n]
		p.reading = p.reading[n:]
		if err != nil {
			s.refuseQueries(served)
			return
		}
		if len(served) > 0 {
			p.rounds = append(p.rounds, epochRound{queries: served, epoch: epoch})
		}
		if epoch > s.mirror.Epoch {
			left = time.Time{} // it proves nothing of the mirror
		}
		s.AnswerQueries(left)
		if len(p.rounds) > 0 {
			s.watch.WatchNow()
		}
	})
}

// overdue has the jobs read by themselves for whom the mirror is late, refuses what has
// waited for too long, and gives back the rest.
func (s *Server) handleOverdue(queries []pendingQuery) []pendingQuery {
	if len(queries) == 0 || s.state.Now.Sub(queries[0].at) <= tuning.QueryReadAfter {
		return queries
	}
	var left []pendingQuery
	for _, q := range queries {
		waited := s.state.Now.Sub(q.at)
		if waited > tuning.QueryTimeout {
			q.respond(http1.Refuse("state unavailable"))
			continue
		}
		if q.jobID != "" && !q.read && waited > tuning.QueryReadAfter {
			s.queries.lagging = true
			s.readSeparately(&q)
		}
		left = append(left, q)
	}
	return left
}

func (s *Server) refuseQueries(queries []pendingQuery) {
	for _, query := range queries {
		query.respond(http1.Refuse("state unavailable"))
	}
}

// unproven tells whether polls wait only for proof that the mirror is new.
func (p *pendingQueries) awaitsProof() bool {
	return len(p.rounds) > 0 && slices.ContainsFunc(p.rounds, func(r epochRound) bool { return r.reached })
}

// AnswerQueries answers the polls whose epoch the mirror has reached. It showed all changes
// up to a moment after shown, zero if that is not known: a job that is live then may have
// ended since, and the user been told by another controller, so an answer about one job
// waits until the mirror is known to be no older than ReadFresh. Where that takes long,
// what the other controllers pass on has to do.
func (s *Server) AnswerQueries(shown time.Time) {
	p := &s.queries
	fresh := !shown.IsZero() && s.state.Now.Sub(shown) <= tuning.ReadFresh
	rounds := p.rounds
	p.rounds = nil
	var rest []epochRound
	for _, r := range rounds {
		if r.epoch > s.mirror.Epoch {
			rest = append(rest, r)
			continue
		}
		r.reached, p.lagging = true, false
		var unproven []pendingQuery
		for _, q := range r.queries {
			if q.jobID == "" || fresh || s.acceptsUnproven(&q) {
				q.answer()
			} else {
				unproven = append(unproven, q)
			}
		}
		if r.queries = unproven; len(unproven) > 0 {
			rest = append(rest, r)
		}
	}
	p.rounds = append(rest, p.rounds...)
}

// acceptsUnproven tells whether a poll has waited so long that a mirror which is not known to be
// new enough has to do. It never does while a member is not heard: what that one tells may be
// lost on its way. Then the job is read by itself, or the user sent away.
func (s *Server) acceptsUnproven(q *pendingQuery) bool {
	if s.state.Now.Sub(q.at) < tuning.QueryUnprovenAfter {
		return false
	}
	if s.view.HearsAllMembers() {
		return true
	}
	if !q.read {
		s.readSeparately(q)
	}
	return false
}
