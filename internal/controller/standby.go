package controller

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/standby"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// PeerDisconnected takes in that the connection to a peer ended or was refused.
func (c *Controller) PeerDisconnected(name string) { c.membership.PeerDisconnected(name) }

// Standby is the state of this node's readiness, and how many calls were answered.
func (c *Controller) Standby() (standby.State, int) { return c.membership.Standby() }

// SuccessionOrder is this node's place among those that are to follow the leader, -1 if none.
func (c *Controller) SuccessionOrder() int { return c.membership.SuccessionOrder() }

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

// followCloud reads along with the cloud while this node is among the first to lead.
func (c *Controller) followCloud() {
	if state, _ := c.membership.Standby(); state == standby.Warm && c.settings.Operator.FollowCloud {
		c.provisioner.FollowCloud(c.membership.SuccessionOrder())
	}
}

// updateChecks notes what this node has checked as a leader. The state service is asked for
// nothing: each check is of what the node knows or waits for anyway.
func (c *Controller) updateChecks() {
	if c.role != members.Leader {
		return
	}
	c.checks.Begin(c.roleEpoch, c.Now)
	if c.checks.Done() {
		return
	}
	for _, item := range []struct {
		check standby.Check
		holds bool
	}{
		{standby.InViewCertain, c.membership.Certain()},
		{standby.WatchReachedView, c.mirror.Epoch >= c.mirror.Revision(members.ViewKey)},
		{standby.TransactionsFenced, !c.committer.Fencing()},
		{standby.QuotasSettled, c.api.QuotaSettled()},
		{standby.MachineTypesKnown, c.provisioner.Priced()},
		{standby.CloudListed, c.provisioner.Listed()},
		{standby.FormerRents, c.provisioner.Counted()},
	} {
		if first, after := c.checks.Record(item.check, item.holds, c.Now); first {
			c.log.Debug("checked", "what", string(item.check), "after_ms", after.Milliseconds(), "epoch", c.roleEpoch)
			if c.checks.Done() {
				c.log.Info("leads, all checked", "epoch", c.roleEpoch, "after_ms", after.Milliseconds())
			}
		}
	}
}

// pendingChecks is what a leader has still to check.
func (c *Controller) pendingChecks() []standby.Check {
	if c.role != members.Leader {
		return nil
	}
	return c.checks.Pending()
}

// Shutdown has this node give its place away, in order: users are sent elsewhere first,
// then the lead passes on, and the place in the view with it.
func (c *Controller) Shutdown() {
	if c.shuttingDownSince.IsZero() {
		c.shuttingDownSince = c.Now
		c.log.Info("leaving")
	}
}

// continueShutdown gives the place away once the load balancer sends nobody here any more.
func (c *Controller) continueShutdown() {
	if !c.shuttingDownSince.IsZero() && c.Now.Sub(c.shuttingDownSince) >= tuning.LeaveUsers {
		c.membership.Resign()
	}
}

// HasShutDown tells whether this node may end: nothing hangs on it any more, or it has tried for
// long enough.
func (c *Controller) HasShutDown() bool {
	if c.shuttingDownSince.IsZero() {
		return false
	}
	alone := c.view != nil && len(c.view.Members) == 1
	return c.role == members.Outside || alone || c.Now.Sub(c.shuttingDownSince) >= tuning.LeaveUsers+tuning.LeaveWithin
}
