package controller

import (
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// updateBudget sets this controller's share of the store's request rate, which the live
// members divide among them: what an ended one leaves is there for the others.
// Where views differ for a moment the limits may be passed; the store then refuses, and
// the call is sent again.
func (c *Controller) updateBudget() {
	requestShare, writeShare := c.budgetShares()
	store := c.settings.Cluster.State
	writeLimit := store.WriteRPS * tuning.StateBudget
	c.client.SetBudget(store.RPS*requestShare*tuning.StateBudget, writeLimit*writeShare, writeLimit)
	c.api.UpdateRunBudget()
}

// budgetShares are this controller's parts of all requests to the store and of all writes.
func (c *Controller) budgetShares() (requests, writes float64) {
	size := c.settings.Cluster.Size
	if c.role != members.Outside {
		size = len(c.view.Members)
	}
	switch {
	case size <= 1:
		return 1, 1
	case c.role == members.Leader:
		return tuning.LeaderShare, tuning.LeaderShare * tuning.LeaderOvercommit
	default:
		share := (1 - tuning.LeaderShare) / float64(size-1)
		return share, share * tuning.WriteOvercommit
	}
}

// valueBytes is how many bytes a record may have.
func (c *Controller) valueBytes() int { return int(c.settings.Cluster.State.ValueKB * 1024) }

// maxRangeTasks is how many tasks one record of a task range holds: as many as its bytes allow,
// and as one transaction can move with their preconditions.
func (c *Controller) maxRangeTasks() int {
	byBytes := max(1, c.valueBytes()/tuning.RangeTaskBytes)
	return min(byBytes, c.settings.Cluster.State.TxnOps*tuning.PreconditionsPerOp/2)
}

// usesBatches tells whether tasks are placed in batch records: where writes are scarce, and
// every member can read them.
func (c *Controller) usesBatches() bool {
	var wanted bool
	switch c.settings.Operator.TaskBatching {
	case settings.BatchingAlways:
		wanted = true
	case settings.BatchingWhenScarce:
		wanted = c.queue.Scarce()
	case settings.BatchingOff:
		wanted = false
	}
	return wanted && c.membership.AllSupportBatches()
}
