package shard

import (
	"sort"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Reconcile runs one reconciliation of the shard: it places tasks, reviews the machines that have
// changed, sweeps all machines when a sweep is due, and commits the resulting decisions.
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
	// If the write budget does not cover all decisions, thousands of ended tasks of a low-priority
	// job must not delay decisions that other jobs wait for.
	sort.SliceStable(decisions, func(a, b int) bool {
		orderA, orderB := s.recoveryOrder(&decisions[a]), s.recoveryOrder(&decisions[b])
		if orderA != orderB {
			return orderA < orderB
		}
		return decisions[a].Priority() < decisions[b].Priority()
	})
	s.commits.Commit(decisions)
}

// sweep checks the health of the machines of all sessions. It marks for review those that need it
// although nothing has changed: machines that are not known yet, overdue or about to be preempted,
// and machines whose last review found something to do.
func (s *Shard) sweep() []decide.Decision {
	s.lastSweep = s.state.Now
	var decisions []decide.Decision
	unresponsive := map[string]bool{}
	for _, machine := range clusterstate.SortedKeys(s.sessions) {
		session := s.sessions[machine]
		decisions = append(decisions, s.checkHealth(session, unresponsive)...)
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

// reviewMachines reviews the machines that are marked for review, sends them commands, and returns
// the decisions to commit.
func (s *Shard) reviewMachines() []decide.Decision {
	delayEnds := s.shouldDelayEnds()
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
			delete(s.unverifiedLaunches, machine)
			continue
		}
		found := s.review(session, s.Reconciling.Count)
		if len(found.decisions) > 0 || len(found.commands) > 0 || found.vanished {
			s.reviewAgain[machine] = true
		}
		s.trackReview(session, &found)
		switch {
		case len(found.decisions) == 0:
		case delayEnds:
			s.delayedEnds[machine] = true
		default:
			s.lastEndsCommit = s.state.Now
			decisions = append(decisions, found.decisions...)
		}
		s.command(session, found.commands)
	}
	clear(s.toReview)
	for _, machine := range s.awaitingCallSlot {
		s.toReview[machine] = true
	}
	s.awaitingCallSlot = s.awaitingCallSlot[:0]
	return decisions
}

// sessionToReview returns a machine's session. It starts one if the machine is recorded as owned by
// this controller and not deleted, and otherwise returns nil.
func (s *Shard) sessionToReview(machine string) *agent.Session {
	if session := s.sessions[machine]; session != nil {
		return session
	}
	m := s.state.Machines[machine]
	if m == nil || m.Owner != s.config.Name || m.State == fleet.Deleted {
		return nil
	}
	s.ensureSession(m)
	return s.sessions[machine]
}

// shouldDelayEnds reports whether ended tasks are held back to be committed in a batch. Many tasks
// of one record tend to end soon after one another, and committing them together takes a single
// write. That matters while writes are scarce, and with batch records.
func (s *Shard) shouldDelayEnds() bool {
	gap := tuning.GatherFor
	if s.budget.HasSpareWrites() {
		gap = 0
		if s.budget.UsesBatches() {
			gap = tuning.BatchEvery
		}
	}
	return s.state.Now.Sub(s.lastEndsCommit) < gap
}
