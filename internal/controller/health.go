package controller

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// mayDecide tells whether this node may decide for users.
func (c *Controller) mayDecide() bool {
	return !c.client.Unavailable() && c.sync.live && c.role != members.Outside && c.membership.Certain()
}

// healthy tells whether users should be sent here. During an outage of the state
// service every node stays up and refuses at once; a node that alone is refused, as
// its peers' hints show, steps aside.
func (c *Controller) healthy() bool {
	return c.sync.live && c.role != members.Outside && c.membership.Certain() && c.shuttingDownSince.IsZero() && !(c.client.Unavailable() && c.reachability.StoreReachableElsewhere())
}

// handleStall takes note that the loop did not run for so long. What it measured
// meanwhile says nothing: nobody is judged silent for time in which this node
// did not listen. What runs out by itself, such as a cancelled task's time, runs on.
func (c *Controller) handleStall(gap time.Duration) {
	c.log.Info("stood still", "for_ms", gap.Milliseconds())
	c.shard.Stalled(gap)
	c.reachability.ResetComplaints()
	c.provisioner.Since = c.Now
	c.membership.Stalled(gap)
}

// measureLoopLag takes note of how late the loop's clock comes round.
func (c *Controller) measureLoopLag() {
	if !c.tickedAt.IsZero() {
		over := max(0, c.Now.Sub(c.tickedAt)-2*tuning.Tick)
		c.loopLag = max(over, c.loopLag*3/4)
	}
	c.tickedAt = c.Now
}

// lag is how far this node is behind, with its own loop or with the watch.
func (c *Controller) lag() time.Duration {
	lag := c.loopLag
	if !c.lateSince.IsZero() {
		lag = max(lag, c.Now.Sub(c.lateSince)-tuning.Tick)
	}
	return lag
}
