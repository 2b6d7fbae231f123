package queue

import (
	"slices"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/sharding"
)

// Room that was made by preemption is kept for the task that it was made for, the beneficiary, until
// the beneficiary is placed or may preempt again. While the victims are still stopping, the
// beneficiary does not fit yet, and other jobs would take what is free already, so that it never
// fits. Nor may the victims take the room back: the queue puts priority before guarantees, while work
// within a guarantee may preempt work of any priority (docs/incidents/stopped-and-placed-again.md).

// roomReservation is the capacity on one machine that was freed for a beneficiary.
type roomReservation struct {
	job       *clusterstate.Job // of the beneficiary
	taskID    string            // of the beneficiary
	machine   string
	resources sharding.Resources
	entitled  bool // a guarantee covers the beneficiary
	examined  bool // the cycle has examined the beneficiary's job
	blocked   bool // the capacity counts as used
}

// preemptedRoom lists the reservations for beneficiaries that still wait, in the order of their task
// IDs.
func (q *Queue) preemptedRoom() []*roomReservation {
	var room []*roomReservation
	for _, taskID := range clusterstate.SortedKeys(q.preemptions) {
		pending := q.preemptions[taskID]
		jobID, index, ok := jobs.SplitTaskID(taskID)
		if !ok || pending.machine == "" || q.state.Now.After(pending.until) || q.state.Machines[pending.machine] == nil {
			continue
		}
		job := q.state.Queued[jobID]
		if job == nil || job.Active[index] != nil || q.isReserved(taskID) {
			continue
		}
		room = append(room, &roomReservation{
			job:       job,
			taskID:    taskID,
			machine:   pending.machine,
			resources: job.Record.Spec.Resources(),
			entitled:  pending.entitled,
		})
	}
	return room
}

// isReserved reports whether capacity is reserved for a task that is being released or placed.
func (q *Queue) isReserved(taskID string) bool {
	_, reserved := q.state.Reservations[taskID]
	return reserved
}

// blockRoomFrom blocks the reserved room that a job must not use: that of beneficiaries which come
// before the job in the queue, or which could preempt it, because a guarantee covers them and none
// covers the job.
func (c *schedulingCycle) blockRoomFrom(q *Queue, job *clusterstate.Job, covered bool) {
	spec := &job.Record.Spec
	preemptible := !covered && !spec.IsGang() && spec.Kind != jobs.Service
	unblocked := false
	for _, r := range c.room {
		block := r.job != job && (r.examined || r.entitled && preemptible)
		unblocked = unblocked || r.blocked && !block
		r.setBlocked(q, block)
	}
	if unblocked {
		clear(c.unplaceable) // what did not fit may fit now
	}
}

// keepRoomOf blocks the room that a job's tasks have not taken, for the jobs behind it in the queue.
func (c *schedulingCycle) keepRoomOf(q *Queue, job *clusterstate.Job) {
	held := slices.Clone(q.holds[job.ID].machines)
	for _, r := range c.room {
		if r.job != job {
			continue
		}
		r.examined = true
		if i := slices.Index(held, r.machine); i >= 0 {
			held = slices.Delete(held, i, i+1) // the machine is held for the job already
			continue
		}
		r.setBlocked(q, !q.isReserved(r.taskID))
	}
}

// releaseRoom unblocks all reserved room.
func (c *schedulingCycle) releaseRoom(q *Queue) {
	for _, r := range c.room {
		r.setBlocked(q, false)
	}
}

// setBlocked makes the reserved capacity count as used, or as free.
func (r *roomReservation) setBlocked(q *Queue, blocked bool) {
	if r.blocked == blocked {
		return
	}
	r.blocked = blocked
	if blocked {
		q.state.AllocateResources(r.machine, r.resources)
	} else {
		q.state.FreeResources(r.machine, r.resources)
	}
}
