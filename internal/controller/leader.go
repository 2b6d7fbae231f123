package controller

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/completion"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/standby"
	"github.com/harrierreel/harrierreel/internal/store"
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

// closeJobs ends jobs whose tasks are done and clears the records of closed
// ones.
func (c *Controller) closeJobs() {
	for _, jobID := range clusterstate.SortedKeys(c.Complete) {
		j := c.Complete[jobID]
		if c.leaderState.closing[jobID] || c.committer.Busy(jobs.JobPrefix+jobID) {
			continue
		}
		next, ok := jobs.NextJob(j.Record.State, jobs.TasksAllDone)
		if !ok {
			continue
		}
		if d, whole := completion.InOneTransaction(j, next, c.settings.Cluster.State.TxnOps, c.committer.Busy); whole {
			c.committer.Commit([]decide.Decision{d})
			continue
		}
		c.leaderState.closing[jobID] = true
		c.api.Close(j, next, store.PriorityDecision, func(bool) { delete(c.leaderState.closing, jobID) })
	}
	// Clearing is in no hurry and must not hold up decisions that are.
	var ds []decide.Decision
	for _, jobID := range clusterstate.SortedKeys(c.Closed) {
		if len(ds) >= c.settings.Cluster.State.TxnOps || !c.client.HasSpareWrites() {
			break
		}
		ds = append(ds, completion.ClearRecords(c.Closed[jobID], c.settings.Cluster.State.TxnOps, c.committer.Busy)...)
	}
	c.committer.Commit(ds)
}

// moveReplicas empties draining machines of replicas, which would otherwise
// keep them for ever: one is stopped where another machine has room for it and
// holds its image, so that it is away for a moment only. A few at a time.
func (c *Controller) moveReplicas() {
	if c.Now.Sub(c.leaderState.movedAt) < tuning.MoveEvery {
		return
	}
	c.leaderState.movedAt = c.Now
	most := max(1, int(tuning.MovesShare*float64(len(c.Machines))))
	var ds []decide.Decision
	for _, h := range clusterstate.SortedKeys(c.provisioner.Summary.Drain) {
		for _, taskID := range clusterstate.SortedKeys(c.TasksOnMachine[h]) {
			t := c.TasksOnMachine[h][taskID]
			if t.Job.Record == nil || t.State != jobs.Placed || !t.ObservedRunning && c.ownerOf(h) == c.settings.NodeName || t.Job.Record.Spec.Kind != jobs.Service ||
				c.Now.Sub(t.Since) < tuning.MoveAfter || len(ds) >= most {
				continue
			}
			zones := c.TasksByZone(t.Job)
			if m := c.Machines[h]; m != nil {
				zones[m.Zone]--
			}
			to := c.queue.FindMachine(t.WithoutPreference(), zones)
			if to == "" || !c.HasImage(to, t.Job.Record.Spec.Image) {
				continue
			}
			next, ok := jobs.NextTask(t.Task, jobs.TaskEvent{Kind: jobs.Stop, Reason: "moved off a draining machine"})
			if ok {
				ds = append(ds, decide.Decision{Changes: decide.TransitionTask(t, next)})
			}
		}
	}
	c.committer.Commit(ds)
}
