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

// newLedger returns the ledger of loans, or nil if the operators have not enabled lending.
func (q *Queue) newLedger(config *settings.Lending) *lending.Ledger {
	if config == nil {
		return nil
	}
	adapter := lendingAdapter{queue: q}
	return lending.NewLedger(q.state,
		lending.Config{
			ValueBytes:  q.config.MaxValueBytes,
			RepeatAfter: jobs.Seconds(config.LendIntervalS),
			ByPriority:  config.ByPriority,
			Log:         q.config.Log,
		},
		lending.Collaborators{Transactions: adapter, Calendar: adapter, Placement: adapter},
	)
}

// lendingAdapter implements the interfaces that the ledger of loans needs from the queue.
type lendingAdapter struct{ queue *Queue }

// Busy reports whether a transaction on the record of key is in flight.
func (a lendingAdapter) Busy(key string) bool { return a.queue.commits.Busy(key) }

// MayBegin reports whether the calendar allows a job's tasks to start now.
func (a lendingAdapter) MayBegin(spec *jobs.Spec) bool { return a.queue.MayBegin(spec) }

// Ready reports whether a machine accepts new tasks.
func (a lendingAdapter) Ready(machine *clusterstate.Machine) bool {
	return a.queue.machines.Ready(machine)
}

// FitsElsewhere reports whether a replica fits on another machine that has its image cached.
func (a lendingAdapter) FitsElsewhere(replica *clusterstate.Task) bool {
	zones := a.queue.state.TasksByZone(replica.Job)
	zones[replica.Zone]--
	machine := a.queue.FindMachine(replica.WithoutPreference(), zones)
	if machine == "" || machine == replica.Machine {
		return false
	}
	return a.queue.state.HasImage(machine, replica.Job.Record.Spec.Image)
}

// Prefixes returns the key prefixes of loan records in the store, or nil if lending is off.
func (q *Queue) Prefixes() []string {
	if q.loans == nil {
		return nil
	}
	return []string{lending.Prefix}
}

// ApplyLoans applies a record of loans; nil removes it.
func (q *Queue) ApplyLoans(key string, value json.RawMessage) {
	if q.loans != nil {
		q.loans.ApplyRecord(key, value)
	}
}

// cycleLoans is the state of loans in a scheduling cycle: capacity that is reserved for one job
// only, and the loan requested for each replica.
type cycleLoans struct {
	reservations map[string][]*loanReservation // by job
	byTask       map[string]lending.Loan
	requestCount int // searches for lenders so far
}

// loanReservation is capacity reserved for a loan. It is blocked while the cycle counts it as used.
type loanReservation struct {
	lending.ReservedRoom
	blocked bool
}

// reconcileLoans reconciles the loans with the running tasks, and blocks their reservations for all
// jobs except those that they are for.
func (q *Queue) reconcileLoans(cycle *schedulingCycle) {
	if q.loans == nil {
		return
	}
	waitingJobs := map[string]bool{}
	for _, waiting := range q.Waiting {
		waitingJobs[waiting.Task.Job.ID] = true
	}
	settled := q.loans.Reconcile(cycle.account, func(jobID string) bool { return waitingJobs[jobID] })
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
	for _, reserved := range q.loans.Reservations() {
		r := &loanReservation{ReservedRoom: reserved}
		cycle.loans.reservations[reserved.Job] = append(cycle.loans.reservations[reserved.Job], r)
		cycle.heldMachines[reserved.Machine] = true // so that it is not held for another job
		q.block(r)
	}
	// Borrowers are placed before any other job is examined, because capacity that the cycle holds
	// for other jobs could block a machine on which capacity was freed for a borrower.
	for _, jobID := range clusterstate.SortedKeys(cycle.loans.reservations) {
		if job := q.state.Queued[jobID]; job != nil && q.budget.Allows(cycle.writeCount(), 1) {
			q.placeBorrowers(job, cycle)
		}
	}
}

// block makes reserved capacity unavailable to other jobs. Capacity for a replica is blocked until
// the replica has a reservation of its own, and capacity for a lender only while it is free.
func (q *Queue) block(r *loanReservation) {
	if r.TaskID != "" {
		_, reserved := q.state.Reservations[r.TaskID]
		r.blocked = !reserved
	} else {
		m := q.state.Machines[r.Machine]
		r.blocked = m != nil && q.state.MachineTypes[m.MachineType] != nil && q.freeCapacity(m).Fits(r.Resources)
	}
	if r.blocked {
		q.state.AllocateResources(r.Machine, r.Resources)
	}
}

// unblock makes blocked capacity available again.
func (q *Queue) unblock(r *loanReservation) {
	if r.blocked {
		r.blocked = false
		q.state.FreeResources(r.Machine, r.Resources)
	}
}

// unblockReturned lets a job use capacity that it lent and that has been returned to it.
func (q *Queue) unblockReturned(jobID string, cycle *schedulingCycle) {
	for _, r := range cycle.loans.reservations[jobID] {
		if r.TaskID == "" {
			q.unblock(r)
		}
	}
}

// blockReturned blocks what remains of the returned capacity after the job was examined.
func (q *Queue) blockReturned(jobID string, cycle *schedulingCycle) {
	for _, r := range cycle.loans.reservations[jobID] {
		if !r.blocked {
			q.block(r)
		}
	}
}

// placeBorrowers places replicas on the machines where capacity was freed for them. Each is
// released by its own decision, because here it matters which of a job's tasks goes where.
func (q *Queue) placeBorrowers(job *clusterstate.Job, cycle *schedulingCycle) {
	spec := &job.Record.Spec
	for _, r := range cycle.loans.reservations[job.ID] {
		m := q.state.Machines[r.Machine]
		if r.TaskID == "" || !r.blocked || m == nil || q.state.MachineTypes[m.MachineType] == nil {
			continue
		}
		task := q.waitingTask(job, r.TaskID)
		if task == nil || !q.canSchedule(task, m) ||
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

// waitingTask returns the task of a job with the given ID, or nil if it does not wait or may not be
// released now.
func (q *Queue) waitingTask(job *clusterstate.Job, taskID string) *clusterstate.Task {
	for _, task := range q.pendingTasks(job, job.Record.Spec.TaskCount) {
		if task.ID == taskID {
			return task
		}
	}
	return nil
}

// withoutBorrowers removes the tasks for which capacity is being freed by a loan: if they used free
// capacity elsewhere, the lenders would have been stopped for nothing. A borrower is included again
// after tuning.LoanMinSaving, because a lender may hang.
func (q *Queue) withoutBorrowers(tasks []*clusterstate.Task, cycle *schedulingCycle) []*clusterstate.Task {
	return slices.DeleteFunc(tasks, func(task *clusterstate.Task) bool {
		loan, requested := cycle.loans.byTask[task.ID]
		return requested && q.waitsForLoan(loan)
	})
}

// requestLoan requests that other tasks lend capacity to a replica: on a machine with its image
// cached if onlyCached is set, and within maxStartDelayS seconds if that is not 0. It reports
// whether a loan was requested, now or earlier.
func (q *Queue) requestLoan(waiting *Waiting, onlyCached bool, maxStartDelayS float64, cycle *schedulingCycle) bool {
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
	// The charges of this cycle are only proposals. Which teams exceed their guarantee is
	// determined by the tasks that actually run.
	decision, plan, ok := q.loans.Request(&lending.Search{
		Task:           task,
		Priority:       waiting.Priority,
		Entitled:       waiting.Entitled,
		Account:        lending.AccountWithoutStopping(q.state, q.state.Account, cycle.stopping),
		Zones:          zones,
		OnlyWithImage:  onlyCached,
		MaxStartDelayS: maxStartDelayS,
		CanPlaceOn:     func(m *clusterstate.Machine) bool { return q.canSchedule(task, m) },
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
	q.preemptions[task.ID] = pendingPreemption{until: q.state.Now.Add(tuning.PreemptInterval), onCachedImage: onlyCached}
	zones[q.state.Machines[plan.Machine].Zone]++                  // so that tasks placed later in the cycle see it
	cycle.hold(q, plan.Machine, task.Job.Record.Spec.Resources()) // no other task may use this capacity
	cycle.decisions = append(cycle.decisions, decision)
	return true
}

// zonesWithLoans counts a job's tasks by zone. The count includes borrowers that wait only for
// their loan: if another task took their place in the zone meanwhile, the zone constraints might
// exclude the borrower.
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

// waitsForLoan reports whether a loan is so recent that its borrower does not look for capacity
// elsewhere.
func (q *Queue) waitsForLoan(loan lending.Loan) bool {
	return q.state.NowMs()-loan.BeganMs < tuning.LoanMinSaving.Milliseconds()
}

// imagePullSeconds returns the time that a machine needs to pull a job's image. With lending
// enabled, the estimate for a replica takes into account other pulls on the machine.
func (q *Queue) imagePullSeconds(m *clusterstate.Machine, machineType *jobs.MachineType, spec *jobs.Spec) float64 {
	if q.loans != nil && spec.Kind == jobs.Service {
		return lending.ImagePullS(q.state, q.state.Now, m, machineType, spec)
	}
	return spec.ImageGB / machineType.ImageGBPerS
}

// awaitCachedLoan reports whether a replica should wait for a loan on a machine that has its image
// cached instead of pulling the image on a machine that is free: if that is faster by more than
// tuning.LoanMinSaving. It requests the loan.
func (q *Queue) awaitCachedLoan(waiting *Waiting, machineName string, cycle *schedulingCycle) bool {
	task := waiting.Task
	spec := &task.Job.Record.Spec
	m := q.state.Machines[machineName]
	machineType := q.state.MachineTypes[m.MachineType]
	if q.state.HasImage(machineName, spec.Image) || machineType.ImageGBPerS <= 0 {
		return false
	}
	maxStartDelayS := q.imagePullSeconds(m, machineType, spec) - tuning.LoanMinSaving.Seconds()
	if loan, requested := cycle.loans.byTask[task.ID]; requested {
		waitedMs := float64(q.state.NowMs() - loan.BeganMs)
		return q.state.HasImage(loan.Machine, spec.Image) && waitedMs < maxStartDelayS*1000
	}
	if maxStartDelayS <= 0 || q.state.Now.Before(q.preemptions[task.ID].until) {
		return false
	}
	return q.requestLoan(waiting, true, maxStartDelayS, cycle)
}
