// Package quotareclaim brings use back under limits of the quota tree that were lowered while
// work ran, or that others have filled with what they borrowed: it chooses what has to stop,
// the youngest first. Nothing outside a node that is at its limit is touched. No IO, no clock.
package quotareclaim

import (
	"slices"
	"sort"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
)

// Stop is a task that has to stop, and the node of the tree for whose limit.
type Stop struct {
	Task *clusterstate.Task
	Path string // of the node, as quota.Tree.Path gives it
}

// Plan lists up to limit tasks (and the rest of a gang) whose end brings every node of an
// account inside its limits, with what is stopping counted already. Of a gang all tasks go,
// since the rest could not go on. Tasks that were released but are on no machine go first.
func Plan(state *clusterstate.State, account *quota.Account, limit int) []Stop {
	nodes := account.Over()
	if len(nodes) == 0 {
		return nil
	}
	tasks := candidates(state)
	account = withoutStopping(account, tasks)
	tree := account.Tree()
	var stops []Stop
	chosen := map[*clusterstate.Task]bool{}
	for _, node := range nodes {
		for _, t := range tasks {
			excess := account.Excess(node)
			if excess == (quota.Amount{}) || len(stops) >= limit {
				break
			}
			spec := &t.Job.Record.Spec
			if chosen[t] || !reduces(state, tree, t, node, excess) {
				continue
			}
			for _, mate := range gangMates(t) {
				if chosen[mate] || mate.State == jobs.Stopping {
					continue
				}
				chosen[mate] = true
				account.Charge(spec.QuotaKey(), spec.Amount(), -1)
				stops = append(stops, Stop{Task: mate, Path: tree.Path(node)})
			}
		}
	}
	return stops
}

// PlanForGuarantee lists the tasks whose end lets count more tasks of a job, which are within the
// guarantee of node entitled, into limits that others have filled with what they borrowed:
// as few as are needed, the youngest first, with what is stopping counted already. Gangs and
// services are left alone. Nil if that can't be had, or if what is stopping is enough.
func PlanForGuarantee(
	state *clusterstate.State,
	account *quota.Account,
	entitled int,
	spec *jobs.Spec,
	count int,
) []Stop {
	leaf := state.QuotaLeaf(spec)
	tasks := candidates(state)
	account = withoutStopping(account, tasks)
	tree := account.Tree()
	var stops []Stop
	for _, t := range tasks {
		full := account.LimitingNode(leaf, spec.Amount(), count)
		if full < 0 {
			return stops
		}
		other := &t.Job.Record.Spec
		if other.IsGang() || other.Kind == jobs.Service ||
			!reduces(state, tree, t, full, spec.Amount()) ||
			!account.Yields(entitled, state.QuotaLeaf(other), other.Amount()) {
			continue
		}
		account.Charge(other.QuotaKey(), other.Amount(), -1)
		stops = append(stops, Stop{Task: t, Path: tree.Path(full)})
	}
	if account.LimitingNode(leaf, spec.Amount(), count) >= 0 {
		return nil
	}
	return stops
}

// reduces tells whether stopping a task takes anything off an excess of a node: it is charged
// there or below, and isn't stopping already.
func reduces(
	state *clusterstate.State,
	tree *quota.Tree,
	t *clusterstate.Task,
	node int,
	excess quota.Amount,
) bool {
	spec := &t.Job.Record.Spec
	return t.State != jobs.Stopping &&
		tree.Under(state.QuotaLeaf(spec), node) &&
		spec.Amount().Helps(excess)
}

// withoutStopping is a copy of an account without the tasks that are stopping.
func withoutStopping(account *quota.Account, tasks []*clusterstate.Task) *quota.Account {
	account = account.Clone()
	for _, t := range tasks {
		if t.State == jobs.Stopping {
			account.Charge(t.Job.Record.Spec.QuotaKey(), t.Job.Record.Spec.Amount(), -1)
		}
	}
	return account
}

// candidates lists the charged tasks of known jobs in the order in which they would be
// stopped: released ones, then those of the least priority, then the youngest.
func candidates(state *clusterstate.State) []*clusterstate.Task {
	var tasks []*clusterstate.Task
	for _, t := range state.Assigned {
		tasks = append(tasks, t)
	}
	for _, onMachine := range state.TasksOnMachine {
		for _, t := range onMachine {
			tasks = append(tasks, t)
		}
	}
	tasks = slices.DeleteFunc(tasks, func(t *clusterstate.Task) bool { return t.Job.Record == nil })
	sort.Slice(tasks, func(i, j int) bool { return stopsBefore(tasks[i], tasks[j]) })
	return tasks
}

// stopsBefore is the order of candidates; it is total, so that every leader chooses alike.
func stopsBefore(a, b *clusterstate.Task) bool {
	if (a.State == jobs.Assigned) != (b.State == jobs.Assigned) {
		return a.State == jobs.Assigned
	}
	orderA, orderB := a.Job.Record.Spec.PriorityOrder(), b.Job.Record.Spec.PriorityOrder()
	if orderA != orderB {
		return orderA > orderB
	}
	if !a.StateSince.Equal(b.StateSince) {
		return a.StateSince.After(b.StateSince)
	}
	return a.ID < b.ID
}

// gangMates lists the tasks of a task's gang, or the task alone if its job is no gang.
func gangMates(t *clusterstate.Task) []*clusterstate.Task {
	if t.Job.Record.Spec.Kind != jobs.Gang {
		return []*clusterstate.Task{t}
	}
	var mates []*clusterstate.Task
	for _, mate := range t.Job.Active {
		mates = append(mates, mate)
	}
	slices.SortFunc(mates, func(a, b *clusterstate.Task) int { return a.Index - b.Index })
	return mates
}
