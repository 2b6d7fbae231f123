package clusterstate

import (
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/sharding"
)

func (b *State) ensureJob(jobID string) *Job {
	j := b.Jobs[jobID]
	if j == nil {
		j = &Job{ID: jobID, Ranges: map[int]*TaskRecord{}, Tasks: map[int]*Task{}, Active: map[int]*Task{}, Retrying: map[int]*Task{}}
		b.Jobs[jobID] = j
	}
	return j
}

// updateJobIndexes enters a job in the lists that passes go by.
func (b *State) updateJobIndexes(j *Job) {
	live := j.Record != nil && j.Record.State == jobs.Live
	enter := func(list map[string]*Job, in bool) {
		if in {
			list[j.ID] = j
		} else {
			delete(list, j.ID)
		}
	}
	// A gang completes together: one done means every one is.
	complete := live && j.Record.Spec.Kind != jobs.Service && (j.DoneCount >= j.Record.Spec.TaskCount || (j.Record.Spec.Kind == jobs.Gang && j.DoneCount > 0))
	enter(b.Complete, complete)
	enter(b.Queued, live && !complete && len(j.Active)+j.DoneCount < j.Record.Spec.TaskCount)
	enter(b.Closed, j.Record != nil && !live)
	if j.Record == nil && len(j.Tasks) == 0 && len(j.Ranges) == 0 {
		delete(b.Jobs, j.ID)
	}
}

// indexTask enters a task in the lists by state, takes its room and charges it.
func (b *State) indexTask(t *Task) {
	t.Resources = sharding.Resources{}
	if t.Job.Record != nil {
		t.Resources = t.Job.Record.Spec.Resources()
	}
	switch t.State {
	case jobs.Placed, jobs.Stopping:
		m := b.TasksOnMachine[t.Machine]
		if m == nil {
			m = map[string]*Task{}
			b.TasksOnMachine[t.Machine] = m
		}
		m[t.ID] = t
		t.Job.PlacedCount++
		b.countPriority(t, 1)
		t.Job.Active[t.Index] = t
		b.AllocateResources(t.Machine, t.Resources)
		b.noteImage(t)
		b.notifyMachineOf(t)
	case jobs.Released:
		b.Released[t.ID] = t
		t.Job.Active[t.Index] = t
		if t.PreferredMachine != "" && !t.PreferenceReleased {
			b.AllocateResources(t.PreferredMachine, t.Resources)
		}
	case Unreadable:
		t.Job.Active[t.Index] = t
	case jobs.Pending:
		t.Job.Retrying[t.Index] = t
	case jobs.Finished:
		t.Job.DoneCount++
	}
	b.charge(t, 1)
}

func (b *State) unindexTask(t *Task) {
	b.charge(t, -1)
	b.notifyMachineOf(t)
	delete(t.Job.Active, t.Index)
	delete(t.Job.Retrying, t.Index)
	switch t.State {
	case jobs.Placed, jobs.Stopping:
		delete(b.TasksOnMachine[t.Machine], t.ID)
		if len(b.TasksOnMachine[t.Machine]) == 0 {
			delete(b.TasksOnMachine, t.Machine)
		}
		t.Job.PlacedCount--
		b.countPriority(t, -1)
		b.FreeResources(t.Machine, t.Resources)
	case jobs.Released:
		delete(b.Released, t.ID)
		if t.PreferredMachine != "" && !t.PreferenceReleased {
			b.FreeResources(t.PreferredMachine, t.Resources)
		}
	case jobs.Finished:
		t.Job.DoneCount--
	}
}

// countPriority counts tasks on machines by the rank of their job.
func (b *State) countPriority(t *Task, k int) {
	if t.Job.Record != nil {
		b.PlacedByPriority[t.Job.Record.Spec.PriorityOrder()] += k
	}
}

// notifyMachineOf tells that something changed on a task's machine.
func (b *State) notifyMachineOf(t *Task) {
	if t.Machine != "" {
		b.machineChanged(t.Machine)
	}
}
