package decide

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
)

// Records gives access to the last known contents of the state service. *store.Mirror
// implements it.
type Records interface {
	// Revision returns the last known revision of a key, or 0 if the key is absent.
	Revision(key string) uint64
	// Get returns the last known value of a key, or nil if the key is absent.
	Get(key string) json.RawMessage
}

// MachineOwner knows which machines belong to this controller's shard.
type MachineOwner interface {
	// OwnsMachine reports whether a machine belongs to this controller's shard.
	OwnsMachine(machine string) bool
}

// BatchKeys generates the keys of new batch records.
type BatchKeys interface {
	// NewBatchKey returns a key that no controller has ever used before.
	NewBatchKey() string
}

// TxnContext holds what transactions depend on besides their decisions.
type TxnContext struct {
	Limits store.Limits
	// Preconditions lists the keys that every transaction is conditional on.
	Preconditions []string
	// KnownEpoch is the epoch of the state service up to which all changes have been applied
	// locally.
	KnownEpoch uint64
	Records    Records
	Machines   MachineOwner
	BatchKeys  BatchKeys
	// ReplayGuard protects against copies of transactions that arrive late (replay.go).
	ReplayGuard ReplayGuard
}

// Transaction is a transaction of the state service with the decisions that it commits.
type Transaction struct {
	Decisions []Decision
	// Urgent is set if at least one of the decisions is urgent.
	Urgent bool
	// Txn is the request that is sent. It has been checked against the limits and must not be
	// changed afterwards, because a later change would not be checked.
	Txn store.Txn

	// preconditions holds the keys that the transaction is conditional on, without those of new
	// batch records.
	preconditions map[string]bool
	writes        []store.Write
	// edits maps the key of a task record to the changes of its tasks. recordOrder lists the
	// keys of edits in the order in which they were added.
	edits       map[string]map[*clusterstate.Task]Change
	recordOrder []string
	// newBatches maps a controller to the entries of its new batch record.
	newBatches map[string][]taskbatch.Entry
	// splitBatches holds the keys of the batch records from which this controller's tasks may move
	// to a new one.
	splitBatches map[string]bool
	// guarded is set if the transaction is conditional on the replay guard.
	guarded bool
	// estimatedBytes is the size of the request as estimated before it is built.
	estimatedBytes int
}

// newTransaction returns a transaction without decisions.
func newTransaction(preconditions []string) *Transaction {
	txn := &Transaction{
		edits:         map[string]map[*clusterstate.Task]Change{},
		preconditions: map[string]bool{},
		newBatches:    map[string][]taskbatch.Entry{},
		splitBatches:  map[string]bool{},
	}
	for _, key := range preconditions {
		txn.preconditions[key] = true
	}
	return txn
}

// pendingKeys returns the number of records whose keys are generated only when the transaction
// is built.
func (t *Transaction) pendingKeys() int { return len(t.newBatches) + len(t.splitBatches) }

// buildWrites returns the writes of the transaction. Puts of batch records come before removals
// of batch records.
func (t *Transaction) buildWrites(context TxnContext) []store.Write {
	writes := slices.Clone(t.writes)
	for _, key := range t.recordOrder {
		if record := recordOf(t.edits[key]); !record.IsBatch() {
			writes = append(writes, taskRangeWrite(record, t.edits[key], context.Limits.ValueBytes))
		}
	}
	return append(writes, t.batchWrites(context)...)
}

// build sets Txn to the complete request.
func (t *Transaction) build(context TxnContext) {
	txn := store.Txn{Writes: t.buildWrites(context)}
	keys := maps.Clone(t.preconditions)
	for _, write := range txn.Writes {
		keys[WriteKey(write)] = true
	}
	for _, key := range clusterstate.SortedKeys(keys) {
		txn.Preconditions = append(txn.Preconditions, store.Precondition{
			Key:      key,
			Revision: context.Records.Revision(key),
		})
	}
	t.Txn = txn
	t.addReplayGuard(context)
}

// recordOf returns the task record that the changed tasks are stored in.
func recordOf(edits map[*clusterstate.Task]Change) *clusterstate.TaskRecord {
	for task := range edits {
		return task.StoredIn
	}
	return nil
}

// taskRangeWrite returns the write of a task range with some of its tasks changed. The range of
// a job that has ended is removed once none of its tasks may be on a machine. The range of a job
// whose record cannot be read is kept: the job may be live, and its attempt numbers must not be
// reused.
func taskRangeWrite(
	record *clusterstate.TaskRecord,
	edits map[*clusterstate.Task]Change,
	valueLimit int,
) store.Write {
	tasks := make([]jobs.Task, len(record.Tasks))
	onMachine := false
	for i, task := range record.Tasks {
		tasks[i] = task.Task
		if change, ok := edits[task]; ok {
			tasks[i] = change.Next
		}
		onMachine = onMachine || tasks[i].OnMachine()
	}
	job := record.Job
	jobEnded := !job.RecordUnreadable && (job.Record == nil || job.Record.State != jobs.Live)
	if jobEnded && !onMachine {
		return Remove(record.Key)
	}
	return store.Write{Put: record.Key, Value: jobs.EncodeTaskRange(tasks, valueLimit)}
}
