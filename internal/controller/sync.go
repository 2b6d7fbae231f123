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

// livePrefixes are listed whole at a start, in this order. Jobs come before their tasks.
var livePrefixes = []string{
	jobs.JobPrefix,
	jobs.TaskPrefix,
	taskbatch.KeyPrefix,
	fleet.MachinePrefix,
	fleet.UnresponsivePrefix,
	fleet.ClaimsKey,
	provisioning.MachineTypePrefix,
	commit.FencePrefix,
	standby.ProbePrefix,
	members.CapabilitiesPrefix,
	members.MemberPrefix,
	members.ViewKey,
	provisioning.SummaryKey,
}

// prefixes are the prefixes that are listed, with those of the collaborators.
func (c *Controller) prefixes() []string {
	return slices.Concat(livePrefixes, c.api.Prefixes(), c.queue.Prefixes(), c.calendar.Keys())
}

// syncState is how far the mirror has got.
type syncState struct {
	live     bool // every prefix was listed and the watch runs
	listing  bool
	watching bool
	retryAt  time.Time // when to list or watch again

	prefixIndex int                     // of the prefix that is being listed
	pageAfter   string                  // the next page begins after this key
	rows        []store.Item            // of the pages of this prefix so far
	firstEpoch  uint64                  // of the prefix's first page
	watchFrom   uint64                  // epoch of the first page of all
	listedTo    uint64                  // the latest epoch of a page
	query       cancellation.StoreQuery // began before any page was asked for
}

// knownEpoch is up to where the mirror shows all changes of the store.
func (c *Controller) knownEpoch() uint64 { return c.mirror.Epoch }

// mirrorLive tells whether the mirror follows the store.
func (c *Controller) mirrorLive() bool { return c.sync.live }

// caughtUp tells whether the mirror shows one epoch: pages are listed one after the
// other, and a task that moved meanwhile from a batch record of a later page to one of an
// earlier is in neither until the watch has come to the last page.
func (c *Controller) caughtUp() bool { return c.sync.live && c.mirror.Epoch >= c.sync.listedTo }

// syncMirror lists what must be listed and keeps one watch open.
func (c *Controller) syncMirror() {
	if c.state.Now.Before(c.sync.retryAt) {
		return
	}
	switch {
	case !c.sync.live && !c.sync.listing && !c.sync.watching:
		c.sync.listing = true
		if c.sync.prefixIndex == 0 && c.sync.pageAfter == "" {
			c.sync.query = c.cancellations.BeginStoreQuery(c.state.Now)
		}
		c.listPage(c.sync.pageAfter)
	case c.sync.live && !c.sync.watching:
		c.watchNow()
	}
}

// listPage asks for the page of the present prefix that begins after a key, and goes on until
// all prefixes are listed.
func (c *Controller) listPage(after string) {
	prefix := c.prefixes()[c.sync.prefixIndex]
	c.client.List(store.PriorityUrgent, prefix, after, func(page store.Page, err error) {
		if err != nil {
			// What was read stays: where pages often fail, a listing that began
			// anew each time would never end.
			c.sync.listing, c.sync.pageAfter, c.sync.retryAt = false, after, c.state.Now.Add(tuning.SyncAgain)
			return
		}
		if c.sync.watchFrom == 0 {
			c.sync.watchFrom = page.Epoch
		}
		if after == "" {
			c.sync.rows, c.sync.firstEpoch = nil, page.Epoch
		}
		c.sync.listedTo = max(c.sync.listedTo, page.Epoch)
		c.sync.rows = append(c.sync.rows, page.Rows...)
		if page.HasNext && len(page.Rows) > 0 {
			c.listPage(page.Rows[len(page.Rows)-1].Key)
			return
		}
		// Keys that the listing lacks are gone as of its first page.
		c.mirror.ApplyListing(prefix, c.sync.rows, c.sync.firstEpoch)
		c.sync.rows = nil
		c.sync.prefixIndex++
		if c.sync.prefixIndex < len(c.prefixes()) {
			c.listPage("")
			return
		}
		c.finishListing()
	})
}

// finishListing begins to watch after the last page.
func (c *Controller) finishListing() {
	c.sync.listing, c.sync.live = false, true
	c.mirror.Epoch = max(c.mirror.Epoch, c.sync.watchFrom)
	if c.caughtUp() {
		c.cancellations.StoreQueryAnswered(c.sync.query)
	}
	c.log.Info("state loaded", "jobs", len(c.state.Jobs), "machines", len(c.state.Machines), "epoch", c.mirror.Epoch)
	c.watchNow()
}

// watchGap is the pause between two watches: all controllers' watches together
// may take only a share of the store's requests.
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
	query, opened := c.cancellations.BeginStoreQuery(c.state.Now), c.state.Now
	c.client.Watch(c.mirror.Epoch, func(epoch uint64, events []store.Event, err error) {
		c.sync.watching = false
		switch {
		case errors.Is(err, store.ErrGone):
			c.log.Info("watch expired, listing again", "epoch", c.mirror.Epoch)
			c.sync = syncState{}
		case err != nil:
			c.sync.retryAt = c.state.Now.Add(tuning.SyncAgain)
		default:
			c.mirror.ApplyEvents(epoch, events)
			c.watchAnswered(query, opened)
		}
	})
}

// watchAnswered takes in that the mirror shows what the store's answer to a watch held.
func (c *Controller) watchAnswered(query cancellation.StoreQuery, opened time.Time) {
	if c.caughtUp() {
		// The store answered after the query began, with every change until then.
		c.cancellations.StoreQueryAnswered(query)
	}
	c.behindSince = time.Time{}
	c.committer.SettleWatched()
	c.sync.retryAt = c.state.Now.Add(c.watchGap())
	c.membership.RestoreCertainty()
	c.api.AnswerQueries(opened)
}
