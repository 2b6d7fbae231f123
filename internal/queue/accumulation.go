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

// capacityAccumulation is the capacity kept for a large gang until all of its tasks fit: in one
// zone if the gang must be in one, place by place as machines boot and other tasks end. Only the
// leader knows it, from cycle to cycle; another leader begins anew in the order of the accepted
// times, which is the same.
type capacityAccumulation struct {
	zone         string
	progressAt   time.Time      // when more than ever before was kept, or the accumulation began
	maxKept      int            // most places kept at once, so far
	freePlaces   map[string]int // free places kept, by machine
	busyMachines []string       // machines kept for what comes free on them
	busyChosenAt time.Time      // when busyMachines were chosen
}

// isLargeGang reports whether a gang needs more machines than are held for a small job.
func isLargeGang(spec *jobs.Spec) bool { return spec.IsGang() && spec.TaskCount > tuning.HoldEach }

// accumulate keeps capacity for a large gang that does not fit now, and returns for how many of its
// tasks, and the zone. What is kept for all large gangs together stays below a share of the
// machines, since those stand idle meanwhile.
func (q *Queue) accumulate(task *clusterstate.Task, cycle *schedulingCycle) (int, string) {
	spec := &task.Job.Record.Spec
	candidates := cycle.candidates(q, task.WithoutPreference())
	zones := q.state.TasksByZone(task.Job)
	accumulation := q.accumulationFor(task.Job, candidates, zones)
	inZone := func(zone string) bool {
		return (accumulation.zone == "" || zone == accumulation.zone) && clusterstate.ZoneAllowed(spec, zones, zone)
	}
	left := accumulation.takeFree(q, cycle, spec, candidates, inZone)
	kept := spec.TaskCount - left
	if kept > accumulation.maxKept {
		accumulation.maxKept, accumulation.progressAt = kept, q.state.Now
	}
	if left > 0 && q.Overdue(task.Job) {
		if q.state.Now.Sub(accumulation.busyChosenAt) > tuning.GatherAgain {
			accumulation.busyChosenAt = q.state.Now
			accumulation.busyMachines = q.soonestFree(accumulation, task, left, inZone, cycle)
		}
		accumulation.takeBusy(q, cycle, spec)
	}
	return kept, accumulation.zone
}

// accumulationFor returns a gang's accumulation. One that made no progress for long begins anew in
// another zone.
func (q *Queue) accumulationFor(
	job *clusterstate.Job,
	candidates []sharding.Candidate,
	zones map[string]int,
) *capacityAccumulation {
	accumulation := q.accumulations[job.ID]
	if accumulation != nil && q.state.Now.Sub(accumulation.progressAt) <= tuning.GatherElsewhere {
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

// takeFree keeps the free places of the zone for a gang, and returns how many of its tasks lack
// one.
func (a *capacityAccumulation) takeFree(
	q *Queue,
	cycle *schedulingCycle,
	spec *jobs.Spec,
	candidates []sharding.Candidate,
	inZone func(string) bool,
) int {
	a.freePlaces = map[string]int{}
	left := spec.TaskCount
	// The machines with the most places first: the gang starts on as few as hold it.
	sort.SliceStable(candidates, func(a, b int) bool {
		x, y := candidates[a].Free.HowMany(spec.Resources()), candidates[b].Free.HowMany(spec.Resources())
		return x > y || x == y && candidates[a].Load > candidates[b].Load
	})
	for i := range candidates {
		candidate := &candidates[i]
		places := min(left, candidate.Free.HowMany(spec.Resources()))
		if places <= 0 || !inZone(candidate.Zone) ||
			!cycle.allowAccumulation(q, candidate.Capacity, spec.Resources(), places) {
			continue
		}
		for range places {
			cycle.hold(q, candidate.Machine, spec.Resources())
		}
		a.freePlaces[candidate.Machine] = places
		left -= places
	}
	return left
}

// allowAccumulation counts capacity kept for large gangs, as a share of a machine. It returns
// false, and counts nothing, if that would be more than tuning.HoldShare of all machines.
func (c *schedulingCycle) allowAccumulation(q *Queue, capacity, need sharding.Resources, places int) bool {
	share := need.ShareOf(capacity) * float64(places)
	if c.accumulatedShare+share > tuning.HoldShare*float64(len(q.state.Machines)) {
		return false
	}
	c.accumulatedShare += share
	return true
}

// accumulationZone returns the zone where a gang accumulates capacity: the one with most of it free
// now, another than the previous one if the gang did not come together there. It is "" if the gang
// may spread over zones.
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

// takeBusy keeps the chosen busy machines, whole: smaller work takes each place as it comes free
// otherwise, for as long as there is any.
func (a *capacityAccumulation) takeBusy(q *Queue, cycle *schedulingCycle, spec *jobs.Spec) {
	for _, machineName := range a.busyMachines {
		m := q.state.Machines[machineName]
		if m == nil || q.state.MachineTypes[m.MachineType] == nil || cycle.heldMachines[machineName] {
			continue
		}
		capacity := q.state.MachineTypes[m.MachineType].Capacity()
		places := capacity.HowMany(spec.Resources())
		if places == 0 || !cycle.allowAccumulation(q, capacity, spec.Resources(), places) {
			continue
		}
		cycle.heldMachines[machineName] = true
		for range places {
			cycle.hold(q, machineName, spec.Resources())
		}
	}
}

// soonestFree chooses the busy machines to keep for a gang that lacks places: first those where the
// next of its tasks is expected to find room soonest.
func (q *Queue) soonestFree(
	accumulation *capacityAccumulation,
	task *clusterstate.Task,
	left int,
	inZone func(string) bool,
	cycle *schedulingCycle,
) []string {
	type expectedFree struct {
		machine string
		atMs    int64
		places  int
	}
	resources := task.Job.Record.Spec.Resources()
	var found []expectedFree
	for _, m := range cycle.openMachines(q) {
		capacity := q.state.MachineTypes[m.MachineType].Capacity()
		if cycle.heldMachines[m.Name] || accumulation.freePlaces[m.Name] > 0 || !inZone(m.Zone) ||
			!clusterstate.FitsTask(task.WithoutPreference(), m) || !capacity.Fits(resources) {
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
		left -= f.places
	}
	return machines
}

// expectedFreeMs returns when, in Unix milliseconds, a machine is expected to have room for need,
// by the expected durations of its tasks. It is false if only replicas, which never end, are in the
// way.
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

// AccumulatedCapacity returns the free capacity that is kept for large gangs, by machine. Such a machine is in
// demand although nothing is reserved on it, so it must not be given back to the cloud.
func (q *Queue) AccumulatedCapacity() map[string]sharding.Resources {
	out := map[string]sharding.Resources{}
	for jobID, accumulation := range q.accumulations {
		job := q.state.Queued[jobID]
		if job == nil {
			continue
		}
		for machineName, places := range accumulation.freePlaces {
			for range places {
				out[machineName] = out[machineName].Add(job.Record.Spec.Resources())
			}
		}
	}
	return out
}

// dropAccumulations forgets what was accumulated for gangs that no longer wait.
func (q *Queue) dropAccumulations() {
	for jobID := range q.accumulations {
		if q.state.Queued[jobID] == nil {
			delete(q.accumulations, jobID)
		}
	}
}
