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
	Quarantine func(d *Decision, why string)

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
func (p *Batcher) Build(ds []Decision) []*Transaction {
	p.writerOf, p.changed, p.ownedBatches = map[string]*Transaction{}, map[*clusterstate.Task]bool{}, map[*clusterstate.TaskRecord]bool{}
	for i := range ds {
		if keys := ds[i].Keys(); len(keys) > 0 || len(ds[i].BatchEntries) > 0 {
			p.addDecision(&ds[i], keys)
		} else {
			ds[i].Drop() // it decides nothing
		}
	}
	var out []*Transaction
	for _, b := range p.transactions {
		out = append(out, p.finish(b)...)
	}
	return out
}

// finish makes a batch's transaction, or those of its halves if it passes a limit.
func (p *Batcher) finish(b *Transaction) []*Transaction {
	if len(b.Decisions) == 0 {
		return nil
	}
	b.build(p.TxnContext)
	why := p.Limits.Fault(&b.Txn)
	if why == "" {
		return []*Transaction{b}
	}
	if len(b.Decisions) == 1 {
		p.Quarantine(&b.Decisions[0], why)
		p.dropTaken(&b.Decisions[0])
		return nil
	}
	first, second := p.halves(b)
	return append(p.finish(first), p.finish(second)...)
}

// Split makes the two halves of a batch whose transaction was refused, on the very
// versions that it was made from: what has changed since fails them.
func (p *Batcher) Split(b *Transaction) []*Transaction {
	was := map[string]uint64{}
	for _, c := range b.Txn.Preconditions {
		was[c.Key] = c.Revision
	}
	now := p.Revision
	p.Revision = func(key string) uint64 {
		if revision, ok := was[key]; ok {
			return revision
		}
		return now(key)
	}
	first, second := p.halves(b)
	return append(p.finish(first), p.finish(second)...)
}

// halves shares a batch's decisions out over two. Those of the second half that write
// what the first does are dropped, to be decided again once that is known.
func (p *Batcher) halves(b *Transaction) (first, second *Transaction) {
	first, second = p.newTransaction(), p.newTransaction()
	written := map[string]bool{}
	for i := range b.Decisions {
		d := &b.Decisions[i]
		keys := d.Keys()
		switch {
		case i < (len(b.Decisions)+1)/2:
			for _, k := range keys {
				written[k] = true
			}
			p.add(first, d, keys)
		case slices.ContainsFunc(keys, func(k string) bool { return written[k] }):
			p.dropTaken(d)
		default:
			p.add(second, d, keys)
		}
	}
	return first, second
}

// dropTaken drops a decision that was taken in.
func (p *Batcher) dropTaken(d *Decision) {
	if d.CompletesJob {
		p.CompletionWrites -= len(d.Writes)
	}
	d.Drop()
}

// newTransaction is an empty batch.
func (p *Batcher) newTransaction() *Transaction {
	b := &Transaction{edits: map[string]map[*clusterstate.Task]Change{}, preconditions: map[string]bool{}, newBatches: map[string][]taskbatch.Entry{}, splitBatches: map[string]bool{}}
	for _, k := range p.Preconditions {
		b.preconditions[k] = true
	}
	return b
}

// addDecision puts a decision into a batch, or drops it.
func (p *Batcher) addDecision(d *Decision, keys []string) {
	b, more, ok := p.admissible(d, keys)
	if !ok {
		d.Drop()
		return
	}
	fixed := b != nil // a slice of it is in that batch already
	alone := p.touchesSharedBatch(d)
	if b == nil && !alone {
		b = p.open
	}
	if b != nil && !p.hasRoom(b, d, keys) {
		if fixed {
			d.Drop()
			return
		}
		b = nil
	}
	if b == nil {
		b = p.newTransaction()
		p.transactions = append(p.transactions, b)
		if !alone {
			p.open = b
		}
	}
	p.plannedWrites += more
	if d.CompletesJob {
		p.CompletionWrites += len(d.Writes)
	}
	p.add(b, d, keys)
	for _, k := range keys {
		p.writerOf[k] = b
	}
	for _, c := range d.Changes {
		p.changed[c.Task] = true
	}
}

// admissible tells whether a decision may be taken now, with the batch that it must
// share because of a slice, if any, and how many records it writes that no batch
// writes yet.
func (p *Batcher) admissible(d *Decision, keys []string) (b *Transaction, more int, ok bool) {
	for _, k := range keys {
		if p.writerOf[k] == nil {
			more++
		}
	}
	for _, x := range d.BatchEntries {
		if p.open == nil || p.open.newBatches[x.Controller] == nil {
			more++
		}
	}
	ok = (d.Urgent || more == 0 || p.Allows(p.plannedWrites, more)) && !(d.CompletesJob && p.CompletionWrites >= p.Limits.Ops)
	for _, k := range keys {
		ok = ok && !p.Busy(k)
		if x := p.writerOf[k]; x != nil {
			ok = ok && (b == nil || b == x)
			b = x
		}
	}
	for _, w := range d.Writes {
		ok = ok && p.writerOf[WriteKey(w)] == nil
	}
	for _, c := range d.Changes {
		key := c.Task.Stored.Key
		ok = ok && !p.changed[c.Task] && c.Task.Job.Tasks[c.Task.Index] == c.Task && (p.writerOf[key] == nil || p.writerOf[key].edits[key] != nil)
	}
	return b, more, ok
}

// hasRoom tells whether a batch holds a decision more.
func (p *Batcher) hasRoom(b *Transaction, d *Decision, keys []string) bool {
	ops, preconditions, size := p.cost(b, d, keys)
	begun := len(b.newBatches) + len(b.splitBatches) // under keys that are still to come
	return len(b.writes)+len(b.recordOrder)+begun+ops <= p.Limits.Ops && len(b.preconditions)+begun+preconditions <= p.Limits.Preconditions && b.estimatedBytes+size <= tuning.TxnBytes
}

// cost is what a decision adds to a batch: records, conditions and bytes.
func (p *Batcher) cost(b *Transaction, d *Decision, keys []string) (ops, preconditions, size int) {
	for _, k := range keys {
		if _, ok := b.edits[k]; !ok {
			ops++
			size += p.RecordBytes(k) + 3*len(k) + 120
		}
		if !b.preconditions[k] {
			preconditions++
		}
	}
	for _, w := range d.Writes {
		size += len(w.Value)
	}
	begun := map[string]bool{}
	for _, x := range d.BatchEntries {
		if b.newBatches[x.Controller] == nil {
			begun[x.Controller] = true
		}
		size += tuning.ChangeBytes
	}
	for _, c := range d.Changes {
		if key := c.Task.Stored.Key; !b.splitBatches[key] && p.splitsBatch(c.Task) {
			begun[key] = true
		}
	}
	for _, k := range d.ReadSet {
		if !b.preconditions[k] {
			preconditions++
			size += len(k) + 40
		}
	}
	return ops + len(begun), preconditions + len(begun), size + len(d.Changes)*tuning.ChangeBytes
}

// splitsBatch tells whether writing a task takes this controller's tasks out of a pack that
// others write too.
func (p *Batcher) splitsBatch(t *clusterstate.Task) bool {
	return t.OnMachine() && t.Stored.IsBatch() && !p.ownsBatch(t.Stored) && p.OwnsMachine(t.Machine)
}

func (p *Batcher) add(b *Transaction, d *Decision, keys []string) {
	_, _, size := p.cost(b, d, keys)
	b.estimatedBytes += size
	b.Decisions = append(b.Decisions, *d)
	b.Urgent = b.Urgent || d.Urgent
	for _, k := range keys {
		b.preconditions[k] = true
	}
	for _, k := range d.ReadSet {
		b.preconditions[k] = true
	}
	b.writes = append(b.writes, d.Writes...)
	for _, c := range d.Changes {
		key := c.Task.Stored.Key
		if b.edits[key] == nil {
			b.edits[key] = map[*clusterstate.Task]Change{}
			b.recordOrder = append(b.recordOrder, key)
		}
		b.edits[key][c.Task] = c
		if p.splitsBatch(c.Task) {
			b.splitBatches[key] = true
		}
	}
	for _, x := range d.BatchEntries {
		b.newBatches[x.Controller] = append(b.newBatches[x.Controller], x.Entry)
	}
}
