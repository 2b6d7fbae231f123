package queue

import (
	"slices"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
)

// releaseDecisions returns the decisions that release tasks to the shards of the proposed machines.
// Tasks for the leader's own shard are placed at once. The new tasks of a shard share a task range:
// which of a job's tasks goes to which shard does not matter, so each shard gets consecutive ones.
func (q *Queue) releaseDecisions(job *clusterstate.Job, placements []placement) []decide.Decision {
	var decisions []decide.Decision
	machinesByController := map[string][]string{}
	var newTasks []*clusterstate.Task
	batched := q.cluster.UsesBatches() && job.Record.Spec.Kind == jobs.JobArray
	for _, p := range placements {
		switch {
		case batched && (p.task.StoredIn == nil || p.task.StoredIn.IsBatch()):
			if decision, ok := q.batchDecision(p); ok {
				decisions = append(decisions, decision)
			}
		case p.task.StoredIn != nil:
			if decision, ok := q.releaseRecordedTask(p); ok {
				decisions = append(decisions, decision)
			}
		default:
			newTasks = append(newTasks, p.task)
			controller := q.state.Machines[p.machine].Owner
			machinesByController[controller] = append(machinesByController[controller], p.machine)
		}
	}
	slices.SortFunc(newTasks, func(a, b *clusterstate.Task) int { return a.Index - b.Index })
	for _, controller := range clusterstate.SortedKeys(machinesByController) {
		machines := machinesByController[controller]
		for len(machines) > 0 {
			count := q.consecutiveCount(newTasks, len(machines))
			decisions = append(
				decisions,
				q.newTaskRangeDecision(job, newTasks[:count], machines[:count], q.placesDirectly, 1),
			)
			newTasks, machines = newTasks[count:], machines[count:]
		}
	}
	return decisions
}

// batchDecision returns the decision that releases a task to a shard in a new batch record,
// together with the other tasks for that shard in the same transaction. A task that was attempted
// before is removed from its old batch, because the owner of its new machine writes its record from
// now on.
func (q *Queue) batchDecision(p placement) (decide.Decision, bool) {
	m := q.state.Machines[p.machine]
	decision := decide.Decision{ReadSet: []string{jobs.JobPrefix + p.task.Job.ID}}
	var next jobs.Task
	var ok bool
	if q.placesDirectly(p.task, m) {
		decision.ReadSet = append(decision.ReadSet, fleet.MachinePrefix+p.machine)
		next, ok = q.placedTask(p.task, p.machine, m.Zone, p.task.Attempt+1)
	} else {
		next, ok = q.releasedTask(p.task, m)
	}
	if !ok {
		return decision, false
	}
	if p.task.StoredIn != nil {
		decision.Changes = []decide.Change{{Task: p.task, Next: next, LeavesBatch: true}}
	}
	decision.BatchEntries = []decide.BatchEntry{
		{Controller: m.Owner, Entry: taskbatch.Entry{JobID: p.task.Job.ID, Index: p.task.Index, Task: next}},
	}
	taskID := p.task.ID
	decision.OnSettled = func(bool) { q.state.Unreserve(taskID) }
	return decision, true
}

// releasedTask returns the record of a task released to the shard of the proposed machine, and
// reserves the capacity. It returns false if the task may not be released.
func (q *Queue) releasedTask(task *clusterstate.Task, m *clusterstate.Machine) (jobs.Task, bool) {
	next, ok := jobs.NextTask(
		task.Task,
		jobs.TaskEvent{Kind: jobs.Assign, Controller: m.Owner, Zone: m.Zone, PreferredMachine: m.Name},
	)
	if ok {
		q.state.Reserve(task, m.Name, m.Zone)
	}
	return next, ok
}

// releaseRecordedTask returns the decision that releases or places a task that already has a
// record.
func (q *Queue) releaseRecordedTask(p placement) (decide.Decision, bool) {
	m := q.state.Machines[p.machine]
	if q.placesDirectly(p.task, m) {
		return q.placeDecision(p.task, p.machine, m.Zone, p.task.Attempt+1)
	}
	next, ok := q.releasedTask(p.task, m)
	if !ok {
		return decide.Decision{}, false
	}
	taskID := p.task.ID
	return decide.Decision{
		Changes:   decide.TransitionTask(p.task, next),
		ReadSet:   []string{jobs.JobPrefix + p.task.Job.ID},
		OnSettled: func(bool) { q.state.Unreserve(taskID) },
	}, true
}

// newTaskRangeDecision returns the decision that writes a new range of consecutive tasks that were
// never released. Its key must not exist yet. Tasks for which placesDirectly returns true are
// placed at once; the others are released to the shard of their machine.
func (q *Queue) newTaskRangeDecision(
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
		{Put: jobs.TaskRangeKey(job.ID, tasks[0].Index), Value: jobs.EncodeTaskRange(records, q.config.MaxValueBytes)},
	}
	decision.OnSettled = func(bool) {
		for _, task := range tasks {
			q.state.Unreserve(task.ID)
		}
	}
	return decision
}

// placesDirectly reports whether the leader may place a task itself. It may do so in its own shard
// and, while writes are scarce, in every shard if the machine's record allows it.
func (q *Queue) placesDirectly(task *clusterstate.Task, m *clusterstate.Machine) bool {
	if m.Owner != q.config.Name {
		return q.WritesScarce() && q.canSchedule(task, m)
	}
	return q.machines.CanPlace(task, m)
}

// placeRule is a function that reports whether the leader places a task on a machine itself instead
// of releasing it to the shard of the machine.
type placeRule func(*clusterstate.Task, *clusterstate.Machine) bool

func always(*clusterstate.Task, *clusterstate.Machine) bool { return true }

func never(*clusterstate.Task, *clusterstate.Machine) bool { return false }

// consecutiveCount returns how many of the first new tasks, up to limit, have consecutive indexes
// and fit in one task range.
func (q *Queue) consecutiveCount(newTasks []*clusterstate.Task, limit int) int {
	limit = min(limit, len(newTasks), q.config.MaxRangeTasks)
	count := 1
	for count < limit && newTasks[count].Index == newTasks[0].Index+count {
		count++
	}
	return count
}
