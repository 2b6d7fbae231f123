package clusterstate

import (
	"encoding/json"
	"slices"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
)

// ApplyBatch applies a batch record at its revision; a nil value means that the record was
// removed. Tasks whose records are unchanged keep their Task values, even if they move from
// another batch record. If the record is unreadable, every task that it held or may hold is
// quarantined, and ApplyBatch returns an error. It also returns the sorted IDs of the jobs whose
// tasks changed.
func (s *State) ApplyBatch(key string, value json.RawMessage, revision uint64) (jobIDs []string, err error) {
	record := s.Batches[key]
	if record == nil {
		record = &TaskRecord{Key: key, CreatedRevision: revision}
	}
	delete(s.quarantinedBatches, key)
	if revision != s.movingRevision {
		s.movingRevision = revision
		clear(s.movingTasks)
	}
	var entries []taskbatch.Entry
	if value != nil {
		if entries, err = taskbatch.Decode(value); err != nil {
			entries = s.quarantineBatch(record, value)
		}
	}
	record.Revision = revision
	changed := s.replaceBatchTasks(record, entries)
	s.Batches[key] = record
	if value == nil {
		delete(s.Batches, key)
	}
	for j := range changed {
		jobIDs = append(jobIDs, j.ID)
		s.updateJobIndexes(j)
	}
	slices.Sort(jobIDs)
	return jobIDs, err
}

// replaceBatchTasks replaces the tasks of a batch record by those of entries and returns the jobs
// whose tasks changed.
func (s *State) replaceBatchTasks(record *TaskRecord, entries []taskbatch.Entry) map[*Job]bool {
	changed := map[*Job]bool{}
	previous := record.Tasks
	record.Tasks = make([]*Task, 0, len(entries))
	s.batchGeneration++
	for i := range entries {
		if t := s.taskFromBatch(record, &entries[i], changed); t != nil {
			t.batchGeneration = s.batchGeneration
			record.Tasks = append(record.Tasks, t)
		}
	}
	for _, t := range previous {
		if t.batchGeneration != s.batchGeneration && record.Holds(t) {
			s.unindexTask(t)
			delete(t.Job.Tasks, t.Index)
			s.movingTasks[t.ID] = t
			t.Job.FirstUnrecorded = min(t.Job.FirstUnrecorded, t.Index)
			changed[t.Job] = true
		}
	}
	return changed
}

// isLaterAttempt reports whether a is certainly a later record of the same task than b.
func isLaterAttempt(a, b *jobs.Task) bool {
	if finished := a.State == jobs.Finished; finished != (b.State == jobs.Finished) {
		return finished
	}
	return a.Attempt > b.Attempt
}

// heldByLaterBatch reports whether an entry of a batch record is outdated because a later batch
// record holds the task.
//
// When batch records are read one after the other, a task that moves in the meantime can appear
// both in an old version of its former record and in the new version of its new record. The new
// record then has the higher revision, because the transaction that moved the task wrote it after
// the old version. Attempt numbers take precedence over revisions because they only increase: if
// a transaction is executed again after the batch record that it created was removed, that record
// comes back with outdated contents at a higher revision.
func heldByLaterBatch(known *Task, record *TaskRecord, entry *taskbatch.Entry) bool {
	if known.StoredIn == record || !known.StoredIn.IsBatch() {
		return false
	}
	if isLaterAttempt(&known.Task, &entry.Task) {
		return true
	}
	return !isLaterAttempt(&entry.Task, &known.Task) && known.StoredIn.Revision > record.Revision
}

// taskFromBatch returns the task of an entry of a batch record, or nil if a later version of
// another batch record is known to hold the task. If the task changed, it adds the job to changed.
func (s *State) taskFromBatch(record *TaskRecord, entry *taskbatch.Entry, changed map[*Job]bool) *Task {
	j := s.ensureJob(entry.JobID)
	known := j.Tasks[entry.Index]
	if known != nil {
		if heldByLaterBatch(known, record, entry) {
			return nil
		}
		if known.Equal(&entry.Task) {
			known.StoredIn = record
			return known
		}
	}
	changed[j] = true
	taskID := jobs.TaskID(entry.JobID, entry.Index)
	previous := known
	if moving := s.movingTasks[taskID]; known == nil && moving != nil && moving.Job == j {
		previous = moving
	}
	if previous != nil {
		s.holdImageOf(previous, &entry.Task)
	}
	if known != nil {
		s.unindexTask(known)
	}
	t := previous
	if known == nil && previous != nil && previous.Equal(&entry.Task) {
		t.StoredIn = record
	} else {
		t = &Task{
			Task:       entry.Task,
			ID:         taskID,
			Index:      entry.Index,
			Job:        j,
			StoredIn:   record,
			StateSince: s.Now,
		}
		s.setPlacedSince(t, previous)
	}
	j.Tasks[entry.Index] = t
	s.indexTask(t)
	return t
}

// quarantineBatch marks a batch record as unreadable. It returns entries that replace the tasks it
// held by unreadable ones, so that they are neither placed again nor lost.
func (s *State) quarantineBatch(record *TaskRecord, value json.RawMessage) []taskbatch.Entry {
	jobIDs, _ := taskbatch.JobIDs(value)
	s.quarantinedBatches[record.Key] = jobIDs
	var entries []taskbatch.Entry
	for _, t := range record.Tasks {
		if record.Holds(t) {
			unreadable := jobs.Task{State: Unreadable, Attempt: t.Attempt}
			entries = append(entries, taskbatch.Entry{JobID: t.Job.ID, Index: t.Index, Task: unreadable})
		}
	}
	return entries
}

// MayBeQuarantined reports whether an unreadable batch record may hold tasks of a job. It is
// unknown which tasks these are, so no task of the job that has no record may be released.
func (s *State) MayBeQuarantined(jobID string) bool {
	for _, jobIDs := range s.quarantinedBatches {
		if jobIDs == nil || slices.Contains(jobIDs, jobID) {
			return true
		}
	}
	return false
}

// Obsolete reports whether the task's current record in its batch record is no longer needed.
// knownEpoch is the same as for ObsoleteAs.
func (t *Task) Obsolete(knownEpoch uint64) bool { return t.ObsoleteAs(&t.Task, knownEpoch) }

// ObsoleteAs reports whether a record of the task in its batch record would no longer be needed:
// the job's record has been removed and the task is on no machine. knownEpoch is the epoch of the
// state service up to which all changes are known. A missing job record proves that the job has
// ended only if knownEpoch has reached the batch record's revision, because the job's record was
// written before the batch record.
func (t *Task) ObsoleteAs(record *jobs.Task, knownEpoch uint64) bool {
	return t.Job.Record == nil &&
		!t.Job.RecordUnreadable &&
		!record.OnMachine() &&
		record.State != Unreadable &&
		t.StoredIn.Revision <= knownEpoch
}
