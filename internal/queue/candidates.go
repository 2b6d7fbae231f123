package queue

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/sharding"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// heldCapacity is the machines kept for a job.
type heldCapacity struct {
	machines []string
	chosenAt time.Time
}

// Scarce tells whether changes of the state service are few for the number of
// machines. Tasks of a job then go to few parts, several at a time, and the
// leader names their machines in the change that releases them: every slice and
// every step of it by itself is a change.
func (q *Queue) Scarce() bool {
	return float64(len(q.state.Machines)) > q.config.MaxWritesPerS
}

// gatherParts keeps, while changes are scarce, the candidates of as few parts
// as hold the tasks: those with the most room, images counted double. Cheap
// machines come first: ordinary ones of one part must not be taken while cheap
// ones of another have room.
func (q *Queue) concentrate(spec *jobs.Spec, candidates []sharding.Candidate, tasks int) []sharding.Candidate {
	if !q.Scarce() || spec.Kind != jobs.JobArray || tasks == 1 {
		return candidates
	}
	var out []sharding.Candidate
	for _, spot := range []bool{true, false} {
		var ofKind []sharding.Candidate
		for _, c := range candidates {
			if c.Spot == spot {
				ofKind = append(ofKind, c)
			}
		}
		if tasks > 0 {
			ofKind, tasks = fewestControllers(spec, ofKind, tasks)
			out = append(out, ofKind...)
		}
	}
	return out
}

// fewestParts keeps the candidates of as few parts as hold the tasks, and
// returns how many tasks are left over.
func fewestControllers(spec *jobs.Spec, candidates []sharding.Candidate, tasks int) ([]sharding.Candidate, int) {
	places, cachedPlaces := map[string]int{}, map[string]int{}
	for i := range candidates {
		chosen := candidates[i].Free.HowMany(spec.Resources())
		places[candidates[i].Controller] += chosen
		if candidates[i].HasImage {
			cachedPlaces[candidates[i].Controller] += chosen
		}
	}
	order := clusterstate.SortedKeys(places)
	score := func(controller string) int {
		return min(places[controller], tasks) + min(cachedPlaces[controller], tasks)
	}
	sort.SliceStable(order, func(a, b int) bool { return score(order[a]) > score(order[b]) })
	used := map[string]bool{}
	left := tasks
	for _, controller := range order {
		if left <= 0 {
			break
		}
		used[controller] = true
		left -= places[controller]
	}
	return slices.DeleteFunc(candidates, func(c sharding.Candidate) bool { return !used[c.Controller] }), left
}

// pickFor is the best candidate for one of a job's tasks, or -1.
func (q *Queue) pickCandidate(task *clusterstate.Task, candidates []sharding.Candidate, zones map[string]int) int {
	spec := &task.Job.Record.Spec
	return sharding.PickIf(spec.Resources(), spec.Spot, candidates, func(candidate *sharding.Candidate) bool {
		return clusterstate.ZoneAllowed(spec, zones, candidate.Zone) && (task.Zone == "" || task.Zone == candidate.Zone) &&
			!slices.Contains(task.FailedOn, candidate.Machine)
	})
}

// openFor tells whether the leader may have room on a machine in mind at all.
func (q *Queue) mayPropose(m *clusterstate.Machine) bool {
	return q.ClaimedFor(m) == "" && !q.claimPending(m.Name) && !q.state.Now.Before(q.avoidUntil[m.Name]) && q.machines.Ready(m)
}

// offers tells whether the leader may have room on a machine in mind.
func (q *Queue) canPropose(task *clusterstate.Task, m *clusterstate.Machine) bool {
	return q.mayPropose(m) && clusterstate.FitsTask(task, m)
}

// FindMachine picks the machine to have in mind for a task.
func (q *Queue) FindMachine(task *clusterstate.Task, zones map[string]int) string {
	candidates := q.appendCandidates(
		nil,
		q.state.MachinesByName(),
		func(m *clusterstate.Machine) bool { return q.canPropose(task, m) },
		&task.Job.Record.Spec,
	)
	if i := q.pickCandidate(task, candidates, zones); i >= 0 {
		return candidates[i].Machine
	}
	return ""
}

// holdFor keeps a machine for a task that needs more room than is free
// anywhere: the one with the most free. Without it, smaller tasks further back
// in the queue would take every place that comes free, one by one, for as long
// as there are any.
//
// What is kept for a job is chosen anew from time to time only: choosing means
// a look at every machine for each.
func (q *Queue) holdMachines(task *clusterstate.Task, count int, zones map[string]int, cycle *schedulingCycle) {
	held := q.holds[task.Job.ID]
	if q.state.Now.Sub(held.chosenAt) > tuning.HoldAgain {
		held = heldCapacity{machines: q.chooseHolds(task, count, maps.Clone(zones), cycle), chosenAt: q.state.Now}
		q.holds[task.Job.ID] = held
	}
	for _, machineName := range held.machines {
		if q.state.Machines[machineName] != nil {
			cycle.heldMachines[machineName] = true
			cycle.hold(q, machineName, task.Job.Record.Spec.Resources())
		}
	}
}

// chooseHolds chooses up to count machines to keep, within the share of all that may be kept and the
// number that a cycle may choose. It counts them in zones.
func (q *Queue) chooseHolds(
	task *clusterstate.Task,
	count int,
	zones map[string]int,
	cycle *schedulingCycle,
) []string {
	var machines []string
	maxHeld := tuning.HoldShare * float64(len(q.state.Machines))
	for range count {
		if float64(len(cycle.heldMachines)+1) > maxHeld || cycle.newlyHeldCount >= tuning.MaxHeldMachines {
			break
		}
		cycle.newlyHeldCount++
		m := q.nearestFit(task, zones, cycle)
		if m == nil {
			break
		}
		machines = append(machines, m.Name)
		cycle.heldMachines[m.Name] = true
		zones[m.Zone]++
	}
	return machines
}

// fullest is the machine that lacks least for a task.
func (q *Queue) nearestFit(
	task *clusterstate.Task,
	zones map[string]int,
	cycle *schedulingCycle,
) *clusterstate.Machine {
	spec := &task.Job.Record.Spec
	var best *clusterstate.Machine
	bestShare := -1.0
	for _, m := range cycle.openMachines(q) {
		if cycle.heldMachines[m.Name] || !clusterstate.FitsTask(task, m) || !clusterstate.ZoneAllowed(spec, zones, m.Zone) {
			continue
		}
		capacity := q.state.MachineTypes[m.MachineType].Capacity()
		if !capacity.Fits(spec.Resources()) {
			continue
		}
		// By how much of the task would fit.
		if part := 1 / max(spec.Resources().ShareOf(capacity.Sub(m.Usage.Resources)), 1e-9); part > bestShare {
			best, bestShare = m, part
		}
	}
	return best
}

// freeCapacity is what a machine of a known type has left, with what is reserved counted as used.
func (q *Queue) freeCapacity(m *clusterstate.Machine) sharding.Resources {
	return q.state.MachineTypes[m.MachineType].Capacity().Sub(q.state.UsedResources(m.Name))
}
