package decide

import (
	"slices"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Constants for estimating the size of a request.
const (
	// writeOverheadBytes is what a written record adds to a request besides its key and value,
	// including its precondition.
	writeOverheadBytes = 120
	// preconditionOverheadBytes is what a precondition adds to a request besides its key.
	preconditionOverheadBytes = 40
	// keyMentions is how often a written record's key occurs in a request: in the write, in the
	// precondition and in an entry of the value.
	keyMentions = 3
)

// InFlight knows which records are part of a transaction that is not settled yet.
type InFlight interface {
	// Busy reports whether a record is part of an unsettled transaction.
	Busy(key string) bool
}

// Budget limits the rate of writes to the state service. *store.Client implements it.
type Budget interface {
	// Allows reports whether the given number of writes may be sent now, in addition to those
	// already planned.
	Allows(planned, writes int) bool
}

// Quarantiner receives the decisions that no transaction can hold.
type Quarantiner interface {
	// QuarantineDecision quarantines a decision for a reason. A Batcher passes a *LimitError.
	QuarantineDecision(decision *Decision, reason error)
}

// LimitError is the reason why a decision fits into no transaction.
type LimitError struct {
	// Exceeded describes the limit, with the actual count and the maximum.
	Exceeded string
}

// Error describes the exceeded limit.
func (e *LimitError) Error() string {
	return "transaction of one decision exceeds a limit: " + e.Exceeded
}

// Batcher batches decisions into transactions within the state service's limits. Decisions
// about the same task record share a transaction and a single write of the record. A Batcher is
// used for one Build or one Split.
//
// The size of a decision is estimated when the decision is added to a transaction. The exact
// size is checked when the transaction is built, because new batch records, split batch records
// and their preconditions are known only then. The state service refuses a transaction that
// exceeds a limit, and all decisions in it fail (docs/incidents/refused-transactions.md).
type Batcher struct {
	Context TxnContext
	// CompletionWrites counts the writes in flight that record the end of a job. Build and
	// Split update it.
	CompletionWrites int
	InFlight         InFlight
	Budget           Budget
	Quarantine       Quarantiner

	transactions []*Transaction
	// open is the transaction that further decisions are added to by default.
	open *Transaction
	// writerOf maps a record's key to the transaction that writes the record.
	writerOf map[string]*Transaction
	// changed holds the tasks that a decision has already changed.
	changed map[*clusterstate.Task]bool
	// ownedBatches caches the results of ownsBatch.
	ownedBatches map[*clusterstate.TaskRecord]bool
	// plannedWrites counts the records that the transactions write.
	plannedWrites int
}

// Build batches decisions into transactions. It drops decisions that write a record in flight,
// and non-urgent decisions that the budget does not allow now. Dropped decisions are expected
// to be made again in a later scheduling cycle.
func (b *Batcher) Build(decisions []Decision) []*Transaction {
	b.writerOf = map[string]*Transaction{}
	b.changed = map[*clusterstate.Task]bool{}
	for i := range decisions {
		if keys := decisions[i].Keys(); len(keys) > 0 || len(decisions[i].BatchEntries) > 0 {
			b.addDecision(b.keptInBatch(&decisions[i]), keys)
		} else {
			decisions[i].Drop() // it has no effect
		}
	}
	var built []*Transaction
	for _, txn := range b.transactions {
		built = append(built, b.buildWithinLimits(txn)...)
	}
	return built
}

// buildWithinLimits builds a transaction. If it exceeds a limit, it is split in half until every
// part fits; a single decision that does not fit is quarantined.
func (b *Batcher) buildWithinLimits(txn *Transaction) []*Transaction {
	if len(txn.Decisions) == 0 {
		return nil
	}
	txn.build(b.Context)
	if b.guardIsChanging(txn) {
		for i := range txn.Decisions {
			b.dropAdded(&txn.Decisions[i])
		}
		return nil
	}
	exceeded := b.Context.Limits.Violation(&txn.Txn)
	if exceeded == "" {
		return []*Transaction{txn}
	}
	if len(txn.Decisions) == 1 {
		b.Quarantine.QuarantineDecision(&txn.Decisions[0], &LimitError{Exceeded: exceeded})
		b.dropAdded(&txn.Decisions[0])
		return nil
	}
	return b.buildHalves(txn)
}

// buildHalves splits a transaction in two and builds both.
func (b *Batcher) buildHalves(txn *Transaction) []*Transaction {
	first, second := b.halves(txn)
	return append(b.buildWithinLimits(first), b.buildWithinLimits(second)...)
}

// Split splits a refused transaction in two. The new transactions use the record revisions of
// the original as preconditions, so they conflict if a record has changed in the meantime.
func (b *Batcher) Split(txn *Transaction) []*Transaction {
	pinned := pinnedRecords{Records: b.Context.Records, revisions: map[string]uint64{}}
	for _, precondition := range txn.Txn.Preconditions {
		pinned.revisions[precondition.Key] = precondition.Revision
	}
	b.Context.Records = pinned
	return b.buildHalves(txn)
}

// pinnedRecords wraps Records and overrides the revisions of some keys with earlier ones.
type pinnedRecords struct {
	Records
	revisions map[string]uint64
}

func (p pinnedRecords) Revision(key string) uint64 {
	if revision, ok := p.revisions[key]; ok {
		return revision
	}
	return p.Records.Revision(key)
}

// halves divides a transaction's decisions between two new transactions. Decisions of the second
// half that write a record of the first are dropped; they are made again once the outcome of the
// first half is known.
func (b *Batcher) halves(txn *Transaction) (first, second *Transaction) {
	first, second = newTransaction(b.Context.Preconditions), newTransaction(b.Context.Preconditions)
	written := map[string]bool{}
	for i := range txn.Decisions {
		decision := &txn.Decisions[i]
		keys := decision.Keys()
		switch {
		case i < (len(txn.Decisions)+1)/2:
			for _, key := range keys {
				written[key] = true
			}
			b.add(first, decision, keys)
		case slices.ContainsFunc(keys, func(key string) bool { return written[key] }):
			b.dropAdded(decision)
		default:
			b.add(second, decision, keys)
		}
	}
	return first, second
}

// dropAdded drops a decision that had already been added to a transaction.
func (b *Batcher) dropAdded(decision *Decision) {
	if decision.CompletesJob {
		b.CompletionWrites -= len(decision.Writes)
	}
	decision.Drop()
}

// addDecision adds a decision to a transaction, or drops it.
func (b *Batcher) addDecision(decision *Decision, keys []string) {
	newWrites := b.countNewWrites(decision, keys)
	writer, ok := b.admit(decision, keys, newWrites)
	if !ok {
		decision.Drop()
		return
	}
	txn := b.transactionFor(decision, keys, writer)
	if txn == nil {
		decision.Drop()
		return
	}
	b.plannedWrites += newWrites
	if decision.CompletesJob {
		b.CompletionWrites += len(decision.Writes)
	}
	b.add(txn, decision, keys)
	for _, key := range keys {
		b.writerOf[key] = txn
	}
	for _, change := range decision.Changes {
		b.changed[change.Task] = true
	}
}

// transactionFor returns the transaction that a decision is added to: the one that already
// writes one of its records, else the open one, else a new one. It returns nil if a transaction
// already writes one of the records but has no room.
func (b *Batcher) transactionFor(decision *Decision, keys []string, writer *Transaction) *Transaction {
	alone := b.touchesSharedBatch(decision)
	candidate := writer
	if candidate == nil && !alone {
		candidate = b.open
	}
	if candidate != nil && b.hasRoom(candidate, decision, keys) {
		return candidate
	}
	if writer != nil {
		return nil
	}
	txn := newTransaction(b.Context.Preconditions)
	b.transactions = append(b.transactions, txn)
	if !alone {
		b.open = txn
	}
	return txn
}

// countNewWrites returns the number of records that a decision writes and that no transaction
// writes yet.
func (b *Batcher) countNewWrites(decision *Decision, keys []string) int {
	count := 0
	for _, key := range keys {
		if b.writerOf[key] == nil {
			count++
		}
	}
	for _, entry := range decision.BatchEntries {
		if b.open == nil || b.open.newBatches[entry.Controller] == nil {
			count++
		}
	}
	return count
}

// admit reports whether a decision may be added now. writer is the transaction that it must
// join because both write the same task record, or nil.
func (b *Batcher) admit(decision *Decision, keys []string, newWrites int) (writer *Transaction, ok bool) {
	if !decision.Urgent && newWrites > 0 && !b.Budget.Allows(b.plannedWrites, newWrites) {
		return nil, false
	}
	if decision.CompletesJob && b.CompletionWrites >= b.Context.Limits.Ops {
		return nil, false
	}
	if slices.ContainsFunc(keys, b.InFlight.Busy) {
		return nil, false
	}
	for _, write := range decision.Writes {
		if b.writerOf[WriteKey(write)] != nil {
			return nil, false
		}
	}
	for _, change := range decision.Changes {
		if !b.mayChange(change.Task) {
			return nil, false
		}
	}
	return b.soleWriter(keys)
}

// soleWriter returns the transaction that writes any of the given records, or nil if none does.
// ok is false if more than one transaction does.
func (b *Batcher) soleWriter(keys []string) (writer *Transaction, ok bool) {
	for _, key := range keys {
		other := b.writerOf[key]
		if other == nil {
			continue
		}
		if writer != nil && writer != other {
			return nil, false
		}
		writer = other
	}
	return writer, true
}

// mayChange reports whether a task may be changed: it is current, no decision has changed it
// yet, and no other decision writes its record as a whole.
func (b *Batcher) mayChange(task *clusterstate.Task) bool {
	if b.changed[task] || task.Job.Tasks[task.Index] != task {
		return false
	}
	writer := b.writerOf[task.StoredIn.Key]
	return writer == nil || writer.edits[task.StoredIn.Key] != nil
}

// hasRoom reports whether a transaction is estimated to have room for one more decision.
func (b *Batcher) hasRoom(txn *Transaction, decision *Decision, keys []string) bool {
	added := b.costOf(txn, decision, keys)
	writes := len(txn.writes) + len(txn.recordOrder) + txn.pendingKeys() + added.writes
	preconditions := len(txn.preconditions) + txn.pendingKeys() + added.preconditions
	return writes <= b.Context.Limits.Ops &&
		preconditions <= b.Context.Limits.Preconditions &&
		txn.estimatedBytes+added.bytes <= tuning.TxnBytes
}

// cost is an estimate of what a decision adds to a transaction.
type cost struct {
	writes        int
	preconditions int
	bytes         int
}

// costOf estimates what a decision adds to a transaction.
func (b *Batcher) costOf(txn *Transaction, decision *Decision, keys []string) cost {
	newKeys := b.pendingKeysOf(txn, decision)
	total := cost{
		writes:        newKeys,
		preconditions: newKeys,
		bytes:         (len(decision.BatchEntries) + len(decision.Changes)) * tuning.ChangeBytes,
	}
	for _, key := range keys {
		if _, edited := txn.edits[key]; !edited {
			total.writes++
			total.bytes += len(b.Context.Records.Get(key)) + keyMentions*len(key) + writeOverheadBytes
		}
		if !txn.preconditions[key] {
			total.preconditions++
		}
	}
	for _, write := range decision.Writes {
		total.bytes += len(write.Value)
	}
	for _, key := range decision.ReadSet {
		if !txn.preconditions[key] {
			total.preconditions++
			total.bytes += len(key) + preconditionOverheadBytes
		}
	}
	return total
}

// pendingKeysOf returns the number of batch records that a decision adds to a transaction and
// whose keys are generated only when the transaction is built: new records and split-off ones.
func (b *Batcher) pendingKeysOf(txn *Transaction, decision *Decision) int {
	pending := map[string]bool{}
	for _, entry := range decision.BatchEntries {
		if txn.newBatches[entry.Controller] == nil {
			pending[entry.Controller] = true
		}
	}
	for _, change := range decision.Changes {
		if key := change.Task.StoredIn.Key; !txn.splitBatches[key] && b.splitsBatch(change.Task) {
			pending[key] = true
		}
	}
	return len(pending)
}

// add adds a decision to a transaction that has room for it.
func (b *Batcher) add(txn *Transaction, decision *Decision, keys []string) {
	txn.estimatedBytes += b.costOf(txn, decision, keys).bytes
	txn.Decisions = append(txn.Decisions, *decision)
	txn.Urgent = txn.Urgent || decision.Urgent
	for _, key := range keys {
		txn.preconditions[key] = true
	}
	for _, key := range decision.ReadSet {
		txn.preconditions[key] = true
	}
	txn.writes = append(txn.writes, decision.Writes...)
	for _, change := range decision.Changes {
		key := change.Task.StoredIn.Key
		if txn.edits[key] == nil {
			txn.edits[key] = map[*clusterstate.Task]Change{}
			txn.recordOrder = append(txn.recordOrder, key)
		}
		txn.edits[key][change.Task] = change
		if b.splitsBatch(change.Task) {
			txn.splitBatches[key] = true
		}
	}
	for _, entry := range decision.BatchEntries {
		txn.newBatches[entry.Controller] = append(txn.newBatches[entry.Controller], entry.Entry)
	}
}
