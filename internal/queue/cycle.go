package queue

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/calendar"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/sharding"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// cycle is what one look at the queue keeps: what is being considered is
// charged, and room is kept for tasks that wait.
type schedulingCycle struct {
	account          *quota.Account
	heldMachines     map[string]bool              // machines kept for tasks that fit nowhere
	heldResources    []sharding.Resources         // room kept, to be given back when the pass ends
	heldOn           []string                     // where
	leavesAtLimit    map[int]bool                 // leaves whose next task does not fit their limits
	unplaceable      map[string][]unplaceableNeed // what found no room, by where it may go
	victimSearches   int                          // looks for tasks to stop
	stopping         map[*clusterstate.Task]bool  // to be stopped by this pass
	newlyHeldCount   int                          // machines newly chosen to be kept
	accumulatedShare float64                      // machines' room kept for large gangs
	loans            cycleLoans                   // rooms kept for loans
	decisions        []decide.Decision
	rounds           schedulingRounds
	openMachineCache []*clusterstate.Machine // those that the leader may have room on in mind
	candidateBuffer  []sharding.Candidate    // room for the board of one job after another
}

// refusal is a need that found no room in this pass, for so many tasks at once.
type unplaceableNeed struct {
	resources sharding.Resources
	taskCount int
}

// placement is a task with the machine that the leader has room in mind on.
type placement struct {
	task    *clusterstate.Task
	machine string
}

// candidates lists the machines with room for a task; it holds until the next.
func (c *schedulingCycle) candidates(q *Queue, task *clusterstate.Task) []sharding.Candidate {
	c.candidateBuffer = q.appendCandidates(
		c.candidateBuffer,
		c.openMachines(q),
		func(m *clusterstate.Machine) bool { return clusterstate.FitsTask(task, m) },
		&task.Job.Record.Spec,
	)
	return c.candidateBuffer
}

// open lists the machines that the leader may have room on in mind. It is the
// same for every job of a pass, and a look at a machine's standing costs more
// than one at its room.
func (c *schedulingCycle) openMachines(q *Queue) []*clusterstate.Machine {
	if c.openMachineCache == nil {
		for _, m := range q.state.MachinesByName() {
			if m.State == fleet.Up && q.mayPropose(m) {
				c.openMachineCache = append(c.openMachineCache, m)
			}
		}
	}
	return c.openMachineCache
}

// writes is how many records the pass's decisions write, at most.
func (c *schedulingCycle) writeCount() int {
	sum, batchEntries := 0, 0
	for i := range c.decisions {
		sum += len(c.decisions[i].Writes) + len(c.decisions[i].Changes)
		batchEntries += len(c.decisions[i].BatchEntries)
	}
	return sum + batchEntries/tuning.MaxSharedBatches
}

func (q *Queue) newCycle() *schedulingCycle {
	cycle := &schedulingCycle{
		account:       q.state.Account.Clone(),
		heldMachines:  map[string]bool{},
		leavesAtLimit: map[int]bool{},
		unplaceable:   map[string][]unplaceableNeed{},
		stopping:      map[*clusterstate.Task]bool{},
	}
	// A gang whose machines are being claimed has its share already: given away once more,
	// it is either lacking for the gang or beyond its team's limit.
	for jobID := range q.claims {
		if job := q.state.Jobs[jobID]; job != nil && job.Record != nil {
			cycle.account.Charge(job.Record.Spec.QuotaKey(), job.Record.Spec.Amount(), q.unchargedTasks(job))
		}
	}
	return cycle
}

// uncharged is how many tasks of a job are neither released nor being so.
func (q *Queue) unchargedTasks(job *clusterstate.Job) int {
	n := job.Record.Spec.TaskCount - len(job.Active)
	for _, r := range q.state.Reservations {
		if r.Task.Job == job && r.QuotaKey.Team != "" && job.Active[r.Task.Index] == nil {
			n--
		}
	}
	return n
}

// keep takes room on a machine until the pass ends.
func (c *schedulingCycle) hold(q *Queue, machineName string, need sharding.Resources) {
	q.state.AllocateResources(machineName, need)
	c.heldOn, c.heldResources = append(c.heldOn, machineName), append(c.heldResources, need)
}

// lift gives back what the pass has kept so far, and forgets what found no room beside it.
func (c *schedulingCycle) releaseHolds(q *Queue) {
	for i, machineName := range c.heldOn {
		q.state.FreeResources(machineName, c.heldResources[i])
	}
	c.heldOn, c.heldResources, c.openMachineCache = nil, nil, nil
	clear(c.unplaceable)
}

func (c *schedulingCycle) end(q *Queue) {
	for _, rooms := range c.loans.reservations {
		for _, r := range rooms {
			q.unblock(r)
		}
	}
	c.releaseHolds(q)
}

// places names where a job may go at all.
func placementScope(s *jobs.Spec, taskCount int) string {
	key := s.Zone + "/" + strings.Join(s.MachineTypes, ",")
	if s.Spot {
		key += "+"
	}
	if taskCount > 1 && s.SameZone {
		key += "="
	}
	return key
}

// hopeless tells whether the same or less found no room in this pass already.
func (c *schedulingCycle) knownUnplaceable(s *jobs.Spec, taskCount int) bool {
	if c.loans.reservations[s.ID] != nil {
		return false // room is kept for it
	}
	for _, r := range c.unplaceable[placementScope(s, taskCount)] {
		if r.taskCount <= taskCount && s.Resources().Fits(r.resources) {
			return true
		}
	}
	return false
}

// refuse notes that so many tasks of a job find no room in this pass.
func (c *schedulingCycle) noteUnplaceable(s *jobs.Spec, taskCount int) {
	key := placementScope(s, taskCount)
	c.unplaceable[key] = append(c.unplaceable[key], unplaceableNeed{s.Resources(), taskCount})
}

// Release gives tasks to parts, within each team's limit. Once its decisions
// have used up the budget it looks no further: what it would decide could not be
// committed, and with a thousand jobs of one task waiting for changes, looking
// for a place for each of them on every pass took all of a controller's
// processor time (docs/incidents/ops-swarm.md).
func (q *Queue) Release() {
	q.releaseWindowReservations()
	cycle := q.newCycle()
	q.reconcileLoans(cycle)
	stillWaiting := q.StillWaiting()
	maps.DeleteFunc(q.noCapacitySince, func(jobID string, _ time.Time) bool { return q.state.Queued[jobID] == nil })
	q.Waiting = nil
	q.dropAccumulations()
	budget, limit := q.env.Allows(0, 1), tuning.MaxReleases
	if !budget {
		limit = tuning.MaxExaminedJobs
	}
	examined := map[*clusterstate.Job]bool{}
	examinedCount := 0
	for _, job := range q.order(cycle.account) {
		if examinedCount >= limit || budget && !q.env.Allows(cycle.writeCount(), 1) {
			break
		}
		examined[job] = true
		examinedCount += q.examine(job, cycle, limit-examinedCount)
	}
	if budget {
		q.runRounds(cycle, limit-examinedCount)
	}
	q.preempt(cycle)
	// What was not looked at waits as it did; there may be room for it by now.
	for _, waiting := range stillWaiting {
		if !examined[waiting.Task.Job] {
			waiting.NotExamined = true
			q.Waiting = append(q.Waiting, waiting)
		}
	}
	if budget {
		q.examined = examined // without, what fits somewhere could not be given its place
	}
	q.serveStarving(cycle, examined)
	cycle.end(q)
	q.env.Commit(cycle.decisions)
}

// examine looks for room for a job, and returns how many tasks it looked at.
func (q *Queue) examine(job *clusterstate.Job, cycle *schedulingCycle, limit int) int {
	spec := &job.Record.Spec
	if cycle.leavesAtLimit[q.state.QuotaLeaf(spec)] {
		cycle.rounds.overLimit = append(cycle.rounds.overLimit, job)
		return 0
	}
	switch q.gate(spec) {
	case calendar.Shut:
		return 0
	case calendar.Soon:
		if cycle.rounds.second {
			return 0
		}
		return q.reserveForWindow(job, cycle, limit)
	case calendar.Free, calendar.Allowed:
	}
	q.unblockLent(job.ID, cycle)
	defer q.blockLent(job.ID, cycle)
	if spec.IsGang() {
		q.releaseGang(job, cycle)
		return 1
	}
	return q.releaseTasks(job, cycle, limit)
}

// StillWaiting lists what found no room when it was last looked at and whose
// job still waits.
func (q *Queue) StillWaiting() []*Waiting {
	return slices.DeleteFunc(
		slices.Clone(q.Waiting),
		func(waiting *Waiting) bool { return q.state.Queued[waiting.Task.Job.ID] != waiting.Task.Job },
	)
}

// releaseTasks releases what waits of a job of independent tasks or replicas,
// and returns how many tasks it looked at.
func (q *Queue) releaseTasks(job *clusterstate.Job, cycle *schedulingCycle, limit int) int {
	spec := &job.Record.Spec
	candidates, freePlaces := q.taskCandidates(job, cycle)
	probing := q.state.Trust(job, "") == jobs.Probing
	tasks := q.tasksToExamine(job, cycle, limit, freePlaces)
	if probing {
		tasks = q.probeTask(job)
	}
	if len(tasks) == 0 {
		return 1
	}
	placer := taskPlacer{
		queue:      q,
		cycle:      cycle,
		job:        job,
		tasks:      tasks,
		probing:    probing,
		zones:      q.zonesWithLoans(job, cycle),
		candidates: q.concentrate(spec, candidates, len(tasks)),
	}
	examinedCount := placer.placeAll()
	placements := placer.placements
	if len(placements) == len(tasks) {
		delete(q.noCapacitySince, job.ID)
	}
	if q.awaitsMoreCapacity(job, len(placements), freePlaces) {
		for _, o := range placements {
			cycle.hold(q, o.machine, spec.Resources())
		}
		return examinedCount
	}
	cycle.decisions = append(cycle.decisions, q.releaseDecisions(job, placements)...)
	return examinedCount
}

// taskCandidates lists the machines with room for a task of a job, and counts the tasks that they
// have room for, up to somewhat more than the job has left.
func (q *Queue) taskCandidates(job *clusterstate.Job, cycle *schedulingCycle) ([]sharding.Candidate, int) {
	spec := &job.Record.Spec
	if cycle.knownUnplaceable(spec, 1) {
		return nil, 0
	}
	candidates := cycle.candidates(q, &clusterstate.Task{Job: job})
	if len(candidates) == 0 {
		cycle.noteUnplaceable(spec, 1)
	}
	freePlaces := 0
	wanted := spec.TaskCount - job.DoneCount - len(job.Active)
	for i := 0; i < len(candidates) && freePlaces <= wanted; i++ {
		freePlaces += candidates[i].Free.HowMany(spec.Resources())
	}
	return candidates, freePlaces
}

// tasksToExamine lists the tasks of a job that a cycle looks for room for.
func (q *Queue) tasksToExamine(
	job *clusterstate.Job,
	cycle *schedulingCycle,
	limit, freePlaces int,
) []*clusterstate.Task {
	if q.Overdue(job) {
		limit = min(limit, 1+job.Record.Spec.TaskCount/tuning.BeginShare) // others behind it are overdue, too
	}
	limit = min(limit, freePlaces+tuning.WaitingEach, q.startableCount(job))
	return q.withoutBorrowers(q.pendingTasks(job, limit), cycle)
}

// wait notes tasks that found no room: they keep their turn, and a machine is
// kept for the first of them.
func (q *Queue) addWaiting(job *clusterstate.Job, tasks []*clusterstate.Task, entitled int, zones map[string]int, cycle *schedulingCycle) {
	spec := &job.Record.Spec
	if cycle.rounds.second {
		return
	}
	expired := q.lacksCapacity(job)
	count := cycle.account.More(q.state.QuotaLeaf(spec), spec.Amount(), q.startableCount(job))
	if count == 0 {
		return
	}
	cycle.account.Charge(spec.QuotaKey(), spec.Amount(), count)
	if expired {
		cycle.rounds.expired = append(cycle.rounds.expired, round{job, count})
	}
	q.Waiting = append(
		q.Waiting,
		&Waiting{
			Task:     tasks[0],
			Tasks:    tasks[:min(count, len(tasks))],
			Count:    count,
			Priority: spec.PriorityOrder(),
			Entitled: entitled,
		},
	)
	q.holdMachines(tasks[0], min(count, tuning.HoldEach), zones, cycle)
}

// gathers tells whether the few tasks of a sweep that there is room for should
// wait a moment for more of them, to share a slice. Their room is kept.
func (q *Queue) awaitsMoreCapacity(job *clusterstate.Job, placementCount, freePlaces int) bool {
	wanted := min(tuning.GatherTasks, job.Record.Spec.TaskCount-job.DoneCount-len(job.Active))
	savesWrites := q.Scarce() && !q.env.HasSpareWrites() && !q.env.UsesBatches() &&
		job.Record.Spec.Kind == jobs.JobArray
	if !savesWrites || placementCount == 0 || placementCount >= wanted || placementCount < freePlaces {
		job.GatheringSince = time.Time{}
		return false
	}
	if job.GatheringSince.IsZero() {
		job.GatheringSince = q.state.Now
	}
	if q.state.Now.Sub(job.GatheringSince) < tuning.GatherFor {
		return true
	}
	job.GatheringSince = time.Time{}
	return false
}

// releasing is the decisions that give tasks to the parts of the machines in
// mind; those of the leader's own part are placed at once. New tasks of a part
// make a slice: it does not matter which of a job's tasks goes where, so each
// part gets consecutive ones.
func (q *Queue) releaseDecisions(job *clusterstate.Job, placements []placement) []decide.Decision {
	var decisions []decide.Decision
	machinesByController := map[string][]string{}
	var newTasks []*clusterstate.Task
	usesBatches := q.env.UsesBatches()
	for _, o := range placements {
		if spec := &job.Record.Spec; usesBatches && spec.Kind == jobs.JobArray && (o.task.Stored == nil || o.task.Stored.IsBatch()) {
			if decision, ok := q.batchDecision(o); ok {
				decisions = append(decisions, decision)
			}
			continue
		}
		if o.task.Stored != nil {
			if decision, ok := q.releaseRecorded(o); ok {
				decisions = append(decisions, decision)
			}
			continue
		}
		newTasks = append(newTasks, o.task)
		controller := q.state.Machines[o.machine].Owner
		machinesByController[controller] = append(machinesByController[controller], o.machine)
	}
	slices.SortFunc(newTasks, func(a, b *clusterstate.Task) int { return a.Index - b.Index })
	for _, controller := range clusterstate.SortedKeys(machinesByController) {
		machines := machinesByController[controller]
		for len(machines) > 0 {
			count := q.consecutiveCount(newTasks, len(machines))
			decisions = append(decisions, q.beginTaskRange(job, newTasks[:count], machines[:count], q.placesDirectly, 1))
			newTasks, machines = newTasks[count:], machines[count:]
		}
	}
	return decisions
}

// packing is the decision that gives a task to a part in a new pack, with all else
// that goes to that part in the same transaction. One that has been tried before
// leaves its pack for that: the owner of the machine that it goes to writes it next.
func (q *Queue) batchDecision(o placement) (decide.Decision, bool) {
	m := q.state.Machines[o.machine]
	decision := decide.Decision{ReadSet: []string{jobs.JobPrefix + o.task.Job.ID}}
	var next jobs.Task
	var ok bool
	if q.placesDirectly(o.task, m) {
		decision.ReadSet = append(decision.ReadSet, fleet.MachinePrefix+o.machine)
		next, ok = q.placedTask(o.task, o.machine, m.Zone, o.task.Attempt+1)
	} else {
		next, ok = q.releasedTask(o.task, m)
	}
	if !ok {
		return decision, false
	}
	if o.task.Stored != nil {
		decision.Changes = []decide.Change{{Task: o.task, Next: next, LeavesBatch: true}}
	}
	decision.BatchEntries = []decide.BatchEntry{
		{Controller: m.Owner, Entry: taskbatch.Entry{JobID: o.task.Job.ID, Index: o.task.Index, Task: next}},
	}
	taskID := o.task.ID
	decision.OnSettled = func(bool) { q.state.Unreserve(taskID) }
	return decision, true
}

// released is a task's record given to the part of a machine that the leader has room
// in mind on; it books the place.
func (q *Queue) releasedTask(task *clusterstate.Task, m *clusterstate.Machine) (jobs.Task, bool) {
	next, ok := jobs.NextTask(
		task.Task,
		jobs.TaskEvent{Kind: jobs.Release, Controller: m.Owner, Zone: m.Zone, PreferredMachine: m.Name},
	)
	if ok {
		q.state.Reserve(task, m.Name, m.Zone)
	}
	return next, ok
}

// releaseOld gives a task to a part once more.
func (q *Queue) releaseRecorded(o placement) (decide.Decision, bool) {
	m := q.state.Machines[o.machine]
	if q.placesDirectly(o.task, m) {
		return q.placeDecision(o.task, o.machine, m.Zone, o.task.Attempt+1)
	}
	next, ok := q.releasedTask(o.task, m)
	if !ok {
		return decide.Decision{}, false
	}
	taskID := o.task.ID
	return decide.Decision{
		Changes:   decide.TransitionTask(o.task, next),
		ReadSet:   []string{jobs.JobPrefix + o.task.Job.ID},
		OnSettled: func(bool) { q.state.Unreserve(taskID) },
	}, true
}

// beginTaskRange is the decision that begins a slice of consecutive tasks that
// have never been released. The key must not exist yet. Tasks that place allows
// are placed at once, the others are released to the machine's part.
func (q *Queue) beginTaskRange(
	job *clusterstate.Job,
	tasks []*clusterstate.Task,
	machines []string,
	placesDirectly func(*clusterstate.Task, *clusterstate.Machine) bool,
	attempt uint64,
) decide.Decision {
	decision := decide.Decision{ReadSet: []string{jobs.JobPrefix + job.ID}}
	records := make([]jobs.Task, len(tasks))
	for i, task := range tasks {
		m := q.state.Machines[machines[i]]
		if placesDirectly(task, m) {
			records[i], _ = q.placedTask(task, machines[i], m.Zone, attempt)
			if key := fleet.MachinePrefix + machines[i]; !slices.Contains(decision.ReadSet, key) {
				decision.ReadSet = append(decision.ReadSet, key)
			}
			continue
		}
		records[i], _ = q.releasedTask(task, m)
	}
	decision.Writes = []store.Write{
		{Put: jobs.TaskRangeKey(job.ID, tasks[0].Index), Value: jobs.EncodeTaskRange(records, q.env.ValueBytes)},
	}
	decision.OnSettled = func(bool) {
		for _, task := range tasks {
			q.state.Unreserve(task.ID)
		}
	}
	return decision
}

// ours tells whether the leader may place a task itself: in its own part, and
// where changes are scarce in every part, by the machine's record.
func (q *Queue) placesDirectly(task *clusterstate.Task, m *clusterstate.Machine) bool {
	if m.Owner != q.env.Name {
		return q.Scarce() && q.canPropose(task, m)
	}
	return q.env.CanPlace(task, m)
}

type placeRule func(*clusterstate.Task, *clusterstate.Machine) bool

func always(*clusterstate.Task, *clusterstate.Machine) bool { return true }

func never(*clusterstate.Task, *clusterstate.Machine) bool { return false }

// run is how many of the first of fresh tasks, up to most, are consecutive.
func (q *Queue) consecutiveCount(newTasks []*clusterstate.Task, limit int) int {
	count := 1
	for count < limit && count < len(newTasks) && count < q.env.MaxRangeTasks && newTasks[count].Index == newTasks[0].Index+count {
		count++
	}
	return count
}
