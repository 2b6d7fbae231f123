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
	"github.com/harrierreel/harrierreel/internal/standby"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// knownEpoch is up to where the mirror shows all changes of the store.
func (c *Controller) knownEpoch() uint64 { return c.mirror.Epoch }

// mirrorLive tells whether the mirror follows the store.
func (c *Controller) mirrorLive() bool { return c.sync.live }

// livePrefixes are read whole at a start. Jobs come before their tasks.
var livePrefixes = []string{jobs.JobPrefix, jobs.TaskPrefix, taskbatch.KeyPrefix, fleet.MachinePrefix, fleet.UnresponsivePrefix, fleet.ClaimsKey, provisioning.MachineTypePrefix, commit.FencePrefix, standby.ProbePrefix, members.CapabilitiesPrefix, members.MemberPrefix, members.ViewKey, provisioning.SummaryKey}

// prefixes are the live prefixes of this node's duties.
func (c *Controller) prefixes() []string {
	return slices.Concat(livePrefixes, c.api.Prefixes(), c.queue.Prefixes(), c.calendar.Keys())
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
func (c *Controller) syncMirror() {
	if c.Now.Before(c.sync.next) {
		return
	}
	switch {
	case !c.sync.live && !c.sync.listing && !c.sync.watching:
		c.sync.listing = true
		if c.sync.prefix == 0 && c.sync.page == "" {
			c.sync.basis = c.cancellations.BeginStoreQuery(c.Now)
		}
		c.listPage(c.sync.page)
	case c.sync.live && !c.sync.watching:
		c.watchNow()
	}
}

// caughtUp tells whether the mirror shows one epoch: pages are listed one after the
// other, and a task that moved meanwhile from a pack of a later page to one of an
// earlier is in neither until the watch has come to the last page.
func (c *Controller) caughtUp() bool { return c.sync.live && c.mirror.Epoch >= c.sync.until }

func (c *Controller) listPage(since string) {
	prefix := c.prefixes()[c.sync.prefix]
	c.client.List(store.PriorityUrgent, prefix, since, func(p store.Page, err error) {
		if err != nil {
			// What was read stays: where pages often fail, a listing that began
			// anew each time would never end.
			c.sync.listing, c.sync.page, c.sync.next = false, since, c.Now.Add(tuning.SyncAgain)
			return
		}
		if c.sync.since == 0 {
			c.sync.since = p.Epoch
		}
		if since == "" {
			c.sync.rows, c.sync.pageEpoch = nil, p.Epoch
		}
		c.sync.until = max(c.sync.until, p.Epoch)
		c.sync.rows = append(c.sync.rows, p.Rows...)
		if p.HasNext && len(p.Rows) > 0 {
			c.listPage(p.Rows[len(p.Rows)-1].Key)
			return
		}
		// Keys that the listing lacks are gone as of its first page.
		c.mirror.ApplyListing(prefix, c.sync.rows, c.sync.pageEpoch)
		c.sync.rows = nil
		if c.sync.prefix++; c.sync.prefix < len(c.prefixes()) {
			c.listPage("")
			return
		}
		c.sync.listing, c.sync.live = false, true
		if c.sync.since > c.mirror.Epoch {
			c.mirror.Epoch = c.sync.since
		}
		if c.caughtUp() {
			c.cancellations.StoreQueryAnswered(c.sync.basis)
		}
		c.log.Info("state read", "jobs", len(c.Jobs), "machines", len(c.Machines), "epoch", c.mirror.Epoch)
		c.watchNow()
	})
}

// watchGap is the pause between two watches: every node's watches together
// may take only a share of the state service's requests.
func (c *Controller) watchGap() time.Duration {
	rate := c.settings.Cluster.State.RPS * tuning.WatchShare / float64(max(c.settings.Cluster.Size, 1))
	return max(tuning.WatchGap, jobs.Seconds(1/max(rate, 1)))
}

// watchNow opens the watch unless it is open.
func (c *Controller) watchNow() {
	if !c.sync.live || c.sync.watching {
		return
	}
	c.sync.watching = true
	basis, opened := c.cancellations.BeginStoreQuery(c.Now), c.Now
	c.client.Watch(c.mirror.Epoch, func(epoch uint64, events []store.Event, err error) {
		c.sync.watching = false
		switch {
		case errors.Is(err, store.ErrGone):
			c.log.Info("watch too old, reading again", "epoch", c.mirror.Epoch)
			c.sync = syncState{}
		case err != nil:
			c.sync.next = c.Now.Add(tuning.SyncAgain)
		default:
			c.mirror.ApplyEvents(epoch, events)
			if c.caughtUp() {
				// The service answered after this was asked, and with every change until then.
				c.cancellations.StoreQueryAnswered(basis)
			}
			c.lateSince = time.Time{}
			c.committer.SettleWatched()
			c.sync.next = c.Now.Add(c.watchGap())
			c.membership.RestoreCertainty()
			c.api.AnswerQueries(opened)
		}
	})
}
