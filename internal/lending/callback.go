package lending

import (
	"cmp"
	"slices"

	"github.com/harrierreel/harrierreel/internal/book"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// back is a replica that could be called back.
type back struct {
	loan  Loan
	task  *book.Task
	place int // 0 if it finds a place with its image elsewhere, else 1
	same  int // replicas of its image on the machine
}

// callBack is the decisions that call replicas back: one at a time a service, never
// below half of its replicas, none that is the last in its zone, and first those that
// find a place with their image elsewhere, then where the fewest of its image are.
func (k *Keeper) callBack(account *quota.Account, waits func(uid string) bool) []decide.Decision {
	var ds []decide.Decision
	away := k.goneOfLate()
	for _, b := range k.owedBack(account, waits, away) {
		n, ok := k.sheetOf(b.loan.ID)
		if away[b.loan.Job] || !ok || k.taken[n] || k.Busy(Key(n)) {
			continue
		}
		next, ok := jobs.NextTask(b.task.Task, jobs.TaskEvent{Kind: jobs.Stop, Why: "gives back what " + b.loan.From[0].Job + " lent"})
		l, moved := Next(b.loan, CallBack, k.facts(&b.loan))
		if !ok || !moved {
			continue
		}
		away[l.Job] = true
		sheet := k.sheet(n)
		for i := range sheet.Loans {
			if sheet.Loans[i].ID == l.ID {
				sheet.Loans[i] = l
			}
		}
		ds = append(ds, decide.Decision{Changes: decide.Become(b.task, next), Writes: []store.Write{k.write(n, sheet)}, Done: func(ok bool) {
			if ok {
				k.count(Lent, &l)
			}
		}})
	}
	return ds
}

// goneOfLate is the services with a replica that goes or has just gone.
func (k *Keeper) goneOfLate() map[string]bool {
	away := map[string]bool{}
	for _, l := range k.Loans() {
		if l.State == CalledBack && l.FreeMs == 0 || l.FreeMs > 0 && k.Ms()-l.FreeMs < tuning.CallGap.Milliseconds() {
			away[l.Job] = true
		}
	}
	return away
}

// owedBack lists the replicas that may be called back now, in the order in which they go.
func (k *Keeper) owedBack(account *quota.Account, waits func(uid string) bool, away map[string]bool) []back {
	var out []back
	for _, l := range k.Loans() {
		j := k.Jobs[l.Job]
		if l.State != Lent || away[l.Job] || j == nil || !live(j) || k.Ms()-l.SinceMs < tuning.LoanLeast.Milliseconds() {
			continue
		}
		t := j.Active[l.N]
		if t == nil || t.State != jobs.Placed || k.Busy(t.Slice.Key) || !k.maySpare(j, t) || !k.owed(account, &l, j, waits) {
			continue
		}
		b := back{loan: l, task: t, place: 1}
		if k.Elsewhere(t) {
			b.place = 0
		}
		for _, o := range k.OnHost[l.Host] {
			if o.Job.Rec != nil && o.Job.Rec.Spec.Bundle == j.Rec.Spec.Bundle {
				b.same++
			}
		}
		out = append(out, b)
	}
	slices.SortStableFunc(out, func(x, y back) int { return cmp.Or(cmp.Compare(x.place, y.place), cmp.Compare(x.same, y.same)) })
	return out
}

// sheetOf is the sheet that a loan is on.
func (k *Keeper) sheetOf(id int) (int, bool) {
	for n, s := range k.sheets {
		if s != nil && slices.ContainsFunc(s.Loans, func(l Loan) bool { return l.ID == id }) {
			return n, true
		}
	}
	return 0, false
}

// maySpare tells whether a service can do without one replica for a moment.
func (k *Keeper) maySpare(j *book.Job, t *book.Task) bool {
	up, here := 0, 0
	for _, o := range j.Active {
		if o.State == jobs.Stopping {
			return false
		}
		if o.State == jobs.Placed {
			up++
			if o.Site == t.Site {
				here++
			}
		}
	}
	return up-1 >= (j.Rec.Spec.Pieces+1)/2 && here > 1
}

// owed tells whether a lender waits for what it is guaranteed, and the borrower is
// beyond its own guarantee.
func (k *Keeper) owed(account *quota.Account, l *Loan, borrower *book.Job, waits func(uid string) bool) bool {
	spec := &borrower.Rec.Spec
	for _, s := range l.From {
		j := k.Jobs[s.Job]
		if j == nil || !k.begins(j) || k.Queued[s.Job] != j || !waits(s.Job) {
			continue
		}
		lender := &j.Rec.Spec
		count := 1
		if lender.Gang() {
			count = lender.Pieces
		}
		if account.Yields(account.Entitled(k.Leaf(lender), lender.Amount(), count), k.Leaf(spec), spec.Amount()) {
			return true
		}
	}
	return false
}
