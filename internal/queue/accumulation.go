package queue

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/sharding"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// capacityAccumulation is the capacity held for a large gang until all of its tasks fit. It grows
// task by task as machines boot and other tasks end, and is limited to one zone if the gang must
// run in one. It is kept in the leader's memory only. A new leader starts over and examines the
// gangs in the same order, by the time they were accepted.
type capacityAccumulation struct {
	zone         string
	progressAt   time.Time      // when maxHeld last increased, or the accumulation started
	maxHeld      int            // largest number of tasks for which free capacity was held at once
	freeSlots    map[string]int // number of tasks for which free capacity is held, by machine
	busyMachines []string       // machines held for capacity that becomes free on them
	busyChosenAt time.Time      // when busyMachines was last chosen
}

// isLargeGang reports whether a gang has more tasks than the number of machines that are held for a
// small job.
func isLargeGang(spec *jobs.Spec) bool { return spec.IsGang() && spec.TaskCount > tuning.HoldEach }

// accumulate holds capacity for a large gang that does not fit now. It returns the number of tasks
// for which free capacity is held, and the zone. The capacity held for all large gangs together is
// limited to a share of the machines, because those are idle meanwhile.
func (q *Queue) accumulate(task *clusterstate.Task, cycle *schedulingCycle) (int, string) {
	spec := &task.Job.Record.Spec
	candidates := cycle.candidates(q, task.WithoutPreference())
	zones := q.state.TasksByZone(task.Job)
	accumulation := q.accumulationFor(task.Job, candidates, zones)
	inZone := func(zone string) bool {
		return (accumulation.zone == "" || zone == accumulation.zone) && clusterstate.ZoneAllowed(spec, zones, zone)
	}
	left := accumulation.holdFreeCapacity(q, cycle, spec, candidates, inZone)
	held := spec.TaskCount - left
	if held > accumulation.maxHeld {
		accumulation.maxHeld, accumulation.progressAt = held, q.state.Now
	}
	if left > 0 && q.Overdue(task.Job) {
		if q.state.Now.Sub(accumulation.busyChosenAt) > tuning.AccumulationRetry {
			accumulation.busyChosenAt = q.state.Now
			accumulation.busyMachines = q.chooseBusyMachines(accumulation, task, left, inZone, cycle)
		}
		accumulation.holdBusyMachines(q, cycle, spec)
	}
	return held, accumulation.zone
}

// accumulationFor returns the accumulation of a gang. One that made no progress for
// tuning.AccumulationZoneTimeout is started over in another zone.
func (q *Queue) accumulationFor(
	job *clusterstate.Job,
	candidates []sharding.Candidate,
	zones map[string]int,
) *capacityAccumulation {
	accumulation := q.accumulations[job.ID]
	if accumulation != nil && q.state.Now.Sub(accumulation.progressAt) <= tuning.AccumulationZoneTimeout {
		return accumulation
	}
	previousZone := ""
	if accumulation != nil {
		previousZone = accumulation.zone
	}
	accumulation = &capacityAccumulation{
		zone:       q.accumulationZone(&job.Record.Spec, candidates, zones, previousZone),
		progressAt: q.state.Now,
	}
	q.accumulations[job.ID] = accumulation
	return accumulation
}

// holdFreeCapacity holds the free capacity of the zone for a gang, and returns the number of tasks
// that still lack capacity.
func (a *capacityAccumulation) holdFreeCapacity(
	q *Queue,
	cycle *schedulingCycle,
	spec *jobs.Spec,
	candidates []sharding.Candidate,
	inZone func(string) bool,
) int {
	a.freeSlots = map[string]int{}
	left := spec.TaskCount
	// Machines that fit the most tasks come first, so that the gang starts on as few machines as
	// possible.
	sort.SliceStable(candidates, func(a, b int) bool {
		x, y := candidates[a].Free.HowMany(spec.Resources()), candidates[b].Free.HowMany(spec.Resources())
		return x > y || x == y && candidates[a].Load > candidates[b].Load
	})
	for i := range candidates {
		candidate := &candidates[i]
		slots := min(left, candidate.Free.HowMany(spec.Resources()))
		if slots <= 0 || !inZone(candidate.Zone) ||
			!cycle.tryAddAccumulatedShare(q, candidate.Capacity, spec.Resources(), slots) {
			continue
		}
		for range slots {
			cycle.hold(q, candidate.Machine, spec.Resources())
		}
		a.freeSlots[candidate.Machine] = slots
		left -= slots
	}
	return left
}

// tryAddAccumulatedShare counts capacity held for large gangs, as a share of a machine. It returns
// false, and counts nothing, if the total would exceed tuning.HoldShare of all machines.
func (c *schedulingCycle) tryAddAccumulatedShare(q *Queue, capacity, need sharding.Resources, slots int) bool {
	share := need.ShareOf(capacity) * float64(slots)
	if c.accumulatedShare+share > tuning.HoldShare*float64(len(q.state.Machines)) {
		return false
	}
	c.accumulatedShare += share
	return true
}

// accumulationZone returns the zone in which a gang accumulates capacity: the one with the most
// free capacity now, other than previousZone if the gang could not be completed there. It returns
// "" if the gang may be spread over zones.
func (q *Queue) accumulationZone(
	spec *jobs.Spec,
	candidates []sharding.Candidate,
	zones map[string]int,
	previousZone string,
) string {
	if !spec.SameZone {
		return ""
	}
	if spec.Zone != "" {
		return spec.Zone
	}
	freeByZone := map[string]int{}
	for _, machineType := range q.state.MachineTypes {
		for _, zone := range machineType.Zones {
			if clusterstate.ZoneAllowed(spec, zones, zone) && spec.AllowsMachineType(machineType.Name) {
				freeByZone[zone] = 0
			}
		}
	}
	for i := range candidates {
		if clusterstate.ZoneAllowed(spec, zones, candidates[i].Zone) {
			freeByZone[candidates[i].Zone] += candidates[i].Free.HowMany(spec.Resources())
		}
	}
	best := ""
	for _, zone := range clusterstate.SortedKeys(freeByZone) {
		if zone != previousZone && (best == "" || freeByZone[zone] > freeByZone[best]) {
			best = zone
		}
	}
	if best == "" {
		return previousZone
	}
	return best
}

// holdBusyMachines holds the full capacity of the chosen busy machines. Otherwise smaller tasks
// would take capacity on them as it becomes free, for as long as such tasks keep arriving.
func (a *capacityAccumulation) holdBusyMachines(q *Queue, cycle *schedulingCycle, spec *jobs.Spec) {
	for _, machineName := range a.busyMachines {
		m := q.state.Machines[machineName]
		if m == nil || q.state.MachineTypes[m.MachineType] == nil || cycle.heldMachines[machineName] {
			continue
		}
		capacity := q.state.MachineTypes[m.MachineType].Capacity()
		slots := capacity.HowMany(spec.Resources())
		if slots == 0 || !cycle.tryAddAccumulatedShare(q, capacity, spec.Resources(), slots) {
			continue
		}
		cycle.heldMachines[machineName] = true
		for range slots {
			cycle.hold(q, machineName, spec.Resources())
		}
	}
}

// chooseBusyMachines chooses the busy machines to hold for a gang of which left tasks lack
// capacity: those that are expected to have capacity for one of its tasks soonest.
func (q *Queue) chooseBusyMachines(
	accumulation *capacityAccumulation,
	task *clusterstate.Task,
	left int,
	inZone func(string) bool,
	cycle *schedulingCycle,
) []string {
	type expectedFree struct {
		machine string
		atMs    int64
		slots   int
	}
	resources := task.Job.Record.Spec.Resources()
	var found []expectedFree
	for _, m := range cycle.schedulableMachines(q) {
		capacity := q.state.MachineTypes[m.MachineType].Capacity()
		if cycle.heldMachines[m.Name] || accumulation.freeSlots[m.Name] > 0 || !inZone(m.Zone) ||
			!clusterstate.SatisfiesConstraints(task.WithoutPreference(), m) || !capacity.Fits(resources) {
			continue
		}
		if atMs, ok := q.expectedFreeMs(m, resources); ok {
			found = append(found, expectedFree{m.Name, atMs, capacity.HowMany(resources)})
		}
	}
	slices.SortStableFunc(found, func(a, b expectedFree) int { return cmp.Compare(a.atMs, b.atMs) })
	var machines []string
	for _, f := range found {
		if left <= 0 {
			break
		}
		machines = append(machines, f.machine)
		left -= f.slots
	}
	return machines
}

// expectedFreeMs returns the time, in Unix milliseconds, at which a machine is expected to have
// capacity for need, by the expected durations of its tasks. It returns false if only replicas,
// which never end, occupy that capacity.
func (q *Queue) expectedFreeMs(m *clusterstate.Machine, need sharding.Resources) (int64, bool) {
	type taskEnd struct {
		atMs      int64
		resources sharding.Resources
	}
	var ends []taskEnd
	for _, task := range q.state.TasksOnMachine[m.Name] {
		if task.Job.Record == nil || task.Job.Record.Spec.Kind == jobs.Service {
			continue
		}
		ends = append(ends, taskEnd{
			atMs:      task.StateSince.UnixMilli() + int64(task.Job.Record.Spec.ExpectedDurationS*1000),
			resources: task.Resources,
		})
	}
	slices.SortFunc(ends, func(a, b taskEnd) int { return cmp.Compare(a.atMs, b.atMs) })
	free := q.state.MachineTypes[m.MachineType].Capacity().Sub(m.Usage.Resources)
	atMs := q.state.NowMs()
	for _, end := range ends {
		if free.Fits(need) {
			break
		}
		free, atMs = free.Add(end.resources), max(atMs, end.atMs)
	}
	return atMs, free.Fits(need)
}

// AccumulatedCapacity returns the free capacity held for large gangs, by machine. Such a machine is
// in demand although nothing is reserved on it, so it must not be decommissioned.
func (q *Queue) AccumulatedCapacity() map[string]sharding.Resources {
	out := map[string]sharding.Resources{}
	for jobID, accumulation := range q.accumulations {
		job := q.state.Queued[jobID]
		if job == nil {
			continue
		}
		for machineName, slots := range accumulation.freeSlots {
			for range slots {
				out[machineName] = out[machineName].Add(job.Record.Spec.Resources())
			}
		}
	}
	return out
}

// dropAccumulations removes the accumulations of gangs that no longer wait.
func (q *Queue) dropAccumulations() {
	for jobID := range q.accumulations {
		if q.state.Queued[jobID] == nil {
			delete(q.accumulations, jobID)
		}
	}
}
