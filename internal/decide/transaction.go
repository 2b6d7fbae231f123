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

// Records is what is known of the state service's records. *store.Mirror is one.
type Records interface {
	// Revision is the last known revision of a key, 0 for one that is absent.
	Revision(key string) uint64
	// Get is the last known value of a key, nil for one that is absent.
	Get(key string) json.RawMessage
}

// MachineOwner knows which machines belong to this controller's shard.
type MachineOwner interface {
	OwnsMachine(machine string) bool
}

// BatchKeys names new batch records.
type BatchKeys interface {
	// NewBatchKey is a key that was never used before, by any controller.
	NewBatchKey() string
}

// TxnContext is what transactions depend on besides their decisions.
type TxnContext struct {
	Limits store.Limits
	// Preconditions are the keys that every transaction is conditional on.
	Preconditions []string
	// KnownEpoch is the epoch of the state service up to which all changes are known.
	KnownEpoch uint64
	Records    Records
	Machines   MachineOwner
	BatchKeys  BatchKeys
}

// Transaction is a transaction of the state service with the decisions that it commits.
type Transaction struct {
	Decisions []Decision
	// Urgent is set where one of the decisions is urgent.
	Urgent bool
	// Txn is what is sent. It is counted against the limits as it is: a change made to it
	// afterwards would go out unchecked.
	Txn store.Txn

	// preconditions are the keys that it is conditional on, without those of new batch records.
	preconditions map[string]bool
	writes        []store.Write
	// edits maps the key of a task record to what becomes of its tasks; recordOrder is its
	// keys in the order in which they came.
	edits       map[string]map[*clusterstate.Task]Change
	recordOrder []string
	// newBatches maps a controller to the entries of its new batch record.
	newBatches map[string][]taskbatch.Entry
	// splitBatches are the batch records from which this controller's tasks move to a new one.
	splitBatches map[string]bool
	// estimatedBytes is the size of the request as estimated before it is built.
	estimatedBytes int
}

// newTransaction makes a transaction without decisions.
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

// pendingKeys counts the records that are written under keys which are known only when
// the transaction is built.
func (t *Transaction) pendingKeys() int { return len(t.newBatches) + len(t.splitBatches) }

// buildWrites makes the writes. What is put comes before what is removed.
func (t *Transaction) buildWrites(context TxnContext) []store.Write {
	writes := slices.Clone(t.writes)
	for _, key := range t.recordOrder {
		if record := recordOf(t.edits[key]); !record.IsBatch() {
			writes = append(writes, taskRangeWrite(record, t.edits[key], context.Limits.ValueBytes))
		}
	}
	return append(writes, t.batchWrites(context)...)
}

// build makes Txn, whole as it is sent.
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
}

// recordOf is the task record that some changed tasks are in.
func recordOf(edits map[*clusterstate.Task]Change) *clusterstate.TaskRecord {
	for task := range edits {
		return task.StoredIn
	}
	return nil
}

// taskRangeWrite writes a task range with some of its tasks changed. The range of a job
// that is over is removed once none of its tasks may be on a machine. That of a job whose
// record cannot be read is kept: the job may be live, and its attempts' numbers must not
// be used again.
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
	over := !job.RecordUnreadable && (job.Record == nil || job.Record.State != jobs.Live)
	if over && !onMachine {
		return Remove(record.Key)
	}
	return store.Write{Put: record.Key, Value: jobs.EncodeTaskRange(tasks, valueLimit)}
}
