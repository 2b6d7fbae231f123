package controller

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// updateBudget sets this node's share of the state service's limits, which the live
// members divide among them: what a silent one leaves is there for the others.
// Where views differ for a moment the limits may be passed; the state service
// then refuses, and the call is sent again.
func (c *Controller) updateBudget() {
	share, writes := 1.0, 1.0
	size := c.settings.Cluster.Size
	if c.role != members.Outside {
		size = len(c.view.Members)
	}
	if size > 1 {
		share = (1 - tuning.LeaderShare) / float64(size-1)
		writes = share * tuning.WriteOvercommit
		if c.role == members.Leader {
			share, writes = tuning.LeaderShare, tuning.LeaderShare*tuning.LeaderOvercommit
		}
	}
	limit := c.settings.Cluster.State.WriteRPS * tuning.StateBudget
	c.client.SetBudget(c.settings.Cluster.State.RPS*share*tuning.StateBudget, limit*writes, limit)
	c.api.RunBudget()
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

// updateRole follows the view: a new epoch starts every session anew.
func (c *Controller) updateRole() {
	role := members.RoleOf(c.view, c.settings.NodeName, c.membership.LeaseID())
	epoch := uint64(0)
	if c.view != nil {
		epoch = c.view.Epoch
	}
	if role == c.role && epoch == c.roleEpoch {
		return
	}
	if role != c.role {
		c.log.Info("role", "role", string(role), "epoch", epoch)
	}
	if (role == members.Leader) != (c.role == members.Leader) {
		// What a leader keeps must not outlive its view, here either: a machine
		// that it gave up may be in use under the next one.
		c.leaderState.reset()
		c.queue.Reset()
		c.calendar.Reset()
		c.provisioner.Reset()
	}
	c.role, c.roleEpoch = role, epoch
	c.updateBudget()
	if role == members.Outside {
		return
	}
	c.shard.NewView()
	c.reachability.ResetComplaints()
}
