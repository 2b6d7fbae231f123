package api

import (
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// ReconcileQueries reads the epoch for the pending queries, and handles those that have waited for
// too long. It is called every tuning.Tick and for each new query.
func (s *Server) ReconcileQueries() {
	s.expireQueries()
	s.AnswerQueries(time.Time{})
	s.queryPeers()
	s.reconcileReads()
	s.agedEpoch.advance(s.mirror.Epoch, s.state.Now)
	if priority, due := s.epochReadDue(); due {
		s.readEpoch(priority)
	}
}

// expireQueries handles the queries that have waited for too long, in any stage.
func (s *Server) expireQueries() {
	p := &s.queries
	batches := p.batches[:0]
	for _, batch := range p.batches {
		step := atWatch
		if batch.reached {
			step = atRecency
		}
		if batch.queries = s.handleOverdue(batch.queries, step); len(batch.queries) > 0 {
			batches = append(batches, batch)
		}
	}
	p.batches = batches
	p.waiting = s.handleOverdue(p.waiting, atEpochRead)
	p.awaitingEpoch = s.handleOverdue(p.awaitingEpoch, atEpochRead)
}

// handleOverdue refuses the queries that have timed out in a step and returns the others. For those that have
// waited longer than tuning.QueryReadAfter it also reads the job separately. queries is in order of
// arrival.
func (s *Server) handleOverdue(queries []pendingQuery, step refusalStep) []pendingQuery {
	if len(queries) == 0 || s.state.Now.Sub(queries[0].arrivedAt) <= tuning.QueryReadAfter {
		return queries
	}
	var rest []pendingQuery
	for _, query := range queries {
		waited := s.state.Now.Sub(query.arrivedAt)
		if waited > tuning.QueryTimeout {
			s.refuse(step, query.respond)
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

// epochReadDue reports whether the epoch is to be read now, and with which priority. One read of
// the epoch serves all waiting queries, so it must not queue behind calls that serve one user each:
// while calls wait for the request budget, the epoch is read less often, but ahead of them.
func (s *Server) epochReadDue() (store.Priority, bool) {
	p := &s.queries
	gap, priority := tuning.QueryGap, store.PriorityPoll
	if s.client.Waiting() > 0 {
		gap, priority = tuning.QueryRetry, store.PriorityUrgent
	}
	if len(p.waiting)+len(p.awaitingEpoch) == 0 && !p.awaitsFreshness() {
		return priority, false
	}
	since := s.state.Now.Sub(p.lastReadAt)
	return priority, since >= gap && (!p.readInFlight || since >= tuning.QueryRetry)
}

// readEpoch reads the epoch for all queries that have not been served by an epoch read yet.
func (s *Server) readEpoch(priority store.Priority) {
	p := &s.queries
	p.lastReadID++
	p.readInFlight, p.lastReadAt = true, s.state.Now
	for i := range p.waiting {
		p.waiting[i].readID = p.lastReadID
	}
	p.awaitingEpoch, p.waiting = append(p.awaitingEpoch, p.waiting...), nil
	readID, sentAt := p.lastReadID, s.state.Now
	s.client.ReadEpoch(priority, func(epoch uint64, err error) { s.handleEpochRead(readID, sentAt, epoch, err) })
}

// handleEpochRead handles the response to the epoch read with the given ID.
func (s *Server) handleEpochRead(readID int, sentAt time.Time, epoch uint64, err error) {
	p := &s.queries
	last := readID == p.lastReadID
	if last {
		p.readInFlight = false
	}
	if err != nil && !last {
		return // a later epoch read is in flight
	}
	served := p.takeServed(readID)
	if err != nil {
		for _, query := range served {
			s.refuse(atReadFailed, query.respond)
		}
		return
	}
	if len(served) > 0 {
		p.batches = append(p.batches, queryBatch{queries: served, epoch: epoch})
	}
	s.recency.epochRead(epoch, sentAt)
	s.AnswerQueries(time.Time{})
	if len(p.batches) > 0 {
		s.watch.WatchNow()
	}
}

// takeServed removes and returns the queries that an epoch read serves: all that arrived before it
// was sent, even if a later read has been sent because this one was slow. Otherwise no read would
// serve any query while all reads are slow.
func (p *pendingQueries) takeServed(readID int) []pendingQuery {
	n := 0
	for n < len(p.awaitingEpoch) && p.awaitingEpoch[n].readID <= readID {
		n++
	}
	served := p.awaitingEpoch[:n:n]
	p.awaitingEpoch = p.awaitingEpoch[n:]
	return served
}

// awaitsFreshness reports whether queries wait only for confirmation that the mirror is up to date.
func (p *pendingQueries) awaitsFreshness() bool {
	return slices.ContainsFunc(p.batches, func(batch queryBatch) bool { return batch.reached })
}

// AnswerQueries answers the queries whose epoch the mirror has reached. The mirror includes all
// changes up to some time after shownAt, which is zero if unknown. A job that is live in the mirror
// may have ended since then, and another controller may have told the user so. A query about a job
// is therefore answered only while the mirror is known to be at most AckLog.MaxLiveReadAge behind, or
// if acceptsUnverified allows it.
func (s *Server) AnswerQueries(shownAt time.Time) {
	p := &s.queries
	s.recency.shown(shownAt)
	s.recency.mirrorReached(s.mirror.Epoch)
	recent := s.isRecent(s.recency.shownAt, false)
	batches := p.batches
	p.batches = nil // answering may add queries
	var rest []queryBatch
	for _, batch := range batches {
		if batch.epoch > s.mirror.Epoch {
			rest = append(rest, batch)
			continue
		}
		batch.reached, p.lagging = true, false
		if batch.queries = s.answerReached(batch.queries, recent); len(batch.queries) > 0 {
			rest = append(rest, batch)
		}
	}
	p.batches = append(rest, p.batches...)
}

// answerReached answers queries whose epoch the mirror has reached, and returns those that still
// wait until the mirror is known to be recent. recent tells whether it is.
func (s *Server) answerReached(queries []pendingQuery, recent bool) []pendingQuery {
	var unverified []pendingQuery
	for _, query := range queries {
		if query.jobID == "" || recent || s.acceptsUnverified(&query) {
			query.answer()
		} else {
			unverified = append(unverified, query)
		}
	}
	return unverified
}
