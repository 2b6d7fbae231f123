package controller

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/completion"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/standby"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// leaderState is the state that only the leader keeps. A new leader rebuilds it from the mirror
// and the cloud's list.
type leaderState struct {
	closing          map[string]bool // jobs whose final state is being committed (see closeJob)
	replicasMovedAt  time.Time
	lastCycleAt      time.Time // last scheduling cycle
	queueWasEmpty    bool      // at the last scheduling cycle
	batchesClearedAt time.Time
	nextDuty         int // index of the duty that may use the write budget first
}

// reset clears everything.
func (l *leaderState) reset() {
	*l = leaderState{closing: map[string]bool{}}
}

// runLeaderDuties performs the duties of the leader once its checks permit them.
func (c *Controller) runLeaderDuties() {
	if c.role != members.Leader || !c.checks.Permits(standby.Decommission) {
		return
	}
	c.provisioner.Reconcile()
	if c.client.Unavailable() {
		return
	}
	c.api.ReconcileQuota()
	c.calendar.ReconcileLeader()
	c.queue.DropLegacyClaims()
	c.queue.ReconcileClaims()
	// The write budget may not suffice for all duties, so they take turns at going first.
	duties := []func(){c.closeJobs, c.provisioner.Decommission, c.queue.UnassignStale, c.scheduleQueued}
	for i := range duties {
		duties[(c.leaderState.nextDuty+i)%len(duties)]()
	}
	c.leaderState.nextDuty++
	c.moveReplicas()
	c.clearBatches()
}

// scheduleQueued runs a scheduling cycle if the write budget allows one now or the last one was
// longer ago than tuning.CycleOverdueAfter. Until then free capacity accumulates, and the next
// cycle places tasks in fewer, larger records.
func (c *Controller) scheduleQueued() {
	if !c.checks.Permits(standby.Schedule) || !c.api.QuotaSettled() {
		return
	}
	if c.usesBatches() && !c.batchCycleDue() {
		return
	}
	minWrites := 1
	if c.queue.WritesScarce() {
		minWrites = tuning.MinBatchWrites
	}
	overdue := c.state.Now.Sub(c.leaderState.lastCycleAt) > tuning.CycleOverdueAfter
	if c.client.Allows(0, minWrites) || overdue {
		c.leaderState.lastCycleAt, c.leaderState.queueWasEmpty = c.state.Now, len(c.state.Queued) == 0
		c.queue.RunCycle()
	}
}

// batchCycleDue reports whether a scheduling cycle that writes batch records is due. A cycle over
// an empty queue does not delay the next one, so the next job is placed as soon as it arrives.
func (c *Controller) batchCycleDue() bool {
	pause := tuning.BatchEvery
	if !c.client.HasSpareWrites() {
		pause = tuning.BatchEveryScarce
	}
	return c.leaderState.queueWasEmpty || c.state.Now.Sub(c.leaderState.lastCycleAt) >= pause
}

// clearBatches removes batch records that hold only tasks of ended jobs, at most every
// tuning.AutoscalerStep.
func (c *Controller) clearBatches() {
	due := c.state.Now.Sub(c.leaderState.batchesClearedAt) >= tuning.AutoscalerStep
	if len(c.state.Batches) == 0 || !due || !c.client.HasSpareWrites() {
		return
	}
	c.leaderState.batchesClearedAt = c.state.Now
	txnOps := c.settings.Cluster.State.TxnOps
	guard := c.committer.ReplayGuard()
	c.committer.Commit(completion.ClearBatches(c.state, c.mirror.Epoch, guard, txnOps, c.committer.Busy))
}
