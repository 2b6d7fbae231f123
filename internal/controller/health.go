package controller

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// mayDecide reports whether this controller may make decisions for users' requests.
func (c *Controller) mayDecide() bool {
	return !c.client.Unavailable() && c.inCertainView()
}

// healthy reports whether the load balancer should send users here. While the store is unavailable
// to all, every controller stays healthy and refuses requests at once. A controller that cannot
// reach the store while its peers' gossip shows that they can is not healthy.
func (c *Controller) healthy() bool {
	if !c.inCertainView() || !c.shuttingDownSince.IsZero() {
		return false
	}
	return !c.client.Unavailable() || !c.reachability.StoreReachableElsewhere()
}

// inCertainView reports whether this controller follows the store and is certain to be in the view.
func (c *Controller) inCertainView() bool {
	return c.sync.live && c.role != members.Outside && c.membership.Certain()
}

// handleStall handles a gap during which the loop did not run. No machine or member counts as
// unresponsive for time in which this controller was not listening. Deadlines, such as that of a
// cancelled task, are not extended.
func (c *Controller) handleStall(gap time.Duration) {
	c.log.Info("process stalled", "duration_ms", gap.Milliseconds())
	c.shard.Stalled(gap)
	c.reachability.ResetComplaints()
	c.provisioner.ObservingSince = c.state.Now
	c.membership.Stalled(gap)
}

// measureLoopLag updates loopLag, the largest recent delay of a tick, which decays by a quarter
// with each tick.
func (c *Controller) measureLoopLag() {
	if !c.tickedAt.IsZero() {
		delay := max(0, c.state.Now.Sub(c.tickedAt)-2*tuning.Tick)
		c.loopLag = max(delay, c.loopLag*3/4)
	}
	c.tickedAt = c.state.Now
}

// lag returns how far this controller is behind, in its own loop or in following the store.
func (c *Controller) lag() time.Duration {
	lag := c.loopLag
	if !c.behindSince.IsZero() {
		lag = max(lag, c.state.Now.Sub(c.behindSince)-tuning.Tick)
	}
	return lag
}
