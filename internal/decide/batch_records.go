package decide

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// touchesSharedBatch reports whether a decision writes a batch record that also has tasks on
// other controllers' machines. Those controllers write the record often, so the transaction is
// likely to conflict, and no other decision should fail with it.
func (b *Batcher) touchesSharedBatch(decision *Decision) bool {
	for _, change := range decision.Changes {
		if change.Task.StoredIn.IsBatch() && !b.ownsBatch(change.Task.StoredIn) {
			return true
		}
	}
	return false
}

// splitsBatch reports whether writing a task may move this controller's tasks out of a batch
// record that other controllers also write (see splitOwned).
func (b *Batcher) splitsBatch(task *clusterstate.Task) bool {
	return task.OnMachine() && task.StoredIn.IsBatch() &&
		!b.ownsBatch(task.StoredIn) && b.Context.Machines.OwnsMachine(task.Machine)
}

// ownsBatch reports whether no task of a batch record is on another controller's machine. The
// result is cached.
func (b *Batcher) ownsBatch(record *clusterstate.TaskRecord) bool {
	owned, known := b.ownedBatches[record]
	if !known {
		if b.ownedBatches == nil {
			b.ownedBatches = map[*clusterstate.TaskRecord]bool{}
		}
		owned = ownsAllTasks(record, b.Context.Machines)
		b.ownedBatches[record] = owned
	}
	return owned
}

// ownsAllTasks reports whether no task of a batch record is on another controller's machine.
func ownsAllTasks(record *clusterstate.TaskRecord, machines MachineOwner) bool {
	for _, task := range record.Tasks {
		if task.OnMachine() && record.Holds(task) && !machines.OwnsMachine(task.Machine) {
			return false
		}
	}
	return true
}

// pendingBatch is a batch record that is about to be written.
type pendingBatch struct {
	key     string // empty for a new batch record
	entries []taskbatch.Entry
	owned   bool            // all its tasks belong to this controller
	kept    bool            // it may not be removed yet
	value   json.RawMessage // encoded entries, set only if batches were merged into this one
}

// batchWrites returns the writes of the batch records that the transaction creates, changes
// and removes, in this order.
func (t *Transaction) batchWrites(context TxnContext) []store.Write {
	var created, updated, removed []store.Write
	for _, batch := range t.pendingBatches(context) {
		if len(batch.entries) == 0 {
			if batch.key != "" {
				removed = append(removed, Remove(batch.key))
			}
			continue
		}
		values := []json.RawMessage{batch.value}
		if batch.value == nil {
			values = taskbatch.Split(batch.entries, context.Limits.ValueBytes)
		}
		if batch.key != "" && len(values) > 0 {
			updated = append(updated, store.Write{Put: batch.key, Value: values[0]})
			values = values[1:]
		}
		for _, value := range values {
			created = append(created, store.Write{Put: context.BatchKeys.NewBatchKey(), Value: value})
		}
	}
	return slices.Concat(created, updated, removed)
}

// pendingBatches returns the batch records that the transaction changes or creates. Batch
// records that only this controller writes are merged if they fit together: that takes one put
// and one removal instead of two puts, and later one write instead of two.
func (t *Transaction) pendingBatches(context TxnContext) []pendingBatch {
	var batches []pendingBatch
	for _, key := range t.recordOrder {
		record := recordOf(t.edits[key])
		if !record.IsBatch() {
			continue
		}
		kept := !context.ReplayGuard.MayRemove(record)
		knownEpoch := context.KnownEpoch
		if kept {
			knownEpoch = 0 // obsolete tasks stay, so that the record is not left empty
		}
		entries := remainingEntries(record, t.edits[key], knownEpoch)
		if ownsAllTasks(record, context.Machines) {
			batches = append(batches, pendingBatch{key: key, entries: entries, owned: true, kept: kept})
			continue
		}
		own, others := splitOwned(record, t.edits[key], entries, context.Machines)
		batches = append(
			batches,
			pendingBatch{key: key, entries: others, kept: kept},
			pendingBatch{entries: own, owned: true},
		)
	}
	mergeSmallBatches(batches, context.Limits.ValueBytes)
	for _, controller := range clusterstate.SortedKeys(t.newBatches) {
		batches = append(batches, pendingBatch{entries: t.newBatches[controller]})
	}
	return batches
}

// remainingEntries returns a batch record's entries after some of its tasks have changed. Tasks
// that leave the record are left out, as are obsolete tasks of jobs that have ended, given the
// epoch up to which all changes are known.
func remainingEntries(
	record *clusterstate.TaskRecord,
	edits map[*clusterstate.Task]Change,
	knownEpoch uint64,
) []taskbatch.Entry {
	var entries []taskbatch.Entry
	for _, task := range record.Tasks {
		next := task.Task
		change, edited := edits[task]
		if edited {
			next = change.Next
		}
		if record.Holds(task) && !change.LeavesBatch && !task.ObsoleteAs(&next, knownEpoch) {
			entries = append(entries, taskbatch.Entry{JobID: task.Job.ID, Index: task.Index, Task: next})
		}
	}
	return entries
}

// splitOwned separates the tasks on this controller's machines from the other tasks of a batch
// record that other controllers also write, if the transaction writes one of this controller's
// tasks. After a view change every batch record has tasks of all owners, and as long as they
// write the same records most of their transactions conflict.
func splitOwned(
	record *clusterstate.TaskRecord,
	edits map[*clusterstate.Task]Change,
	entries []taskbatch.Entry,
	machines MachineOwner,
) (own, others []taskbatch.Entry) {
	ownTasks := map[string]bool{}
	writesOwn := false
	for _, task := range record.Tasks {
		if task.OnMachine() && record.Holds(task) && machines.OwnsMachine(task.Machine) {
			ownTasks[task.ID] = true
			// A task that only gets a new attempt stays in its record: after an outage of
			// all controllers this applies to every task of a batch record, and it takes
			// one write instead of three.
			change, edited := edits[task]
			writesOwn = writesOwn || edited && change.Next.State != jobs.Placed
		}
	}
	if !writesOwn {
		return nil, entries
	}
	for _, entry := range entries {
		if ownTasks[jobs.TaskID(entry.JobID, entry.Index)] {
			own = append(own, entry)
		} else {
			others = append(others, entry)
		}
	}
	return own, others
}

// mergeSmallBatches moves the entries of small batch records into larger ones of the same
// controller, unless the small ones may not be removed yet. valueLimit is the maximum size of a value in
// bytes.
func mergeSmallBatches(batches []pendingBatch, valueLimit int) {
	var own []*pendingBatch
	for i := range batches {
		if batches[i].owned && len(batches[i].entries) > 0 {
			own = append(own, &batches[i])
		}
	}
	slices.SortStableFunc(own, func(a, b *pendingBatch) int {
		return cmp.Compare(len(b.entries), len(a.entries))
	})
	maxBytes := int(float64(valueLimit) * tuning.BatchFillShare)
	maxEntries := maxBytes / tuning.BatchTaskBytes
	for i, into := range own {
		for _, from := range own[i+1:] {
			count := len(into.entries) + len(from.entries)
			if from.kept || len(into.entries) == 0 || len(from.entries) == 0 || count > maxEntries {
				continue
			}
			merged := slices.Concat(into.entries, from.entries)
			if value := taskbatch.Encode(merged); len(value) <= maxBytes {
				into.entries, into.value, from.entries = merged, value, nil
			}
		}
	}
}
