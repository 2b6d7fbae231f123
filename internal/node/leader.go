package node

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/book"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/ending"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/standby"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// leader is what only the leader keeps. A new leader starts it anew from the
// mirror and the cloud's list.
type leader struct {
	closing    map[string]bool
	movedAt    time.Time
	releasedAt time.Time // last look at the queue
	idle       bool      // it was empty then
	clearedAt  time.Time // last look for packs of no more use
	turn       int       // which duty has the first go at the budget
}

func (l *leader) reset() {
	*l = leader{closing: map[string]bool{}}
}

// leaderPass does what only the leader does.
func (n *Node) leaderPass() {
	if n.role != members.Leader || !n.checks.May(standby.Delete) {
		return
	}
	n.rental.Pass()
	if n.client.Down() {
		return
	}
	n.front.QuotaPass()
	n.cal.Pass()
	n.queue.DropClaims()
	n.queue.KeepClaims()
	// Where the budget does not allow all, each gets its turn.
	duties := []func(){n.closeJobs, n.rental.Condemn, n.queue.TakeBack, n.releasePass}
	for i := range duties {
		duties[(n.lead.turn+i)%len(duties)]()
	}
	n.lead.turn++
	n.moveReplicas()
	if len(n.Packs) > 0 && n.Now.Sub(n.lead.clearedAt) >= tuning.Step && n.client.Spare() {
		n.lead.clearedAt = n.Now
		n.commits.Commit(ending.Packs(n.Book, n.mirror.Epoch, n.set.Cluster.State.TxnOps, n.commits.Busy))
	}
}

// releasePass looks at the queue. While no change can be made, room that comes
// free is gathered: the next look gives it away in fewer and larger slices.
func (n *Node) releasePass() {
	least := 1
	if n.queue.Scarce() {
		least = tuning.BatchLeast
	}
	if !n.checks.May(standby.Release) || !n.front.QuotaSettled() {
		return
	}
	if n.packing() {
		gap := tuning.PackEvery
		if !n.client.Spare() {
			gap = tuning.PackShort
		}
		// A look at an empty queue puts off none: the next job is looked at as it comes.
		if !n.lead.idle && n.Now.Sub(n.lead.releasedAt) < gap {
			return
		}
	}
	if n.client.Allows(0, least) || n.Now.Sub(n.lead.releasedAt) > tuning.ReleaseLate {
		n.lead.releasedAt, n.lead.idle = n.Now, len(n.Queued) == 0
		n.queue.Release()
	}
}

// closeJobs ends jobs whose tasks are done and clears the records of closed
// ones.
func (n *Node) closeJobs() {
	for _, uid := range book.Sorted(n.Complete) {
		j := n.Complete[uid]
		if n.lead.closing[uid] || n.commits.Busy(jobs.JobPrefix+uid) {
			continue
		}
		next, ok := jobs.NextJob(j.Rec.State, jobs.TasksAllDone)
		if !ok {
			continue
		}
		if d, whole := ending.Whole(j, next, n.set.Cluster.State.TxnOps, n.commits.Busy); whole {
			n.commits.Commit([]decide.Decision{d})
			continue
		}
		n.lead.closing[uid] = true
		n.front.Close(j, next, store.Decision, func(bool) { delete(n.lead.closing, uid) })
	}
	// Clearing is in no hurry and must not hold up decisions that are.
	var ds []decide.Decision
	for _, uid := range book.Sorted(n.Closed) {
		if len(ds) >= n.set.Cluster.State.TxnOps || !n.client.Spare() {
			break
		}
		ds = append(ds, ending.Clear(n.Closed[uid], n.set.Cluster.State.TxnOps, n.commits.Busy)...)
	}
	n.commits.Commit(ds)
}

// moveReplicas empties draining machines of replicas, which would otherwise
// keep them for ever: one is stopped where another machine has room for it and
// holds its image, so that it is away for a moment only. A few at a time.
func (n *Node) moveReplicas() {
	if n.Now.Sub(n.lead.movedAt) < tuning.MoveEvery {
		return
	}
	n.lead.movedAt = n.Now
	most := max(1, int(tuning.MovesShare*float64(len(n.Machines))))
	var ds []decide.Decision
	for _, h := range book.Sorted(n.rental.Summary.Drain) {
		for _, piece := range book.Sorted(n.OnHost[h]) {
			t := n.OnHost[h][piece]
			if t.Job.Rec == nil || t.State != jobs.Placed || !t.Ran && n.owner(h) == n.set.NodeName || t.Job.Rec.Spec.Shape != jobs.Standing ||
				n.Now.Sub(t.Since) < tuning.MoveAfter || len(ds) >= most {
				continue
			}
			zones := n.Zones(t.Job)
			if m := n.Machines[h]; m != nil {
				zones[m.Site]--
			}
			to := n.queue.FindHost(t.Anywhere(), zones)
			if to == "" || !n.Cached(to, t.Job.Rec.Spec.Bundle) {
				continue
			}
			next, ok := jobs.NextTask(t.Task, jobs.TaskEvent{Kind: jobs.Stop, Why: "moved off a draining machine"})
			if ok {
				ds = append(ds, decide.Decision{Changes: decide.Become(t, next)})
			}
		}
	}
	n.commits.Commit(ds)
}
