package lending

import (
	"cmp"
	"slices"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// recallCandidate is a replica that could be called back.
type recallCandidate struct {
	loan  Loan
	task  *clusterstate.Task
	place int // 0 if it finds a place with its image elsewhere, else 1
	same  int // replicas of its image on the machine
}

// callBack is the decisions that call replicas back: one at a time a service, never
// below half of its replicas, none that is the last in its zone, and first those that
// find a place with their image elsewhere, then where the fewest of its image are.
func (k *Ledger) callBack(account *quota.Account, waits func(jobID string) bool) []decide.Decision {
	var ds []decide.Decision
	away := k.servicesWithRecall()
	for _, b := range k.recallCandidates(account, waits, away) {
		n, ok := k.recordNumberOf(b.loan.ID)
		if away[b.loan.Job] || !ok || k.written[n] || k.Busy(RecordKey(n)) {
			continue
		}
		next, ok := jobs.NextTask(
			b.task.Task,
			jobs.TaskEvent{Kind: jobs.Stop, Reason: "gives back what " + b.loan.From[0].Job + " lent"},
		)
		l, moved := Next(b.loan, CallBack, k.facts(&b.loan))
		if !ok || !moved {
			continue
		}
		away[l.Job] = true
		sheet := k.currentRecord(n)
		for i := range sheet.Loans {
			if sheet.Loans[i].ID == l.ID {
				sheet.Loans[i] = l
			}
		}
		ds = append(
			ds,
			decide.Decision{
				Changes: decide.TransitionTask(b.task, next),
				Writes:  []store.Write{k.recordWrite(n, sheet)},
				OnSettled: func(ok bool) {
					if ok {
						k.count(Lent, &l)
					}
				},
			},
		)
	}
	return ds
}

// servicesWithRecall is the services with a replica that goes or has just gone.
func (k *Ledger) servicesWithRecall() map[string]bool {
	away := map[string]bool{}
	for _, l := range k.Loans() {
		if l.State == CalledBack && l.FreeMs == 0 || l.FreeMs > 0 && k.NowMs()-l.FreeMs < tuning.CallGap.Milliseconds() {
			away[l.Job] = true
		}
	}
	return away
}

// recallCandidates lists the replicas that may be called back now, in the order in which they go.
func (k *Ledger) recallCandidates(account *quota.Account, waits func(jobID string) bool, away map[string]bool) []recallCandidate {
	var out []recallCandidate
	for _, l := range k.Loans() {
		j := k.Jobs[l.Job]
		if l.State != Lent || away[l.Job] || j == nil || !live(j) || k.NowMs()-l.SinceMs < tuning.MinLoanTime.Milliseconds() {
			continue
		}
		t := j.Active[l.TaskIndex]
		if t == nil || t.State != jobs.Placed || k.Busy(t.Stored.Key) || !k.canSpareReplica(j, t) || !k.lenderIsOwed(account, &l, j, waits) {
			continue
		}
		b := recallCandidate{loan: l, task: t, place: 1}
		if k.Elsewhere(t) {
			b.place = 0
		}
		for _, o := range k.TasksOnMachine[l.Machine] {
			if o.Job.Record != nil && o.Job.Record.Spec.Image == j.Record.Spec.Image {
				b.same++
			}
		}
		out = append(out, b)
	}
	slices.SortStableFunc(
		out,
		func(x, y recallCandidate) int {
			return cmp.Or(cmp.Compare(x.place, y.place), cmp.Compare(x.same, y.same))
		},
	)
	return out
}

// recordNumberOf is the sheet that a loan is on.
func (k *Ledger) recordNumberOf(id int) (int, bool) {
	for n, s := range k.records {
		if s != nil && slices.ContainsFunc(s.Loans, func(l Loan) bool { return l.ID == id }) {
			return n, true
		}
	}
	return 0, false
}

// canSpareReplica tells whether a service can do without one replica for a moment.
func (k *Ledger) canSpareReplica(j *clusterstate.Job, t *clusterstate.Task) bool {
	up, here := 0, 0
	for _, o := range j.Active {
		if o.State == jobs.Stopping {
			return false
		}
		if o.State == jobs.Placed {
			up++
			if o.Zone == t.Zone {
				here++
			}
		}
	}
	return up-1 >= (j.Record.Spec.TaskCount+1)/2 && here > 1
}

// lenderIsOwed tells whether a lender waits for what it is guaranteed, and the borrower is
// beyond its own guarantee.
func (k *Ledger) lenderIsOwed(account *quota.Account, l *Loan, borrower *clusterstate.Job, waits func(jobID string) bool) bool {
	spec := &borrower.Record.Spec
	for _, s := range l.From {
		j := k.Jobs[s.Job]
		if j == nil || !k.mayBegin(j) || k.Queued[s.Job] != j || !waits(s.Job) {
			continue
		}
		lender := &j.Record.Spec
		count := 1
		if lender.IsGang() {
			count = lender.TaskCount
		}
		if account.Yields(account.Entitled(k.QuotaLeaf(lender), lender.Amount(), count), k.QuotaLeaf(spec), spec.Amount()) {
			return true
		}
	}
	return false
}
