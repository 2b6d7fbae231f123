package clusterstate

import (
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/sharding"
)

// ensureJob returns the job with an ID and creates it if necessary. updateJobIndexes removes it
// again if it has no record and no tasks.
func (s *State) ensureJob(jobID string) *Job {
	j := s.Jobs[jobID]
	if j == nil {
		j = &Job{
			ID:       jobID,
			Ranges:   map[int]*TaskRecord{},
			Tasks:    map[int]*Task{},
			Active:   map[int]*Task{},
			Retrying: map[int]*Task{},
		}
		s.Jobs[jobID] = j
	}
	return j
}

// updateJobIndexes updates the job's membership in Queued, Complete and Closed, and removes the job
// if nothing is known about it.
func (s *State) updateJobIndexes(j *Job) {
	live := j.Record != nil && j.Record.State == jobs.Live
	complete := live && j.allTasksDone()
	queued := live && !complete && len(j.Active)+j.DoneCount < j.Record.Spec.TaskCount
	setMember(s.Complete, j, complete)
	setMember(s.Queued, j, queued)
	setMember(s.Closed, j, j.Record != nil && !live)
	if j.Record == nil && len(j.Tasks) == 0 && len(j.Ranges) == 0 {
		delete(s.Jobs, j.ID)
	}
}

// allTasksDone reports whether a job whose record is known has no work left. The tasks of a gang
// finish together: if one is finished, all are.
func (j *Job) allTasksDone() bool {
	spec := &j.Record.Spec
	switch spec.Kind {
	case jobs.Service:
		return false
	case jobs.Gang:
		return j.DoneCount >= spec.TaskCount || j.DoneCount > 0
	default:
		return j.DoneCount >= spec.TaskCount
	}
}

// setMember adds a job to a set or removes it.
func setMember(set map[string]*Job, j *Job, member bool) {
	if member {
		set[j.ID] = j
	} else {
		delete(set, j.ID)
	}
}

// indexTask adds a task to the indexes by state, allocates its resources and charges its quota.
// unindexTask undoes this; between the two calls neither the task's record nor its job's record
// may change.
func (s *State) indexTask(t *Task) {
	t.Resources = sharding.Resources{}
	if t.Job.Record != nil {
		t.Resources = t.Job.Record.Spec.Resources()
	}
	switch t.State {
	case jobs.Placed, jobs.Stopping:
		s.indexPlacedTask(t)
	case jobs.Assigned:
		s.Assigned[t.ID] = t
		t.Job.Active[t.Index] = t
		if t.holdsPreference() {
			s.AllocateResources(t.PreferredMachine, t.Resources)
		}
	case Unreadable:
		t.Job.Active[t.Index] = t
	case jobs.Pending:
		t.Job.Retrying[t.Index] = t
	case jobs.Finished:
		t.Job.DoneCount++
	}
	s.charge(t, 1)
}

// indexPlacedTask does the part of indexTask that is specific to tasks on machines.
func (s *State) indexPlacedTask(t *Task) {
	tasks := s.TasksOnMachine[t.Machine]
	if tasks == nil {
		tasks = map[string]*Task{}
		s.TasksOnMachine[t.Machine] = tasks
	}
	tasks[t.ID] = t
	t.Job.PlacedCount++
	s.countByPriority(t, 1)
	t.Job.Active[t.Index] = t
	s.AllocateResources(t.Machine, t.Resources)
	s.useImage(t, false)
	s.notifyMachineOf(t)
}

// unindexTask undoes indexTask.
func (s *State) unindexTask(t *Task) {
	s.charge(t, -1)
	s.notifyMachineOf(t)
	delete(t.Job.Active, t.Index)
	delete(t.Job.Retrying, t.Index)
	switch t.State {
	case jobs.Placed, jobs.Stopping:
		delete(s.TasksOnMachine[t.Machine], t.ID)
		if len(s.TasksOnMachine[t.Machine]) == 0 {
			delete(s.TasksOnMachine, t.Machine)
		}
		s.releaseImage(t)
		t.Job.PlacedCount--
		s.countByPriority(t, -1)
		s.FreeResources(t.Machine, t.Resources)
	case jobs.Assigned:
		delete(s.Assigned, t.ID)
		if t.holdsPreference() {
			s.FreeResources(t.PreferredMachine, t.Resources)
		}
	case jobs.Finished:
		t.Job.DoneCount--
	case jobs.Pending, Unreadable:
		// These are in no other index.
	}
}

// notifyMachineOf calls machineChanged for the task's machine, if it has one.
func (s *State) notifyMachineOf(t *Task) {
	if t.Machine != "" {
		s.machineChanged(t.Machine)
	}
}
