package lending

import (
	"maps"
	"slices"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// LoanFor returns the loan whose room is being made or is reserved for a replica, if there is one.
func (l *Ledger) LoanFor(jobID string, taskIndex int) (Loan, bool) {
	for _, loan := range l.Loans() {
		if loan.Job == jobID && loan.TaskIndex == taskIndex && loan.ForBorrower() {
			return loan, true
		}
	}
	return Loan{}, false
}

// Request returns the decision that begins a loan: in one transaction, it writes the loan's record
// and stops all tasks that make room, gangs as a whole. It returns false if no job can lend, or if
// no loan record can take another loan.
func (l *Ledger) Request(search *Search) (decide.Decision, Plan, bool) {
	number, ok := l.recordWithSpace()
	if !ok {
		return decide.Decision{}, Plan{}, false
	}
	plan, ok := l.findLenders(search)
	if !ok {
		return decide.Decision{}, Plan{}, false
	}
	loan := l.newLoan(search, &plan)
	decision := decide.Decision{
		ReadSet: []string{jobs.JobPrefix + loan.Job, fleet.MachinePrefix + loan.Machine},
	}
	for _, task := range plan.Tasks {
		next, ok := jobs.NextTask(task.Task, jobs.TaskEvent{
			Kind:   jobs.Stop,
			Reason: "lends its place to " + search.Task.ID,
		})
		if !ok {
			return decide.Decision{}, Plan{}, false
		}
		decision.Changes = append(decision.Changes, decide.Change{Task: task, Next: next})
	}
	record := l.currentRecord(number)
	record.Loans = append(record.Loans, loan)
	decision.Writes = []store.Write{l.recordWrite(number, record)}
	decision.OnSettled = func(committed bool) {
		if committed {
			l.count(Wanted, &loan)
		}
	}
	for _, share := range plan.From {
		l.requested[share.Job] += share.Tasks
	}
	l.nextID++
	return decision, plan, true
}

// newLoan returns a plan's loan in state Requested, requested at the current time.
func (l *Ledger) newLoan(search *Search, plan *Plan) Loan {
	loan := Loan{
		ID:        l.nextID,
		Job:       search.Task.Job.ID,
		TaskIndex: search.Task.Index,
		Machine:   plan.Machine,
		From:      plan.From,
	}
	for _, share := range plan.From {
		loan.GPUs += share.GPUs
	}
	loan, _ = Next(loan, Request, Facts{NowMs: l.state.NowMs()})
	return loan
}

// findLenders returns the plan of who lends for a search, and false if no job can. A plan may stop
// no task; then the room is that of a gang that is stopping already.
func (l *Ledger) findLenders(search *Search) (Plan, bool) {
	lent := l.recentlyLent()
	anyExempt := false
	search.exempt = func(job *clusterstate.Job) bool {
		exempt := lent[job.ID] >= maxLentTasks(&job.Record.Spec)
		anyExempt = anyExempt || exempt
		return exempt
	}
	search.busy = l.pending.Busy
	search.ready = l.placement.Ready
	search.now = l.state.Now
	plan, ok := Choose(l.state, search)
	if !ok && plan.Machine != "" {
		plan.From = l.leavingGangShares(plan.Machine, search.Task.Job.Record.Spec.Accelerators)
	}
	if len(plan.From) > 0 {
		return plan, true
	}
	if anyExempt {
		l.counts.ExemptSearches++
	}
	return Plan{}, false
}

// recordWithSpace returns the number of a loan record that can take another loan now. It skips
// records that are unreadable, already written in this reconciliation or part of a pending
// transaction.
func (l *Ledger) recordWithSpace() (int, bool) {
	for number := range tuning.LoanRecords {
		record, stored := l.records[number]
		unreadable := stored && record == nil
		if unreadable || l.written[number] || l.pending.Busy(RecordKey(number)) {
			continue
		}
		if l.currentRecord(number).hasSpace(l.config.ValueBytes) {
			return number, true
		}
	}
	return 0, false
}

// recentlyLent returns the number of tasks that each job has lent within Config.RepeatAfter.
func (l *Ledger) recentlyLent() map[string]int {
	lent := maps.Clone(l.requested)
	for _, loan := range l.Loans() {
		if l.state.NowMs()-loan.BeganMs >= l.config.RepeatAfter.Milliseconds() {
			continue
		}
		for _, share := range loan.From {
			lent[share.Job] += share.Tasks
		}
	}
	return lent
}

// maxLentTasks returns how many lent tasks keep a job from lending again within Config.RepeatAfter:
// for a job array, whose tasks are independent, a share of its tasks; for any other job 1, so that
// a gang, which is stopped as a whole, lends only once.
func maxLentTasks(spec *jobs.Spec) int {
	if spec.Kind != jobs.JobArray {
		return 1
	}
	return max(1, int(tuning.MaxLentArrayShare*float64(spec.TaskCount)))
}

// lends reports whether a job is a lender in a loan that is not over.
func (l *Ledger) lends(jobID string) bool {
	isJob := func(share Share) bool { return share.Job == jobID }
	return slices.ContainsFunc(l.Loans(), func(loan Loan) bool {
		return !loan.State.Final() && slices.ContainsFunc(loan.From, isJob)
	})
}
