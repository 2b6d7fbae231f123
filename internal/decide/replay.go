package decide

import (
	"strings"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
)

// A committed transaction may arrive a second time, minutes later. It fails then, because a record that it
// wrote has another revision. The exception is a transaction that only created batch records: once they are
// removed, its preconditions hold again, and it would bring back outdated records of its tasks. Such a
// transaction is therefore also conditional on a key that changes again and again, the replay guard, and
// the batch records are not removed before the guard or the view has changed.

// ReplayGuard is the key that makes copies of transactions fail, as this controller knows it.
type ReplayGuard struct {
	// Key changes regularly while a leader acts, and is never removed. It is empty without a guard.
	Key string
	// ChangedRevision is the last known revision of the guard or of the view, whichever is higher.
	ChangedRevision uint64
}

// MayRemove reports whether a batch record may be removed: no copy of the transaction that created it can be
// executed any more.
func (g ReplayGuard) MayRemove(record *clusterstate.TaskRecord) bool {
	return g.Key == "" || record.CreatedRevision < g.ChangedRevision
}

// onlyCreates reports whether a transaction writes only keys that do not exist, among them a batch record.
func onlyCreates(txn *store.Txn) bool {
	creates := false
	absent := map[string]bool{}
	for _, precondition := range txn.Preconditions {
		absent[precondition.Key] = precondition.Revision == 0
	}
	for _, write := range txn.Writes {
		if !absent[WriteKey(write)] {
			return false
		}
		creates = creates || strings.HasPrefix(write.Put, taskbatch.KeyPrefix)
	}
	return creates
}

// addReplayGuard makes the transaction conditional on the replay guard if it could be executed twice.
func (t *Transaction) addReplayGuard(context TxnContext) {
	key := context.ReplayGuard.Key
	if key == "" || !onlyCreates(&t.Txn) {
		return
	}
	t.guarded = true
	if !t.preconditions[key] {
		guard := store.Precondition{Key: key, Revision: context.Records.Revision(key)}
		t.Txn.Preconditions = append(t.Txn.Preconditions, guard)
	}
}

// guardIsChanging reports whether a transaction depends on the replay guard while another transaction changes
// it: the two would conflict.
func (b *Batcher) guardIsChanging(txn *Transaction) bool {
	if !txn.guarded {
		return false
	}
	key := b.Context.ReplayGuard.Key
	writer := b.writerOf[key]
	return b.InFlight.Busy(key) || writer != nil && writer != txn
}

// keptInBatch returns a decision whose tasks stay in their batch records where those may not be removed yet.
func (b *Batcher) keptInBatch(decision *Decision) *Decision {
	kept := map[string]bool{}
	changes := make([]Change, 0, len(decision.Changes))
	for _, change := range decision.Changes {
		if change.LeavesBatch && !b.Context.ReplayGuard.MayRemove(change.Task.StoredIn) {
			change.LeavesBatch = false
			kept[change.Task.ID] = true
		}
		changes = append(changes, change)
	}
	if len(kept) == 0 {
		return decision
	}
	adjusted := *decision
	adjusted.Changes, adjusted.BatchEntries = changes, nil
	for _, entry := range decision.BatchEntries {
		if !kept[jobs.TaskID(entry.Entry.JobID, entry.Entry.Index)] {
			adjusted.BatchEntries = append(adjusted.BatchEntries, entry)
		}
	}
	return &adjusted
}
