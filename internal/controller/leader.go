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
func (n *Controller) runLeaderDuties() {
	if n.role != members.Leader || !n.checks.Permits(standby.Delete) {
		return
	}
	n.provisioner.Reconcile()
	if n.client.Unavailable() {
		return
	}
	n.api.ReconcileQuota()
	n.calendar.Pass()
	n.queue.DropClaims()
	n.queue.ReconcileClaims()
	// Where the budget does not allow all, each gets its turn.
	duties := []func(){n.closeJobs, n.provisioner.Decommission, n.queue.TakeBack, n.releaseQueued}
	for i := range duties {
		duties[(n.leaderState.nextDuty+i)%len(duties)]()
	}
	n.leaderState.nextDuty++
	n.moveReplicas()
	if len(n.Batches) > 0 && n.Now.Sub(n.leaderState.clearedAt) >= tuning.Step && n.client.HasSpareWrites() {
		n.leaderState.clearedAt = n.Now
		n.committer.Commit(completion.ClearBatches(n.State, n.mirror.Epoch, n.settings.Cluster.State.TxnOps, n.committer.Busy))
	}
}

// releaseQueued looks at the queue. While no change can be made, room that comes
// free is gathered: the next look gives it away in fewer and larger slices.
func (n *Controller) releaseQueued() {
	least := 1
	if n.queue.Scarce() {
		least = tuning.MinBatchWrites
	}
	if !n.checks.Permits(standby.Release) || !n.api.QuotaSettled() {
		return
	}
	if n.usesBatches() {
		gap := tuning.BatchEvery
		if !n.client.HasSpareWrites() {
			gap = tuning.BatchEveryScarce
		}
		// A look at an empty queue puts off none: the next job is looked at as it comes.
		if !n.leaderState.idle && n.Now.Sub(n.leaderState.releasedAt) < gap {
			return
		}
	}
	if n.client.Allows(0, least) || n.Now.Sub(n.leaderState.releasedAt) > tuning.ReleaseLate {
		n.leaderState.releasedAt, n.leaderState.idle = n.Now, len(n.Queued) == 0
		n.queue.Release()
	}
}

// closeJobs ends jobs whose tasks are done and clears the records of closed
// ones.
func (n *Controller) closeJobs() {
	for _, jobID := range clusterstate.SortedKeys(n.Complete) {
		j := n.Complete[jobID]
		if n.leaderState.closing[jobID] || n.committer.Busy(jobs.JobPrefix+jobID) {
			continue
		}
		next, ok := jobs.NextJob(j.Record.State, jobs.TasksAllDone)
		if !ok {
			continue
		}
		if d, whole := completion.InOneTransaction(j, next, n.settings.Cluster.State.TxnOps, n.committer.Busy); whole {
			n.committer.Commit([]decide.Decision{d})
			continue
		}
		n.leaderState.closing[jobID] = true
		n.api.Close(j, next, store.PriorityDecision, func(bool) { delete(n.leaderState.closing, jobID) })
	}
	// Clearing is in no hurry and must not hold up decisions that are.
	var ds []decide.Decision
	for _, jobID := range clusterstate.SortedKeys(n.Closed) {
		if len(ds) >= n.settings.Cluster.State.TxnOps || !n.client.HasSpareWrites() {
			break
		}
		ds = append(ds, completion.ClearRecords(n.Closed[jobID], n.settings.Cluster.State.TxnOps, n.committer.Busy)...)
	}
	n.committer.Commit(ds)
}

// moveReplicas empties draining machines of replicas, which would otherwise
// keep them for ever: one is stopped where another machine has room for it and
// holds its image, so that it is away for a moment only. A few at a time.
func (n *Controller) moveReplicas() {
	if n.Now.Sub(n.leaderState.movedAt) < tuning.MoveEvery {
		return
	}
	n.leaderState.movedAt = n.Now
	most := max(1, int(tuning.MovesShare*float64(len(n.Machines))))
	var ds []decide.Decision
	for _, h := range clusterstate.SortedKeys(n.provisioner.Summary.Drain) {
		for _, taskID := range clusterstate.SortedKeys(n.TasksOnMachine[h]) {
			t := n.TasksOnMachine[h][taskID]
			if t.Job.Record == nil || t.State != jobs.Placed || !t.ObservedRunning && n.ownerOf(h) == n.settings.NodeName || t.Job.Record.Spec.Kind != jobs.Service ||
				n.Now.Sub(t.Since) < tuning.MoveAfter || len(ds) >= most {
				continue
			}
			zones := n.TasksByZone(t.Job)
			if m := n.Machines[h]; m != nil {
				zones[m.Zone]--
			}
			to := n.queue.FindMachine(t.WithoutPreference(), zones)
			if to == "" || !n.HasImage(to, t.Job.Record.Spec.Image) {
				continue
			}
			next, ok := jobs.NextTask(t.Task, jobs.TaskEvent{Kind: jobs.Stop, Reason: "moved off a draining machine"})
			if ok {
				ds = append(ds, decide.Decision{Changes: decide.TransitionTask(t, next)})
			}
		}
	}
	n.committer.Commit(ds)
}
