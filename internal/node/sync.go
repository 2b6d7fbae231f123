package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/book"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/records"
	"github.com/harrierreel/harrierreel/internal/rental"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/standby"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

const (
	fencePrefix = "fence/"
)

// livePrefixes are read whole at a start. Jobs come before their tasks.
var livePrefixes = []string{jobs.JobPrefix, jobs.TaskPrefix, records.Prefix, fleet.HostPrefix, fleet.QuietPrefix, fleet.ClaimsKey, rental.BuildPrefix, fencePrefix, standby.CallPrefix, members.FormPrefix, members.MemberPrefix, members.ViewKey, rental.SummaryKey}

// prefixes are the live prefixes of this node's duties.
func (n *Node) prefixes() []string {
	return slices.Concat(livePrefixes, n.front.Prefixes(), n.queue.Prefixes(), n.cal.Keys())
}

// syncState is how far the mirror has got.
type syncState struct {
	live      bool // every prefix was listed and the watch runs
	listing   bool
	following bool
	next      time.Time // when to list or follow again
	prefix    int
	page      string // the page to be read is after this key
	rows      []store.Item
	since     uint64 // where the watch starts
	until     uint64 // what was listed is as late as this, in part
	pageEpoch uint64
}

// keepSync lists what must be listed and keeps one watch open.
func (n *Node) keepSync() {
	if n.Now.Before(n.sync.next) {
		return
	}
	switch {
	case !n.sync.live && !n.sync.listing && !n.sync.following:
		n.sync.listing = true
		n.listPage(n.sync.page)
	case n.sync.live && !n.sync.following:
		n.followNow()
	}
}

// caughtUp tells whether the mirror shows one epoch: pages are listed one after the
// other, and a task that moved meanwhile from a pack of a later page to one of an
// earlier is in neither until the watch has come to the last page.
func (n *Node) caughtUp() bool { return n.sync.live && n.mirror.Epoch >= n.sync.until }

func (n *Node) listPage(since string) {
	prefix := n.prefixes()[n.sync.prefix]
	n.client.List(store.Urgent, prefix, since, func(p store.Page, err error) {
		if err != nil {
			// What was read stays: where pages often fail, a listing that began
			// anew each time would never end.
			n.sync.listing, n.sync.page, n.sync.next = false, since, n.Now.Add(tuning.SyncAgain)
			return
		}
		if n.sync.since == 0 {
			n.sync.since = p.Epoch
		}
		if since == "" {
			n.sync.rows, n.sync.pageEpoch = nil, p.Epoch
		}
		n.sync.until = max(n.sync.until, p.Epoch)
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
	return max(tuning.FollowGap, jobs.Seconds(1/max(rate, 1)))
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
			n.behind = time.Time{}
			n.settleLate()
			n.sync.next = n.Now.Add(n.followGap())
			n.member.KeepCertain()
			n.front.AnswerPolls()
		}
	})
}

// commit packs decisions into transactions within the state service's limits.
// Those that touch a record under a transaction are left for a later pass, and
// so are those, but for urgent ones, that the budget does not allow at once.
func (n *Node) commit(ds []decide.Decision) {
	if n.client.Down() || n.view == nil || n.fencing() {
		for i := range ds {
			ds[i].Drop()
		}
		return
	}
	ds = slices.DeleteFunc(n.cal.Guard(ds), func(d decide.Decision) bool {
		held := n.aside.Holds(&d, n.Now)
		if held {
			d.Drop()
		}
		return held
	})
	p := n.packer()
	batches := p.Pack(ds)
	n.ending = p.Ending
	for _, b := range batches {
		n.send(b)
	}
}

// packer packs decisions by what is known now.
func (n *Node) packer() *decide.Packer {
	state := n.set.Cluster.State
	return &decide.Packer{
		Form: decide.Form{
			Limits: store.Limits{Ops: state.TxnOps, Conds: state.TxnOps * tuning.CondsPerOp, Body: tuning.MaxRequestBody, Value: n.sliceLimit()},
			Always: append(append([]string{members.ViewKey, n.fence.key}, n.front.Conds()...), n.cal.Keys()...),
			Stamp:  n.mirror.Stamp, Known: n.mirror.Epoch, Mine: n.mine, NewKey: n.newPack,
		},
		Ending:   n.ending,
		Busy:     n.isBusy,
		Allows:   n.client.Allows,
		Size:     func(key string) int { return len(n.mirror.Get(key)) },
		SetAside: n.setAside,
	}
}

// setAside takes note of a decision that cannot be committed as it is.
func (n *Node) setAside(d *decide.Decision, why string) {
	if n.aside.Add(d, n.Now) {
		n.log.Error("decision set aside", "why", why, "about", d.String())
	}
}

// sliceLimit is the most bytes that a slice's record may have.
func (n *Node) sliceLimit() int { return int(n.set.Cluster.State.ValueKB * 1024) }

// sliceMost is how many tasks one slice holds.
func (n *Node) sliceMost() int {
	return min(max(1, n.sliceLimit()/tuning.SliceTaskBytes), n.set.Cluster.State.TxnOps*tuning.CondsPerOp/2)
}

// newPack is the key of a new pack: every incarnation of a controller has its own
// epoch, so none is ever used twice.
func (n *Node) newPack() string {
	n.packs++
	return fmt.Sprintf("%s%d-%s-%d", records.Prefix, n.roleEpoch, n.set.NodeName, n.packs)
}

// packing tells whether tasks are given away in packs: where changes are scarce, and
// every controller reads them.
func (n *Node) packing() bool {
	switch n.set.Operator.Packs {
	case settings.PacksAlways:
	case settings.PacksScarce:
		if !n.queue.Scarce() {
			return false
		}
	default:
		return false
	}
	return n.member.AllReadPacks()
}

// mine tells whether a machine belongs to this controller.
func (n *Node) mine(host string) bool {
	if m := n.Machines[host]; m != nil {
		return m.Owner == n.set.NodeName
	}
	return n.owner(host) == n.set.NodeName
}

func (n *Node) send(b *decide.Batch) {
	t := b.Txn
	for _, w := range t.Writes {
		n.busy[decide.Key(w)] = true
	}
	p := store.Decision
	if b.Urgent {
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
			if packed(failed) || packed(writeKeys(t.Writes)) {
				n.settleBy(epoch, t.Writes, b.Decisions)
				return
			}
			n.settleKeys(failed, t.Writes, b.Decisions)
			return
		}
		if errors.Is(err, store.ErrUnknown) {
			// The transaction may have been executed, or may be yet. Nothing is
			// decided before it is known which: the fence makes it impossible
			// from now on, and the watch shows whether it was in time. Without
			// the fence a late release would go beyond a team's limit.
			n.fence.needed = true
			n.log.Info("transaction without answer", "writes", len(t.Writes), "error", err)
			n.settleKeys(nil, t.Writes, b.Decisions)
			return
		}
		if errors.Is(err, store.ErrRefused) {
			n.refused(b)
			return
		}
		n.finish(t.Writes, b.Decisions, ok)
	})
}

// refused goes on after a transaction that the state service calls malformed. It was
// counted before it was sent, so this is a fault of the program or of the service.
// Made again alike it would be refused again: its halves are tried, down to the one
// decision that is to blame, which is set aside.
func (n *Node) refused(b *decide.Batch) {
	n.finish(b.Txn.Writes, nil, false)
	if len(b.Decisions) == 1 {
		n.setAside(&b.Decisions[0], "refused by the state service")
		n.finish(nil, b.Decisions, false)
		return
	}
	n.log.Info("transaction refused, tried in halves", "decisions", len(b.Decisions), "writes", len(b.Txn.Writes), "conditions", len(b.Txn.If))
	p := n.packer()
	halves := p.Halve(b)
	n.ending = p.Ending
	for _, half := range halves {
		n.send(half)
	}
}

// late is a transaction that conflicted over a pack, which is settled once the watch
// has come to an epoch.
type late struct {
	until  uint64
	writes []store.Write
	batch  []decide.Decision
}

// settleBy settles a transaction when the watch has come to the epoch at which it
// conflicted. A pack is never read by itself: of two packs between which a task has
// moved, the one alone shows the task nowhere, and it would be given away once more
// while it runs (docs/incidents/packs-ran-twice.md).
func (n *Node) settleBy(epoch uint64, writes []store.Write, batch []decide.Decision) {
	n.late = append(n.late, late{epoch, writes, batch})
	n.settleLate()
	n.followNow()
}

// settleLate settles what the watch has come to by now.
func (n *Node) settleLate() {
	var left []late
	for _, l := range n.late {
		if n.mirror.Epoch >= l.until {
			n.finish(l.writes, l.batch, false)
		} else {
			left = append(left, l)
		}
	}
	n.late = left
}

// packed tells whether any of some keys is a pack's.
func packed(keys []string) bool {
	return slices.ContainsFunc(keys, func(k string) bool { return hasPrefix(k, records.Prefix) })
}

func writeKeys(writes []store.Write) []string {
	var out []string
	for _, w := range writes {
		out = append(out, decide.Key(w))
	}
	return out
}

// settleKeys reads records again before they may be decided on once more.
func (n *Node) settleKeys(extra []string, writes []store.Write, batch []decide.Decision) {
	keys := map[string]bool{}
	if len(extra) == 0 {
		extra = writeKeys(writes)
	}
	for _, k := range extra {
		if !hasPrefix(k, records.Prefix) { // see settleBy; without an answer the fence has all wait
			keys[k] = true
		}
	}
	left := len(keys)
	if left == 0 {
		n.finish(writes, batch, false)
		return
	}
	for _, k := range book.Sorted(keys) {
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

func (n *Node) finish(writes []store.Write, batch []decide.Decision, ok bool) {
	for _, w := range writes {
		delete(n.busy, decide.Key(w))
	}
	for _, d := range batch {
		if d.Ends {
			n.ending -= len(d.Writes)
		}
		if d.Done != nil {
			d.Done(ok)
		}
		for _, c := range d.Changes {
			n.touch(c.Task)
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
			Writes: []store.Write{decide.Put(f.key, n.Ms())},
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
