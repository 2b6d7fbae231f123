package decide

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/harrierreel/harrierreel/internal/book"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/records"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// shared tells whether a decision writes a pack with tasks on other controllers'
// machines. Its owner writes it all the time, so the transaction may well conflict,
// and nothing else should fail with it.
func (p *Packer) shared(d *Decision) bool {
	for _, c := range d.Changes {
		if c.Task.Slice.Packed() && !p.mine(c.Task.Slice) {
			return true
		}
	}
	return false
}

// mine tells whether no task of a pack is on another controller's machine.
func (p *Packer) mine(sl *book.Slice) bool {
	own, known := p.own[sl]
	if !known {
		own = mine(sl, p.Mine)
		p.own[sl] = own
	}
	return own
}

func mine(sl *book.Slice, owned func(host string) bool) bool {
	for _, t := range sl.Tasks {
		if t.On() && sl.Holds(t) && !owned(t.Host) {
			return false
		}
	}
	return true
}

// packed is a pack as it is to be written.
type packed struct {
	key     string // none for a new one
	entries []records.Entry
	mine    bool
	value   json.RawMessage // as united, if it was
}

// packWrites is the packs that the batch changes and those that it begins. Those of
// this controller alone are united where they fit together: it is one put and one
// removal instead of two puts, and from then on one change instead of two.
func (b *Batch) packWrites(f Form) []store.Write {
	var ps []packed
	for _, k := range b.order {
		sl := sliceOf(b.edits[k])
		if !sl.Packed() {
			continue
		}
		es := remaining(sl, b.edits[k], f.Known)
		if mine(sl, f.Mine) {
			ps = append(ps, packed{key: k, entries: es, mine: true})
			continue
		}
		own, others := apart(sl, b.edits[k], es, f.Mine)
		ps = append(ps, packed{key: k, entries: others}, packed{entries: own, mine: true})
	}
	unite(ps, f.Limits.Value)
	for _, part := range book.Sorted(b.fresh) {
		ps = append(ps, packed{entries: b.fresh[part]})
	}
	var begun, puts, removes []store.Write
	for _, p := range ps {
		if len(p.entries) == 0 && p.key == "" {
			continue
		}
		if len(p.entries) == 0 {
			removes = append(removes, Remove(p.key))
			continue
		}
		values := []json.RawMessage{p.value}
		if p.value == nil {
			values = records.Split(p.entries, f.Limits.Value)
		}
		for _, v := range values {
			if p.key == "" {
				begun = append(begun, store.Write{Put: f.NewKey(), Value: v})
			} else {
				puts = append(puts, store.Write{Put: p.key, Value: v})
			}
			p.key = ""
		}
	}
	return slices.Concat(begun, puts, removes)
}

// remaining is a pack's entries with some of its tasks changed, without those that
// leave it and those of jobs that are over.
func remaining(sl *book.Slice, edits map[*book.Task]Change, known uint64) []records.Entry {
	var out []records.Entry
	for _, t := range sl.Tasks {
		rec := t.Task
		c, edited := edits[t]
		if edited {
			rec = c.Next
		}
		if sl.Holds(t) && !c.Leaves && !t.OverAs(&rec, known) {
			out = append(out, records.Entry{UID: t.Job.UID, N: t.N, Task: rec})
		}
	}
	return out
}

// apart takes the tasks on this controller's machines out of a pack that others write
// as well, when it writes one of them: after a change of view every pack has tasks of
// all owners, and while they write the same packs most of their transactions conflict.
func apart(sl *book.Slice, edits map[*book.Task]Change, es []records.Entry, owned func(host string) bool) (own, others []records.Entry) {
	ours := map[string]bool{}
	writes := false
	for _, t := range sl.Tasks {
		if t.On() && sl.Holds(t) && owned(t.Host) {
			ours[t.Piece] = true
			// What only gets another try is put where it stands: after all controllers
			// went down that is all of a pack, and it costs one change and not three.
			c, edited := edits[t]
			writes = writes || edited && c.Next.State != jobs.Placed
		}
	}
	if !writes {
		return nil, es
	}
	for _, e := range es {
		if ours[jobs.Piece(e.UID, e.N)] {
			own = append(own, e)
		} else {
			others = append(others, e)
		}
	}
	return own, others
}

// unite moves the entries of small packs into larger ones of the same controller.
func unite(ps []packed, limit int) {
	var own []*packed
	for i := range ps {
		if ps[i].mine && len(ps[i].entries) > 0 {
			own = append(own, &ps[i])
		}
	}
	slices.SortStableFunc(own, func(a, b *packed) int { return cmp.Compare(len(b.entries), len(a.entries)) })
	full := int(float64(limit) * tuning.PackFull)
	for i, into := range own {
		for _, from := range own[i+1:] {
			if len(into.entries) == 0 || len(from.entries) == 0 || len(into.entries)+len(from.entries) > full/tuning.PackTaskBytes {
				continue
			}
			both := slices.Concat(into.entries, from.entries)
			if v := records.Encode(both); len(v) <= full {
				into.entries, into.value, from.entries = both, v, nil
			}
		}
	}
}
