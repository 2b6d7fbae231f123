package queue

import (
	"slices"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
)

// NotExamined lists the jobs that wait and that the last cycle did not examine, so that it is
// unknown whether there is room for them: a cycle ends with the writes that it may make. Where
// those are few and hundreds of jobs come at once, that takes half a minute in which the queue
// looks empty, machines are given back and none is provisioned (docs/incidents/kikoi-f98c.md). What
// it lists is within the limit of its team, together with all that found no room. As in a cycle,
// jobs that are in doubt, back off or may not begin yet are left out, and so are tasks that room is
// made or lent for.
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
		count := account.CountAllowed(leaf, spec.Amount(), len(tasks))
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

// capacityPending reports whether room is being made for a task, by preemption or by a loan.
func (q *Queue) capacityPending(task *clusterstate.Task) bool {
	if q.loans != nil {
		if _, lent := q.loans.LoanFor(task.Job.ID, task.Index); lent {
			return true
		}
	}
	return q.state.Now.Before(q.preemptions[task.ID].until)
}
