// Package decide is how decisions become transactions: what a decision is, and how
// many of them share a transaction of the state service within its limits. It has
// no IO and no clock.
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

// Decision is one step that must be committed whole. Its transaction is
// conditional on the view, on every record it writes and on the keys in Seen.
type Decision struct {
	Changes      []Change
	Writes       []store.Write
	BatchEntries []BatchEntry
	ReadSet      []string
	OnSettled    func(ok bool)
	// Urgent: a rule hangs on it, so it goes before all else that waits.
	Urgent bool
	// CompletesJob: it is a job's end. Ends are urgent, but no more of them than about
	// one transaction holds are under way at once: a swarm of small jobs that
	// end together would hold up all else (docs/incidents/ops-swarm.md).
	CompletesJob bool
}

// Change is what becomes of a task that a slice holds already.
type Change struct {
	Task *clusterstate.Task
	Next jobs.Task
	// LeavesBatch: it goes from its pack into a new one; it is in Fresh as well.
	LeavesBatch bool
}

// BatchEntry is a task that goes into a new pack, with what else the same transaction
// gives to the same part.
type BatchEntry struct {
	Controller string
	Entry      taskbatch.Entry
}

// Put is a record to write.
func Put(key string, v any) store.Write { return store.Write{Put: key, Value: jobs.Encode(v)} }

// Remove is a record to take away.
func Remove(key string) store.Write { return store.Write{Remove: key} }

// WriteKey is the key of a write.
func WriteKey(write store.Write) string {
	if write.Put != "" {
		return write.Put
	}
	return write.Remove
}

// Priority is the rank of the job whose tasks a decision changes, the first for others.
func (d *Decision) Priority() int {
	if len(d.Changes) == 0 || d.Changes[0].Task.Job.Record == nil {
		return 0
	}
	return d.Changes[0].Task.Job.Record.Spec.PriorityOrder()
}

// Keys lists the records that a decision writes.
func (d *Decision) Keys() []string {
	keys := make([]string, 0, len(d.Writes)+1)
	for _, write := range d.Writes {
		keys = append(keys, WriteKey(write))
	}
	for _, change := range d.Changes {
		if !slices.Contains(keys, change.Task.Stored.Key) {
			keys = append(keys, change.Task.Stored.Key)
		}
	}
	return keys
}

// String names what a decision is about, for the log.
func (d *Decision) String() string {
	var subjects []string
	for _, change := range d.Changes {
		subjects = append(subjects, change.Task.ID+" "+string(change.Next.State))
	}
	for _, entry := range d.BatchEntries {
		subjects = append(subjects, jobs.TaskID(entry.Entry.JobID, entry.Entry.Index)+" "+string(entry.Entry.Task.State))
	}
	for _, write := range d.Writes {
		subjects = append(subjects, WriteKey(write))
	}
	if len(subjects) > maxSubjects {
		subjects = append(subjects[:maxSubjects], fmt.Sprintf("and %d more", len(subjects)-maxSubjects))
	}
	return strings.Join(subjects, ", ")
}

// maxSubjects: tasks and records that a line of the log names.
const maxSubjects = 4

// Drop ends a decision that is not taken now.
func (d *Decision) Drop() {
	if d.OnSettled != nil {
		d.OnSettled(false)
	}
}

// TransitionTask is the change of one task to its next record.
func TransitionTask(t *clusterstate.Task, next jobs.Task) []Change {
	return []Change{{Task: t, Next: next}}
}
