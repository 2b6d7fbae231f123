package shard

import (
	"sort"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Reconcile does what an owner does for its part: it looks at the machines
// that something has happened to, and from time to time at those that need
// looking after without it.
func (pt *Shard) Reconcile() {
	if pt.view.OutsideView() {
		clear(pt.toReview)
		return
	}
	ds := pt.scheduler.Place()
	sweep := pt.state.Now.Sub(pt.lastSweep) >= tuning.SweepEvery
	if sweep {
		pt.lastSweep = pt.state.Now
		unheard := map[string]bool{}
		for _, machine := range clusterstate.SortedKeys(pt.sessions) {
			s := pt.sessions[machine]
			ds = append(ds, pt.watchHealth(s, unheard)...)
			if s.State != agent.Known || pt.unmetDeadline(s) || s.PreemptionNoticeS != nil || pt.overdue(s) {
				pt.toReview[machine] = true
			}
		}
		for machine := range pt.revisit {
			pt.toReview[machine] = true
		}
		clear(pt.revisit)
		ds = append(ds, pt.publishUnresponsive(unheard)...)
	}
	gather := pt.gathers()
	if !gather {
		for machine := range pt.gathering {
			pt.toReview[machine] = true
		}
		clear(pt.gathering)
	}
	for _, machine := range clusterstate.SortedKeys(pt.toReview) {
		s := pt.sessions[machine]
		if m := pt.state.Machines[machine]; s == nil && m != nil && m.Owner == pt.config.Name && m.State != fleet.Deleted {
			pt.keepSession(m)
			s = pt.sessions[machine]
		}
		if s == nil {
			continue
		}
		pt.countDifferences = true
		rv := pt.review(s)
		pt.countDifferences = false
		if len(rv.decisions) > 0 || len(rv.commands) > 0 || rv.gathering {
			pt.revisit[machine] = true
		}
		pt.compared(s, &rv)
		switch {
		case len(rv.decisions) == 0:
		case gather:
			pt.gathering[machine] = true
		default:
			pt.lastEnds = pt.state.Now
			ds = append(ds, rv.decisions...)
		}
		pt.command(s, rv.commands)
	}
	clear(pt.toReview)
	for _, machine := range pt.awaitingCall {
		pt.toReview[machine] = true
	}
	pt.awaitingCall = pt.awaitingCall[:0]
	ds = append(ds, pt.placeAgain()...)
	pt.Reconciling.Settle(pt.state.Now, pt.view.KnownEpoch())
	// Where the budget does not allow all, a guest's thousands of ends must not
	// stand before those that others wait for.
	sort.SliceStable(ds, func(a, b int) bool {
		if x, y := pt.reconcileOrder(&ds[a]), pt.reconcileOrder(&ds[b]); x != y {
			return x < y
		}
		return ds[a].Priority() < ds[b].Priority()
	})
	pt.commits.Commit(ds)
}

// gathers tells whether ends wait for others: while writes are short, and with packs,
// many tasks of a record end soon after one another, and all of them are one write.
func (pt *Shard) gathers() bool {
	gap := tuning.GatherFor
	if pt.budget.HasSpareWrites() {
		gap = 0
		if pt.budget.UsesBatches() {
			gap = tuning.BatchEvery
		}
	}
	return pt.state.Now.Sub(pt.lastEnds) < gap
}
