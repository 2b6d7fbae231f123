// Package decide turns decisions into transactions: what a decision is, how many of them
// share a transaction of the state service within its limits, and which are quarantined
// because no transaction can hold them. It has no IO and no clock.
package decide

import (
	"fmt"
	"slices"
	"strings"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
)

// Decision is one step that must be committed whole. Its transaction is conditional on the
// view, on every record that it writes and on the keys in ReadSet.
type Decision struct {
	// Changes are the tasks of existing records that it changes.
	Changes []Change
	// Writes are the records that it writes whole.
	Writes []store.Write
	// BatchEntries are the tasks that it puts into new batch records.
	BatchEntries []BatchEntry
	// ReadSet is the keys that it was made from without writing them.
	ReadSet []string
	// OnSettled, if set, is called once: with true when the decision is committed, with false
	// when it is not, or was dropped.
	OnSettled func(ok bool)
	// Urgent: a rule of the protocol depends on it, so it goes before all else that waits.
	Urgent bool
	// CompletesJob: it writes the end of a job. Such decisions are urgent, but no more of
	// their writes than about one transaction holds are in flight at once: many small jobs
	// that end together would hold up all else (docs/incidents/ops-swarm.md).
	CompletesJob bool
}

// Change is the next state of a task that a record holds already.
type Change struct {
	Task *clusterstate.Task
	Next jobs.Task
	// LeavesBatch: the task moves from its batch record to a new one. The decision has it in
	// BatchEntries as well.
	LeavesBatch bool
}

// BatchEntry is a task that goes into a new batch record, together with what else the same
// transaction places on machines of the same controller.
type BatchEntry struct {
	Controller string
	Entry      taskbatch.Entry
}

// Put is the write of a record.
func Put(key string, value any) store.Write {
	return store.Write{Put: key, Value: jobs.Encode(value)}
}

// Remove is the removal of a record.
func Remove(key string) store.Write { return store.Write{Remove: key} }

// WriteKey is the key that a write puts or removes.
func WriteKey(write store.Write) string {
	if write.Put != "" {
		return write.Put
	}
	return write.Remove
}

// Priority is the priority order of the job whose tasks a decision changes, 0 (the first)
// for decisions about anything else.
func (d *Decision) Priority() int {
	if len(d.Changes) == 0 || d.Changes[0].Task.Job.Record == nil {
		return 0
	}
	return d.Changes[0].Task.Job.Record.Spec.PriorityOrder()
}

// Keys lists the existing records that a decision writes, each once.
func (d *Decision) Keys() []string {
	keys := make([]string, 0, len(d.Writes)+1)
	for _, write := range d.Writes {
		keys = append(keys, WriteKey(write))
	}
	for _, change := range d.Changes {
		if !slices.Contains(keys, change.Task.StoredIn.Key) {
			keys = append(keys, change.Task.StoredIn.Key)
		}
	}
	return keys
}

// maxSubjects bounds the tasks and records that a log line names.
const maxSubjects = 4

// String names the tasks and records of a decision, for the log.
func (d *Decision) String() string {
	var subjects []string
	for _, change := range d.Changes {
		subjects = append(subjects, change.Task.ID+" "+string(change.Next.State))
	}
	for _, added := range d.BatchEntries {
		taskID := jobs.TaskID(added.Entry.JobID, added.Entry.Index)
		subjects = append(subjects, taskID+" "+string(added.Entry.Task.State))
	}
	for _, write := range d.Writes {
		subjects = append(subjects, WriteKey(write))
	}
	if len(subjects) > maxSubjects {
		subjects = append(subjects[:maxSubjects], fmt.Sprintf("and %d more", len(subjects)-maxSubjects))
	}
	return strings.Join(subjects, ", ")
}

// Drop settles a decision that is not committed. Whoever takes a decision and does not send
// it must call this once.
func (d *Decision) Drop() {
	if d.OnSettled != nil {
		d.OnSettled(false)
	}
}

// TransitionTask is the change of one task to its next state.
func TransitionTask(task *clusterstate.Task, next jobs.Task) []Change {
	return []Change{{Task: task, Next: next}}
}
