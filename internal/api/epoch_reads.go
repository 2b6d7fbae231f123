package api

import (
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// ReconcileQueries reads the epoch for the queries that wait, and deals with those that have
// waited for too long. It is called every tuning.Tick and with each new query.
func (s *Server) ReconcileQueries() {
	s.expireQueries()
	s.AnswerQueries(time.Time{})
	s.reconcileReads()
	s.agedEpoch.advance(s.mirror.Epoch, s.state.Now)
	if priority, due := s.epochReadDue(); due {
		s.readEpoch(priority)
	}
}

// expireQueries deals with the queries that have waited for too long, in whatever stage.
func (s *Server) expireQueries() {
	p := &s.queries
	rounds := p.rounds[:0]
	for _, round := range p.rounds {
		if round.queries = s.handleOverdue(round.queries); len(round.queries) > 0 {
			rounds = append(rounds, round)
		}
	}
	p.rounds = rounds
	p.waiting, p.reading = s.handleOverdue(p.waiting), s.handleOverdue(p.reading)
}

// handleOverdue has the jobs read separately for which the mirror is late, refuses the queries
// that have waited for too long, and returns the others. queries is in order of arrival.
func (s *Server) handleOverdue(queries []pendingQuery) []pendingQuery {
	if len(queries) == 0 || s.state.Now.Sub(queries[0].arrivedAt) <= tuning.QueryReadAfter {
		return queries
	}
	var rest []pendingQuery
	for _, query := range queries {
		waited := s.state.Now.Sub(query.arrivedAt)
		if waited > tuning.QueryTimeout {
			query.respond(unavailable())
			continue
		}
		if query.jobID != "" && !query.separate && waited > tuning.QueryReadAfter {
			s.queries.lagging = true
			s.readSeparately(&query)
		}
		rest = append(rest, query)
	}
	return rest
}

// epochReadDue reports whether the epoch is to be read now, and by which priority. One reading
// serves all queries that wait, so it must not queue behind calls that serve one user each:
// while the budget holds those back it is made less often, but before them.
func (s *Server) epochReadDue() (store.Priority, bool) {
	p := &s.queries
	gap, priority := tuning.QueryGap, store.PriorityPoll
	if s.client.Waiting() > 0 {
		gap, priority = tuning.QueryRetry, store.PriorityUrgent
	}
	if len(p.waiting)+len(p.reading) == 0 && !p.awaitsProof() {
		return priority, false
	}
	since := s.state.Now.Sub(p.readAt)
	return priority, since >= gap && (!p.inFlight || since >= tuning.QueryRetry)
}

// readEpoch reads the epoch for all queries that wait or whose reading has not been answered.
func (s *Server) readEpoch(priority store.Priority) {
	p := &s.queries
	p.lastReading++
	p.inFlight, p.readAt = true, s.state.Now
	for i := range p.waiting {
		p.waiting[i].reading = p.lastReading
	}
	p.reading, p.waiting = append(p.reading, p.waiting...), nil
	number, sentAt := p.lastReading, s.state.Now
	s.client.ReadEpoch(priority, func(epoch uint64, err error) { s.epochRead(number, sentAt, epoch, err) })
}

// epochRead handles the answer to the reading of that number.
func (s *Server) epochRead(number int, sentAt time.Time, epoch uint64, err error) {
	p := &s.queries
	last := number == p.lastReading
	if last {
		p.inFlight = false
	}
	if err != nil && !last {
		return // a later reading is under way
	}
	served := p.takeServed(number)
	if err != nil {
		for _, query := range served {
			query.respond(unavailable())
		}
		return
	}
	if len(served) > 0 {
		p.rounds = append(p.rounds, queryRound{queries: served, epoch: epoch})
	}
	shownAt := sentAt
	if epoch > s.mirror.Epoch {
		shownAt = time.Time{} // the reading proves nothing of the mirror
	}
	s.AnswerQueries(shownAt)
	if len(p.rounds) > 0 {
		s.watch.WatchNow()
	}
}

// takeServed takes out the queries that a reading serves: all that came before it, also where
// a later reading was begun because it took long. Otherwise none would ever serve while all
// take long.
func (p *pendingQueries) takeServed(number int) []pendingQuery {
	n := 0
	for n < len(p.reading) && p.reading[n].reading <= number {
		n++
	}
	served := p.reading[:n:n]
	p.reading = p.reading[n:]
	return served
}

// awaitsProof reports whether queries wait only for proof that the mirror is new enough.
func (p *pendingQueries) awaitsProof() bool {
	return slices.ContainsFunc(p.rounds, func(round queryRound) bool { return round.reached })
}

// AnswerQueries answers the queries whose epoch the mirror has reached. The mirror showed all
// changes up to a moment after shownAt, zero if that is not known. A job that is live in it
// may have ended since, and the user been told by another controller, so an answer about one
// job waits until the mirror is known to be no older than tuning.ReadFresh. Where that takes
// long, the acknowledgements that the other controllers pass on have to do.
func (s *Server) AnswerQueries(shownAt time.Time) {
	p := &s.queries
	fresh := !shownAt.IsZero() && s.state.Now.Sub(shownAt) <= tuning.ReadFresh
	rounds := p.rounds
	p.rounds = nil // answers may add queries
	var rest []queryRound
	for _, round := range rounds {
		if round.epoch > s.mirror.Epoch {
			rest = append(rest, round)
			continue
		}
		round.reached, p.lagging = true, false
		if round.queries = s.answerReached(round.queries, fresh); len(round.queries) > 0 {
			rest = append(rest, round)
		}
	}
	p.rounds = append(rest, p.rounds...)
}

// answerReached answers queries whose epoch the mirror has reached, and returns those that
// wait for proof that it is new enough. fresh: there is proof.
func (s *Server) answerReached(queries []pendingQuery, fresh bool) []pendingQuery {
	var unproven []pendingQuery
	for _, query := range queries {
		if query.jobID == "" || fresh || s.acceptsUnproven(&query) {
			query.answer()
		} else {
			unproven = append(unproven, query)
		}
	}
	return unproven
}

// acceptsUnproven reports whether a query has waited so long that it is answered from a mirror
// that is not known to be new enough. It never is while the gossip of a member does not
// arrive: what that member has told users may be lost on its way. Then the job is read
// separately, or the user refused.
func (s *Server) acceptsUnproven(query *pendingQuery) bool {
	if s.state.Now.Sub(query.arrivedAt) < tuning.QueryUnprovenAfter {
		return false
	}
	if s.view.HearsAllMembers() {
		return true
	}
	if !query.separate {
		s.readSeparately(query)
	}
	return false
}
