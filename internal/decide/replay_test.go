package decide

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
)

// guardKey is the replay guard of the tests.
const guardKey = "scaler"

// holds reports whether a transaction's preconditions hold.
func (s *fakeStore) holds(txn *store.Txn) bool {
	return !slices.ContainsFunc(txn.Preconditions, func(p store.Precondition) bool {
		return s.Revision(p.Key) != p.Revision
	})
}

// updateGuard lets the context know the current revision of the guard.
func (h *historyFixture) updateGuard() {
	h.context.ReplayGuard = ReplayGuard{Key: guardKey, ChangedRevision: h.store.Revision(guardKey)}
}

// Whatever becomes of the batch records that a transaction wrote, a copy of the transaction that arrives later
// must fail: it would bring back outdated records of tasks.
func TestCommittedTransactionCannotBeExecutedAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistoryFixture(t)
		var committed []store.Txn
		h.committed = func(txn *store.Txn) { committed = append(committed, *txn) }
		h.store.commit([]store.Write{Put(guardKey, 0)})
		for i := range rapid.IntRange(1, 20).Draw(t, "steps") {
			h.updateGuard()
			h.step()
			if rapid.IntRange(0, 4).Draw(t, "guard changes") == 0 {
				h.store.commit([]store.Write{Put(guardKey, i)})
			}
			for _, txn := range committed {
				if h.store.holds(&txn) {
					t.Fatalf("can be executed again: %+v", txn)
				}
			}
		}
		h.checkOneBatchPerTask()
	})
}

// Transactions that depend on the guard wait while it is being written, as they would conflict.
func TestPlacementWaitsWhileReplayGuardIsWritten(t *testing.T) {
	for name, c := range map[string]struct {
		busy   bool
		before []Decision
		want   int // transactions
	}{
		"guard is not written":              {false, nil, 1},
		"guard is written by another":       {true, nil, 0},
		"guard is written in the same pass": {false, []Decision{{Writes: []store.Write{Put(guardKey, 1)}}}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			_, context := batchRecords(t, nil)
			context.Records = &fakeStore{items: map[string]store.Item{guardKey: {Revision: 4}}}
			context.ReplayGuard = ReplayGuard{Key: guardKey, ChangedRevision: 4}
			batcher := testBatcher(1, 100) // one write a transaction
			context.Limits.Ops = 1
			batcher.Context = context
			batcher.InFlight = busyFunc(func(key string) bool { return c.busy && key == guardKey })
			placement := Decision{BatchEntries: []BatchEntry{{Controller: "n0", Entry: placedEntry(0, "i-1")}}}
			if got := batcher.Build(append(c.before, placement)); len(got) != c.want {
				t.Errorf("%d transactions, want %d", len(got), c.want)
			}
		})
	}
}

// A batch record that was created after the guard last changed is written, and not removed, where all its tasks
// leave it or have become obsolete.
func TestBatchRecordIsNotRemovedBeforeReplayGuardChanges(t *testing.T) {
	for name, c := range map[string]struct {
		changedRevision uint64
		removed         bool
	}{
		"guard has not changed": {1, false},
		"guard has changed":     {2, true},
	} {
		t.Run(name, func(t *testing.T) {
			state, context := batchRecords(t, map[string][]taskbatch.Entry{
				"pack/0": {{JobID: "wk-0", Index: 0, Task: jobs.Task{State: jobs.Pending, Attempt: 1}}},
				"pack/1": {placedEntry(1, "i-1")},
			})
			context.ReplayGuard = ReplayGuard{Key: guardKey, ChangedRevision: c.changedRevision}
			context.KnownEpoch = 1
			placed := placedEntry(0, "i-1")
			placed.Task.Attempt = 2
			moves := Decision{
				Changes:      []Change{{Task: state.Jobs["wk-0"].Tasks[0], Next: placed.Task, LeavesBatch: true}},
				BatchEntries: []BatchEntry{{Controller: "n0", Entry: placed}},
			}
			expectRemoval(t, buildIn(context, moves), "pack/0", c.removed)

			task := state.Jobs["wk-0"].Tasks[1]
			if err := state.ApplyJob("wk-0", nil); err != nil {
				t.Fatal(err)
			}
			ends := Decision{Changes: []Change{{Task: task, Next: jobs.Task{State: jobs.Finished, Attempt: 1}}}}
			expectRemoval(t, buildIn(context, ends), "pack/1", c.removed)
		})
	}
}

// expectRemoval fails if transactions do not remove a key, or put it although it is to be removed.
func expectRemoval(t *testing.T, transactions []*Transaction, key string, removed bool) {
	t.Helper()
	for _, txn := range transactions {
		for _, write := range txn.Txn.Writes {
			if WriteKey(write) == key {
				if (write.Remove == key) != removed {
					t.Errorf("%s: removed %v, want %v", key, write.Remove == key, removed)
				}
				return
			}
		}
	}
	t.Errorf("%s is not written", key)
}
