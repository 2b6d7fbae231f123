package queue

import (
	"maps"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/lending"
	"github.com/harrierreel/harrierreel/internal/preempt"
	"github.com/harrierreel/harrierreel/internal/quotareclaim"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// pendingPreemption is a preemption in progress that frees capacity for a task.
type pendingPreemption struct {
	until         time.Time // no other preemption for the task before this time
	onCachedImage bool      // it frees a machine that has the task's image cached
	machine       string    // the machine on which capacity is freed, "" where quota is reclaimed
	entitled      bool      // a guarantee covers the task
}

// hasPlacedBelowPriority reports whether a task of a lower priority is placed on any machine.
func (q *Queue) hasPlacedBelowPriority(priority int) bool {
	for _, count := range q.state.PlacedByPriority[priority+1:] {
		if count > 0 {
			return true
		}
	}
	return false
}

// preempt frees capacity for waiting tasks by preempting tasks of lower priority and, for tasks
// covered by their team's guarantee, also tasks that other teams run beyond theirs. Tasks are
// preempted on one machine at a time for a waiting task, and not again until tuning.PreemptInterval
// has passed.
func (q *Queue) preempt(cycle *schedulingCycle) {
	for _, waiting := range q.Waiting {
		mayPreempt := waiting.isEntitled() || q.hasPlacedBelowPriority(waiting.Priority)
		if !mayPreempt || waiting.Task.Job.Record.Spec.IsGang() || waiting.WindowOpensSoon {
			continue
		}
		for _, task := range waiting.Tasks {
			_, requested := cycle.loans.byTask[task.ID]
			if requested || q.state.Now.Before(q.preemptions[task.ID].until) {
				continue
			}
			q.preemptFor(&Waiting{Task: task, Priority: waiting.Priority, Entitled: waiting.Entitled}, false, cycle)
		}
	}
	maps.DeleteFunc(q.preemptions, func(_ string, p pendingPreemption) bool { return q.state.Now.After(p.until) })
	maps.DeleteFunc(q.holds, func(_ string, held heldCapacity) bool {
		return q.state.Now.Sub(held.chosenAt) > tuning.HoldInterval
	})
}

// preemptFor preempts tasks or requests a loan to free capacity for a waiting task, and reports
// whether it did.
func (q *Queue) preemptFor(waiting *Waiting, onlyCached bool, cycle *schedulingCycle) bool {
	task := waiting.Task
	if q.loans != nil && task.Job.Record.Spec.Kind == jobs.Service {
		if !onlyCached && q.requestLoan(waiting, false, 0, cycle) {
			return true
		}
		if !q.loans.ByPriority {
			return false
		}
	}
	if cycle.victimSearches >= tuning.MaxPreemptionSearches {
		return false
	}
	cycle.victimSearches++
	victims := preempt.Victims(q.state, preempt.Search{
		Task:          task,
		Priority:      waiting.Priority,
		Entitled:      waiting.Entitled,
		Account:       lending.AccountWithoutStopping(q.state, q.state.Account, cycle.stopping),
		Zones:         q.state.TasksByZone(task.Job),
		OnlyWithImage: onlyCached,
		CanPlaceOn:    func(m *clusterstate.Machine) bool { return q.canSchedule(task, m) },
		InTransaction: q.commits.Busy,
		Stopping:      cycle.stopping,
	})
	stop := jobs.TaskEvent{Kind: jobs.Stop, Reason: "makes room for " + task.ID}
	stoppedOn := ""
	for _, victim := range victims {
		if next, ok := jobs.NextTask(victim.Task, stop); ok {
			cycle.decisions = append(cycle.decisions, decide.Decision{Changes: decide.TransitionTask(victim, next)})
			cycle.stopping[victim] = true
			stoppedOn = victim.Machine
		}
	}
	if stoppedOn != "" {
		q.preemptions[task.ID] = pendingPreemption{
			until:         q.state.Now.Add(tuning.PreemptInterval),
			onCachedImage: onlyCached,
			machine:       stoppedOn,
			entitled:      waiting.isEntitled(),
		}
	}
	return stoppedOn != ""
}

// awaitCachedMachine reports whether a task should wait briefly for capacity on a machine that has
// its image cached instead of starting on one that must pull the image first. That is the case if
// the pull would make the task miss its objective and tasks can be preempted on a machine with the
// image. Meanwhile, capacity is held on the machine without the image. With lending enabled, a
// replica may also wait for a loan (see awaitCachedLoan).
func (q *Queue) awaitCachedMachine(waiting *Waiting, machineName string, cycle *schedulingCycle) bool {
	spec := &waiting.Task.Job.Record.Spec
	awaits := q.loans != nil && spec.Kind == jobs.Service && q.awaitCachedLoan(waiting, machineName, cycle) ||
		q.awaitCachedByPreemption(waiting, machineName, cycle)
	if awaits {
		cycle.hold(q, machineName, spec.Resources())
	}
	return awaits
}

// awaitCachedByPreemption implements awaitCachedMachine for preemption, without loans.
func (q *Queue) awaitCachedByPreemption(waiting *Waiting, machineName string, cycle *schedulingCycle) bool {
	record := waiting.Task.Job.Record
	if (waiting.Priority > 1 && !waiting.isEntitled()) || q.state.HasImage(machineName, record.Spec.Image) {
		return false
	}
	imageGBPerS := q.state.MachineTypes[q.state.Machines[machineName].MachineType].ImageGBPerS
	startByMs := q.nextStartObjective(record, waiting.isEntitled())
	if imageGBPerS <= 0 || startByMs < q.state.NowMs() ||
		q.state.NowMs()+int64(record.Spec.ImageGB/imageGBPerS*1000) <= startByMs {
		return false
	}
	if pending := q.preemptions[waiting.Task.ID]; q.state.Now.Before(pending.until) {
		// Capacity is being freed. If that takes longer than tuning.PreemptionWait, the task starts
		// elsewhere. Until then capacity on the machine already found is held, because other tasks
		// would take it.
		return pending.onCachedImage && pending.until.Sub(q.state.Now) >= tuning.PreemptInterval-tuning.PreemptionWait
	}
	return q.preemptFor(waiting, true, cycle)
}

// reclaimQuota preempts tasks that run on borrowed quota if only those keep a job from using its
// guarantee: in a nested quota tree, the job may have reached a limit that it shares with other
// teams.
func (q *Queue) reclaimQuota(job *clusterstate.Job, cycle *schedulingCycle) {
	spec := &job.Record.Spec
	leaf := q.state.QuotaLeaf(spec)
	entitled := cycle.account.Entitled(leaf, spec.Amount(), 1)
	if entitled < 0 || !cycle.account.Tree().Nested() || q.state.Now.Before(q.preemptions[job.ID].until) {
		return
	}
	count := 0
	wanted := min(q.startableCount(job), tuning.MaxReclaimTasks)
	trial := cycle.account.Clone()
	for count < wanted && trial.Entitled(leaf, spec.Amount(), 1) >= 0 {
		trial.Charge(spec.QuotaKey(), spec.Amount(), 1)
		count++
	}
	for _, s := range quotareclaim.PlanForGuarantee(q.state, cycle.account, entitled, spec, count) {
		next, ok := jobs.Withdraw(s.Task.Task, "gives back of "+s.Path+" what "+job.ID+" is guaranteed")
		if !ok || cycle.stopping[s.Task] || q.commits.Busy(s.Task.StoredIn.Key) {
			continue
		}
		cycle.decisions = append(cycle.decisions, decide.Decision{Changes: decide.TransitionTask(s.Task, next)})
		cycle.stopping[s.Task] = true
		q.preemptions[job.ID] = pendingPreemption{until: q.state.Now.Add(tuning.ReclaimEvery)}
	}
}
