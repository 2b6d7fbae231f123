package clusterstate

import (
	"encoding/json"
	"fmt"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
)

// ApplyJob takes a job's record in, nil for one that is gone. One that can't be
// read counts as gone, and the error says why.
func (b *State) ApplyJob(jobID string, value json.RawMessage) (err error) {
	j := b.ensureJob(jobID)
	var rec *jobs.Record
	if value != nil {
		if rec, err = jobs.DecodeRecord(jobID, value); err != nil {
			rec = nil
		}
	}
	// What its tasks take and are charged is known from the record only.
	for _, t := range j.Tasks {
		b.unindexTask(t)
	}
	j.Record, j.RecordUnreadable = rec, err != nil
	for _, t := range j.Tasks {
		b.indexTask(t)
		b.notifyMachineOf(t)
	}
	b.updateJobIndexes(j)
	return err
}

// ApplyTaskRange takes the record of a slice in. Tasks of which it says nothing
// new stay as they are. One that can't be read stands for one task that is never
// placed, and the error says why. It returns the job's uid.
func (b *State) ApplyTaskRange(key string, value json.RawMessage) (jobID string, err error) {
	jobID, from, ok := jobs.SplitTaskID(key[len(jobs.TaskPrefix):])
	if !ok {
		return "", fmt.Errorf("slice with a strange key %s", key)
	}
	j := b.ensureJob(jobID)
	var records []jobs.Task
	if value != nil {
		if records, err = jobs.DecodeTaskRange(value); err != nil {
			// Kept as stopping on no machine: never placed again, never lost.
			records = []jobs.Task{{State: Unreadable}}
		}
	}
	j.TasksUnreadable = len(records) == 1 && records[0].State == Unreadable
	sl := j.Ranges[from]
	if sl == nil {
		sl = &TaskRecord{Key: key, FirstIndex: from, Job: j}
	}
	old := sl.Tasks
	sl.Tasks = make([]*Task, len(records))
	for i := range records {
		if i < len(old) && old[i].Same(&records[i]) {
			sl.Tasks[i] = old[i]
			continue
		}
		t := &Task{Task: records[i], ID: jobs.TaskID(jobID, from+i), Index: from + i, Job: j, Stored: sl, Since: b.Now}
		was := j.Tasks[t.Index]
		if was != nil {
			b.unindexTask(was)
		}
		j.Tasks[t.Index], sl.Tasks[i] = t, t
		b.indexTask(t)
		if was != nil && !t.OnMachine() && t.State != jobs.Finished {
			b.releaseImage(was)
		}
	}
	for i := len(records); i < len(old); i++ {
		b.unindexTask(old[i])
		delete(j.Tasks, old[i].Index)
		j.FirstUnrecorded = min(j.FirstUnrecorded, old[i].Index)
	}
	if len(records) > 0 {
		j.Ranges[from] = sl
	} else {
		delete(j.Ranges, from)
	}
	b.updateJobIndexes(j)
	return jobID, err
}

// ApplyMachine takes the record of a machine in, nil for one that is gone. owner is
// the controller that it belongs to. A record that can't be read is an error, and
// the machine stays as it was.
func (b *State) ApplyMachine(name, owner string, value json.RawMessage) error {
	if value == nil {
		delete(b.Machines, name)
		b.machinesByName = nil
		if u := b.Usages[name]; u != nil && u.Allocations == 0 {
			delete(b.Usages, name)
		}
		delete(b.Images, name)
		return nil
	}
	h, err := fleet.Decode(value)
	if err != nil {
		return err
	}
	m := b.Machines[name]
	if m == nil {
		m = &Machine{Name: name, Owner: owner, Usage: b.usageOf(name)}
		b.Machines[name] = m
		b.machinesByName = nil
	}
	if m.State != h.State {
		m.Since = b.Now
	}
	m.MachineRecord = *h
	return nil
}

// ApplyClaims takes in which machines are claimed. Of a value that cannot be read
// nothing counts: the leader writes it anew.
func (b *State) ApplyClaims(value json.RawMessage) error {
	claims, err := fleet.DecodeClaims(value)
	b.MachineClaims, b.ClaimedBy = claims, claims.ByMachine()
	return err
}
