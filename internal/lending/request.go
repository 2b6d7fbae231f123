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

// LoanFor is the loan that makes room for a replica, if there is one.
func (l *Ledger) LoanFor(jobID string, taskIndex int) (Loan, bool) {
	for _, loan := range l.Loans() {
		if loan.Job == jobID && loan.TaskIndex == taskIndex && loan.ForBorrower() {
			return loan, true
		}
	}
	return Loan{}, false
}

// Request is the decision that begins a loan: its record and the stops of all tasks that make room,
// gangs whole, in one transaction. False if nobody can lend, or no record has room.
func (l *Ledger) Request(search *Search) (decide.Decision, Plan, bool) {
	number, ok := l.openRecord()
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

// newLoan is the loan of a plan, requested now.
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

// findLenders is the plan of who lends for a search, false if nobody does. A plan may stop no
// task: then a gang that is leaving gives the room.
func (l *Ledger) findLenders(search *Search) (Plan, bool) {
	lent := l.recentlyLent()
	anySpared := false
	search.spared = func(job *clusterstate.Job) bool {
		spared := lent[job.ID] >= maxLentTasks(&job.Record.Spec)
		anySpared = anySpared || spared
		return spared
	}
	search.busy = l.locks.Busy
	search.ready = l.placement.Ready
	search.now = l.state.Now
	plan, ok := Choose(l.state, search)
	if !ok && plan.Machine != "" {
		plan.From = l.leavingGangShares(plan.Machine, search.Task.Job.Record.Spec.Accelerators)
	}
	if len(plan.From) > 0 {
		return plan, true
	}
	if anySpared {
		l.counts.SparedSearches++
	}
	return Plan{}, false
}

// openRecord is the number of a record that can take another loan now.
func (l *Ledger) openRecord() (int, bool) {
	for number := range tuning.LoanRecords {
		record, stored := l.records[number]
		unreadable := stored && record == nil
		if unreadable || l.written[number] || l.locks.Busy(RecordKey(number)) {
			continue
		}
		if l.currentRecord(number).hasRoom(l.config.ValueBytes) {
			return number, true
		}
	}
	return 0, false
}

// recentlyLent is how many tasks each job has lent within Config.RepeatAfter.
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

// maxLentTasks is how many of a job's tasks may be lent within Config.RepeatAfter: all of a gang or one
// task alone, once; of a job array, whose tasks do not need one another, a share.
func maxLentTasks(spec *jobs.Spec) int {
	if spec.Kind != jobs.JobArray {
		return 1
	}
	return max(1, int(tuning.SweepLends*float64(spec.TaskCount)))
}

// lends tells whether a job gave room for a loan that is not over.
func (l *Ledger) lends(jobID string) bool {
	ofJob := func(share Share) bool { return share.Job == jobID }
	return slices.ContainsFunc(l.Loans(), func(loan Loan) bool {
		return !loan.State.Over() && slices.ContainsFunc(loan.From, ofJob)
	})
}
