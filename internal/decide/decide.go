// Package decide defines scheduling decisions and batches them into transactions of the state
// service. Every transaction stays within the service's limits; a decision that no transaction
// can hold is quarantined. The package does no IO and reads no clock.
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

// Decision is a set of changes that is committed atomically. Its transaction is conditional on
// the view, on every record that it writes and on the keys in ReadSet.
type Decision struct {
	// Changes lists the changes to tasks of existing records.
	Changes []Change
	// Writes lists the records that are written as a whole.
	Writes []store.Write
	// BatchEntries lists the tasks that are added to new batch records.
	BatchEntries []BatchEntry
	// ReadSet lists the keys that the decision depends on but does not write.
	ReadSet []string
	// OnSettled, if set, is called exactly once: with true when the decision is committed, with
	// false when it fails or is dropped.
	OnSettled func(ok bool)
	// Urgent is set if the decision must not wait for the write budget, because the protocol
	// depends on it. Urgent decisions are sent before all others that are waiting.
	Urgent bool
	// CompletesJob is set if the decision records the end of a job. Such decisions are urgent,
	// but their writes in flight are limited to about one transaction: otherwise many small jobs
	// that end together would delay everything else (docs/incidents/ops-swarm.md).
	CompletesJob bool
}

// Change is the transition of a task in an existing record to its next state.
type Change struct {
	Task *clusterstate.Task
	Next jobs.Task
	// LeavesBatch is set if the task moves from its batch record to a new one. The decision also
	// lists the task in BatchEntries.
	LeavesBatch bool
}

// BatchEntry is a task that is added to a new batch record. All entries of a transaction with
// the same controller share one new batch record.
type BatchEntry struct {
	Controller string
	Entry      taskbatch.Entry
}

// Put returns the write that stores a record.
func Put(key string, value any) store.Write {
	return store.Write{Put: key, Value: jobs.Encode(value)}
}

// Remove returns the write that removes a record.
func Remove(key string) store.Write { return store.Write{Remove: key} }

// WriteKey returns the key that a write puts or removes.
func WriteKey(write store.Write) string {
	if write.Put != "" {
		return write.Put
	}
	return write.Remove
}

// Priority returns the priority order of the job whose tasks the decision changes, or 0 (the
// highest priority) if it changes none or the job's record is unknown.
func (d *Decision) Priority() int {
	if len(d.Changes) == 0 || d.Changes[0].Task.Job.Record == nil {
		return 0
	}
	return d.Changes[0].Task.Job.Record.Spec.PriorityOrder()
}

// Keys returns the keys of the records that the decision writes, each once. New batch records
// are not included.
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

// maxSubjects is the maximum number of tasks and records that String names.
const maxSubjects = 4

// String lists the tasks and records that the decision changes, for log messages.
func (d *Decision) String() string {
	var subjects []string
	for _, change := range d.Changes {
		subjects = append(subjects, change.Task.ID+" "+string(change.Next.State))
	}
	for _, batchEntry := range d.BatchEntries {
		taskID := jobs.TaskID(batchEntry.Entry.JobID, batchEntry.Entry.Index)
		subjects = append(subjects, taskID+" "+string(batchEntry.Entry.Task.State))
	}
	for _, write := range d.Writes {
		subjects = append(subjects, WriteKey(write))
	}
	if len(subjects) > maxSubjects {
		subjects = append(subjects[:maxSubjects], fmt.Sprintf("and %d more", len(subjects)-maxSubjects))
	}
	return strings.Join(subjects, ", ")
}

// Drop settles the decision as not committed. Code that accepts a decision and does not send it
// must call Drop exactly once.
func (d *Decision) Drop() {
	if d.OnSettled != nil {
		d.OnSettled(false)
	}
}

// TransitionTask returns the change of one task to its next state.
func TransitionTask(task *clusterstate.Task, next jobs.Task) []Change {
	return []Change{{Task: task, Next: next}}
}
