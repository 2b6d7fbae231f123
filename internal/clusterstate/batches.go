package clusterstate

import (
	"encoding/json"
	"slices"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
)

// ApplyBatch takes a pack in, with the stamp of that version of it; nil for one that
// is gone. Tasks of which it says nothing new stay as they are, also when they come
// from another pack. Of one that can't be read every task that it held, or may
// hold, is set aside, and the error says why. It returns the jobs with changed tasks.
func (b *State) ApplyBatch(key string, value json.RawMessage, revision uint64) (jobIDs []string, err error) {
	sl := b.Batches[key]
	if sl == nil {
		sl = &TaskRecord{Key: key}
	}
	delete(b.quarantinedBatches, key)
	if revision != b.movingRevision {
		b.movingRevision = revision
		clear(b.movingTasks)
	}
	var es []taskbatch.Entry
	if value != nil {
		if es, err = taskbatch.Decode(value); err != nil {
			es = b.quarantineBatch(sl, value)
		}
	}
	changed := map[*Job]bool{}
	old := sl.Tasks
	sl.Revision, sl.Tasks = revision, make([]*Task, 0, len(es))
	b.batchReads++
	for i := range es {
		if t := b.taskFromBatch(sl, &es[i], changed); t != nil {
			t.batchRead = b.batchReads
			sl.Tasks = append(sl.Tasks, t)
		}
	}
	for _, t := range old {
		if t.batchRead != b.batchReads && sl.Holds(t) {
			b.unindexTask(t)
			delete(t.Job.Tasks, t.Index)
			b.movingTasks[t.ID] = t
			t.Job.FirstUnrecorded = min(t.Job.FirstUnrecorded, t.Index)
			changed[t.Job] = true
		}
	}
	if b.Batches[key] = sl; value == nil {
		delete(b.Batches, key)
	}
	for j := range changed {
		jobIDs = append(jobIDs, j.ID)
		b.updateJobIndexes(j)
	}
	slices.Sort(jobIDs)
	return jobIDs, err
}

// isLaterAttempt tells whether of two records of a task the first must be the later one.
func isLaterAttempt(a, b *jobs.Task) bool {
	if done := a.State == jobs.Finished; done != (b.State == jobs.Finished) {
		return done
	}
	return a.Attempt > b.Attempt
}

// taskFromBatch is the task of an entry of a pack, nil if a later version of another pack
// is known to hold it. Where packs are read one after the other, a task that moved
// meanwhile is in an old version of the one and in the new of the other: the change
// that moved it is at least as late as the one and later than the other.
func (b *State) taskFromBatch(sl *TaskRecord, e *taskbatch.Entry, changed map[*Job]bool) *Task {
	j := b.ensureJob(e.JobID)
	t := j.Tasks[e.Index]
	if t != nil && t.Stored != sl && t.Stored.IsBatch() {
		// Tries only grow. A transaction that is carried out once more, after the pack
		// that it began was removed, brings the pack back with what was true then.
		if isLaterAttempt(&t.Task, &e.Task) || !isLaterAttempt(&e.Task, &t.Task) && t.Stored.Revision > sl.Revision {
			return nil
		}
	}
	if t != nil && t.Same(&e.Task) {
		t.Stored = sl
		return t
	}
	if t != nil {
		b.unindexTask(t)
	}
	changed[j] = true
	taskID := jobs.TaskID(e.JobID, e.Index)
	if moved := b.movingTasks[taskID]; t == nil && moved != nil && moved.Job == j && moved.Same(&e.Task) {
		moved.Stored, j.Tasks[e.Index] = sl, moved
		b.indexTask(moved)
		return moved
	}
	t = &Task{Task: e.Task, ID: taskID, Index: e.Index, Job: j, Stored: sl, Since: b.Now}
	j.Tasks[e.Index] = t
	b.indexTask(t)
	return t
}

// quarantineBatch notes that a pack can't be read. What it held before is kept as unreadable:
// never placed again, never lost.
func (b *State) quarantineBatch(sl *TaskRecord, value json.RawMessage) []taskbatch.Entry {
	jobIDs, _ := taskbatch.JobIDs(value)
	b.quarantinedBatches[sl.Key] = jobIDs
	var es []taskbatch.Entry
	for _, t := range sl.Tasks {
		if sl.Holds(t) {
			es = append(es, taskbatch.Entry{JobID: t.Job.ID, Index: t.Index, Task: jobs.Task{State: Unreadable, Attempt: t.Attempt}})
		}
	}
	return es
}

// MayBeQuarantined tells whether a pack that can't be read may hold tasks of a job: nobody
// knows which, so none may be begun that has no record.
func (b *State) MayBeQuarantined(jobID string) bool {
	for _, jobIDs := range b.quarantinedBatches {
		if jobIDs == nil || slices.Contains(jobIDs, jobID) {
			return true
		}
	}
	return false
}

// Obsolete tells whether a task's record in a pack is of no more use, as it is.
func (t *Task) Obsolete(known uint64) bool { return t.ObsoleteAs(&t.Task, known) }

// ObsoleteAs tells whether a record of a task in a pack would be of no more use: its job's
// record is gone and it is on no machine. That a job is unknown proves that it is over only
// where all is known up to the pack's own stamp, for its record came before.
func (t *Task) ObsoleteAs(rec *jobs.Task, known uint64) bool {
	return t.Job.Record == nil && !t.Job.RecordUnreadable && !rec.OnMachine() && rec.State != Unreadable && t.Stored.Revision <= known
}
