package decide

import (
	"slices"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Batcher packs decisions into transactions within the state service's limits.
// Decisions about the same slice share a transaction, and one write of it.
//
// What a decision will add is guessed when it is taken in. What is sent is counted
// when it is made: new packs, split ones and their conditions are known only then. A
// transaction beyond a limit is refused whole, and everything in it with it
// (docs/incidents/refused-transactions.md).
type Batcher struct {
	TxnContext
	// CompletionWrites is how many writes of jobs' ends are under way; Pack adds to it.
	CompletionWrites int
	Busy             func(key string) bool        // under a transaction
	Allows           func(spent, writes int) bool // by the budget, now
	RecordBytes      func(key string) int         // bytes of a record as it is
	// Quarantine is told of a decision that no transaction can hold, and why.
	Quarantine func(decision *Decision, why string)

	transactions  []*Transaction
	open          *Transaction            // that takes whatever comes next
	writerOf      map[string]*Transaction // record to the batch that writes it
	changed       map[*clusterstate.Task]bool
	ownedBatches  map[*clusterstate.TaskRecord]bool // packs looked at: with no task on others' machines
	plannedWrites int
}

// Build makes batches of decisions, each with its transaction. Those that touch a
// record under a transaction are dropped, to be decided again later, and so are
// those, but for urgent ones, that the budget does not allow at once.
func (b *Batcher) Build(decisions []Decision) []*Transaction {
	b.writerOf, b.changed, b.ownedBatches = map[string]*Transaction{}, map[*clusterstate.Task]bool{}, map[*clusterstate.TaskRecord]bool{}
	for i := range decisions {
		if keys := decisions[i].Keys(); len(keys) > 0 || len(decisions[i].BatchEntries) > 0 {
			b.addDecision(&decisions[i], keys)
		} else {
			decisions[i].Drop() // it decides nothing
		}
	}
	var out []*Transaction
	for _, txn := range b.transactions {
		out = append(out, b.finish(txn)...)
	}
	return out
}

// finish makes a batch's transaction, or those of its halves if it passes a limit.
func (b *Batcher) finish(txn *Transaction) []*Transaction {
	if len(txn.Decisions) == 0 {
		return nil
	}
	txn.build(b.TxnContext)
	why := b.Limits.Fault(&txn.Txn)
	if why == "" {
		return []*Transaction{txn}
	}
	if len(txn.Decisions) == 1 {
		b.Quarantine(&txn.Decisions[0], why)
		b.dropTaken(&txn.Decisions[0])
		return nil
	}
	first, second := b.halves(txn)
	return append(b.finish(first), b.finish(second)...)
}

// Split makes the two halves of a batch whose transaction was refused, on the very
// versions that it was made from: what has changed since fails them.
func (b *Batcher) Split(txn *Transaction) []*Transaction {
	builtOn := map[string]uint64{}
	for _, c := range txn.Txn.Preconditions {
		builtOn[c.Key] = c.Revision
	}
	now := b.Revision
	b.Revision = func(key string) uint64 {
		if revision, ok := builtOn[key]; ok {
			return revision
		}
		return now(key)
	}
	first, second := b.halves(txn)
	return append(b.finish(first), b.finish(second)...)
}

// halves shares a batch's decisions out over two. Those of the second half that write
// what the first does are dropped, to be decided again once that is known.
func (b *Batcher) halves(txn *Transaction) (first, second *Transaction) {
	first, second = b.newTransaction(), b.newTransaction()
	written := map[string]bool{}
	for i := range txn.Decisions {
		decision := &txn.Decisions[i]
		keys := decision.Keys()
		switch {
		case i < (len(txn.Decisions)+1)/2:
			for _, k := range keys {
				written[k] = true
			}
			b.add(first, decision, keys)
		case slices.ContainsFunc(keys, func(k string) bool { return written[k] }):
			b.dropTaken(decision)
		default:
			b.add(second, decision, keys)
		}
	}
	return first, second
}

// dropTaken drops a decision that was taken in.
func (b *Batcher) dropTaken(decision *Decision) {
	if decision.CompletesJob {
		b.CompletionWrites -= len(decision.Writes)
	}
	decision.Drop()
}

// newTransaction is an empty batch.
func (b *Batcher) newTransaction() *Transaction {
	txn := &Transaction{edits: map[string]map[*clusterstate.Task]Change{}, preconditions: map[string]bool{}, newBatches: map[string][]taskbatch.Entry{}, splitBatches: map[string]bool{}}
	for _, k := range b.Preconditions {
		txn.preconditions[k] = true
	}
	return txn
}

// addDecision puts a decision into a batch, or drops it.
func (b *Batcher) addDecision(decision *Decision, keys []string) {
	txn, newWrites, ok := b.admissible(decision, keys)
	if !ok {
		decision.Drop()
		return
	}
	mustShare := txn != nil // a slice of it is in that batch already
	alone := b.touchesSharedBatch(decision)
	if txn == nil && !alone {
		txn = b.open
	}
	if txn != nil && !b.hasRoom(txn, decision, keys) {
		if mustShare {
			decision.Drop()
			return
		}
		txn = nil
	}
	if txn == nil {
		txn = b.newTransaction()
		b.transactions = append(b.transactions, txn)
		if !alone {
			b.open = txn
		}
	}
	b.plannedWrites += newWrites
	if decision.CompletesJob {
		b.CompletionWrites += len(decision.Writes)
	}
	b.add(txn, decision, keys)
	for _, k := range keys {
		b.writerOf[k] = txn
	}
	for _, c := range decision.Changes {
		b.changed[c.Task] = true
	}
}

// admissible tells whether a decision may be taken now, with the batch that it must
// share because of a slice, if any, and how many records it writes that no batch
// writes yet.
func (b *Batcher) admissible(decision *Decision, keys []string) (txn *Transaction, newWrites int, ok bool) {
	for _, k := range keys {
		if b.writerOf[k] == nil {
			newWrites++
		}
	}
	for _, entry := range decision.BatchEntries {
		if b.open == nil || b.open.newBatches[entry.Controller] == nil {
			newWrites++
		}
	}
	ok = (decision.Urgent || newWrites == 0 || b.Allows(b.plannedWrites, newWrites)) && !(decision.CompletesJob && b.CompletionWrites >= b.Limits.Ops)
	for _, k := range keys {
		ok = ok && !b.Busy(k)
		if entry := b.writerOf[k]; entry != nil {
			ok = ok && (txn == nil || txn == entry)
			txn = entry
		}
	}
	for _, write := range decision.Writes {
		ok = ok && b.writerOf[WriteKey(write)] == nil
	}
	for _, c := range decision.Changes {
		key := c.Task.Stored.Key
		ok = ok && !b.changed[c.Task] && c.Task.Job.Tasks[c.Task.Index] == c.Task && (b.writerOf[key] == nil || b.writerOf[key].edits[key] != nil)
	}
	return txn, newWrites, ok
}

// hasRoom tells whether a batch holds a decision more.
func (b *Batcher) hasRoom(txn *Transaction, decision *Decision, keys []string) bool {
	ops, preconditions, size := b.cost(txn, decision, keys)
	newKeys := len(txn.newBatches) + len(txn.splitBatches) // under keys that are still to come
	return len(txn.writes)+len(txn.recordOrder)+newKeys+ops <= b.Limits.Ops && len(txn.preconditions)+newKeys+preconditions <= b.Limits.Preconditions && txn.estimatedBytes+size <= tuning.TxnBytes
}

// cost is what a decision adds to a batch: records, conditions and bytes.
func (b *Batcher) cost(txn *Transaction, decision *Decision, keys []string) (ops, preconditions, size int) {
	for _, k := range keys {
		if _, ok := txn.edits[k]; !ok {
			ops++
			size += b.RecordBytes(k) + 3*len(k) + 120
		}
		if !txn.preconditions[k] {
			preconditions++
		}
	}
	for _, write := range decision.Writes {
		size += len(write.Value)
	}
	newKeys := map[string]bool{}
	for _, entry := range decision.BatchEntries {
		if txn.newBatches[entry.Controller] == nil {
			newKeys[entry.Controller] = true
		}
		size += tuning.ChangeBytes
	}
	for _, c := range decision.Changes {
		if key := c.Task.Stored.Key; !txn.splitBatches[key] && b.splitsBatch(c.Task) {
			newKeys[key] = true
		}
	}
	for _, k := range decision.ReadSet {
		if !txn.preconditions[k] {
			preconditions++
			size += len(k) + 40
		}
	}
	return ops + len(newKeys), preconditions + len(newKeys), size + len(decision.Changes)*tuning.ChangeBytes
}

// splitsBatch tells whether writing a task takes this controller's tasks out of a pack that
// others write too.
func (b *Batcher) splitsBatch(t *clusterstate.Task) bool {
	return t.OnMachine() && t.Stored.IsBatch() && !b.ownsBatch(t.Stored) && b.OwnsMachine(t.Machine)
}

func (b *Batcher) add(txn *Transaction, decision *Decision, keys []string) {
	_, _, size := b.cost(txn, decision, keys)
	txn.estimatedBytes += size
	txn.Decisions = append(txn.Decisions, *decision)
	txn.Urgent = txn.Urgent || decision.Urgent
	for _, k := range keys {
		txn.preconditions[k] = true
	}
	for _, k := range decision.ReadSet {
		txn.preconditions[k] = true
	}
	txn.writes = append(txn.writes, decision.Writes...)
	for _, c := range decision.Changes {
		key := c.Task.Stored.Key
		if txn.edits[key] == nil {
			txn.edits[key] = map[*clusterstate.Task]Change{}
			txn.recordOrder = append(txn.recordOrder, key)
		}
		txn.edits[key][c.Task] = c
		if b.splitsBatch(c.Task) {
			txn.splitBatches[key] = true
		}
	}
	for _, entry := range decision.BatchEntries {
		txn.newBatches[entry.Controller] = append(txn.newBatches[entry.Controller], entry.Entry)
	}
}
