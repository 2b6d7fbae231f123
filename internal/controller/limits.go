package controller

import (
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// updateBudget sets this controller's share of the store's rate limits, which the members of the
// view divide among themselves: the share of a member that has left goes to the others. While
// controllers briefly disagree on the view, they may exceed the limits together; the store then
// refuses calls, which are retried.
func (c *Controller) updateBudget() {
	requestShare, writeShare := c.budgetShares()
	store := c.settings.Cluster.State
	writeLimit := store.WriteRPS * tuning.StateBudgetShare
	c.client.SetBudget(store.RPS*requestShare*tuning.StateBudgetShare, writeLimit*writeShare, writeLimit)
	c.api.UpdateRunBudget()
}

// budgetShares returns this controller's shares (0 to 1) of the store's requests and of its writes.
// The shares of the writes may add up to more than 1, see tuning.WriteOvercommit.
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

// valueBytes returns the maximum size of a record in bytes.
func (c *Controller) valueBytes() int { return int(c.settings.Cluster.State.ValueKB * 1024) }

// maxRangeTasks returns the maximum number of tasks in one task range record. It is limited by the
// size of a record and by the number of preconditions in a transaction, since one transaction must
// be able to move all tasks of a range.
func (c *Controller) maxRangeTasks() int {
	byBytes := max(1, c.valueBytes()/tuning.RangeTaskBytes)
	return min(byBytes, c.settings.Cluster.State.TxnOps*tuning.PreconditionsPerOp/2)
}

// usesBatches reports whether tasks are recorded in batch records. The setting decides this, by
// default in favor of them where writes are scarce, but every member must be able to read them.
func (c *Controller) usesBatches() bool {
	var wanted bool
	switch c.settings.Operator.TaskBatching {
	case settings.BatchingAlways:
		wanted = true
	case settings.BatchingWhenScarce:
		wanted = c.queue.WritesScarce()
	case settings.BatchingOff:
		wanted = false
	}
	return wanted && c.membership.AllSupportBatches()
}
