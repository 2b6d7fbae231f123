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
	loan Loan
	task *clusterstate.Task
	// placeOrder is 0 if the replica fits on another machine that has its image, else 1.
	placeOrder int
	// sameImage is the number of tasks with the replica's image on its machine.
	sameImage int
}

// callBack returns the decisions that call replicas back. Of each service it calls back one replica
// at a time, never leaving less than half of the replicas placed and never taking the last one in a
// zone. Replicas that fit on another machine that has their image go first, then those on machines
// where the fewest tasks use their image.
func (l *Ledger) callBack(account *quota.Account, waits func(jobID string) bool) []decide.Decision {
	var decisions []decide.Decision
	recalling := l.servicesWithRecall()
	for _, candidate := range l.recallCandidates(account, waits, recalling) {
		if recalling[candidate.loan.Job] {
			continue
		}
		if decision, ok := l.callBackOne(candidate); ok {
			recalling[candidate.loan.Job] = true
			decisions = append(decisions, decision)
		}
	}
	return decisions
}

// callBackOne returns the decision that stops a replica and updates its loan in one transaction.
func (l *Ledger) callBackOne(candidate recallCandidate) (decide.Decision, bool) {
	number, ok := l.recordNumberOf(candidate.loan.ID)
	if !ok || l.written[number] || l.pending.Busy(RecordKey(number)) {
		return decide.Decision{}, false
	}
	next, ok := jobs.NextTask(candidate.task.Task, jobs.TaskEvent{
		Kind:   jobs.Stop,
		Reason: "gives back what " + candidate.loan.From[0].Job + " lent",
	})
	if !ok {
		return decide.Decision{}, false
	}
	loan, changed := Next(candidate.loan, Recall, l.facts(&candidate.loan))
	if !changed {
		return decide.Decision{}, false
	}
	record := l.currentRecord(number)
	for i := range record.Loans {
		if record.Loans[i].ID == loan.ID {
			record.Loans[i] = loan
		}
	}
	return decide.Decision{
		Changes: decide.TransitionTask(candidate.task, next),
		Writes:  []store.Write{l.recordWrite(number, record)},
		OnSettled: func(committed bool) {
			if committed {
				l.count(Lent, &loan)
			}
		},
	}, true
}

// servicesWithRecall returns the IDs of the services with a replica that is being called back, or
// whose room became free less than tuning.RecallGap ago.
func (l *Ledger) servicesWithRecall() map[string]bool {
	recalling := map[string]bool{}
	for _, loan := range l.Loans() {
		stopping := loan.State == Recalled && loan.FreeMs == 0
		justFreed := loan.FreeMs > 0 && l.state.NowMs()-loan.FreeMs < tuning.RecallGap.Milliseconds()
		if stopping || justFreed {
			recalling[loan.Job] = true
		}
	}
	return recalling
}

// recallCandidates returns the replicas that may be called back now, in the order of preference.
func (l *Ledger) recallCandidates(
	account *quota.Account,
	waits func(jobID string) bool,
	recalling map[string]bool,
) []recallCandidate {
	var candidates []recallCandidate
	for _, loan := range l.Loans() {
		if recalling[loan.Job] {
			continue
		}
		task := l.recallableTask(&loan)
		if task == nil || !l.canSpareReplica(task) || !l.lenderIsOwed(account, &loan, task.Job, waits) {
			continue
		}
		candidate := recallCandidate{loan: loan, task: task, placeOrder: 1}
		if l.placement.FitsElsewhere(task) {
			candidate.placeOrder = 0
		}
		image := task.Job.Record.Spec.Image
		for _, other := range l.state.TasksOnMachine[loan.Machine] {
			if other.Job.Record != nil && other.Job.Record.Spec.Image == image {
				candidate.sameImage++
			}
		}
		candidates = append(candidates, candidate)
	}
	slices.SortStableFunc(candidates, func(a, b recallCandidate) int {
		return cmp.Or(cmp.Compare(a.placeOrder, b.placeOrder), cmp.Compare(a.sameImage, b.sameImage))
	})
	return candidates
}

// recallableTask returns the replica of a loan if it has been lent its room for at least
// tuning.MinLoanTime and is not part of a pending transaction, else nil.
func (l *Ledger) recallableTask(loan *Loan) *clusterstate.Task {
	job := l.state.Jobs[loan.Job]
	if loan.State != Lent || job == nil || !live(job) {
		return nil
	}
	if l.state.NowMs()-loan.SinceMs < tuning.MinLoanTime.Milliseconds() {
		return nil
	}
	task := job.Active[loan.TaskIndex]
	if task == nil || task.State != jobs.Placed || l.pending.Busy(task.StoredIn.Key) {
		return nil
	}
	return task
}

// recordNumberOf returns the number of the record that contains a loan.
func (l *Ledger) recordNumberOf(id int) (int, bool) {
	hasID := func(loan Loan) bool { return loan.ID == id }
	for number, record := range l.records {
		if record != nil && slices.ContainsFunc(record.Loans, hasID) {
			return number, true
		}
	}
	return 0, false
}

// canSpareReplica reports whether a service can do without a replica for a short time: no other
// replica is stopping, at least half of its replicas stay placed, and the replica is not the last
// in its zone.
func (l *Ledger) canSpareReplica(replica *clusterstate.Task) bool {
	placed, inZone := 0, 0
	for _, other := range replica.Job.Active {
		if other.State == jobs.Stopping {
			return false
		}
		if other.State != jobs.Placed {
			continue
		}
		placed++
		if other.Zone == replica.Zone {
			inZone++
		}
	}
	half := (replica.Job.Record.Spec.TaskCount + 1) / 2
	return placed-1 >= half && inZone > 1
}

// lenderIsOwed reports whether a lender waits for what it is guaranteed while the borrower is
// beyond its own guarantee.
func (l *Ledger) lenderIsOwed(
	account *quota.Account,
	loan *Loan,
	borrower *clusterstate.Job,
	waits func(jobID string) bool,
) bool {
	spec := &borrower.Record.Spec
	for _, share := range loan.From {
		job := l.state.Jobs[share.Job]
		if job == nil || !l.mayBegin(job) || l.state.Queued[share.Job] != job || !waits(share.Job) {
			continue
		}
		lender := &job.Record.Spec
		count := 1
		if lender.IsGang() {
			count = lender.TaskCount
		}
		entitled := account.Entitled(l.state.QuotaLeaf(lender), lender.Amount(), count)
		if account.MayPreempt(entitled, l.state.QuotaLeaf(spec), spec.Amount()) {
			return true
		}
	}
	return false
}
