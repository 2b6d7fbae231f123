package queue

import (
	"slices"
	"sort"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/sharding"
)

// WritesScarce reports whether the store's write rate is low for the number of machines. Creating
// or changing a task range takes a write. While writes are scarce, the tasks of a job are therefore
// released to few shards, several tasks at a time, and the write that releases them also names
// their machines.
func (q *Queue) WritesScarce() bool {
	return float64(len(q.state.Machines)) > q.config.MaxWritesPerS
}

// limitShards limits the candidates, while writes are scarce, to as few shards as can hold the
// tasks. Shards with the most capacity come first, and machines that have the image cached count
// double. Spot instances are selected before on-demand ones: on-demand instances of one shard must
// not be used while spot instances of another have capacity.
func (q *Queue) limitShards(spec *jobs.Spec, candidates []sharding.Candidate, tasks int) []sharding.Candidate {
	if !q.WritesScarce() || spec.Kind != jobs.JobArray || tasks == 1 {
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
			ofKind, tasks = fewestShards(spec, ofKind, tasks)
			out = append(out, ofKind...)
		}
	}
	return out
}

// fewestShards limits the candidates to as few shards as can hold the tasks, and returns the
// number of tasks that do not fit.
func fewestShards(spec *jobs.Spec, candidates []sharding.Candidate, tasks int) ([]sharding.Candidate, int) {
	slotsByController, cachedSlotsByController := map[string]int{}, map[string]int{}
	for i := range candidates {
		slots := candidates[i].Free.HowMany(spec.Resources())
		slotsByController[candidates[i].Controller] += slots
		if candidates[i].HasImage {
			cachedSlotsByController[candidates[i].Controller] += slots
		}
	}
	order := clusterstate.SortedKeys(slotsByController)
	score := func(controller string) int {
		return min(slotsByController[controller], tasks) + min(cachedSlotsByController[controller], tasks)
	}
	sort.SliceStable(order, func(a, b int) bool { return score(order[a]) > score(order[b]) })
	used := map[string]bool{}
	left := tasks
	for _, controller := range order {
		if left <= 0 {
			break
		}
		used[controller] = true
		left -= slotsByController[controller]
	}
	return slices.DeleteFunc(candidates, func(c sharding.Candidate) bool { return !used[c.Controller] }), left
}

// pickCandidate returns the index of the best candidate for a task, or -1 if there is none.
func (q *Queue) pickCandidate(task *clusterstate.Task, candidates []sharding.Candidate, zones map[string]int) int {
	spec := &task.Job.Record.Spec
	return sharding.PickIf(spec.Resources(), spec.Spot, candidates, func(candidate *sharding.Candidate) bool {
		return clusterstate.ZoneAllowed(spec, zones, candidate.Zone) && (task.Zone == "" || task.Zone == candidate.Zone) &&
			!slices.Contains(task.FailedOn, candidate.Machine)
	})
}

// isSchedulable reports whether the leader may propose a machine for any task at all.
func (q *Queue) isSchedulable(m *clusterstate.Machine) bool {
	return q.ClaimedFor(m) == "" &&
		!q.claimPending(m.Name) &&
		!q.state.Now.Before(q.avoidUntil[m.Name]) &&
		q.machines.Ready(m)
}

// canSchedule reports whether the leader may propose a machine for a task.
func (q *Queue) canSchedule(task *clusterstate.Task, m *clusterstate.Machine) bool {
	return q.isSchedulable(m) && clusterstate.SatisfiesConstraints(task, m)
}

// FindMachine returns the machine to propose for a task, or "" if none has capacity.
func (q *Queue) FindMachine(task *clusterstate.Task, zones map[string]int) string {
	candidates := q.appendCandidates(
		nil,
		q.state.MachinesByName(),
		func(m *clusterstate.Machine) bool { return q.canSchedule(task, m) },
		&task.Job.Record.Spec,
	)
	if i := q.pickCandidate(task, candidates, zones); i >= 0 {
		return candidates[i].Machine
	}
	return ""
}

// freeCapacity returns the unused capacity of a machine of a known type. Reserved capacity counts
// as used.
func (q *Queue) freeCapacity(m *clusterstate.Machine) sharding.Resources {
	return q.state.MachineTypes[m.MachineType].Capacity().Sub(q.state.UsedResources(m.Name))
}
