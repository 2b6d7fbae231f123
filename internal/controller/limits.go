package controller

import (
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/settings"
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

// valueBytes is the most bytes that a slice's record may have.
func (c *Controller) valueBytes() int { return int(c.settings.Cluster.State.ValueKB * 1024) }

// maxRangeTasks is how many tasks one slice holds.
func (c *Controller) maxRangeTasks() int {
	return min(max(1, c.valueBytes()/tuning.RangeTaskBytes), c.settings.Cluster.State.TxnOps*tuning.PreconditionsPerOp/2)
}

// usesBatches tells whether tasks are given away in packs: where changes are scarce, and
// every controller reads them.
func (c *Controller) usesBatches() bool {
	switch c.settings.Operator.Packs {
	case settings.PacksAlways:
	case settings.PacksScarce:
		if !c.queue.Scarce() {
			return false
		}
	default:
		return false
	}
	return c.membership.AllSupportBatches()
}
