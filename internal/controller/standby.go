package controller

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/standby"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// PeerDisconnected takes in that the connection to a peer ended or was refused.
func (n *Controller) PeerDisconnected(name string) { n.membership.PeerDisconnected(name) }

// Standby is the state of this node's readiness, and how many calls were answered.
func (n *Controller) Standby() (standby.State, int) { return n.membership.Standby() }

// SuccessionOrder is this node's place among those that are to follow the leader, -1 if none.
func (n *Controller) SuccessionOrder() int { return n.membership.SuccessionOrder() }

// measureLoopLag takes note of how late the loop's clock comes round.
func (n *Controller) measureLoopLag() {
	if !n.tickedAt.IsZero() {
		over := max(0, n.Now.Sub(n.tickedAt)-2*tuning.Tick)
		n.loopLag = max(over, n.loopLag*3/4)
	}
	n.tickedAt = n.Now
}

// lag is how far this node is behind, with its own loop or with the watch.
func (n *Controller) lag() time.Duration {
	lag := n.loopLag
	if !n.lateSince.IsZero() {
		lag = max(lag, n.Now.Sub(n.lateSince)-tuning.Tick)
	}
	return lag
}

// followCloud reads along with the cloud while this node is among the first to lead.
func (n *Controller) followCloud() {
	if state, _ := n.membership.Standby(); state == standby.Warm && n.settings.Operator.FollowCloud {
		n.provisioner.FollowCloud(n.membership.SuccessionOrder())
	}
}

// updateChecks notes what this node has checked as a leader. The state service is asked for
// nothing: each check is of what the node knows or waits for anyway.
func (n *Controller) updateChecks() {
	if n.role != members.Leader {
		return
	}
	n.checks.Begin(n.roleEpoch, n.Now)
	if n.checks.Done() {
		return
	}
	for _, c := range []struct {
		check standby.Check
		holds bool
	}{
		{standby.InViewCertain, n.membership.Certain()},
		{standby.WatchReachedView, n.mirror.Epoch >= n.mirror.Revision(members.ViewKey)},
		{standby.TransactionsFenced, !n.committer.Fencing()},
		{standby.QuotasSettled, n.api.QuotaSettled()},
		{standby.MachineTypesKnown, n.provisioner.Priced()},
		{standby.CloudListed, n.provisioner.Listed()},
		{standby.FormerRents, n.provisioner.Counted()},
	} {
		if first, after := n.checks.Record(c.check, c.holds, n.Now); first {
			n.log.Debug("checked", "what", string(c.check), "after_ms", after.Milliseconds(), "epoch", n.roleEpoch)
			if n.checks.Done() {
				n.log.Info("leads, all checked", "epoch", n.roleEpoch, "after_ms", after.Milliseconds())
			}
		}
	}
}

// pendingChecks is what a leader has still to check.
func (n *Controller) pendingChecks() []standby.Check {
	if n.role != members.Leader {
		return nil
	}
	return n.checks.Pending()
}

// Shutdown has this node give its place away, in order: users are sent elsewhere first,
// then the lead passes on, and the place in the view with it.
func (n *Controller) Shutdown() {
	if n.shuttingDownSince.IsZero() {
		n.shuttingDownSince = n.Now
		n.log.Info("leaving")
	}
}

// continueShutdown gives the place away once the load balancer sends nobody here any more.
func (n *Controller) continueShutdown() {
	if !n.shuttingDownSince.IsZero() && n.Now.Sub(n.shuttingDownSince) >= tuning.LeaveUsers {
		n.membership.Resign()
	}
}

// HasShutDown tells whether this node may end: nothing hangs on it any more, or it has tried for
// long enough.
func (n *Controller) HasShutDown() bool {
	if n.shuttingDownSince.IsZero() {
		return false
	}
	alone := n.view != nil && len(n.view.Members) == 1
	return n.role == members.Outside || alone || n.Now.Sub(n.shuttingDownSince) >= tuning.LeaveUsers+tuning.LeaveWithin
}
