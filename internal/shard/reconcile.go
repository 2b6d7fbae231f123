package shard

import (
	"sort"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Reconcile is one reconciliation of the shard: it reviews the machines that something has
// happened to, with each sweep also those that need it without that, and commits what
// follows.
func (s *Shard) Reconcile() {
	if s.view.OutsideView() {
		clear(s.toReview)
		return
	}
	decisions := s.scheduler.Place()
	if s.state.Now.Sub(s.lastSweep) >= tuning.SweepEvery {
		decisions = append(decisions, s.sweep()...)
	}
	decisions = append(decisions, s.reviewMachines()...)
	decisions = append(decisions, s.placeAgain()...)
	s.Reconciling.Advance(s.state.Now, s.view.KnownEpoch())
	// Where the budget does not allow all, thousands of ends of a low-priority job must not stand
	// before those that others wait for.
	sort.SliceStable(decisions, func(a, b int) bool {
		orderA, orderB := s.recoveryOrder(&decisions[a]), s.recoveryOrder(&decisions[b])
		if orderA != orderB {
			return orderA < orderB
		}
		return decisions[a].Priority() < decisions[b].Priority()
	})
	s.commits.Commit(decisions)
}

// sweep looks over all sessions: it watches the health of their machines and marks those
// for review that need it though nothing has happened to them.
func (s *Shard) sweep() []decide.Decision {
	s.lastSweep = s.state.Now
	var decisions []decide.Decision
	unresponsive := map[string]bool{}
	for _, machine := range clusterstate.SortedKeys(s.sessions) {
		session := s.sessions[machine]
		decisions = append(decisions, s.watchHealth(session, unresponsive)...)
		if session.State != agent.Known || s.awaitsFirstAnswer(session) ||
			session.PreemptionNoticeS != nil || s.overdue(session) {
			s.toReview[machine] = true
		}
	}
	for machine := range s.reviewAgain {
		s.toReview[machine] = true
	}
	clear(s.reviewAgain)
	return append(decisions, s.publishUnresponsive(unresponsive)...)
}

// reviewMachines reviews the machines that are marked for it, sends them commands, and
// returns what is to be committed.
func (s *Shard) reviewMachines() []decide.Decision {
	delayEnds := s.delaysEnds()
	if !delayEnds {
		for machine := range s.delayedEnds {
			s.toReview[machine] = true
		}
		clear(s.delayedEnds)
	}
	var decisions []decide.Decision
	for _, machine := range clusterstate.SortedKeys(s.toReview) {
		session := s.sessionToReview(machine)
		if session == nil {
			continue
		}
		found := s.review(session, s.Reconciling.Count)
		if len(found.decisions) > 0 || len(found.commands) > 0 || found.vanished {
			s.reviewAgain[machine] = true
		}
		s.noteReview(session, &found)
		switch {
		case len(found.decisions) == 0:
		case delayEnds:
			s.delayedEnds[machine] = true
		default:
			s.lastEnds = s.state.Now
			decisions = append(decisions, found.decisions...)
		}
		s.command(session, found.commands)
	}
	clear(s.toReview)
	for _, machine := range s.awaitingCall {
		s.toReview[machine] = true
	}
	s.awaitingCall = s.awaitingCall[:0]
	return decisions
}

// sessionToReview is a machine's session, started if the machine is recorded as this
// controller's; nil if it is another's.
func (s *Shard) sessionToReview(machine string) *agent.Session {
	if session := s.sessions[machine]; session != nil {
		return session
	}
	m := s.state.Machines[machine]
	if m == nil || m.Owner != s.config.Name || m.State == fleet.Deleted {
		return nil
	}
	s.keepSession(m)
	return s.sessions[machine]
}

// delaysEnds tells whether ends wait to be committed with others: while writes are scarce,
// and with batch records, many tasks of a record end soon after one another, and all of
// them are one write.
func (s *Shard) delaysEnds() bool {
	gap := tuning.GatherFor
	if s.budget.HasSpareWrites() {
		gap = 0
		if s.budget.UsesBatches() {
			gap = tuning.BatchEvery
		}
	}
	return s.state.Now.Sub(s.lastEnds) < gap
}
