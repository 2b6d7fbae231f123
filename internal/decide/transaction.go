package decide

import (
	"maps"
	"slices"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
)

// Transaction is a transaction with the decisions that it commits.
type Transaction struct {
	Decisions []Decision
	Urgent    bool
	Txn       store.Txn

	preconditions  map[string]bool // keys that it is conditional on, but for those of new packs
	writes         []store.Write
	edits          map[string]map[*clusterstate.Task]Change // slice to what becomes of its tasks
	recordOrder    []string                                 // the slices, as they came
	newBatches     map[string][]taskbatch.Entry             // part to the tasks of its new pack
	splitBatches   map[string]bool                          // packs from which this controller's tasks go into a new one
	estimatedBytes int                                      // bytes, as a guess
}

// TxnContext is what the transactions of a batch hang on besides its decisions.
type TxnContext struct {
	Limits store.Limits
	// Preconditions is the keys that every transaction is conditional on.
	Preconditions []string
	// Revision is the version of a key that is known.
	Revision func(key string) uint64
	// KnownEpoch is up to where all changes of the state service are known.
	KnownEpoch uint64
	// OwnsMachine tells whether a machine belongs to this controller.
	OwnsMachine func(machine string) bool
	// NewBatchKey is the key of a pack that was never used.
	NewBatchKey func() string
}

// buildWrites makes what the batch writes: what is put stands before what is removed.
func (t *Transaction) buildWrites(context TxnContext) []store.Write {
	out := slices.Clone(t.writes)
	for _, key := range t.recordOrder {
		if record := recordOf(t.edits[key]); !record.IsBatch() {
			out = append(out, rangeWrite(record, t.edits[key], context.Limits.ValueBytes))
		}
	}
	return append(out, t.batchWrites(context)...)
}

// build makes the batch's transaction, whole as it is sent.
func (t *Transaction) build(context TxnContext) {
	txn := store.Txn{Writes: t.buildWrites(context)}
	keys := maps.Clone(t.preconditions)
	for _, write := range txn.Writes {
		keys[WriteKey(write)] = true
	}
	for _, key := range clusterstate.SortedKeys(keys) {
		txn.Preconditions = append(txn.Preconditions, store.Precondition{Key: key, Revision: context.Revision(key)})
	}
	t.Txn = txn
}

// recordOf is the slice that some changed tasks are in.
func recordOf(edits map[*clusterstate.Task]Change) *clusterstate.TaskRecord {
	for t := range edits {
		return t.Stored
	}
	return nil
}

// rangeWrite is the record of a slice with some of its tasks changed. A slice of a
// job that is over, none of whose tasks may be on a machine, is removed. One of a job
// whose record cannot be read is kept: it may be live, and its tries must not be used
// again.
func rangeWrite(record *clusterstate.TaskRecord, edits map[*clusterstate.Task]Change, valueLimit int) store.Write {
	records := make([]jobs.Task, len(record.Tasks))
	atRest := true
	for i, t := range record.Tasks {
		records[i] = t.Task
		if change, ok := edits[t]; ok {
			records[i] = change.Next
		}
		atRest = atRest && !records[i].OnMachine()
	}
	if atRest && !record.Job.RecordUnreadable && (record.Job.Record == nil || record.Job.Record.State != jobs.Live) {
		return Remove(record.Key)
	}
	return store.Write{Put: record.Key, Value: jobs.EncodeTaskRange(records, valueLimit)}
}
