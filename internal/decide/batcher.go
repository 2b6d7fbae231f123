package decide

import (
	"slices"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// What a record adds to a request besides its value and its key, in bytes: as an estimate,
// with its precondition.
const (
	writeOverheadBytes        = 120
	preconditionOverheadBytes = 40
	// keyMentions: a written record's key stands in its write, in its precondition and in
	// an entry of its value.
	keyMentions = 3
)

// InFlight knows which records are under a transaction that is not settled yet.
type InFlight interface {
	Busy(key string) bool
}

// Budget is the writes that the state service allows. *store.Client is one.
type Budget interface {
	// Allows tells whether so many writes may leave now, after those planned already.
	Allows(planned, writes int) bool
}

// Quarantiner takes the decisions that no transaction can hold.
type Quarantiner interface {
	// QuarantineDecision is given the reason, a *LimitError from a Batcher.
	QuarantineDecision(decision *Decision, reason error)
}

// LimitError is the reason why a decision fits into no transaction.
type LimitError struct {
	// Exceeded names the limit, with the count and what is allowed.
	Exceeded string
}

// Error names the limit.
func (e *LimitError) Error() string {
	return "transaction of one decision exceeds a limit: " + e.Exceeded
}

// Batcher batches decisions into transactions within the state service's limits.
// Decisions about the same task record share a transaction, and one write of it. It is
// made for one Build or one Split.
//
// What a decision will add is estimated when it is taken in. What is sent is counted
// when it is built: new batch records, split ones and their preconditions are known only
// then. A transaction beyond a limit is refused whole, and everything in it with it
// (docs/incidents/refused-transactions.md).
type Batcher struct {
	Context TxnContext
	// CompletionWrites counts the writes of completed jobs that are in flight. Build and
	// Split update it.
	CompletionWrites int
	InFlight         InFlight
	Budget           Budget
	Quarantine       Quarantiner

	transactions []*Transaction
	// open is the transaction that takes whatever comes next.
	open *Transaction
	// writerOf maps a record to the transaction that writes it.
	writerOf map[string]*Transaction
	changed  map[*clusterstate.Task]bool
	// ownedBatches caches, by batch record, whether no task of it is on another
	// controller's machine.
	ownedBatches map[*clusterstate.TaskRecord]bool
	// plannedWrites counts the records that the transactions write.
	plannedWrites int
}

// Build makes transactions of decisions. Decisions that touch a record in flight are
// dropped, to be made again later, and so are those, but for urgent ones, that the budget
// does not allow at once.
func (b *Batcher) Build(decisions []Decision) []*Transaction {
	b.writerOf = map[string]*Transaction{}
	b.changed = map[*clusterstate.Task]bool{}
	for i := range decisions {
		if keys := decisions[i].Keys(); len(keys) > 0 || len(decisions[i].BatchEntries) > 0 {
			b.addDecision(&decisions[i], keys)
		} else {
			decisions[i].Drop() // it decides nothing
		}
	}
	var built []*Transaction
	for _, txn := range b.transactions {
		built = append(built, b.finish(txn)...)
	}
	return built
}

// finish builds a transaction, or those of its halves if it exceeds a limit.
func (b *Batcher) finish(txn *Transaction) []*Transaction {
	if len(txn.Decisions) == 0 {
		return nil
	}
	txn.build(b.Context)
	exceeded := b.Context.Limits.Fault(&txn.Txn)
	if exceeded == "" {
		return []*Transaction{txn}
	}
	if len(txn.Decisions) == 1 {
		b.Quarantine.QuarantineDecision(&txn.Decisions[0], &LimitError{Exceeded: exceeded})
		b.dropTaken(&txn.Decisions[0])
		return nil
	}
	return b.finishHalves(txn)
}

func (b *Batcher) finishHalves(txn *Transaction) []*Transaction {
	first, second := b.halves(txn)
	return append(b.finish(first), b.finish(second)...)
}

// Split makes two transactions of one that was refused, at the same revisions that it was
// built from: they conflict where a record has changed since.
func (b *Batcher) Split(txn *Transaction) []*Transaction {
	pinned := pinnedRecords{Records: b.Context.Records, revisions: map[string]uint64{}}
	for _, precondition := range txn.Txn.Preconditions {
		pinned.revisions[precondition.Key] = precondition.Revision
	}
	b.Context.Records = pinned
	return b.finishHalves(txn)
}

// pinnedRecords are records of which some are taken at a revision from before.
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

// halves divides a transaction's decisions between two. Those of the second half that
// write what the first does are dropped, to be made again once its outcome is known.
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

// addDecision puts a decision into a transaction, or drops it.
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

// transactionFor is the transaction that takes a decision: the writer of one of its
// records where there is one, else the open one, else a new one. It is nil where the
// writer has no room.
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

// countNewWrites counts the records that a decision writes and no transaction does yet.
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

// admit tells whether a decision may be taken now, with the transaction that it must
// share because of a task record, if any.
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

// soleWriter is the transaction that writes some of these records, nil where none does;
// not ok where two do.
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

// mayChange tells whether a task may be changed: it is current, no decision has changed it
// yet, and its record is not written whole by another decision.
func (b *Batcher) mayChange(task *clusterstate.Task) bool {
	if b.changed[task] || task.Job.Tasks[task.Index] != task {
		return false
	}
	writer := b.writerOf[task.StoredIn.Key]
	return writer == nil || writer.edits[task.StoredIn.Key] != nil
}

// hasRoom tells whether a transaction can take a decision more.
func (b *Batcher) hasRoom(txn *Transaction, decision *Decision, keys []string) bool {
	added := b.costOf(txn, decision, keys)
	writes := len(txn.writes) + len(txn.recordOrder) + txn.pendingKeys() + added.writes
	preconditions := len(txn.preconditions) + txn.pendingKeys() + added.preconditions
	return writes <= b.Context.Limits.Ops &&
		preconditions <= b.Context.Limits.Preconditions &&
		txn.estimatedBytes+added.bytes <= tuning.TxnBytes
}

// cost is what a decision adds to a transaction, as an estimate.
type cost struct {
	writes        int
	preconditions int
	bytes         int
}

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

// pendingKeysOf counts the batch records that a decision adds to a transaction under keys
// which are known only when it is built: new ones, and ones that split from others.
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

// add puts a decision into a transaction that has room for it.
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
