package queue

import (
	"slices"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
)

// NotExamined lists what waits without that a look at the queue has told whether there is
// room for it: a look ends with the changes that it may make. Where those are few and
// hundreds of jobs come at once that takes half a minute, in which the queue looks empty,
// machines are given back and none is rented (docs/incidents/kikoi-f98c.md). It is within
// its team's limit together with all that found no room. What is in doubt, rests, or may
// not begin yet is left out, as it is in a look, and what room is made or lent for.
func (q *Queue) NotExamined() []*Waiting {
	account := q.state.Account.Clone()
	known := map[*clusterstate.Job]bool{}
	for _, waiting := range q.StillWaiting() {
		known[waiting.Task.Job] = true
		account.Charge(waiting.Task.Job.Record.Spec.QuotaKey(), waiting.Task.Job.Record.Spec.Amount(), waiting.Count)
	}
	var out []*Waiting
	for _, job := range q.order(account) {
		spec := &job.Record.Spec
		if known[job] || q.examined[job] || !q.MayBegin(spec) || q.Claiming(job.ID) ||
			q.state.Trust(job, "") == jobs.Probing {
			continue
		}
		tasks := slices.DeleteFunc(q.pendingTasks(job, q.startableCount(job)), q.capacityPending)
		leaf := q.state.QuotaLeaf(spec)
		count := account.More(leaf, spec.Amount(), len(tasks))
		if spec.IsGang() && (len(tasks) < spec.TaskCount || count < len(tasks)) || count == 0 {
			continue
		}
		waiting := &Waiting{
			Task:        tasks[0],
			Count:       count,
			Priority:    spec.PriorityOrder(),
			Entitled:    account.Entitled(leaf, spec.Amount(), 1),
			NotExamined: true,
		}
		account.Charge(spec.QuotaKey(), spec.Amount(), count)
		out = append(out, waiting)
	}
	return out
}

// making tells whether room is made for a task, by stops or by a loan.
func (q *Queue) capacityPending(task *clusterstate.Task) bool {
	if q.loans != nil {
		if _, lent := q.loans.For(task.Job.ID, task.Index); lent {
			return true
		}
	}
	return q.state.Now.Before(q.preemptions[task.ID].until)
}
