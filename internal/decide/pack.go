package decide

import (
	"slices"

	"github.com/harrierreel/harrierreel/internal/book"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/records"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Batch is a transaction in the making.
type Batch struct {
	Decisions []Decision
	Conds     map[string]bool
	Urgent    bool

	writes []store.Write
	edits  map[string]map[*book.Task]Change // slice to what becomes of its tasks
	order  []string                         // the slices, as they came
	fresh  map[string][]records.Entry       // part to the tasks of its new pack
	size   int                              // bytes, at least
}

// Form is what the records that a batch writes hang on.
type Form struct {
	Limit int // bytes of a record
	// Known is up to where all changes of the state service are known.
	Known uint64
	// Mine tells whether a machine belongs to this controller.
	Mine func(host string) bool
	// NewKey is the key of a pack that was never used.
	NewKey func() string
}

// Writes is what the batch writes: what is put stands before what is removed.
func (b *Batch) Writes(f Form) []store.Write {
	out := slices.Clone(b.writes)
	for _, k := range b.order {
		if sl := sliceOf(b.edits[k]); !sl.Packed() {
			out = append(out, sliceWrite(sl, b.edits[k], f.Limit))
		}
	}
	return append(out, b.packWrites(f)...)
}

// sliceOf is the slice that some changed tasks are in.
func sliceOf(edits map[*book.Task]Change) *book.Slice {
	for t := range edits {
		return t.Slice
	}
	return nil
}

// sliceWrite is the record of a slice with some of its tasks changed. A slice of a
// job that is over, none of whose tasks may be on a machine, is removed.
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
	if rest && (sl.Job.Rec == nil || sl.Job.Rec.State != jobs.Live) {
		return Remove(sl.Key)
	}
	return store.Write{Put: sl.Key, Value: jobs.EncodeSlice(records, limit)}
}

// Packer packs decisions into transactions within the state service's limits.
// Decisions about the same slice share a transaction, and one write of it.
type Packer struct {
	MostOps int // puts and deletes of a transaction
	// Ending is how many writes of jobs' ends are under way; Pack adds to it.
	Ending int
	Busy   func(key string) bool        // under a transaction
	Allows func(spent, writes int) bool // by the budget, now
	Size   func(key string) int         // bytes of a record as it is
	Mine   func(host string) bool       // a machine of this controller

	all     []*Batch
	last    *Batch            // that takes whatever comes next
	in      map[string]*Batch // record to the batch that writes it
	changed map[*book.Task]bool
	own     map[*book.Slice]bool // packs looked at: with no task on others' machines
	spent   int
}

// condsKept is how many conditions every transaction has besides: the view, the
// fence and the quotas.
const condsKept = 3

// Pack makes batches of decisions. Those that touch a record under a transaction
// are dropped, to be decided again later, and so are those, but for urgent ones,
// that the budget does not allow at once.
func (p *Packer) Pack(ds []Decision) []*Batch {
	p.in, p.changed, p.own = map[string]*Batch{}, map[*book.Task]bool{}, map[*book.Slice]bool{}
	for i := range ds {
		if keys := ds[i].Keys(); len(keys) > 0 || len(ds[i].Fresh) > 0 {
			p.enter(&ds[i], keys)
		}
	}
	return p.all
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
		b = &Batch{edits: map[string]map[*book.Task]Change{}, Conds: map[string]bool{}, fresh: map[string][]records.Entry{}}
		p.all = append(p.all, b)
		if !alone {
			p.last = b
		}
	}
	p.spent += more
	p.add(b, d, keys)
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
	ok = (d.Urgent || more == 0 || p.Allows(p.spent, more)) && !(d.Ends && p.Ending >= p.MostOps)
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
	most := p.MostOps
	if len(d.Fresh) > 0 || len(b.fresh) > 0 || len(b.order) > 0 {
		most = max(most-tuning.PackSpare, 1)
	}
	return len(b.writes)+len(b.order)+len(b.fresh)+ops <= most && len(b.Conds)+conds <= p.MostOps*tuning.CondsPerOp-condsKept && b.size+size <= tuning.TxnBytes
}

// cost is what a decision adds to a batch: records, conditions and bytes.
func (p *Packer) cost(b *Batch, d *Decision, keys []string) (ops, conds, size int) {
	for _, k := range keys {
		if _, ok := b.edits[k]; !ok {
			ops++
			size += p.Size(k) + 3*len(k) + 120
		}
		if !b.Conds[k] {
			conds++
		}
	}
	for _, w := range d.Writes {
		size += len(w.Value)
	}
	parts := map[string]bool{}
	for _, x := range d.Fresh {
		if b.fresh[x.Part] == nil && !parts[x.Part] {
			parts[x.Part] = true
			ops, conds = ops+1, conds+1
		}
		size += tuning.ChangeBytes
	}
	for _, k := range d.Seen {
		if !b.Conds[k] {
			conds++
			size += len(k) + 40
		}
	}
	return ops, conds, size + len(d.Changes)*tuning.ChangeBytes
}

func (p *Packer) add(b *Batch, d *Decision, keys []string) {
	if d.Ends {
		p.Ending += len(d.Writes)
	}
	_, _, size := p.cost(b, d, keys)
	b.size += size
	b.Decisions = append(b.Decisions, *d)
	b.Urgent = b.Urgent || d.Urgent
	for _, k := range keys {
		p.in[k] = b
		b.Conds[k] = true
	}
	for _, k := range d.Seen {
		b.Conds[k] = true
	}
	b.writes = append(b.writes, d.Writes...)
	for _, c := range d.Changes {
		key := c.Task.Slice.Key
		if b.edits[key] == nil {
			b.edits[key] = map[*book.Task]Change{}
			b.order = append(b.order, key)
		}
		b.edits[key][c.Task] = c
		p.changed[c.Task] = true
	}
	for _, x := range d.Fresh {
		b.fresh[x.Part] = append(b.fresh[x.Part], x.Entry)
	}
}
