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
func (p *Batcher) touchesSharedBatch(d *Decision) bool {
	for _, c := range d.Changes {
		if c.Task.Stored.IsBatch() && !p.ownsBatch(c.Task.Stored) {
			return true
		}
	}
	return false
}

// ownsBatch tells whether no task of a pack is on another controller's machine.
func (p *Batcher) ownsBatch(sl *clusterstate.TaskRecord) bool {
	own, known := p.ownedBatches[sl]
	if !known {
		own = ownsAllTasks(sl, p.OwnsMachine)
		p.ownedBatches[sl] = own
	}
	return own
}

func ownsAllTasks(sl *clusterstate.TaskRecord, owned func(machine string) bool) bool {
	for _, t := range sl.Tasks {
		if t.OnMachine() && sl.Holds(t) && !owned(t.Machine) {
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
func (b *Transaction) batchWrites(f TxnContext) []store.Write {
	var ps []pendingBatch
	for _, k := range b.recordOrder {
		sl := recordOf(b.edits[k])
		if !sl.IsBatch() {
			continue
		}
		es := remaining(sl, b.edits[k], f.KnownEpoch)
		if ownsAllTasks(sl, f.OwnsMachine) {
			ps = append(ps, pendingBatch{key: k, entries: es, owned: true})
			continue
		}
		own, others := splitOwned(sl, b.edits[k], es, f.OwnsMachine)
		ps = append(ps, pendingBatch{key: k, entries: others}, pendingBatch{entries: own, owned: true})
	}
	mergeSmall(ps, f.Limits.ValueBytes)
	for _, part := range clusterstate.SortedKeys(b.newBatches) {
		ps = append(ps, pendingBatch{entries: b.newBatches[part]})
	}
	var begun, puts, removes []store.Write
	for _, p := range ps {
		if len(p.entries) == 0 && p.key == "" {
			continue
		}
		if len(p.entries) == 0 {
			removes = append(removes, Remove(p.key))
			continue
		}
		values := []json.RawMessage{p.value}
		if p.value == nil {
			values = taskbatch.Split(p.entries, f.Limits.ValueBytes)
		}
		for _, v := range values {
			if p.key == "" {
				begun = append(begun, store.Write{Put: f.NewBatchKey(), Value: v})
			} else {
				puts = append(puts, store.Write{Put: p.key, Value: v})
			}
			p.key = ""
		}
	}
	return slices.Concat(begun, puts, removes)
}

// remaining is a pack's entries with some of its tasks changed, without those that
// leave it and those of jobs that are over.
func remaining(sl *clusterstate.TaskRecord, edits map[*clusterstate.Task]Change, known uint64) []taskbatch.Entry {
	var out []taskbatch.Entry
	for _, t := range sl.Tasks {
		rec := t.Task
		c, edited := edits[t]
		if edited {
			rec = c.Next
		}
		if sl.Holds(t) && !c.LeavesBatch && !t.ObsoleteAs(&rec, known) {
			out = append(out, taskbatch.Entry{JobID: t.Job.ID, Index: t.Index, Task: rec})
		}
	}
	return out
}

// splitOwned takes the tasks on this controller's machines out of a pack that others write
// as well, when it writes one of them: after a change of view every pack has tasks of
// all owners, and while they write the same packs most of their transactions conflict.
func splitOwned(sl *clusterstate.TaskRecord, edits map[*clusterstate.Task]Change, es []taskbatch.Entry, owned func(machine string) bool) (own, others []taskbatch.Entry) {
	ours := map[string]bool{}
	writes := false
	for _, t := range sl.Tasks {
		if t.OnMachine() && sl.Holds(t) && owned(t.Machine) {
			ours[t.ID] = true
			// What only gets another try is put where it stands: after all controllers
			// went down that is all of a pack, and it costs one change and not three.
			c, edited := edits[t]
			writes = writes || edited && c.Next.State != jobs.Placed
		}
	}
	if !writes {
		return nil, es
	}
	for _, e := range es {
		if ours[jobs.TaskID(e.JobID, e.Index)] {
			own = append(own, e)
		} else {
			others = append(others, e)
		}
	}
	return own, others
}

// mergeSmall moves the entries of small packs into larger ones of the same controller.
func mergeSmall(ps []pendingBatch, limit int) {
	var own []*pendingBatch
	for i := range ps {
		if ps[i].owned && len(ps[i].entries) > 0 {
			own = append(own, &ps[i])
		}
	}
	slices.SortStableFunc(own, func(a, b *pendingBatch) int { return cmp.Compare(len(b.entries), len(a.entries)) })
	full := int(float64(limit) * tuning.BatchFillShare)
	for i, into := range own {
		for _, from := range own[i+1:] {
			if len(into.entries) == 0 || len(from.entries) == 0 || len(into.entries)+len(from.entries) > full/tuning.BatchTaskBytes {
				continue
			}
			both := slices.Concat(into.entries, from.entries)
			if v := taskbatch.Encode(both); len(v) <= full {
				into.entries, into.value, from.entries = both, v, nil
			}
		}
	}
}
