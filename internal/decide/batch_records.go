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

// touchesSharedBatch tells whether a decision writes a pack with tasks on other controllers'
// machines. Its owner writes it all the time, so the transaction may well conflict,
// and nothing else should fail with it.
func (b *Batcher) touchesSharedBatch(decision *Decision) bool {
	for _, change := range decision.Changes {
		if change.Task.Stored.IsBatch() && !b.ownsBatch(change.Task.Stored) {
			return true
		}
	}
	return false
}

// ownsBatch tells whether no task of a pack is on another controller's machine.
func (b *Batcher) ownsBatch(record *clusterstate.TaskRecord) bool {
	own, known := b.ownedBatches[record]
	if !known {
		own = ownsAllTasks(record, b.OwnsMachine)
		b.ownedBatches[record] = own
	}
	return own
}

func ownsAllTasks(record *clusterstate.TaskRecord, owned func(machine string) bool) bool {
	for _, t := range record.Tasks {
		if t.OnMachine() && record.Holds(t) && !owned(t.Machine) {
			return false
		}
	}
	return true
}

// pendingBatch is a pack as it is to be written.
type pendingBatch struct {
	key     string // none for a new one
	entries []taskbatch.Entry
	owned   bool
	value   json.RawMessage // as united, if it was
}

// batchWrites is the packs that the batch changes and those that it begins. Those of
// this controller alone are united where they fit together: it is one put and one
// removal instead of two puts, and from then on one change instead of two.
func (t *Transaction) batchWrites(context TxnContext) []store.Write {
	var pending []pendingBatch
	for _, key := range t.recordOrder {
		record := recordOf(t.edits[key])
		if !record.IsBatch() {
			continue
		}
		entries := remaining(record, t.edits[key], context.KnownEpoch)
		if ownsAllTasks(record, context.OwnsMachine) {
			pending = append(pending, pendingBatch{key: key, entries: entries, owned: true})
			continue
		}
		own, others := splitOwned(record, t.edits[key], entries, context.OwnsMachine)
		pending = append(pending, pendingBatch{key: key, entries: others}, pendingBatch{entries: own, owned: true})
	}
	mergeSmall(pending, context.Limits.ValueBytes)
	for _, controller := range clusterstate.SortedKeys(t.newBatches) {
		pending = append(pending, pendingBatch{entries: t.newBatches[controller]})
	}
	var created, updated, removed []store.Write
	for _, batch := range pending {
		if len(batch.entries) == 0 && batch.key == "" {
			continue
		}
		if len(batch.entries) == 0 {
			removed = append(removed, Remove(batch.key))
			continue
		}
		values := []json.RawMessage{batch.value}
		if batch.value == nil {
			values = taskbatch.Split(batch.entries, context.Limits.ValueBytes)
		}
		for _, value := range values {
			if batch.key == "" {
				created = append(created, store.Write{Put: context.NewBatchKey(), Value: value})
			} else {
				updated = append(updated, store.Write{Put: batch.key, Value: value})
			}
			batch.key = ""
		}
	}
	return slices.Concat(created, updated, removed)
}

// remaining is a pack's entries with some of its tasks changed, without those that
// leave it and those of jobs that are over.
func remaining(record *clusterstate.TaskRecord, edits map[*clusterstate.Task]Change, knownEpoch uint64) []taskbatch.Entry {
	var out []taskbatch.Entry
	for _, t := range record.Tasks {
		next := t.Task
		change, edited := edits[t]
		if edited {
			next = change.Next
		}
		if record.Holds(t) && !change.LeavesBatch && !t.ObsoleteAs(&next, knownEpoch) {
			out = append(out, taskbatch.Entry{JobID: t.Job.ID, Index: t.Index, Task: next})
		}
	}
	return out
}

// splitOwned takes the tasks on this controller's machines out of a pack that others write
// as well, when it writes one of them: after a change of view every pack has tasks of
// all owners, and while they write the same packs most of their transactions conflict.
func splitOwned(record *clusterstate.TaskRecord, edits map[*clusterstate.Task]Change, entries []taskbatch.Entry, owned func(machine string) bool) (own, others []taskbatch.Entry) {
	ownTasks := map[string]bool{}
	writesOwn := false
	for _, t := range record.Tasks {
		if t.OnMachine() && record.Holds(t) && owned(t.Machine) {
			ownTasks[t.ID] = true
			// What only gets another try is put where it stands: after all controllers
			// went down that is all of a pack, and it costs one change and not three.
			change, edited := edits[t]
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

// mergeSmall moves the entries of small packs into larger ones of the same controller.
func mergeSmall(pending []pendingBatch, limit int) {
	var own []*pendingBatch
	for i := range pending {
		if pending[i].owned && len(pending[i].entries) > 0 {
			own = append(own, &pending[i])
		}
	}
	slices.SortStableFunc(own, func(a, b *pendingBatch) int { return cmp.Compare(len(b.entries), len(a.entries)) })
	full := int(float64(limit) * tuning.BatchFillShare)
	for i, into := range own {
		for _, from := range own[i+1:] {
			if len(into.entries) == 0 || len(from.entries) == 0 || len(into.entries)+len(from.entries) > full/tuning.BatchTaskBytes {
				continue
			}
			merged := slices.Concat(into.entries, from.entries)
			if value := taskbatch.Encode(merged); len(value) <= full {
				into.entries, into.value, from.entries = merged, value, nil
			}
		}
	}
}
