package decide

import (
	"github.com/harrierreel/harrierreel/internal/book"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Batch is a transaction in the making.
type Batch struct {
	Decisions []Decision
	Conds     map[string]bool
	Urgent    bool

	writes []store.Write
	edits  map[string]map[*book.Task]jobs.Task // slice to its tasks' new records
	order  []string                            // the slices, as they came
	size   int                                 // bytes, at least
}

// Writes is what the batch writes. limit is the most bytes of a record.
func (b *Batch) Writes(limit int) []store.Write {
	out := b.writes
	for _, k := range b.order {
		out = append(out, sliceWrite(k, b.edits[k], limit))
	}
	return out
}

// sliceWrite is the record of a slice with some of its tasks changed. A slice of a
// job that is over, none of whose tasks may be on a machine, is removed.
func sliceWrite(key string, edits map[*book.Task]jobs.Task, limit int) store.Write {
	var sl *book.Slice
	for t := range edits {
		sl = t.Slice
	}
	records := make([]jobs.Task, len(sl.Tasks))
	rest := true
	for i, t := range sl.Tasks {
		records[i] = t.Task
		if next, ok := edits[t]; ok {
			records[i] = next
		}
		rest = rest && !records[i].On()
	}
	if rest && (sl.Job.Rec == nil || sl.Job.Rec.State != jobs.Live) {
		return Remove(key)
	}
	return store.Write{Put: key, Value: jobs.EncodeSlice(records, limit)}
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

	all     []*Batch
	in      map[string]*Batch // record to the batch that writes it
	changed map[*book.Task]bool
	spent   int
}

// condsKept is how many conditions every transaction has besides: the view, the
// fence and the quotas.
const condsKept = 3

// Pack makes batches of decisions. Those that touch a record under a transaction
// are dropped, to be decided again later, and so are those, but for urgent ones,
// that the budget does not allow at once.
func (p *Packer) Pack(ds []Decision) []*Batch {
	p.in, p.changed = map[string]*Batch{}, map[*book.Task]bool{}
	for i := range ds {
		if keys := ds[i].Keys(); len(keys) > 0 {
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
	if b == nil && len(p.all) > 0 {
		b = p.all[len(p.all)-1]
	}
	if b != nil && !p.room(b, d, keys) {
		if fixed {
			d.Drop()
			return
		}
		b = nil
	}
	if b == nil {
		b = &Batch{edits: map[string]map[*book.Task]jobs.Task{}, Conds: map[string]bool{}}
		p.all = append(p.all, b)
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
	return len(b.writes)+len(b.order)+ops <= p.MostOps && len(b.Conds)+conds <= p.MostOps*tuning.CondsPerOp-condsKept && b.size+size <= tuning.TxnBytes
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
			b.edits[key] = map[*book.Task]jobs.Task{}
			b.order = append(b.order, key)
		}
		b.edits[key][c.Task] = c.Next
		p.changed[c.Task] = true
	}
}
