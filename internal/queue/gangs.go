package queue

import (
	"maps"
	"slices"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/gangs"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/sharding"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// releaseGang releases a gang that has no active tasks, to a single shard if one can hold all of
// it, otherwise across shards. A gang that is only partly active is withdrawn.
func (q *Queue) releaseGang(job *clusterstate.Job, cycle *schedulingCycle) {
	spec := &job.Record.Spec
	if q.HasClaim(job.ID) {
		return
	}
	if gangs.PhaseOf(spec.TaskCount, taskRecords(job)) == gangs.Partial {
		withdrawGang(job, cycle)
		return
	}
	tasks, attempt := q.startableGangTasks(job)
	if tasks == nil {
		return
	}
	probing := q.state.Trust(job, "") == jobs.Probing
	if probing && q.inBackoff(tasks, attempt) {
		return
	}
	leaf := q.state.QuotaLeaf(spec)
	if !cycle.account.Allows(leaf, spec.Amount(), spec.TaskCount) {
		if q.Overdue(job) && cycle.account.Tree().EverAllows(leaf, spec.Amount(), spec.TaskCount) {
			// As for single tasks, the rest of the team's quota is kept free for it.
			cycle.quotaLeavesAtLimit[leaf] = true
		}
		cycle.rounds.overLimit = append(cycle.rounds.overLimit, job)
		return
	}
	entitled := cycle.account.Entitled(leaf, spec.Amount(), spec.TaskCount)
	cycle.account.Charge(spec.QuotaKey(), spec.Amount(), spec.TaskCount)
	placements, oneShard := q.fitGang(tasks, cycle)
	switch {
	case placements != nil:
		delete(q.noCapacitySince, job.ID)
		q.startGang(job, tasks, placements, oneShard, attempt, cycle)
	case cycle.rounds.inSecondRound:
		cycle.account.Charge(spec.QuotaKey(), spec.Amount(), -spec.TaskCount)
	case !probing:
		q.addWaitingGang(job, tasks[0], entitled, cycle)
	}
}

// withdrawGang unassigns or stops the tasks of a gang of which only some are active, because part
// of a gang cannot make progress.
func withdrawGang(job *clusterstate.Job, cycle *schedulingCycle) {
	for _, index := range slices.Sorted(maps.Keys(job.Tasks)) {
		task := job.Tasks[index]
		if next, ok := jobs.Withdraw(task.Task, jobs.ReasonGangNotWhole); ok {
			cycle.decisions = append(cycle.decisions, decide.Decision{Changes: decide.TransitionTask(task, next)})
		}
	}
}

// inBackoff reports whether a gang that is being probed is still in backoff before its next
// attempt.
func (q *Queue) inBackoff(tasks []*clusterstate.Task, attempt uint64) bool {
	backoff := jobs.Backoff(int(min(attempt, 10)))
	return slices.ContainsFunc(tasks, func(task *clusterstate.Task) bool {
		return q.state.Now.Sub(task.StateSince) < backoff
	})
}

// addWaitingGang records a gang that found no capacity. The gang keeps its position in the queue,
// and machines are held for it. For a large gang, capacity is accumulated as it becomes free.
func (q *Queue) addWaitingGang(job *clusterstate.Job, first *clusterstate.Task, entitled int, cycle *schedulingCycle) {
	spec := &job.Record.Spec
	if q.noteNoCapacity(job) {
		cycle.rounds.expired = append(cycle.rounds.expired, unplacedCharge{job, spec.TaskCount})
	}
	waiting := &Waiting{
		Task:     first,
		Count:    spec.TaskCount,
		Priority: spec.PriorityOrder(),
		Entitled: entitled,
	}
	if isLargeGang(spec) {
		accumulated, zone := q.accumulate(first, cycle)
		waiting.Count -= accumulated
		waiting.Zone = zone
		waiting.Accumulates = true
		q.Waiting = append(q.Waiting, waiting)
		return
	}
	q.Waiting = append(q.Waiting, waiting)
	held := min(spec.TaskCount, tuning.HoldEach)
	q.holdMachines(first.WithoutPreference(), held, q.state.TasksByZone(job), cycle)
}

// taskRecords returns the records of a job's tasks.
func taskRecords(job *clusterstate.Job) []*jobs.Task {
	out := make([]*jobs.Task, 0, len(job.Tasks))
	for _, task := range job.Tasks {
		out = append(out, &task.Task)
	}
	return out
}

// startableGangTasks returns all tasks of a gang that has no active tasks, and the number of its
// next attempt. It returns nil if a task is active, in backoff, or has a transaction in flight.
func (q *Queue) startableGangTasks(job *clusterstate.Job) ([]*clusterstate.Task, uint64) {
	spec := &job.Record.Spec
	records := taskRecords(job)
	if gangs.PhaseOf(spec.TaskCount, records) != gangs.Idle {
		return nil, 0
	}
	tasks := q.pendingTasks(job, spec.TaskCount)
	if len(tasks) < spec.TaskCount {
		return nil, 0
	}
	return tasks, gangs.NextAttempt(records)
}

// startGang releases or places a gang on the selected machines: in one transaction if possible,
// otherwise the machines are claimed first.
func (q *Queue) startGang(
	job *clusterstate.Job,
	tasks []*clusterstate.Task,
	placements []placement,
	oneShard bool,
	attempt uint64,
	cycle *schedulingCycle,
) {
	spec := &job.Record.Spec
	// If the leader places the tasks itself, one transaction can cover machines of several shards.
	if (oneShard || q.placesAllDirectly(placements)) && q.fitsOneTxn(spec, placements) {
		if decision, ok := q.releaseGangDecision(job, placements); ok {
			cycle.decisions = append(cycle.decisions, decision)
			return
		}
	}
	machines := make([]string, len(placements))
	for i, p := range placements {
		machines[i] = p.machine
		cycle.hold(q, p.machine, spec.Resources())
	}
	q.claimGang(job, tasks, machines, attempt)
}

// fitsOneTxn reports whether one transaction can place a gang, with a precondition for each machine
// and the records of all tasks. The shard to which a gang is released places it in one decision; a
// larger gang is placed on claimed machines, in several decisions.
func (q *Queue) fitsOneTxn(spec *jobs.Spec, placements []placement) bool {
	machines := map[string]bool{}
	for _, p := range placements {
		machines[p.machine] = true
	}
	// The preconditions on the view, the fence, the quotas, the claims and the job, and on one more
	// task range if the first one does not start with the first task.
	others := 6 + q.config.ExtraPreconditions
	taskRanges := spec.TaskCount/q.config.MaxRangeTasks + 1
	return len(machines)+taskRanges+others <= q.config.MaxTxnWrites*tuning.PreconditionsPerOp &&
		spec.TaskCount*tuning.RangeTaskBytes <= tuning.TxnBytes
}

// placesAllDirectly reports whether the leader may place all tasks of a gang itself.
func (q *Queue) placesAllDirectly(placements []placement) bool {
	return !slices.ContainsFunc(placements, func(p placement) bool {
		return !q.placesDirectly(p.task, q.state.Machines[p.machine])
	})
}

// releaseGangDecision returns the single decision that releases all tasks of a gang to the shard of
// their machines, or places them at once if the leader may place all of them. It returns false, and
// reserves nothing, if one transaction cannot hold the decision.
func (q *Queue) releaseGangDecision(job *clusterstate.Job, placements []placement) (decide.Decision, bool) {
	combined := combinedDecision{readSet: []string{jobs.JobPrefix + job.ID}}
	placesDirectly := placeRule(always)
	if !q.placesAllDirectly(placements) {
		placesDirectly = never
	}
	var lastAttempt uint64
	for _, p := range placements {
		lastAttempt = max(lastAttempt, p.task.Attempt)
	}
	var newTasks []*clusterstate.Task
	var machines []string
	for _, p := range placements {
		if p.task.StoredIn == nil {
			newTasks, machines = append(newTasks, p.task), append(machines, p.machine)
			continue
		}
		part, ok := q.gangTaskDecision(p, placesDirectly, lastAttempt+1)
		if !ok {
			combined.settle(false)
			return combined.decision(), false
		}
		combined.add(part)
	}
	for len(newTasks) > 0 {
		count := q.consecutiveCount(newTasks, len(newTasks))
		combined.add(q.newTaskRangeDecision(job, newTasks[:count], machines[:count], placesDirectly, lastAttempt+1))
		newTasks, machines = newTasks[count:], machines[count:]
	}
	decision := combined.decision()
	if len(decision.Keys()) > q.config.MaxTxnWrites {
		combined.settle(false)
		return decision, false
	}
	return decision, true
}

// gangTaskDecision returns the decision for a gang's task that already has a record: it is placed
// at once, or released to the shard of the machine.
func (q *Queue) gangTaskDecision(p placement, placesDirectly placeRule, attempt uint64) (decide.Decision, bool) {
	m := q.state.Machines[p.machine]
	if placesDirectly(p.task, m) {
		return q.placeDecision(p.task, p.machine, m.Zone, attempt)
	}
	next, ok := q.releasedTask(p.task, m)
	if !ok {
		return decide.Decision{}, false
	}
	taskID := p.task.ID
	return decide.Decision{
		Changes:   decide.TransitionTask(p.task, next),
		OnSettled: func(bool) { q.state.Unreserve(taskID) },
	}, true
}

// combinedDecision combines several decisions into one, so that one transaction commits all of them
// or none.
type combinedDecision struct {
	changes   []decide.Change
	writes    []store.Write
	readSet   []string
	onSettled []func(bool)
}

// add adds a decision. Each key is in the combined read set only once.
func (d *combinedDecision) add(part decide.Decision) {
	var newKeys []string
	for _, key := range part.ReadSet {
		if !slices.Contains(d.readSet, key) && !slices.Contains(newKeys, key) {
			newKeys = append(newKeys, key)
		}
	}
	part.ReadSet = newKeys
	d.addWithReads(part)
}

// addWithReads adds a decision with all of its read set, including keys that are there already:
// each of them counts toward the estimated preconditions of a transaction.
func (d *combinedDecision) addWithReads(part decide.Decision) {
	d.changes = append(d.changes, part.Changes...)
	d.writes = append(d.writes, part.Writes...)
	d.readSet = append(d.readSet, part.ReadSet...)
	d.onSettled = append(d.onSettled, part.OnSettled)
}

// settle tells the combined decisions whether they were committed.
func (d *combinedDecision) settle(ok bool) {
	for _, onSettled := range d.onSettled {
		onSettled(ok)
	}
}

// decision returns the combined decision.
func (d *combinedDecision) decision() decide.Decision {
	return decide.Decision{Changes: d.changes, Writes: d.writes, ReadSet: d.readSet, OnSettled: d.settle}
}

// fitGang selects a machine for every task of a gang; placements is nil if the gang does not fit.
// oneShard reports whether all the machines belong to one shard.
func (q *Queue) fitGang(
	tasks []*clusterstate.Task,
	cycle *schedulingCycle,
) (placements []placement, oneShard bool) {
	task := tasks[0]
	spec := &task.Job.Record.Spec
	if cycle.knownUnplaceable(spec, spec.TaskCount) {
		return nil, false
	}
	candidates := cycle.candidates(q, task.WithoutPreference())
	if len(candidates) == 0 {
		cycle.noteUnplaceable(spec, 1)
		cycle.noteUnplaceable(spec, spec.TaskCount)
		return nil, false
	}
	zones := q.state.TasksByZone(task.Job)
	machines, oneShard, fits := gangs.Fit(
		spec,
		candidates,
		zones,
		func(i int, candidates []sharding.Candidate, zones map[string]int) int {
			return q.pickCandidate(tasks[i], candidates, zones)
		},
	)
	if !fits && len(zones) == 0 {
		cycle.noteUnplaceable(spec, spec.TaskCount)
	}
	for i, machineName := range machines {
		placements = append(placements, placement{tasks[i], machineName})
	}
	return placements, oneShard
}

// claimGang places a gang that does not fit in one transaction. Its machines are claimed in the
// store first, so that no shard places other tasks on them; then the tasks are placed; then the
// claims are dropped.
func (q *Queue) claimGang(job *clusterstate.Job, tasks []*clusterstate.Task, machines []string, attempt uint64) {
	unique := slices.Clone(machines)
	slices.Sort(unique)
	q.claimMachines(job.ID, slices.Compact(unique), func(ok bool) {
		decisions, placed := q.placeClaimed(job, tasks, machines, attempt, ok)
		if !placed {
			for _, decision := range decisions {
				decision.OnSettled(false)
			}
			delete(q.claims, job.ID)
			return
		}
		left := len(decisions)
		for i := range decisions {
			inner := decisions[i].OnSettled
			decisions[i].OnSettled = func(ok bool) {
				inner(ok)
				if left--; left == 0 {
					delete(q.claims, job.ID)
				}
			}
			// If only some of the decisions were dropped for lack of write budget, the gang would
			// be partly placed, and would be withdrawn.
			decisions[i].Urgent = true
		}
		q.commits.Commit(decisions)
	})
}

// placeClaimed returns the decisions that place a gang on the machines claimed for it. It returns
// false if the claims, the quota or the capacity are missing; the caller then settles the decisions
// returned.
func (q *Queue) placeClaimed(
	job *clusterstate.Job,
	tasks []*clusterstate.Task,
	machines []string,
	attempt uint64,
	claimed bool,
) ([]decide.Decision, bool) {
	if !claimed || job.Record == nil {
		return nil, false
	}
	// Other jobs may have been charged while the claim was being written
	// (docs/incidents/claimed-gangs.md).
	spec := &job.Record.Spec
	if !q.state.Account.Allows(q.state.QuotaLeaf(spec), spec.Amount(), spec.TaskCount) {
		return nil, false
	}
	if !q.claimHasCapacity(job, machines) {
		return nil, false
	}
	var decisions []decide.Decision
	var newTasks []*clusterstate.Task
	var newTaskMachines []string
	for i, task := range tasks {
		if recorded := job.Tasks[task.Index]; recorded != nil {
			task = recorded
		}
		if task.StoredIn == nil {
			newTasks, newTaskMachines = append(newTasks, task), append(newTaskMachines, machines[i])
			continue
		}
		decision, ok := q.placeDecision(task, machines[i], q.state.Machines[machines[i]].Zone, attempt)
		if !ok {
			return decisions, false
		}
		decisions = append(decisions, decision)
	}
	for len(newTasks) > 0 {
		count := q.consecutiveCount(newTasks, len(newTasks))
		decisions = append(decisions, q.newTaskRangeDecision(job, newTasks[:count], newTaskMachines[:count], always, attempt))
		newTasks, newTaskMachines = newTasks[count:], newTaskMachines[count:]
	}
	return decisions, true
}

// claimHasCapacity reports whether the machines are claimed for a gang and have capacity for its
// tasks. machines has one entry per task.
func (q *Queue) claimHasCapacity(job *clusterstate.Job, machines []string) bool {
	resources := job.Record.Spec.Resources()
	claimed := map[string]sharding.Resources{}
	for _, machineName := range machines {
		m := q.state.Machines[machineName]
		if m == nil || q.ClaimedFor(m) != job.ID || q.state.MachineTypes[m.MachineType] == nil {
			return false
		}
		claimed[machineName] = claimed[machineName].Add(resources)
		if !q.freeCapacity(m).Fits(claimed[machineName]) {
			return false
		}
	}
	return true
}

// placeReleasedGang places a gang that was released to this shard, all tasks or none.
func (q *Queue) placeReleasedGang(job *clusterstate.Job, tasks []*clusterstate.Task) []decide.Decision {
	if len(tasks) != job.Record.Spec.TaskCount {
		return nil
	}
	attempt := gangs.NextAttempt(taskRecords(job))
	combined := combinedDecision{}
	for _, task := range tasks {
		part, ok := q.placeOne(task, attempt)
		if !ok {
			combined.settle(false)
			for _, task := range tasks {
				task.PlacementTriedAt = q.state.Now
			}
			return nil // the leader unassigns the gang (see UnassignStale)
		}
		combined.addWithReads(part)
	}
	return []decide.Decision{combined.decision()}
}
