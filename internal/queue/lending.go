package queue

import (
	"encoding/json"
	"slices"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/lending"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// newLedger returns the ledger of loans, nil where the operators have not turned lending on.
func (q *Queue) newLedger(config *settings.Lending) *lending.Ledger {
	if config == nil {
		return nil
	}
	adapter := lendingAdapter{queue: q}
	return lending.NewLedger(q.state,
		lending.Config{
			ValueBytes:  q.config.MaxValueBytes,
			RepeatAfter: jobs.Seconds(config.AgainS),
			ByPriority:  config.ByPriority,
			Log:         q.config.Log,
		},
		lending.Collaborators{Records: adapter, Calendar: adapter, Placement: adapter},
	)
}

// lendingAdapter is the queue as the ledger of loans sees it.
type lendingAdapter struct{ queue *Queue }

// Busy tells whether a record is under a transaction.
func (a lendingAdapter) Busy(key string) bool { return a.queue.commits.Busy(key) }

// MayBegin tells whether a job's tasks may start now by the release calendar.
func (a lendingAdapter) MayBegin(spec *jobs.Spec) bool { return a.queue.MayBegin(spec) }

// Ready tells whether a machine takes new tasks.
func (a lendingAdapter) Ready(machine *clusterstate.Machine) bool {
	return a.queue.machines.Ready(machine)
}

// FitsElsewhere tells whether a replica finds room on another machine that has its image.
func (a lendingAdapter) FitsElsewhere(replica *clusterstate.Task) bool {
	zones := a.queue.state.TasksByZone(replica.Job)
	zones[replica.Zone]--
	machine := a.queue.FindMachine(replica.WithoutPreference(), zones)
	if machine == "" || machine == replica.Machine {
		return false
	}
	return a.queue.state.HasImage(machine, replica.Job.Record.Spec.Image)
}

// Prefixes returns the store prefixes of loan records, nil if nothing is lent.
func (q *Queue) Prefixes() []string {
	if q.loans == nil {
		return nil
	}
	return []string{lending.Prefix}
}

// ApplyLoans takes in a record of loans; nil removes it.
func (q *Queue) ApplyLoans(key string, value json.RawMessage) {
	if q.loans != nil {
		q.loans.ApplyRecord(key, value)
	}
}

// cycleLoans is what a scheduling cycle keeps of loans: capacity reserved for one job only, and the
// machine on which room is made for a replica.
type cycleLoans struct {
	reservations map[string][]*loanReservation // by job
	byTask       map[string]lending.Loan
	requestCount int // searches for a lender
}

// loanReservation is capacity kept for a loan. It is blocked while the cycle counts it as used.
type loanReservation struct {
	lending.KeptRoom
	blocked bool
}

// reconcileLoans reconciles the loans with what runs, and blocks their reservations for all but the
// jobs that they are for.
func (q *Queue) reconcileLoans(cycle *schedulingCycle) {
	if q.loans == nil {
		return
	}
	waits := map[string]bool{}
	for _, waiting := range q.Waiting {
		waits[waiting.Task.Job.ID] = true
	}
	settled := q.loans.Reconcile(cycle.account, func(jobID string) bool { return waits[jobID] })
	cycle.decisions = append(cycle.decisions, settled...)
	cycle.loans = cycleLoans{
		reservations: map[string][]*loanReservation{},
		byTask:       map[string]lending.Loan{},
	}
	for _, loan := range q.loans.Loans() {
		if loan.ForBorrower() {
			cycle.loans.byTask[jobs.TaskID(loan.Job, loan.TaskIndex)] = loan
		}
	}
	for _, room := range q.loans.Rooms() {
		r := &loanReservation{KeptRoom: room}
		cycle.loans.reservations[room.Job] = append(cycle.loans.reservations[room.Job], r)
		cycle.heldMachines[room.Machine] = true // and not held for another job
		q.block(r)
	}
	// Before anything else is examined: what this cycle holds for others would be in the way on a
	// machine where room was made for a borrower.
	for _, jobID := range clusterstate.SortedKeys(cycle.loans.reservations) {
		if job := q.state.Queued[jobID]; job != nil && q.budget.Allows(cycle.writeCount(), 1) {
			q.placeBorrowers(job, cycle)
		}
	}
}

// block keeps reserved capacity from others: for a replica as long as it has no place, for a lender
// where there is room.
func (q *Queue) block(r *loanReservation) {
	if r.TaskID != "" {
		_, booked := q.state.Reservations[r.TaskID]
		r.blocked = !booked
	} else {
		m := q.state.Machines[r.Machine]
		r.blocked = m != nil && q.state.MachineTypes[m.MachineType] != nil && q.freeCapacity(m).Fits(r.Resources)
	}
	if r.blocked {
		q.state.AllocateResources(r.Machine, r.Resources)
	}
}

// unblock ends block for a moment.
func (q *Queue) unblock(r *loanReservation) {
	if r.blocked {
		r.blocked = false
		q.state.FreeResources(r.Machine, r.Resources)
	}
}

// unblockLent lets a job use the capacity that it lent and that is its own again.
func (q *Queue) unblockLent(jobID string, cycle *schedulingCycle) {
	for _, r := range cycle.loans.reservations[jobID] {
		if r.TaskID == "" {
			q.unblock(r)
		}
	}
}

// blockLent keeps what is left of it after the job was examined.
func (q *Queue) blockLent(jobID string, cycle *schedulingCycle) {
	for _, r := range cycle.loans.reservations[jobID] {
		if !r.blocked {
			q.block(r)
		}
	}
}

// placeBorrowers places replicas where room was made for them, each by itself: it matters here
// which of a job's tasks goes where.
func (q *Queue) placeBorrowers(job *clusterstate.Job, cycle *schedulingCycle) {
	spec := &job.Record.Spec
	for _, r := range cycle.loans.reservations[job.ID] {
		m := q.state.Machines[r.Machine]
		if r.TaskID == "" || !r.blocked || m == nil || q.state.MachineTypes[m.MachineType] == nil {
			continue
		}
		task := q.waitingTask(job, r.TaskID)
		if task == nil || !q.canPropose(task, m) ||
			!clusterstate.ZoneAllowed(spec, q.state.TasksByZone(job), m.Zone) ||
			!cycle.account.Allows(q.state.QuotaLeaf(spec), spec.Amount(), 1) {
			continue
		}
		q.unblock(r)
		if q.freeCapacity(m).Fits(spec.Resources()) {
			cycle.account.Charge(spec.QuotaKey(), spec.Amount(), 1)
			cycle.decisions = append(cycle.decisions, q.releaseDecisions(job, []placement{{task, r.Machine}})...)
		}
		q.block(r)
	}
}

// waitingTask returns a task of a job by its ID, nil unless it waits and may be released now.
func (q *Queue) waitingTask(job *clusterstate.Job, taskID string) *clusterstate.Task {
	for _, task := range q.pendingTasks(job, job.Record.Spec.TaskCount) {
		if task.ID == taskID {
			return task
		}
	}
	return nil
}

// withoutBorrowers leaves out the tasks that room is being made for: if they took what is free
// elsewhere, others would have been preempted in vain. This ends after tuning.LoanSooner, since a
// lender may hang.
func (q *Queue) withoutBorrowers(tasks []*clusterstate.Task, cycle *schedulingCycle) []*clusterstate.Task {
	return slices.DeleteFunc(tasks, func(task *clusterstate.Task) bool {
		loan, requested := cycle.loans.byTask[task.ID]
		return requested && q.waitsForLoan(loan)
	})
}

// requestLoan makes others lend capacity to a replica, on a machine with its image if onlyCached,
// within withinS seconds if that is not 0. It reports whether one does.
func (q *Queue) requestLoan(waiting *Waiting, onlyCached bool, withinS float64, cycle *schedulingCycle) bool {
	task := waiting.Task
	_, requested := cycle.loans.byTask[task.ID]
	if requested || cycle.loans.requestCount >= tuning.MaxLendingSearches {
		return requested
	}
	cycle.loans.requestCount++
	zones := waiting.zones
	if zones == nil {
		zones = q.zonesWithLoans(task.Job, cycle)
	}
	// What the cycle has charged is only considered: who is beyond a guarantee is counted from what
	// really runs.
	decision, plan, ok := q.loans.Request(&lending.Search{
		Task:           task,
		Priority:       waiting.Priority,
		Entitled:       waiting.Entitled,
		Account:        lending.AccountWithoutLeaving(q.state, q.state.Account, cycle.stopping),
		Zones:          zones,
		OnlyWithImage:  onlyCached,
		MaxStartDelayS: withinS,
		Open:           func(m *clusterstate.Machine) bool { return q.canPropose(task, m) },
		Stopping:       cycle.stopping,
	})
	if !ok {
		return false
	}
	for _, lender := range plan.Tasks {
		cycle.stopping[lender] = true
	}
	cycle.loans.byTask[task.ID] = lending.Loan{
		Job:       task.Job.ID,
		TaskIndex: task.Index,
		Machine:   plan.Machine,
		BeganMs:   q.state.NowMs(),
	}
	q.preemptions[task.ID] = pendingPreemption{q.state.Now.Add(tuning.PreemptAgain), onlyCached}
	zones[q.state.Machines[plan.Machine].Zone]++                  // for the tasks that the cycle places next
	cycle.hold(q, plan.Machine, task.Job.Record.Spec.Resources()) // no other task gets this capacity
	cycle.decisions = append(cycle.decisions, decision)
	return true
}

// zonesWithLoans counts a job's tasks by zone, with those that room is being made for and that look
// nowhere else: another task that took their zone meanwhile would leave them none.
func (q *Queue) zonesWithLoans(job *clusterstate.Job, cycle *schedulingCycle) map[string]int {
	zones := q.state.TasksByZone(job)
	for _, loan := range cycle.loans.byTask {
		m := q.state.Machines[loan.Machine]
		if loan.Job == job.ID && m != nil && q.waitsForLoan(loan) {
			zones[m.Zone]++
		}
	}
	return zones
}

// waitsForLoan reports whether a loan is so recent that its borrower looks for no other place.
func (q *Queue) waitsForLoan(loan lending.Loan) bool {
	return q.state.NowMs()-loan.BeganMs < tuning.LoanSooner.Milliseconds()
}

// imagePullSeconds returns how long a machine would pull a job's image. Where loans are used, a
// replica's pull takes longer on a machine that pulls other images.
func (q *Queue) imagePullSeconds(m *clusterstate.Machine, machineType *jobs.MachineType, spec *jobs.Spec) float64 {
	if q.loans != nil && spec.Kind == jobs.Service {
		return lending.ImagePullS(q.state, q.state.Now, m, machineType, spec)
	}
	return spec.ImageGB / machineType.ImageGBPerS
}

// awaitCachedLoan reports whether a replica should wait until a machine that holds its image is
// vacated, rather than pull the image on one that is free: when that is sooner by more than
// tuning.LoanSooner. It requests the loan.
func (q *Queue) awaitCachedLoan(waiting *Waiting, machineName string, cycle *schedulingCycle) bool {
	task := waiting.Task
	spec := &task.Job.Record.Spec
	m := q.state.Machines[machineName]
	machineType := q.state.MachineTypes[m.MachineType]
	if q.state.HasImage(machineName, spec.Image) || machineType.ImageGBPerS <= 0 {
		return false
	}
	soonerThanS := q.imagePullSeconds(m, machineType, spec) - tuning.LoanSooner.Seconds()
	if loan, requested := cycle.loans.byTask[task.ID]; requested {
		waitedMs := float64(q.state.NowMs() - loan.BeganMs)
		return q.state.HasImage(loan.Machine, spec.Image) && waitedMs < soonerThanS*1000
	}
	if soonerThanS <= 0 || q.state.Now.Before(q.preemptions[task.ID].until) {
		return false
	}
	return q.requestLoan(waiting, true, soonerThanS, cycle)
}
