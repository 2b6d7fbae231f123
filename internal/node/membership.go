package node

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// budget sets this node's share of the state service's limits, which the live
// members divide among them: what a silent one leaves is there for the others.
// Where views differ for a moment the limits may be passed; the state service
// then refuses, and the call is sent again.
func (n *Node) budget() {
	share, writes := 1.0, 1.0
	size := n.set.Cluster.Size
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
	limit := n.set.Cluster.State.WriteRPS * tuning.StateBudget
	n.client.SetBudget(n.set.Cluster.State.RPS*share*tuning.StateBudget, limit*writes, limit)
	n.front.RunBudget()
}

// stoodStill takes note that the loop did not run for so long. What it measured
// meanwhile says nothing: nobody is judged silent for time in which this node
// did not listen. What runs out by itself, such as a cancelled task's time, runs on.
func (n *Node) stoodStill(gap time.Duration) {
	n.log.Info("stood still", "for_ms", gap.Milliseconds())
	n.part.StoodStill(gap)
	n.sight.Forget()
	n.rental.Since = n.Now
	n.member.StoodStill(gap)
}

// updateRole follows the view: a new epoch starts every session anew.
func (n *Node) updateRole() {
	role := members.RoleOf(n.view, n.set.NodeName, n.member.Hold())
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
		n.lead.reset()
		n.queue.Reset()
		n.cal.Reset()
		n.rental.Reset()
	}
	n.role, n.roleEpoch = role, epoch
	n.budget()
	if role == members.Outside {
		return
	}
	n.part.NewView()
	n.sight.Forget()
}
