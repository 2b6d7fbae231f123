// Package quotareclaim is the slice that brings use back under limits that were
// lowered while work ran: what would have to stop, youngest first. Nothing that
// is not over a limit is touched. No IO, no clock.
package quotareclaim

import (
	"slices"
	"sort"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
)

// Stop is a task that has to make way, and the node that is over its limit.
type Stop struct {
	Task *clusterstate.Task
	Path string
}

// Plan lists up to most tasks (and the rest of a gang) whose end brings every node of
// an account inside its limits, with what is on its way out counted already. Of a gang all tasks go, since
// the rest could not go on. Tasks that were released but are on no machine go first.
func Plan(state *clusterstate.State, account *quota.Account, limit int) []Stop {
	over := account.Over()
	if len(over) == 0 {
		return nil
	}
	tree := account.Tree()
	tasks := candidates(state)
	account = without(account, tasks)
	var stops []Stop
	chosen := map[*clusterstate.Task]bool{}
	for _, node := range over {
		for _, t := range tasks {
			excess := account.Excess(node)
			if excess == (quota.Amount{}) || len(stops) >= limit {
				break
			}
			spec := &t.Job.Record.Spec
			if chosen[t] || t.State == jobs.Stopping || !tree.Under(state.QuotaLeaf(spec), node) || !spec.Amount().Helps(excess) {
				continue
			}
			for _, mate := range gangMates(t) {
				if !chosen[mate] && mate.State != jobs.Stopping {
					chosen[mate] = true
					account.Charge(spec.QuotaKey(), spec.Amount(), -1)
					stops = append(stops, Stop{mate, tree.Path(node)})
				}
			}
		}
	}
	return stops
}

// For lists the tasks whose end lets count more tasks of a job, which are within the
// guarantee of a node, into limits that others have filled with what they borrowed:
// as few as do, youngest first, with what is on its way out counted already. Nil if
// that can't be had, or if it is coming.
func For(state *clusterstate.State, account *quota.Account, entitled int, spec *jobs.Spec, count int) []Stop {
	leaf := state.QuotaLeaf(spec)
	tasks := candidates(state)
	account = without(account, tasks)
	var stops []Stop
	for _, t := range tasks {
		full := account.FullAt(leaf, spec.Amount(), count)
		if full < 0 {
			return stops
		}
		other := &t.Job.Record.Spec
		gang := other.IsGang()
		if gang || other.Kind == jobs.Service || t.State == jobs.Stopping || !account.Tree().Under(state.QuotaLeaf(other), full) ||
			!other.Amount().Helps(spec.Amount()) ||
			!account.Yields(entitled, state.QuotaLeaf(other), other.Amount()) {
			continue
		}
		account.Charge(other.QuotaKey(), other.Amount(), -1)
		stops = append(stops, Stop{t, account.Tree().Path(full)})
	}
	if account.FullAt(leaf, spec.Amount(), count) >= 0 {
		return nil
	}
	return stops
}

// without is a copy of an account without what is on its way out.
func without(account *quota.Account, tasks []*clusterstate.Task) *quota.Account {
	account = account.Clone()
	for _, t := range tasks {
		if t.State == jobs.Stopping {
			account.Charge(t.Job.Record.Spec.QuotaKey(), t.Job.Record.Spec.Amount(), -1)
		}
	}
	return account
}

// candidates lists the charged tasks of live jobs in the order in which they would
// go: released ones, then the youngest.
func candidates(state *clusterstate.State) []*clusterstate.Task {
	var out []*clusterstate.Task
	for _, t := range state.Released {
		out = append(out, t)
	}
	for _, on := range state.TasksOnMachine {
		for _, t := range on {
			out = append(out, t)
		}
	}
	out = slices.DeleteFunc(out, func(t *clusterstate.Task) bool { return t.Job.Record == nil })
	sort.Slice(out, func(x, y int) bool {
		a, b := out[x], out[y]
		switch {
		case (a.State == jobs.Released) != (b.State == jobs.Released):
			return a.State == jobs.Released
		case a.Job.Record.Spec.PriorityOrder() != b.Job.Record.Spec.PriorityOrder():
			return a.Job.Record.Spec.PriorityOrder() > b.Job.Record.Spec.PriorityOrder()
		case !a.Since.Equal(b.Since):
			return a.Since.After(b.Since)
		}
		return a.ID < b.ID
	})
	return out
}

// gangMates lists a task with the rest of its gang.
func gangMates(t *clusterstate.Task) []*clusterstate.Task {
	if t.Job.Record.Spec.Kind != jobs.Gang {
		return []*clusterstate.Task{t}
	}
	var out []*clusterstate.Task
	for _, m := range t.Job.Active {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b *clusterstate.Task) int { return a.Index - b.Index })
	return out
}
