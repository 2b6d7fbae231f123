package controller

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/completion"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/standby"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// leaderState is what only the leader keeps. A new leader starts it anew from the
// mirror and the cloud's list.
type leaderState struct {
	closing          map[string]bool // jobs whose records are being closed in several transactions
	replicasMovedAt  time.Time
	releasedAt       time.Time // last scheduling cycle
	queueWasEmpty    bool      // at the last scheduling cycle
	batchesClearedAt time.Time
	nextDuty         int // which duty is first to use the write budget
}

// reset forgets everything.
func (l *leaderState) reset() {
	*l = leaderState{closing: map[string]bool{}}
}

// runLeaderDuties does what only the leader does, once its checks permit it.
func (c *Controller) runLeaderDuties() {
	if c.role != members.Leader || !c.checks.Permits(standby.Decommission) {
		return
	}
	c.provisioner.Reconcile()
	if c.client.Unavailable() {
		return
	}
	c.api.ReconcileQuota()
	c.calendar.Pass()
	c.queue.DropClaims()
	c.queue.ReconcileClaims()
	// Where the write budget does not allow all duties, each is first in turn.
	duties := []func(){c.closeJobs, c.provisioner.Decommission, c.queue.UnassignStale, c.releaseQueued}
	for i := range duties {
		duties[(c.leaderState.nextDuty+i)%len(duties)]()
	}
	c.leaderState.nextDuty++
	c.moveReplicas()
	c.clearBatches()
}

// releaseQueued runs a scheduling cycle, if the write budget allows one now. While no write can
// be made, free capacity accumulates: the next cycle places in fewer and larger records.
func (c *Controller) releaseQueued() {
	if !c.checks.Permits(standby.Schedule) || !c.api.QuotaSettled() {
		return
	}
	if c.usesBatches() && !c.batchCycleDue() {
		return
	}
	minWrites := 1
	if c.queue.Scarce() {
		minWrites = tuning.MinBatchWrites
	}
	overdue := c.state.Now.Sub(c.leaderState.releasedAt) > tuning.AssignLateAfter
	if c.client.Allows(0, minWrites) || overdue {
		c.leaderState.releasedAt, c.leaderState.queueWasEmpty = c.state.Now, len(c.state.Queued) == 0
		c.queue.RunCycle()
	}
}

// batchCycleDue tells whether a scheduling cycle that writes batch records may follow the last
// one. A cycle over an empty queue puts off none: the next job is placed as it comes.
func (c *Controller) batchCycleDue() bool {
	pause := tuning.BatchEvery
	if !c.client.HasSpareWrites() {
		pause = tuning.BatchEveryScarce
	}
	return c.leaderState.queueWasEmpty || c.state.Now.Sub(c.leaderState.releasedAt) >= pause
}

// clearBatches removes batch records that hold only tasks of closed jobs.
func (c *Controller) clearBatches() {
	due := c.state.Now.Sub(c.leaderState.batchesClearedAt) >= tuning.Step
	if len(c.state.Batches) == 0 || !due || !c.client.HasSpareWrites() {
		return
	}
	c.leaderState.batchesClearedAt = c.state.Now
	txnOps := c.settings.Cluster.State.TxnOps
	c.committer.Commit(completion.ClearBatches(c.state, c.mirror.Epoch, txnOps, c.committer.Busy))
}
