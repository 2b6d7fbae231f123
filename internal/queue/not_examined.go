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
	account := q.Account.Clone()
	known := map[*clusterstate.Job]bool{}
	for _, w := range q.StillWaiting() {
		known[w.Task.Job] = true
		account.Charge(w.Task.Job.Record.Spec.QuotaKey(), w.Task.Job.Record.Spec.Amount(), w.Count)
	}
	var out []*Waiting
	for _, j := range q.order(account) {
		spec := &j.Record.Spec
		if known[j] || q.examined[j] || !q.MayBegin(spec) || q.Claiming(j.ID) || q.Trust(j, "") == jobs.Probing {
			continue
		}
		all := slices.DeleteFunc(q.pending(j, q.unstarted(j)), q.making)
		leaf := q.QuotaLeaf(spec)
		count := account.More(leaf, spec.Amount(), len(all))
		if spec.IsGang() && (len(all) < spec.TaskCount || count < len(all)) || count == 0 {
			continue
		}
		w := &Waiting{
			Task:        all[0],
			Count:       count,
			Priority:    spec.PriorityOrder(),
			Entitled:    account.Entitled(leaf, spec.Amount(), 1),
			NotExamined: true,
		}
		account.Charge(spec.QuotaKey(), spec.Amount(), count)
		out = append(out, w)
	}
	return out
}

// making tells whether room is made for a task, by stops or by a loan.
func (q *Queue) making(t *clusterstate.Task) bool {
	if q.loans != nil {
		if _, lent := q.loans.For(t.Job.ID, t.Index); lent {
			return true
		}
	}
	return q.Now.Before(q.preempted[t.ID].until)
}
