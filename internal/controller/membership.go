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
func (n *Controller) updateBudget() {
	share, writes := 1.0, 1.0
	size := n.settings.Cluster.Size
	if n.role != members.Outside {
		size = len(n.view.Members)
	}
	if size > 1 {
		share = (1 - tuning.LeaderShare) / float64(size-1)
		writes = share * tuning.WriteOvercommit
		if n.role == members.Leader {
			share, writes = tuning.LeaderShare, tuning.LeaderShare*tuning.LeaderOvercommit
		}
	}
	limit := n.settings.Cluster.State.WriteRPS * tuning.StateBudget
	n.client.SetBudget(n.settings.Cluster.State.RPS*share*tuning.StateBudget, limit*writes, limit)
	n.api.RunBudget()
}

// handleStall takes note that the loop did not run for so long. What it measured
// meanwhile says nothing: nobody is judged silent for time in which this node
// did not listen. What runs out by itself, such as a cancelled task's time, runs on.
func (n *Controller) handleStall(gap time.Duration) {
	n.log.Info("stood still", "for_ms", gap.Milliseconds())
	n.shard.Stalled(gap)
	n.reachability.ResetComplaints()
	n.provisioner.Since = n.Now
	n.membership.Stalled(gap)
}

// updateRole follows the view: a new epoch starts every session anew.
func (n *Controller) updateRole() {
	role := members.RoleOf(n.view, n.settings.NodeName, n.membership.LeaseID())
	epoch := uint64(0)
	if n.view != nil {
		epoch = n.view.Epoch
	}
	if role == n.role && epoch == n.roleEpoch {
		return
	}
	if role != n.role {
		n.log.Info("role", "role", string(role), "epoch", epoch)
	}
	if (role == members.Leader) != (n.role == members.Leader) {
		// What a leader keeps must not outlive its view, here either: a machine
		// that it gave up may be in use under the next one.
		n.leaderState.reset()
		n.queue.Reset()
		n.calendar.Reset()
		n.provisioner.Reset()
	}
	n.role, n.roleEpoch = role, epoch
	n.updateBudget()
	if role == members.Outside {
		return
	}
	n.shard.NewView()
	n.reachability.ResetComplaints()
}
