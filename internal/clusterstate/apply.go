package clusterstate

import (
	"encoding/json"
	"fmt"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
)

// ApplyJob applies the record of a job; a nil value means that the record was removed. If the
// record is unreadable, ApplyJob sets RecordUnreadable, discards the job's last known record and
// returns an error.
func (s *State) ApplyJob(jobID string, value json.RawMessage) error {
	j := s.ensureJob(jobID)
	var record *jobs.Record
	var err error
	if value != nil {
		if record, err = jobs.DecodeRecord(jobID, value); err != nil {
			record = nil
		}
	}
	if value == nil && j.Record != nil && j.Record.State != jobs.Cancelled {
		s.holdImagesOfDone(j)
	}
	// The resources and quota charges of its tasks depend on the record.
	for _, t := range j.Tasks {
		s.unindexTask(t)
	}
	j.Record = record
	j.RecordUnreadable = err != nil
	for _, t := range j.Tasks {
		s.indexTask(t)
		s.notifyMachineOf(t)
	}
	s.updateJobIndexes(j)
	return err
}

// ApplyTaskRange applies the record of a task range; a nil value means that the record was
// removed. Tasks whose records are unchanged keep their Task values. An unreadable record is
// treated as a single unreadable task, and ApplyTaskRange returns an error. It also returns the
// job's ID. key must begin with jobs.TaskPrefix.
func (s *State) ApplyTaskRange(key string, value json.RawMessage) (jobID string, err error) {
	jobID, firstIndex, ok := jobs.SplitTaskID(key[len(jobs.TaskPrefix):])
	if !ok {
		return "", fmt.Errorf("apply task range: malformed key %q", key)
	}
	j := s.ensureJob(jobID)
	var stored []jobs.Task
	if value != nil {
		if stored, err = jobs.DecodeTaskRange(value); err != nil {
			stored = []jobs.Task{{State: Unreadable}}
		}
	}
	j.TasksUnreadable = len(stored) == 1 && stored[0].State == Unreadable
	record := j.Ranges[firstIndex]
	if record == nil {
		record = &TaskRecord{Key: key, FirstIndex: firstIndex, Job: j}
	}
	s.replaceRangeTasks(record, stored)
	if len(stored) > 0 {
		j.Ranges[firstIndex] = record
	} else {
		delete(j.Ranges, firstIndex)
	}
	s.updateJobIndexes(j)
	return jobID, err
}

// replaceRangeTasks replaces the tasks of a task range by the stored ones.
func (s *State) replaceRangeTasks(record *TaskRecord, stored []jobs.Task) {
	j := record.Job
	previous := record.Tasks
	record.Tasks = make([]*Task, len(stored))
	for i := range stored {
		if i < len(previous) && previous[i].Equal(&stored[i]) {
			record.Tasks[i] = previous[i]
			continue
		}
		index := record.FirstIndex + i
		t := &Task{
			Task:       stored[i],
			ID:         jobs.TaskID(j.ID, index),
			Index:      index,
			Job:        j,
			StoredIn:   record,
			StateSince: s.Now,
		}
		record.Tasks[i] = t
		s.replaceTask(t)
	}
	for i := len(stored); i < len(previous); i++ {
		if isLive(j) { // the record of a job that is done may be removed after its tasks'
			s.holdImageOf(previous[i], &jobs.Task{State: jobs.Finished})
		}
		s.unindexTask(previous[i])
		delete(j.Tasks, previous[i].Index)
		j.FirstUnrecorded = min(j.FirstUnrecorded, previous[i].Index)
	}
}

// replaceTask enters a task of a task range and replaces the previously known task.
func (s *State) replaceTask(t *Task) {
	previous := t.Job.Tasks[t.Index]
	s.setPlacedSince(t, previous)
	if previous != nil {
		s.holdImageOf(previous, &t.Task)
		s.unindexTask(previous)
	}
	t.Job.Tasks[t.Index] = t
	s.indexTask(t)
}

// setPlacedSince sets since when a task's attempt is known to be on its machine. previous is the
// task's last known record, nil if there is none.
func (s *State) setPlacedSince(t, previous *Task) {
	if !t.OnMachine() {
		return
	}
	t.PlacedSince = s.Now
	if previous != nil && previous.OnMachine() && previous.Machine == t.Machine && previous.Attempt == t.Attempt {
		t.PlacedSince = previous.PlacedSince
	}
}

// isLive reports whether a job is recorded as live.
func isLive(j *Job) bool { return j.Record != nil && j.Record.State == jobs.Live }

// ApplyMachine applies the record of a machine; a nil value means that the record was removed.
// owner is the controller that the machine belongs to. If the record is unreadable, ApplyMachine
// returns an error and leaves the machine unchanged.
func (s *State) ApplyMachine(name, owner string, value json.RawMessage) error {
	if value == nil {
		s.removeMachine(name)
		return nil
	}
	record, err := fleet.DecodeMachineRecord(value)
	if err != nil {
		return fmt.Errorf("apply machine %s: %w", name, err)
	}
	m := s.Machines[name]
	if m == nil {
		m = &Machine{Name: name, Owner: owner, Usage: s.usageOf(name)}
		s.Machines[name] = m
		s.machinesByName = nil
	}
	if m.State != record.State {
		m.StateSince = s.Now
	}
	m.MachineRecord = *record
	return nil
}

// removeMachine removes a machine. Its usage is kept while resources are allocated on it.
func (s *State) removeMachine(name string) {
	delete(s.Machines, name)
	s.machinesByName = nil
	if usage := s.Usages[name]; usage != nil && usage.Allocations == 0 {
		delete(s.Usages, name)
	}
	delete(s.Images, name)
}
