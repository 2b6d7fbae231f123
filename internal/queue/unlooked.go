package queue

import (
	"slices"

	"github.com/harrierreel/harrierreel/internal/book"
	"github.com/harrierreel/harrierreel/internal/jobs"
)

// Unlooked lists what waits without that a look at the queue has told whether there is
// room for it: a look ends with the changes that it may make. Where those are few and
// hundreds of jobs come at once that takes half a minute, in which the queue looks empty,
// machines are given back and none is rented (docs/incidents/kikoi-f98c.md). It is within
// its team's limit together with all that found no room. What is in doubt, rests, or may
// not begin yet is left out, as it is in a look, and what room is made or lent for.
func (q *Queue) Unlooked() []*Waiting {
	account := q.Account.Clone()
	known := map[*book.Job]bool{}
	for _, w := range q.StillWaiting() {
		known[w.Task.Job] = true
		account.Charge(w.Task.Job.Rec.Spec.Key(), w.Task.Job.Rec.Spec.Amount(), w.Count)
	}
	var out []*Waiting
	for _, j := range q.order(account) {
		spec := &j.Rec.Spec
		if known[j] || q.looked[j] || !q.MayBegin(spec) || q.Claiming(j.UID) || q.Trust(j, "") == jobs.Probing {
			continue
		}
		all := slices.DeleteFunc(q.pending(j, q.unstarted(j)), q.making)
		leaf := q.Leaf(spec)
		count := account.More(leaf, spec.Amount(), len(all))
		if spec.Gang() && (len(all) < spec.Pieces || count < len(all)) || count == 0 {
			continue
		}
		w := &Waiting{Task: all[0], Count: count, Rank: spec.RankOrder(), Entitled: account.Entitled(leaf, spec.Amount(), 1), Unlooked: true}
		account.Charge(spec.Key(), spec.Amount(), count)
		out = append(out, w)
	}
	return out
}

// making tells whether room is made for a task, by stops or by a loan.
func (q *Queue) making(t *book.Task) bool {
	if q.loans != nil {
		if _, lent := q.loans.For(t.Job.UID, t.N); lent {
			return true
		}
	}
	return q.Now.Before(q.preempted[t.Piece].until)
}
