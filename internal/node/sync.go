package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"github.com/harrierreel/harrierreel/internal/book"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/pipelines"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

const (
	buildPrefix = "build/"
	fencePrefix = "fence/"
	summaryKey  = "scaler"
)

// livePrefixes are read whole at a start. Jobs come before their tasks.
var livePrefixes = []string{jobs.JobPrefix, jobs.TaskPrefix, fleet.HostPrefix, fleet.QuietPrefix, buildPrefix, fencePrefix, members.MemberPrefix, members.ViewKey, summaryKey}

// prefixes are the live prefixes of this node's duties. Runs come last: a run
// that names a job must not be met before the job.
func (n *Node) prefixes() []string {
	out := slices.Clone(livePrefixes)
	if n.quotas.on {
		out = append(out, quota.StoreKey)
	}
	if n.runs != nil {
		out = append(out, pipelines.RunPrefix)
	}
	return out
}

// syncState is how far the mirror has got.
type syncState struct {
	live      bool // every prefix was listed and the watch runs
	listing   bool
	following bool
	next      time.Time // when to list or follow again
	prefix    int
	rows      []store.Item
	since     uint64 // where the watch starts
	pageEpoch uint64
}

// keepSync lists what must be listed and keeps one watch open.
func (n *Node) keepSync() {
	if n.Now.Before(n.sync.next) {
		return
	}
	switch {
	case !n.sync.live && !n.sync.listing && !n.sync.following:
		n.sync = syncState{listing: true}
		n.listPage("")
	case n.sync.live && !n.sync.following:
		n.followNow()
	}
}

func (n *Node) listPage(since string) {
	prefix := n.prefixes()[n.sync.prefix]
	n.client.List(store.Urgent, prefix, since, func(p store.Page, err error) {
		if err != nil {
			n.sync = syncState{next: n.Now.Add(tuning.SyncAgain)}
			return
		}
		if n.sync.since == 0 {
			n.sync.since = p.Epoch
		}
		if since == "" {
			n.sync.rows, n.sync.pageEpoch = nil, p.Epoch
		}
		n.sync.rows = append(n.sync.rows, p.Rows...)
		if p.HasNext && len(p.Rows) > 0 {
			n.listPage(p.Rows[len(p.Rows)-1].Key)
			return
		}
		// Keys that the listing lacks are gone as of its first page.
		n.mirror.Listed(prefix, n.sync.rows, n.sync.pageEpoch)
		n.sync.rows = nil
		if n.sync.prefix++; n.sync.prefix < len(n.prefixes()) {
			n.listPage("")
			return
		}
		n.sync.listing, n.sync.live = false, true
		if n.sync.since > n.mirror.Epoch {
			n.mirror.Epoch = n.sync.since
		}
		n.log.Info("state read", "jobs", len(n.Jobs), "machines", len(n.Machines), "epoch", n.mirror.Epoch)
		n.followNow()
	})
}

// followGap is the pause between two watches: every node's watches together
// may take only a share of the state service's requests.
func (n *Node) followGap() time.Duration {
	rate := n.set.Cluster.State.RPS * tuning.FollowShare / float64(max(n.set.Cluster.Size, 1))
	return max(tuning.FollowGap, seconds(1/max(rate, 1)))
}

// followNow opens the watch unless it is open.
func (n *Node) followNow() {
	if !n.sync.live || n.sync.following {
		return
	}
	n.sync.following = true
	n.client.Follow(n.mirror.Epoch, func(epoch uint64, events []store.Event, err error) {
		n.sync.following = false
		switch {
		case errors.Is(err, store.ErrGone):
			n.log.Info("watch too old, reading again", "epoch", n.mirror.Epoch)
			n.sync = syncState{}
		case err != nil:
			n.sync.next = n.Now.Add(tuning.SyncAgain)
		default:
			n.mirror.Follow(epoch, events)
			n.sync.next = n.Now.Add(n.followGap())
			n.keepCertain()
			n.answerPolls()
		}
	})
}

// decision is one step that must be committed whole. Its transaction is
// conditional on the view, on every record it writes and on the keys in seen.
type decision struct {
	changes []change
	writes  []store.Write
	seen    []string
	done    func(ok bool)
	// urgent: a rule hangs on it, so it goes before all else that waits.
	urgent bool
	// ends: it is a job's end. Ends are urgent, but no more of them than about
	// one transaction holds are under way at once: a swarm of small jobs that
	// end together would hold up all else (docs/incidents/ops-swarm.md).
	ends bool
}

// change is what becomes of a task that a slice holds already.
type change struct {
	t    *book.Task
	next jobs.Task
}

func put(key string, v any) store.Write { return store.Write{Put: key, Value: jobs.Encode(v)} }

func remove(key string) store.Write { return store.Write{Remove: key} }

func writeKey(w store.Write) string {
	if w.Put != "" {
		return w.Put
	}
	return w.Remove
}

// rank is the rank of the job whose tasks a decision changes, the first for others.
func (d *decision) rank() int {
	if len(d.changes) == 0 || d.changes[0].t.Job.Rec == nil {
		return 0
	}
	return d.changes[0].t.Job.Rec.Spec.RankOrder()
}

// keys lists the records that a decision writes.
func (d *decision) keys() []string {
	out := make([]string, 0, len(d.writes)+1)
	for _, w := range d.writes {
		out = append(out, writeKey(w))
	}
	for _, c := range d.changes {
		if !slices.Contains(out, c.t.Slice.Key) {
			out = append(out, c.t.Slice.Key)
		}
	}
	return out
}

// batch is a transaction in the making.
type batch struct {
	ds     []decision
	writes []store.Write
	edits  map[string]map[*book.Task]jobs.Task // slice to its tasks' new records
	order  []string                            // the slices, as they came
	conds  map[string]bool
	size   int // bytes, at least
	urgent bool
}

// cost is what a decision adds to a batch: records, conditions and bytes.
func (n *Node) cost(b *batch, d *decision, keys []string) (ops, conds, size int) {
	for _, k := range keys {
		if _, ok := b.edits[k]; !ok {
			ops++
			size += len(n.mirror.Get(k)) + 3*len(k) + 120
		}
		if !b.conds[k] {
			conds++
		}
	}
	for _, w := range d.writes {
		size += len(w.Value)
	}
	for _, k := range d.seen {
		if !b.conds[k] {
			conds++
			size += len(k) + 40
		}
	}
	return ops, conds, size + len(d.changes)*tuning.ChangeBytes
}

// commit packs decisions into transactions within the state service's limits.
// Decisions about the same slice share a transaction, and one write of it.
// Those that touch a record under a transaction are left for a later pass, and
// so are those, but for urgent ones, that the budget does not allow at once.
func (n *Node) commit(ds []decision) {
	drop := func(d *decision) {
		if d.done != nil {
			d.done(false)
		}
	}
	if n.client.Down() || n.view == nil || n.fencing() {
		for i := range ds {
			drop(&ds[i])
		}
		return
	}
	mostOps := n.set.Cluster.State.TxnOps
	mostConds := mostOps*tuning.CondsPerOp - 3 // the view, the fence and the quotas
	var all []*batch
	spent := 0
	in := map[string]*batch{} // record to the batch that writes it
	changed := map[*book.Task]bool{}
	for i := range ds {
		d := &ds[i]
		keys := d.keys()
		if len(keys) == 0 {
			continue
		}
		var b *batch
		more := 0 // records that no batch writes yet
		for _, k := range keys {
			if in[k] == nil {
				more++
			}
		}
		ok := (d.urgent || more == 0 || n.client.Allows(spent, more)) && !(d.ends && n.ending >= mostOps)
		for _, k := range keys {
			ok = ok && !n.busy[k]
			if x := in[k]; x != nil {
				ok = ok && (b == nil || b == x)
				b = x
			}
		}
		for _, w := range d.writes {
			ok = ok && in[writeKey(w)] == nil
		}
		for _, c := range d.changes {
			ok = ok && !changed[c.t] && c.t.Job.Tasks[c.t.N] == c.t && (in[c.t.Slice.Key] == nil || in[c.t.Slice.Key].edits[c.t.Slice.Key] != nil)
		}
		if !ok {
			drop(d)
			continue
		}
		fixed := b != nil
		if b == nil && len(all) > 0 {
			b = all[len(all)-1]
		}
		if b != nil {
			ops, conds, size := n.cost(b, d, keys)
			if len(b.writes)+len(b.order)+ops > mostOps || len(b.conds)+conds > mostConds || b.size+size > tuning.TxnBytes {
				if fixed {
					drop(d)
					continue
				}
				b = nil
			}
		}
		if b == nil {
			b = &batch{edits: map[string]map[*book.Task]jobs.Task{}, conds: map[string]bool{}}
			all = append(all, b)
		}
		spent += more
		if d.ends {
			n.ending += len(d.writes)
		}
		_, _, size := n.cost(b, d, keys)
		b.size += size
		b.ds = append(b.ds, *d)
		b.urgent = b.urgent || d.urgent
		for _, k := range keys {
			in[k] = b
			b.conds[k] = true
		}
		for _, k := range d.seen {
			b.conds[k] = true
		}
		b.writes = append(b.writes, d.writes...)
		for _, c := range d.changes {
			key := c.t.Slice.Key
			if b.edits[key] == nil {
				b.edits[key] = map[*book.Task]jobs.Task{}
				b.order = append(b.order, key)
			}
			b.edits[key][c.t] = c.next
			changed[c.t] = true
		}
	}
	for _, b := range all {
		n.send(b)
	}
}

// sliceLimit is the most bytes that a slice's record may have.
func (n *Node) sliceLimit() int { return int(n.set.Cluster.State.ValueKB * 1024) }

// sliceMost is how many tasks one slice holds.
func (n *Node) sliceMost() int {
	return min(max(1, n.sliceLimit()/tuning.SliceTaskBytes), n.set.Cluster.State.TxnOps*tuning.CondsPerOp/2)
}

// write is the record of a slice with some of its tasks changed. A slice of a
// job that is over, none of whose tasks may be on a machine, is removed.
func (n *Node) write(key string, edits map[*book.Task]jobs.Task) store.Write {
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
		return remove(key)
	}
	return store.Write{Put: key, Value: jobs.EncodeSlice(records, n.sliceLimit())}
}

func (n *Node) send(b *batch) {
	var t store.Txn
	t.Writes = b.writes
	for _, k := range b.order {
		t.Writes = append(t.Writes, n.write(k, b.edits[k]))
	}
	b.conds[members.ViewKey], b.conds[n.fence.key] = true, true
	if n.quotas.on {
		b.conds[quota.StoreKey] = true // whoever decides by an older tree commits nothing
	}
	for _, k := range sorted(b.conds) {
		t.If = append(t.If, store.Cond{Key: k, Stamp: n.mirror.Stamp(k)})
	}
	for _, w := range t.Writes {
		n.busy[writeKey(w)] = true
	}
	p := store.Decision
	if b.urgent {
		p = store.Urgent
	}
	n.client.Multi(p, t, func(epoch uint64, failed []string, err error) {
		ok := err == nil
		if ok {
			n.mirror.Commit(t.Writes, epoch)
		}
		if errors.Is(err, store.ErrConflict) {
			n.log.Debug("conflict", "keys", fmt.Sprint(failed))
			// The mirror is behind: what it lacks is already in the store.
			n.settleKeys(failed, t.Writes, b.ds)
			return
		}
		if errors.Is(err, store.ErrUnknown) {
			// The transaction may have been executed, or may be yet. Nothing is
			// decided before it is known which: the fence makes it impossible
			// from now on, and the watch shows whether it was in time. Without
			// the fence a late release would go beyond a team's limit.
			n.fence.needed = true
			n.log.Info("transaction without answer", "writes", len(t.Writes), "error", err)
			n.settleKeys(nil, t.Writes, b.ds)
			return
		}
		if errors.Is(err, store.ErrRefused) {
			n.log.Error("transaction refused", "error", err, "first", writeKey(t.Writes[0]))
		}
		n.finish(t.Writes, b.ds, ok)
	})
}

// settleKeys reads records again before they may be decided on once more.
func (n *Node) settleKeys(extra []string, writes []store.Write, batch []decision) {
	keys := map[string]bool{}
	for _, k := range extra {
		keys[k] = true
	}
	if len(extra) == 0 {
		for _, w := range writes {
			keys[writeKey(w)] = true
		}
	}
	left := len(keys)
	if left == 0 {
		n.finish(writes, batch, false)
		return
	}
	for _, k := range sorted(keys) {
		n.client.Get(store.Urgent, k, nil, func(it *store.Item, err error) {
			if err == nil && it != nil {
				n.mirror.Put(it.Key, json.RawMessage(it.Value), it.Stamp)
			}
			if left--; left == 0 {
				n.finish(writes, batch, false)
			}
		})
	}
}

func (n *Node) finish(writes []store.Write, batch []decision, ok bool) {
	for _, w := range writes {
		delete(n.busy, writeKey(w))
	}
	for _, d := range batch {
		if d.ends {
			n.ending -= len(d.writes)
		}
		if d.done != nil {
			d.done(ok)
		}
		for _, c := range d.changes {
			n.touch(c.t)
		}
	}
	n.dirty = true
}

// fence is a key of this node that every decision of its is conditional on.
// Changing it makes every transaction still under way fail.
type fence struct {
	key     string
	needed  bool
	running bool
	until   uint64 // the watch must get here before anything is decided
}

// fencing tells whether decisions must wait, and raises the fence if needed.
func (n *Node) fencing() bool {
	f := &n.fence
	if f.needed && !f.running && !n.client.Down() {
		f.running = true
		t := store.Txn{
			If:     []store.Cond{{Key: f.key, Stamp: n.mirror.Stamp(f.key)}},
			Writes: []store.Write{put(f.key, n.ms())},
		}
		n.client.Multi(store.Membership, t, func(epoch uint64, _ []string, err error) {
			f.running = false
			n.dirty = true
			switch {
			case err == nil:
				n.mirror.Commit(t.Writes, epoch)
				f.needed, f.until = false, epoch
			case errors.Is(err, store.ErrConflict):
				// An earlier try came through unanswered: the watch shows it.
				n.client.Get(store.Membership, f.key, nil, func(it *store.Item, err error) {
					if err == nil && it != nil {
						n.mirror.Put(it.Key, it.Value, it.Stamp)
					}
				})
			}
		})
	}
	return f.needed || n.mirror.Epoch < f.until
}
