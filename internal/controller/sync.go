package controller

import (
	"errors"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/cancellation"
	"github.com/harrierreel/harrierreel/internal/commit"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/provisioning"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/standby"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// livePrefixes are read whole at a start. Jobs come before their tasks.
var livePrefixes = []string{jobs.JobPrefix, jobs.TaskPrefix, taskbatch.KeyPrefix, fleet.MachinePrefix, fleet.UnresponsivePrefix, fleet.ClaimsKey, provisioning.MachineTypePrefix, commit.FencePrefix, standby.ProbePrefix, members.CapabilitiesPrefix, members.MemberPrefix, members.ViewKey, provisioning.SummaryKey}

// prefixes are the live prefixes of this node's duties.
func (n *Controller) prefixes() []string {
	return slices.Concat(livePrefixes, n.api.Prefixes(), n.queue.Prefixes(), n.calendar.Keys())
}

// syncState is how far the mirror has got.
type syncState struct {
	live      bool // every prefix was listed and the watch runs
	listing   bool
	watching  bool
	next      time.Time // when to list or follow again
	prefix    int
	page      string // the page to be read is after this key
	rows      []store.Item
	since     uint64 // where the watch starts
	until     uint64 // what was listed is as late as this, in part
	pageEpoch uint64
	basis     cancellation.StoreQuery // all pages were asked for after it
}

// syncMirror lists what must be listed and keeps one watch open.
func (n *Controller) syncMirror() {
	if n.Now.Before(n.sync.next) {
		return
	}
	switch {
	case !n.sync.live && !n.sync.listing && !n.sync.watching:
		n.sync.listing = true
		if n.sync.prefix == 0 && n.sync.page == "" {
			n.sync.basis = n.cancellations.BeginStoreQuery(n.Now)
		}
		n.listPage(n.sync.page)
	case n.sync.live && !n.sync.watching:
		n.watchNow()
	}
}

// caughtUp tells whether the mirror shows one epoch: pages are listed one after the
// other, and a task that moved meanwhile from a pack of a later page to one of an
// earlier is in neither until the watch has come to the last page.
func (n *Controller) caughtUp() bool { return n.sync.live && n.mirror.Epoch >= n.sync.until }

func (n *Controller) listPage(since string) {
	prefix := n.prefixes()[n.sync.prefix]
	n.client.List(store.PriorityUrgent, prefix, since, func(p store.Page, err error) {
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
		n.mirror.ApplyListing(prefix, n.sync.rows, n.sync.pageEpoch)
		n.sync.rows = nil
		if n.sync.prefix++; n.sync.prefix < len(n.prefixes()) {
			n.listPage("")
			return
		}
		n.sync.listing, n.sync.live = false, true
		if n.sync.since > n.mirror.Epoch {
			n.mirror.Epoch = n.sync.since
		}
		if n.caughtUp() {
			n.cancellations.StoreQueryAnswered(n.sync.basis)
		}
		n.log.Info("state read", "jobs", len(n.Jobs), "machines", len(n.Machines), "epoch", n.mirror.Epoch)
		n.watchNow()
	})
}

// watchGap is the pause between two watches: every node's watches together
// may take only a share of the state service's requests.
func (n *Controller) watchGap() time.Duration {
	rate := n.settings.Cluster.State.RPS * tuning.WatchShare / float64(max(n.settings.Cluster.Size, 1))
	return max(tuning.WatchGap, jobs.Seconds(1/max(rate, 1)))
}

// watchNow opens the watch unless it is open.
func (n *Controller) watchNow() {
	if !n.sync.live || n.sync.watching {
		return
	}
	n.sync.watching = true
	basis, opened := n.cancellations.BeginStoreQuery(n.Now), n.Now
	n.client.Watch(n.mirror.Epoch, func(epoch uint64, events []store.Event, err error) {
		n.sync.watching = false
		switch {
		case errors.Is(err, store.ErrGone):
			n.log.Info("watch too old, reading again", "epoch", n.mirror.Epoch)
			n.sync = syncState{}
		case err != nil:
			n.sync.next = n.Now.Add(tuning.SyncAgain)
		default:
			n.mirror.ApplyEvents(epoch, events)
			if n.caughtUp() {
				// The service answered after this was asked, and with every change until then.
				n.cancellations.StoreQueryAnswered(basis)
			}
			n.lateSince = time.Time{}
			n.committer.SettleWatched()
			n.sync.next = n.Now.Add(n.watchGap())
			n.membership.RestoreCertainty()
			n.api.AnswerQueries(opened)
		}
	})
}

// valueBytes is the most bytes that a slice's record may have.
func (n *Controller) valueBytes() int { return int(n.settings.Cluster.State.ValueKB * 1024) }

// maxRangeTasks is how many tasks one slice holds.
func (n *Controller) maxRangeTasks() int {
	return min(max(1, n.valueBytes()/tuning.RangeTaskBytes), n.settings.Cluster.State.TxnOps*tuning.PreconditionsPerOp/2)
}

// usesBatches tells whether tasks are given away in packs: where changes are scarce, and
// every controller reads them.
func (n *Controller) usesBatches() bool {
	switch n.settings.Operator.Packs {
	case settings.PacksAlways:
	case settings.PacksScarce:
		if !n.queue.Scarce() {
			return false
		}
	default:
		return false
	}
	return n.membership.AllSupportBatches()
}

// ownsMachine tells whether a machine belongs to this controller.
func (n *Controller) ownsMachine(machine string) bool {
	if m := n.Machines[machine]; m != nil {
		return m.Owner == n.settings.NodeName
	}
	return n.ownerOf(machine) == n.settings.NodeName
}
