package clusterstate

import (
	"encoding/json"
	"slices"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
)

// ApplyBatch takes in a batch record at its revision, nil for one that is gone. Tasks of which
// it says nothing new stay as they are, also when they come from another batch record. Of one
// that can't be read every task that it held, or may hold, is quarantined, and the error says
// why. It returns the jobs with changed tasks, sorted.
func (s *State) ApplyBatch(key string, value json.RawMessage, revision uint64) (jobIDs []string, err error) {
	record := s.Batches[key]
	if record == nil {
		record = &TaskRecord{Key: key}
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

// replaceBatchTasks makes a batch record hold the tasks of entries and returns the jobs whose
// tasks changed.
func (s *State) replaceBatchTasks(record *TaskRecord, entries []taskbatch.Entry) map[*Job]bool {
	changed := map[*Job]bool{}
	previous := record.Tasks
	record.Tasks = make([]*Task, 0, len(entries))
	s.batchReads++
	for i := range entries {
		if t := s.taskFromBatch(record, &entries[i], changed); t != nil {
			t.batchRead = s.batchReads
			record.Tasks = append(record.Tasks, t)
		}
	}
	for _, t := range previous {
		if t.batchRead != s.batchReads && record.Holds(t) {
			s.unindexTask(t)
			delete(t.Job.Tasks, t.Index)
			s.movingTasks[t.ID] = t
			t.Job.FirstUnrecorded = min(t.Job.FirstUnrecorded, t.Index)
			changed[t.Job] = true
		}
	}
	return changed
}

// isLaterAttempt tells whether of two records of a task a must be the later one.
func isLaterAttempt(a, b *jobs.Task) bool {
	if finished := a.State == jobs.Finished; finished != (b.State == jobs.Finished) {
		return finished
	}
	return a.Attempt > b.Attempt
}

// heldByLaterBatch tells whether an entry of a batch record is outdated: the task is known from
// another batch record that is later.
//
// Where batch records are read one after the other, a task that moved meanwhile is in an old
// version of the one and in the new version of the other: the transaction that moved it is at
// least as late as the one and later than the other. Attempts come first, since they only grow:
// a transaction that is carried out once more, after the batch record that it began was
// removed, brings that record back with what was true then, at a later revision.
func heldByLaterBatch(known *Task, record *TaskRecord, entry *taskbatch.Entry) bool {
	if known.StoredIn == record || !known.StoredIn.IsBatch() {
		return false
	}
	if isLaterAttempt(&known.Task, &entry.Task) {
		return true
	}
	return !isLaterAttempt(&entry.Task, &known.Task) && known.StoredIn.Revision > record.Revision
}

// taskFromBatch is the task of an entry of a batch record, nil if a later version of another
// batch record is known to hold it. It enters the job in changed if the task changed.
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
		s.unindexTask(known)
	}
	changed[j] = true
	taskID := jobs.TaskID(entry.JobID, entry.Index)
	t := s.movingTasks[taskID]
	if known == nil && t != nil && t.Job == j && t.Equal(&entry.Task) {
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
	}
	j.Tasks[entry.Index] = t
	s.indexTask(t)
	return t
}

// quarantineBatch notes that a batch record can't be read. It returns what it held before as
// unreadable tasks: never placed again, never lost.
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

// MayBeQuarantined tells whether a batch record that can't be read may hold tasks of a job:
// nobody knows which, so none may be begun that has no record.
func (s *State) MayBeQuarantined(jobID string) bool {
	for _, jobIDs := range s.quarantinedBatches {
		if jobIDs == nil || slices.Contains(jobIDs, jobID) {
			return true
		}
	}
	return false
}

// Obsolete tells whether a task's present record in a batch record is of no more use; known is
// as for ObsoleteAs.
func (t *Task) Obsolete(known uint64) bool { return t.ObsoleteAs(&t.Task, known) }

// ObsoleteAs tells whether a record of a task in its batch record would be of no more use: its
// job's record is gone and it is on no machine. known is the revision up to which all records
// are known: that a job is unknown proves that it is over only if known has reached the batch
// record's revision, for the job's record came before.
func (t *Task) ObsoleteAs(record *jobs.Task, known uint64) bool {
	return t.Job.Record == nil &&
		!t.Job.RecordUnreadable &&
		!record.OnMachine() &&
		record.State != Unreadable &&
		t.StoredIn.Revision <= known
}
