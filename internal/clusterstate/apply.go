package clusterstate

import (
	"encoding/json"
	"fmt"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
)

// ApplyJob takes in a job's record, nil for one that is gone. One that can't be read counts as
// gone, and the error says why.
func (s *State) ApplyJob(jobID string, value json.RawMessage) error {
	j := s.ensureJob(jobID)
	var record *jobs.Record
	var err error
	if value != nil {
		if record, err = jobs.DecodeRecord(jobID, value); err != nil {
			record = nil
		}
	}
	// What its tasks take and are charged is known from the record only.
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

// ApplyTaskRange takes in the record of a task range, nil for one that is gone. Tasks of which
// it says nothing new stay as they are. A record that can't be read stands for one unreadable
// task, and the error says why. It returns the job's ID; key must begin with jobs.TaskPrefix.
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

// replaceRangeTasks makes a task range hold what is stored of it.
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
		s.unindexTask(previous[i])
		delete(j.Tasks, previous[i].Index)
		j.FirstUnrecorded = min(j.FirstUnrecorded, previous[i].Index)
	}
}

// replaceTask enters a task of a task range in the place of what was known of it.
func (s *State) replaceTask(t *Task) {
	previous := t.Job.Tasks[t.Index]
	if previous != nil {
		s.unindexTask(previous)
	}
	t.Job.Tasks[t.Index] = t
	s.indexTask(t)
	if previous != nil && !t.OnMachine() && t.State != jobs.Finished {
		s.releaseImage(previous)
	}
}

// ApplyMachine takes in the record of a machine, nil for one that is gone. owner is the
// controller that it belongs to. A record that can't be read is an error, and the machine stays
// as it was.
func (s *State) ApplyMachine(name, owner string, value json.RawMessage) error {
	if value == nil {
		s.removeMachine(name)
		return nil
	}
	record, err := fleet.Decode(value)
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

// removeMachine drops a machine. Its usage stays while something is allocated on it.
func (s *State) removeMachine(name string) {
	delete(s.Machines, name)
	s.machinesByName = nil
	if usage := s.Usages[name]; usage != nil && usage.Allocations == 0 {
		delete(s.Usages, name)
	}
	delete(s.Images, name)
}

// ApplyClaims takes in which machines are claimed. Of a value that cannot be read nothing
// counts: the leader writes it anew.
func (s *State) ApplyClaims(value json.RawMessage) error {
	claims, err := fleet.DecodeClaims(value)
	s.MachineClaims = claims
	s.ClaimedBy = claims.ByMachine()
	return err
}
