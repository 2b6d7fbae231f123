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
	closing    map[string]bool
	movedAt    time.Time
	releasedAt time.Time // last look at the queue
	idle       bool      // it was empty then
	clearedAt  time.Time // last look for packs of no more use
	nextDuty   int       // which duty has the first go at the budget
}

func (l *leaderState) reset() {
	*l = leaderState{closing: map[string]bool{}}
}

// runLeaderDuties does what only the leader does.
func (c *Controller) runLeaderDuties() {
	if c.role != members.Leader || !c.checks.Permits(standby.Delete) {
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
	// Where the budget does not allow all, each gets its turn.
	duties := []func(){c.closeJobs, c.provisioner.Decommission, c.queue.TakeBack, c.releaseQueued}
	for i := range duties {
		duties[(c.leaderState.nextDuty+i)%len(duties)]()
	}
	c.leaderState.nextDuty++
	c.moveReplicas()
	if len(c.Batches) > 0 && c.Now.Sub(c.leaderState.clearedAt) >= tuning.Step && c.client.HasSpareWrites() {
		c.leaderState.clearedAt = c.Now
		c.committer.Commit(completion.ClearBatches(c.State, c.mirror.Epoch, c.settings.Cluster.State.TxnOps, c.committer.Busy))
	}
}

// releaseQueued looks at the queue. While no change can be made, room that comes
// free is gathered: the next look gives it away in fewer and larger slices.
func (c *Controller) releaseQueued() {
	least := 1
	if c.queue.Scarce() {
		least = tuning.MinBatchWrites
	}
	if !c.checks.Permits(standby.Release) || !c.api.QuotaSettled() {
		return
	}
	if c.usesBatches() {
		gap := tuning.BatchEvery
		if !c.client.HasSpareWrites() {
			gap = tuning.BatchEveryScarce
		}
		// A look at an empty queue puts off none: the next job is looked at as it comes.
		if !c.leaderState.idle && c.Now.Sub(c.leaderState.releasedAt) < gap {
			return
		}
	}
	if c.client.Allows(0, least) || c.Now.Sub(c.leaderState.releasedAt) > tuning.ReleaseLate {
		c.leaderState.releasedAt, c.leaderState.idle = c.Now, len(c.Queued) == 0
		c.queue.Release()
	}
}
