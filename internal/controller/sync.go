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

// livePrefixes are the prefixes that are listed completely at startup, in this order: jobs before
// their tasks.
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

// prefixes returns all prefixes to list, including those of the collaborators.
func (c *Controller) prefixes() []string {
	return slices.Concat(livePrefixes, c.api.Prefixes(), c.queue.Prefixes(), c.calendar.Keys())
}

// syncState is the progress of synchronizing the mirror with the store.
type syncState struct {
	live     bool // every prefix has been listed
	listing  bool
	watching bool
	retryAt  time.Time // no listing or watch is started before

	prefixIndex  int                     // of the prefix being listed
	pageAfter    string                  // the next page starts after this key
	rows         []store.Item            // of this prefix's pages so far
	prefixEpoch  uint64                  // epoch of this prefix's first page
	watchFrom    uint64                  // epoch of the first page of the whole listing
	maxPageEpoch uint64                  // highest epoch of any page
	query        cancellation.StoreQuery // begun before the first page was requested
}

// knownEpoch returns the epoch up to which the mirror holds all changes of the store.
func (c *Controller) knownEpoch() uint64 { return c.mirror.Epoch }

// mirrorLive reports whether the mirror follows the store.
func (c *Controller) mirrorLive() bool { return c.sync.live }

// caughtUp reports whether the mirror is a consistent snapshot. Pages are listed one after the
// other, so a task that moves during the listing from a batch record of a later page to one of an
// earlier page is in neither until the watch reaches the epoch of the last page.
func (c *Controller) caughtUp() bool { return c.sync.live && c.mirror.Epoch >= c.sync.maxPageEpoch }

// syncMirror starts or resumes the listing, or keeps one watch open once the listing is complete.
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

// listPage requests the page of the current prefix that starts after a key, and continues until
// all prefixes are listed.
func (c *Controller) listPage(after string) {
	prefix := c.prefixes()[c.sync.prefixIndex]
	c.client.List(store.PriorityUrgent, prefix, after, func(page store.Page, err error) {
		if err != nil {
			// Keep the pages read so far: if requests often fail, a listing that
			// restarted each time would never finish.
			c.sync.listing, c.sync.pageAfter, c.sync.retryAt = false, after, c.state.Now.Add(tuning.SyncRetryDelay)
			return
		}
		if c.sync.watchFrom == 0 {
			c.sync.watchFrom = page.Epoch
		}
		if after == "" {
			c.sync.rows, c.sync.prefixEpoch = nil, page.Epoch
		}
		c.sync.maxPageEpoch = max(c.sync.maxPageEpoch, page.Epoch)
		c.sync.rows = append(c.sync.rows, page.Rows...)
		if page.HasNext && len(page.Rows) > 0 {
			c.listPage(page.Rows[len(page.Rows)-1].Key)
			return
		}
		// Keys missing from the listing were removed by the epoch of its first page.
		c.mirror.ApplyListing(prefix, c.sync.rows, c.sync.prefixEpoch)
		c.sync.rows = nil
		c.sync.prefixIndex++
		if c.sync.prefixIndex < len(c.prefixes()) {
			c.listPage("")
			return
		}
		c.finishListing()
	})
}

// finishListing starts the watch after the last page.
func (c *Controller) finishListing() {
	c.sync.listing, c.sync.live = false, true
	c.state.UseImages()
	c.mirror.Epoch = max(c.mirror.Epoch, c.sync.watchFrom)
	if c.caughtUp() {
		c.cancellations.StoreQueryAnswered(c.sync.query)
	}
	c.log.Info("state loaded", "jobs", len(c.state.Jobs), "machines", len(c.state.Machines), "epoch", c.mirror.Epoch)
	c.watchNow()
}

// watchGap returns the pause between two watches: the watches of all controllers together may use
// only a share of the store's request rate.
func (c *Controller) watchGap() time.Duration {
	rate := c.settings.Cluster.State.RPS * tuning.WatchShare / float64(max(c.settings.Cluster.Size, 1))
	return max(tuning.WatchGap, jobs.Seconds(1/max(rate, 1)))
}

// watchNow opens the watch if the mirror is live and no watch is open.
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
			c.sync.retryAt = c.state.Now.Add(tuning.SyncRetryDelay)
		default:
			c.mirror.ApplyEvents(epoch, events)
			c.handleWatchAnswer(query, opened)
		}
	})
}

// handleWatchAnswer does what follows once a watch's events have been applied to the mirror.
func (c *Controller) handleWatchAnswer(query cancellation.StoreQuery, opened time.Time) {
	if c.caughtUp() {
		// The store answered after the query began, with every change up to that point.
		c.cancellations.StoreQueryAnswered(query)
	}
	c.behindSince = time.Time{}
	c.shard.ResumeLaunches()
	c.committer.SettleWatched()
	c.sync.retryAt = c.state.Now.Add(c.watchGap())
	c.membership.RestoreCertainty()
	c.api.AnswerQueries(opened)
}
