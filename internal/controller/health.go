package controller

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// mayDecide tells whether this controller may decide for users.
func (c *Controller) mayDecide() bool {
	return !c.client.Unavailable() && c.inCertainView()
}

// healthy tells whether users should be sent here. While the store is unavailable every
// controller stays healthy and refuses at once; one that alone cannot reach the store, as
// its peers' gossip shows, is not healthy.
func (c *Controller) healthy() bool {
	if !c.inCertainView() || !c.shuttingDownSince.IsZero() {
		return false
	}
	return !c.client.Unavailable() || !c.reachability.StoreReachableElsewhere()
}

// inCertainView tells whether this controller follows the store, and knows that it is in the view.
func (c *Controller) inCertainView() bool {
	return c.sync.live && c.role != members.Outside && c.membership.Certain()
}

// handleStall takes note that the loop did not run for so long. What it measured
// meanwhile proves nothing: no machine or member is judged unresponsive for time in which this
// controller did not listen. Deadlines, such as that of a cancelled task, are not put off.
func (c *Controller) handleStall(gap time.Duration) {
	c.log.Info("process stalled", "duration_ms", gap.Milliseconds())
	c.shard.Stalled(gap)
	c.reachability.ResetComplaints()
	c.provisioner.Since = c.state.Now
	c.membership.Stalled(gap)
}

// measureLoopLag takes note of how late the loop's clock ticks: the largest delay of late,
// which decays by a quarter with each tick.
func (c *Controller) measureLoopLag() {
	if !c.tickedAt.IsZero() {
		delay := max(0, c.state.Now.Sub(c.tickedAt)-2*tuning.Tick)
		c.loopLag = max(delay, c.loopLag*3/4)
	}
	c.tickedAt = c.state.Now
}

// lag is how far this controller is behind, with its own loop or with the watch.
func (c *Controller) lag() time.Duration {
	lag := c.loopLag
	if !c.behindSince.IsZero() {
		lag = max(lag, c.state.Now.Sub(c.behindSince)-tuning.Tick)
	}
	return lag
}
