package queue

import (
	"slices"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
)

// NotExamined lists the waiting jobs that the last cycle did not examine, so that it is unknown
// whether there is capacity for them: a cycle ends when its write budget is used up. With a low
// write rate and hundreds of jobs arriving at once, examining all of them takes half a minute.
// Without this list the queue looked empty during that time, so machines were decommissioned and
// none was provisioned (docs/incidents/kikoi-f98c.md).
//
// The listed tasks, together with all that found no capacity, are within their team's limit. As in
// a cycle, jobs that are being probed, are in backoff or may not start yet are left out, and so are
// tasks for which capacity is being freed by preemption or by a loan.
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
		if known[job] || q.examined[job] || !q.MayBegin(spec) || q.HasClaim(job.ID) ||
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

// capacityPending reports whether capacity for a task is being freed, by preemption or by a loan.
func (q *Queue) capacityPending(task *clusterstate.Task) bool {
	if q.loans != nil {
		if _, lent := q.loans.LoanFor(task.Job.ID, task.Index); lent {
			return true
		}
	}
	return q.state.Now.Before(q.preemptions[task.ID].until)
}
