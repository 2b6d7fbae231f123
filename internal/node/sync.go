package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

const (
	buildPrefix = "build/"
	fencePrefix = "fence/"
	summaryKey  = "scaler"
)

// livePrefixes are read whole at a start. Jobs come before their tasks.
var livePrefixes = []string{jobs.JobPrefix, jobs.TaskPrefix, fleet.HostPrefix, buildPrefix, fencePrefix, members.MemberPrefix, members.ViewKey, summaryKey}

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
	if n.now.Before(n.sync.next) {
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
	prefix := livePrefixes[n.sync.prefix]
	n.client.List(store.Decision, prefix, since, func(p store.Page, err error) {
		if err != nil {
			n.sync = syncState{next: n.now.Add(tuning.SyncAgain)}
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
		if n.sync.prefix++; n.sync.prefix < len(livePrefixes) {
			n.listPage("")
			return
		}
		n.sync.listing, n.sync.live = false, true
		if n.sync.since > n.mirror.Epoch {
			n.mirror.Epoch = n.sync.since
		}
		n.log.Info("state read", "jobs", len(n.jobs), "machines", len(n.machines), "epoch", n.mirror.Epoch)
		n.followNow()
	})
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
			n.sync.next = n.now.Add(tuning.SyncAgain)
		default:
			n.mirror.Follow(epoch, events)
			n.sync.next = n.now.Add(tuning.FollowGap)
		}
	})
}

// decision is one step that must be committed whole. Its transaction is
// conditional on the view, on every record it writes and on the keys in seen.
type decision struct {
	writes []store.Write
	seen   []string
	done   func(ok bool)
}

func put(key string, v any) store.Write { return store.Write{Put: key, Value: jobs.Encode(v)} }

func remove(key string) store.Write { return store.Write{Remove: key} }

func writeKey(w store.Write) string {
	if w.Put != "" {
		return w.Put
	}
	return w.Remove
}

// free tells whether none of the decision's records is under a transaction.
func (n *Node) isFree(d decision) bool {
	for _, w := range d.writes {
		if n.busy[writeKey(w)] {
			return false
		}
	}
	return true
}

// commit packs decisions into transactions within txn_ops and 64 KiB.
// Decisions that touch a record under a transaction are left for a later pass.
func (n *Node) commit(ds []decision) {
	if n.client.Down() || n.view == nil || n.fencing() {
		for _, d := range ds {
			if d.done != nil {
				d.done(false)
			}
		}
		return
	}
	var batch []decision
	ops, size := 0, 0
	touched := map[string]bool{}
	flush := func() {
		if len(batch) > 0 {
			n.send(batch)
		}
		batch, ops, size = nil, 0, 0
	}
	for _, d := range ds {
		ok := n.isFree(d)
		for _, w := range d.writes {
			ok = ok && !touched[writeKey(w)]
		}
		if !ok {
			if d.done != nil {
				d.done(false)
			}
			continue
		}
		bytes := 0
		for _, w := range d.writes {
			bytes += len(w.Value) + 2*len(writeKey(w)) + 80
			touched[writeKey(w)] = true
		}
		bytes += len(d.seen) * 80
		if ops+len(d.writes) > n.set.Cluster.State.TxnOps || size+bytes > tuning.TxnBytes {
			flush()
		}
		batch = append(batch, d)
		ops += len(d.writes)
		size += bytes
	}
	flush()
}

func (n *Node) send(batch []decision) {
	var t store.Txn
	conds := map[string]bool{}
	cond := func(key string) {
		if !conds[key] {
			conds[key] = true
			t.If = append(t.If, store.Cond{Key: key, Stamp: n.mirror.Stamp(key)})
		}
	}
	cond(members.ViewKey)
	cond(n.fence.key)
	for _, d := range batch {
		for _, w := range d.writes {
			cond(writeKey(w))
			n.busy[writeKey(w)] = true
			t.Writes = append(t.Writes, w)
		}
		for _, k := range d.seen {
			cond(k)
		}
	}
	n.client.Multi(store.Decision, t, func(epoch uint64, failed []string, err error) {
		ok := err == nil
		if ok {
			n.mirror.Commit(t.Writes, epoch)
		}
		if errors.Is(err, store.ErrConflict) {
			n.log.Debug("conflict", "keys", fmt.Sprint(failed))
			// The mirror is behind: what it lacks is already in the store.
			n.settleKeys(failed, t.Writes, batch)
			return
		}
		if errors.Is(err, store.ErrUnknown) {
			// The transaction may have been executed, or may be yet. Nothing is
			// decided before it is known which: the fence makes it impossible
			// from now on, and the watch shows whether it was in time. Without
			// the fence a late release would go beyond a team's limit.
			n.fence.needed = true
			n.log.Info("transaction without answer", "writes", len(t.Writes), "error", err)
			n.settleKeys(nil, t.Writes, batch)
			return
		}
		if errors.Is(err, store.ErrRefused) {
			n.log.Error("transaction refused", "error", err, "first", writeKey(t.Writes[0]))
		}
		n.finish(t.Writes, batch, ok)
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
		n.client.Get(store.Decision, k, nil, func(it *store.Item, err error) {
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
		if d.done != nil {
			d.done(ok)
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
