package decide

import (
	"maps"
	"slices"

	"github.com/harrierreel/harrierreel/internal/book"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/records"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Batch is a transaction with the decisions that it commits.
type Batch struct {
	Decisions []Decision
	Urgent    bool
	Txn       store.Txn

	conds  map[string]bool // keys that it is conditional on, but for those of new packs
	writes []store.Write
	edits  map[string]map[*book.Task]Change // slice to what becomes of its tasks
	order  []string                         // the slices, as they came
	fresh  map[string][]records.Entry       // part to the tasks of its new pack
	parted map[string]bool                  // packs from which this controller's tasks go into a new one
	size   int                              // bytes, as a guess
}

// Form is what the transactions of a batch hang on besides its decisions.
type Form struct {
	Limits store.Limits
	// Always is the keys that every transaction is conditional on.
	Always []string
	// Stamp is the version of a key that is known.
	Stamp func(key string) uint64
	// Known is up to where all changes of the state service are known.
	Known uint64
	// Mine tells whether a machine belongs to this controller.
	Mine func(host string) bool
	// NewKey is the key of a pack that was never used.
	NewKey func() string
}

// put makes what the batch writes: what is put stands before what is removed.
func (b *Batch) put(f Form) []store.Write {
	out := slices.Clone(b.writes)
	for _, k := range b.order {
		if sl := sliceOf(b.edits[k]); !sl.Packed() {
			out = append(out, sliceWrite(sl, b.edits[k], f.Limits.Value))
		}
	}
	return append(out, b.packWrites(f)...)
}

// make makes the batch's transaction, whole as it is sent.
func (b *Batch) make(f Form) {
	t := store.Txn{Writes: b.put(f)}
	keys := maps.Clone(b.conds)
	for _, w := range t.Writes {
		keys[Key(w)] = true
	}
	for _, k := range book.Sorted(keys) {
		t.If = append(t.If, store.Cond{Key: k, Stamp: f.Stamp(k)})
	}
	b.Txn = t
}

// sliceOf is the slice that some changed tasks are in.
func sliceOf(edits map[*book.Task]Change) *book.Slice {
	for t := range edits {
		return t.Slice
	}
	return nil
}

// sliceWrite is the record of a slice with some of its tasks changed. A slice of a
// job that is over, none of whose tasks may be on a machine, is removed. One of a job
// whose record cannot be read is kept: it may be live, and its tries must not be used
// again.
func sliceWrite(sl *book.Slice, edits map[*book.Task]Change, limit int) store.Write {
	records := make([]jobs.Task, len(sl.Tasks))
	rest := true
	for i, t := range sl.Tasks {
		records[i] = t.Task
		if c, ok := edits[t]; ok {
			records[i] = c.Next
		}
		rest = rest && !records[i].On()
	}
	if rest && !sl.Job.Doubted && (sl.Job.Rec == nil || sl.Job.Rec.State != jobs.Live) {
		return Remove(sl.Key)
	}
	return store.Write{Put: sl.Key, Value: jobs.EncodeSlice(records, limit)}
}

// Packer packs decisions into transactions within the state service's limits.
// Decisions about the same slice share a transaction, and one write of it.
//
// What a decision will add is guessed when it is taken in. What is sent is counted
// when it is made: new packs, split ones and their conditions are known only then. A
// transaction beyond a limit is refused whole, and everything in it with it
// (docs/incidents/refused-transactions.md).
type Packer struct {
	Form
	// Ending is how many writes of jobs' ends are under way; Pack adds to it.
	Ending int
	Busy   func(key string) bool        // under a transaction
	Allows func(spent, writes int) bool // by the budget, now
	Size   func(key string) int         // bytes of a record as it is
	// SetAside is told of a decision that no transaction can hold, and why.
	SetAside func(d *Decision, why string)

	all     []*Batch
	last    *Batch            // that takes whatever comes next
	in      map[string]*Batch // record to the batch that writes it
	changed map[*book.Task]bool
	own     map[*book.Slice]bool // packs looked at: with no task on others' machines
	spent   int
}

// Pack makes batches of decisions, each with its transaction. Those that touch a
// record under a transaction are dropped, to be decided again later, and so are
// those, but for urgent ones, that the budget does not allow at once.
func (p *Packer) Pack(ds []Decision) []*Batch {
	p.in, p.changed, p.own = map[string]*Batch{}, map[*book.Task]bool{}, map[*book.Slice]bool{}
	for i := range ds {
		if keys := ds[i].Keys(); len(keys) > 0 || len(ds[i].Fresh) > 0 {
			p.enter(&ds[i], keys)
		} else {
			ds[i].Drop() // it decides nothing
		}
	}
	var out []*Batch
	for _, b := range p.all {
		out = append(out, p.finish(b)...)
	}
	return out
}

// finish makes a batch's transaction, or those of its halves if it passes a limit.
func (p *Packer) finish(b *Batch) []*Batch {
	if len(b.Decisions) == 0 {
		return nil
	}
	b.make(p.Form)
	why := p.Limits.Fault(&b.Txn)
	if why == "" {
		return []*Batch{b}
	}
	if len(b.Decisions) == 1 {
		p.SetAside(&b.Decisions[0], why)
		p.leave(&b.Decisions[0])
		return nil
	}
	first, second := p.halves(b)
	return append(p.finish(first), p.finish(second)...)
}

// Halve makes the two halves of a batch whose transaction was refused, on the very
// versions that it was made from: what has changed since fails them.
func (p *Packer) Halve(b *Batch) []*Batch {
	was := map[string]uint64{}
	for _, c := range b.Txn.If {
		was[c.Key] = c.Stamp
	}
	now := p.Stamp
	p.Stamp = func(key string) uint64 {
		if stamp, ok := was[key]; ok {
			return stamp
		}
		return now(key)
	}
	first, second := p.halves(b)
	return append(p.finish(first), p.finish(second)...)
}

// halves shares a batch's decisions out over two. Those of the second half that write
// what the first does are dropped, to be decided again once that is known.
func (p *Packer) halves(b *Batch) (first, second *Batch) {
	first, second = p.begin(), p.begin()
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
			p.leave(d)
		default:
			p.add(second, d, keys)
		}
	}
	return first, second
}

// leave drops a decision that was taken in.
func (p *Packer) leave(d *Decision) {
	if d.Ends {
		p.Ending -= len(d.Writes)
	}
	d.Drop()
}

// begin is an empty batch.
func (p *Packer) begin() *Batch {
	b := &Batch{edits: map[string]map[*book.Task]Change{}, conds: map[string]bool{}, fresh: map[string][]records.Entry{}, parted: map[string]bool{}}
	for _, k := range p.Always {
		b.conds[k] = true
	}
	return b
}

// enter puts a decision into a batch, or drops it.
func (p *Packer) enter(d *Decision, keys []string) {
	b, more, ok := p.fits(d, keys)
	if !ok {
		d.Drop()
		return
	}
	fixed := b != nil // a slice of it is in that batch already
	alone := p.shared(d)
	if b == nil && !alone {
		b = p.last
	}
	if b != nil && !p.room(b, d, keys) {
		if fixed {
			d.Drop()
			return
		}
		b = nil
	}
	if b == nil {
		b = p.begin()
		p.all = append(p.all, b)
		if !alone {
			p.last = b
		}
	}
	p.spent += more
	if d.Ends {
		p.Ending += len(d.Writes)
	}
	p.add(b, d, keys)
	for _, k := range keys {
		p.in[k] = b
	}
	for _, c := range d.Changes {
		p.changed[c.Task] = true
	}
}

// fits tells whether a decision may be taken now, with the batch that it must
// share because of a slice, if any, and how many records it writes that no batch
// writes yet.
func (p *Packer) fits(d *Decision, keys []string) (b *Batch, more int, ok bool) {
	for _, k := range keys {
		if p.in[k] == nil {
			more++
		}
	}
	for _, x := range d.Fresh {
		if p.last == nil || p.last.fresh[x.Part] == nil {
			more++
		}
	}
	ok = (d.Urgent || more == 0 || p.Allows(p.spent, more)) && !(d.Ends && p.Ending >= p.Limits.Ops)
	for _, k := range keys {
		ok = ok && !p.Busy(k)
		if x := p.in[k]; x != nil {
			ok = ok && (b == nil || b == x)
			b = x
		}
	}
	for _, w := range d.Writes {
		ok = ok && p.in[Key(w)] == nil
	}
	for _, c := range d.Changes {
		key := c.Task.Slice.Key
		ok = ok && !p.changed[c.Task] && c.Task.Job.Tasks[c.Task.N] == c.Task && (p.in[key] == nil || p.in[key].edits[key] != nil)
	}
	return b, more, ok
}

// room tells whether a batch holds a decision more.
func (p *Packer) room(b *Batch, d *Decision, keys []string) bool {
	ops, conds, size := p.cost(b, d, keys)
	begun := len(b.fresh) + len(b.parted) // under keys that are still to come
	return len(b.writes)+len(b.order)+begun+ops <= p.Limits.Ops && len(b.conds)+begun+conds <= p.Limits.Conds && b.size+size <= tuning.TxnBytes
}

// cost is what a decision adds to a batch: records, conditions and bytes.
func (p *Packer) cost(b *Batch, d *Decision, keys []string) (ops, conds, size int) {
	for _, k := range keys {
		if _, ok := b.edits[k]; !ok {
			ops++
			size += p.Size(k) + 3*len(k) + 120
		}
		if !b.conds[k] {
			conds++
		}
	}
	for _, w := range d.Writes {
		size += len(w.Value)
	}
	begun := map[string]bool{}
	for _, x := range d.Fresh {
		if b.fresh[x.Part] == nil {
			begun[x.Part] = true
		}
		size += tuning.ChangeBytes
	}
	for _, c := range d.Changes {
		if key := c.Task.Slice.Key; !b.parted[key] && p.parts(c.Task) {
			begun[key] = true
		}
	}
	for _, k := range d.Seen {
		if !b.conds[k] {
			conds++
			size += len(k) + 40
		}
	}
	return ops + len(begun), conds + len(begun), size + len(d.Changes)*tuning.ChangeBytes
}

// parts tells whether writing a task takes this controller's tasks out of a pack that
// others write too.
func (p *Packer) parts(t *book.Task) bool {
	return t.On() && t.Slice.Packed() && !p.mine(t.Slice) && p.Mine(t.Host)
}

func (p *Packer) add(b *Batch, d *Decision, keys []string) {
	_, _, size := p.cost(b, d, keys)
	b.size += size
	b.Decisions = append(b.Decisions, *d)
	b.Urgent = b.Urgent || d.Urgent
	for _, k := range keys {
		b.conds[k] = true
	}
	for _, k := range d.Seen {
		b.conds[k] = true
	}
	b.writes = append(b.writes, d.Writes...)
	for _, c := range d.Changes {
		key := c.Task.Slice.Key
		if b.edits[key] == nil {
			b.edits[key] = map[*book.Task]Change{}
			b.order = append(b.order, key)
		}
		b.edits[key][c.Task] = c
		if p.parts(c.Task) {
			b.parted[key] = true
		}
	}
	for _, x := range d.Fresh {
		b.fresh[x.Part] = append(b.fresh[x.Part], x.Entry)
	}
}
