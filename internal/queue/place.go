package queue

import (
	"sort"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/sharding"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Place returns the decisions that place the tasks released to this controller's shard.
func (q *Queue) Place() []decide.Decision {
	released := q.releasedHere()
	var out []decide.Decision
	for len(released) > 0 {
		job := released[0].Job
		count := 1
		for count < len(released) && released[count].Job == job {
			count++
		}
		out = append(out, q.placeReleased(job, released[:count])...)
		released = released[count:]
	}
	return out
}

// releasedHere lists the tasks that are released to this shard and may be placed now, grouped by
// job.
func (q *Queue) releasedHere() []*clusterstate.Task {
	var released []*clusterstate.Task
	for _, task := range q.state.Assigned {
		if task.Controller == q.config.Name && task.Job.Record != nil && task.Job.Record.State == jobs.Live &&
			!q.commits.Busy(task.StoredIn.Key) &&
			q.state.Now.Sub(task.PlacementTriedAt) >= tuning.PlaceRetryDelay {
			released = append(released, task)
		}
	}
	sort.Slice(released, func(a, b int) bool {
		if released[a].Job != released[b].Job {
			return released[a].Job.ID < released[b].Job.ID
		}
		return released[a].Index < released[b].Index
	})
	return released
}

// placeReleased places released tasks of one job: a gang all or nothing, other tasks independently.
func (q *Queue) placeReleased(job *clusterstate.Job, tasks []*clusterstate.Task) []decide.Decision {
	if job.Record.Spec.IsGang() {
		return q.placeReleasedGang(job, tasks)
	}
	var out []decide.Decision
	for _, task := range tasks {
		if decision, ok := q.placeOne(task, task.Attempt+1); ok {
			out = append(out, decision)
		} else {
			task.PlacementTriedAt = q.state.Now
		}
	}
	return out
}

// placeOne selects a machine of this shard for a task and returns the decision that places it.
func (q *Queue) placeOne(task *clusterstate.Task, attempt uint64) (decide.Decision, bool) {
	machineName := q.pickOwnMachine(task)
	if machineName == "" {
		return decide.Decision{}, false
	}
	decision, ok := q.placeDecision(task, machineName, task.Zone, attempt)
	decision.ReadSet = append(decision.ReadSet, fleet.ClaimsKey) // fails if the machine was claimed meanwhile
	return decision, ok
}

// pickOwnMachine selects a machine of this shard for a task: the proposed one if it still has
// capacity, otherwise the best other one. It returns "" if none has capacity.
func (q *Queue) pickOwnMachine(task *clusterstate.Task) string {
	spec := &task.Job.Record.Spec
	if m := q.state.Machines[task.PreferredMachine]; m != nil && q.machines.CanPlace(task, m) {
		free := q.freeCapacity(m)
		if !task.PreferenceDropped {
			free = free.Add(task.Resources) // the capacity reserved on it is for this task
		}
		if free.Fits(spec.Resources()) {
			return task.PreferredMachine
		}
	}
	candidates := q.appendCandidates(
		nil,
		q.state.MachinesByName(),
		func(m *clusterstate.Machine) bool { return m.Owner == q.config.Name && q.machines.CanPlace(task, m) },
		spec,
	)
	if i := sharding.Pick(spec.Resources(), spec.Spot, candidates); i >= 0 {
		return candidates[i].Machine
	}
	return ""
}

// placeDecision returns the decision that places a task on a machine. The machine's record is among
// its preconditions, so that no task is placed on a machine that is decommissioned meanwhile.
func (q *Queue) placeDecision(
	task *clusterstate.Task,
	machineName, zone string,
	attempt uint64,
) (decide.Decision, bool) {
	next, ok := q.placedTask(task, machineName, zone, attempt)
	if !ok {
		return decide.Decision{}, false
	}
	taskID := task.ID
	return decide.Decision{
		Changes:   decide.TransitionTask(task, next),
		ReadSet:   []string{jobs.JobPrefix + task.Job.ID, fleet.MachinePrefix + machineName},
		OnSettled: func(bool) { q.state.Unreserve(taskID) },
	}, true
}

// placedTask returns the record of a task placed on a machine, and reserves the capacity. It
// returns false if the task may not be placed.
func (q *Queue) placedTask(task *clusterstate.Task, machineName, zone string, attempt uint64) (jobs.Task, bool) {
	next, ok := jobs.NextTask(task.Task, jobs.TaskEvent{
		Kind:    jobs.Place,
		Machine: machineName,
		Zone:    zone,
		Attempt: attempt,
	})
	if !ok {
		return next, false
	}
	m := q.state.Machines[machineName]
	record := task.Job.Record
	q.config.Log.Debug("task placed",
		"task_id", task.ID,
		"class", record.Spec.Class,
		"machine", machineName,
		"machine_type", m.MachineType,
		"spot", m.Spot,
		"attempt", attempt,
		"image_cached", q.state.HasImage(machineName, record.Spec.Image),
		"since_accepted_ms", q.state.NowMs()-record.AcceptedMs,
	)
	q.state.Reserve(task, machineName, m.Zone)
	return next, true
}

// appendCandidates lists the machines that have capacity for a task of a job and for which accepts
// returns true. It reuses the memory of out.
func (q *Queue) appendCandidates(
	out []sharding.Candidate,
	machines []*clusterstate.Machine,
	accepts func(*clusterstate.Machine) bool,
	spec *jobs.Spec,
) []sharding.Candidate {
	out = out[:0]
	var machineType *jobs.MachineType
	var capacity sharding.Resources
	need := spec.Resources()
	for _, m := range machines {
		if m.State != fleet.Up {
			continue
		}
		if machineType == nil || machineType.Name != m.MachineType { // consecutive machines often share a type
			if machineType = q.state.MachineTypes[m.MachineType]; machineType == nil {
				continue
			}
			capacity = machineType.Capacity()
		}
		used := m.Usage.Resources
		if !capacity.Sub(used).Fits(need) || !accepts(m) {
			continue
		}
		candidate := sharding.Candidate{
			Machine:    m.Name,
			Capacity:   capacity,
			Free:       capacity.Sub(used),
			Spot:       m.Spot,
			Zone:       m.Zone,
			Controller: m.Owner,
			Load:       used.ShareOf(capacity),
			HasImage:   q.state.HasImage(m.Name, spec.Image),
		}
		if !candidate.HasImage && machineType.ImageGBPerS > 0 {
			candidate.ImagePullS = q.imagePullSeconds(m, machineType, spec)
		}
		out = append(out, candidate)
	}
	return out
}

// UnassignStale unassigns released tasks that their shard did not place in time, or at once if the
// shard's controller has left the view. The leader calls it.
func (q *Queue) UnassignStale() {
	var decisions []decide.Decision
	for _, taskID := range clusterstate.SortedKeys(q.state.Assigned) {
		task := q.state.Assigned[taskID]
		ownerLeft := q.cluster.HasLeftView(task.Controller)
		if !ownerLeft && q.state.Now.Sub(task.StateSince) < tuning.AssignmentStaleAfter {
			continue
		}
		if !ownerLeft && task.PreferredMachine != "" {
			q.Avoid(task.PreferredMachine, q.state.Now.Add(tuning.AvoidFor))
		}
		next, ok := jobs.NextTask(task.Task, jobs.TaskEvent{Kind: jobs.Unassign})
		if ok && !q.commits.Busy(task.StoredIn.Key) {
			decisions = append(decisions, decide.Decision{Changes: decide.TransitionTask(task, next)})
		}
	}
	q.commits.Commit(decisions)
}
