// Package quotareclaim chooses tasks to stop, the youngest first, in two cases: when usage exceeds
// a limit of the quota tree that was lowered while tasks ran, and when borrowed usage fills a limit
// and keeps a job from what it is guaranteed. It stops no task outside the subtree of a node that
// is at or above its limit. The package does no IO and reads no clock.
package quotareclaim

import (
	"slices"
	"sort"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
)

// Stop is a task to stop, and the node of the quota tree whose limit requires it.
type Stop struct {
	Task *clusterstate.Task
	Path string // of the node, as returned by quota.Tree.Path
}

// Plan returns the tasks to stop so that every node of an account is within its limits. Tasks that
// are stopping already are counted as gone. At most limit tasks are returned, except that a gang is
// always stopped whole, since the rest of it could not continue. Tasks that are released but not
// yet on a machine are stopped first.
func Plan(state *clusterstate.State, account *quota.Account, limit int) []Stop {
	nodes := account.NodesOverLimit()
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
			for _, gangTask := range gangTasks(t) {
				if chosen[gangTask] || gangTask.State == jobs.Stopping {
					continue
				}
				chosen[gangTask] = true
				account.Charge(spec.QuotaKey(), spec.Amount(), -1)
				stops = append(stops, Stop{Task: gangTask, Path: tree.Path(node)})
			}
		}
	}
	return stops
}

// PlanForGuarantee returns the tasks to stop so that the limits allow count more tasks of a job.
// The new tasks are within the guarantee of node entitled, and only borrowed usage keeps them out.
// Tasks are taken in stop order, the youngest first, until the limits allow the new tasks; tasks
// that are stopping already are counted as gone. Gangs and services are never stopped. The result
// is nil if stopping tasks can't achieve this, or if those that are stopping are enough.
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
		limiting := account.LimitingNode(leaf, spec.Amount(), count)
		if limiting < 0 {
			return stops
		}
		other := &t.Job.Record.Spec
		if other.IsGang() || other.Kind == jobs.Service ||
			!reduces(state, tree, t, limiting, spec.Amount()) ||
			!account.MayPreempt(entitled, state.QuotaLeaf(other), other.Amount()) {
			continue
		}
		account.Charge(other.QuotaKey(), other.Amount(), -1)
		stops = append(stops, Stop{Task: t, Path: tree.Path(limiting)})
	}
	if account.LimitingNode(leaf, spec.Amount(), count) >= 0 {
		return nil
	}
	return stops
}

// reduces reports whether stopping a task reduces a node's usage in a resource of an amount: the
// task is charged in the node's subtree, uses such a resource and isn't stopping already.
func reduces(
	state *clusterstate.State,
	tree *quota.Tree,
	t *clusterstate.Task,
	node int,
	amount quota.Amount,
) bool {
	spec := &t.Job.Record.Spec
	return t.State != jobs.Stopping &&
		tree.InSubtree(state.QuotaLeaf(spec), node) &&
		spec.Amount().ReducesExcess(amount)
}

// withoutStopping returns a copy of an account without the charges of tasks that are stopping.
func withoutStopping(account *quota.Account, tasks []*clusterstate.Task) *quota.Account {
	account = account.Clone()
	for _, t := range tasks {
		if t.State == jobs.Stopping {
			account.Charge(t.Job.Record.Spec.QuotaKey(), t.Job.Record.Spec.Amount(), -1)
		}
	}
	return account
}

// candidates returns the charged tasks of known jobs in the order in which they would be stopped:
// first those that are released but not yet on a machine, then by ascending priority, then the
// youngest first.
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

// stopsBefore reports whether a is stopped before b. It is a total order, so that every leader
// makes the same choice.
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

// gangTasks returns all active tasks of a task's gang, or only the task itself if its job is not a
// gang.
func gangTasks(t *clusterstate.Task) []*clusterstate.Task {
	if t.Job.Record.Spec.Kind != jobs.Gang {
		return []*clusterstate.Task{t}
	}
	var tasks []*clusterstate.Task
	for _, gangTask := range t.Job.Active {
		tasks = append(tasks, gangTask)
	}
	slices.SortFunc(tasks, func(a, b *clusterstate.Task) int { return a.Index - b.Index })
	return tasks
}
