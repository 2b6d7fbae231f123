package queue

import (
	"github.com/harrierreel/harrierreel/internal/calendar"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
)

// gate tells whether a job's work may begin by the calendar.
func (q *Queue) gate(spec *jobs.Spec) calendar.Verdict {
	if q.env.Gate == nil {
		return calendar.Free
	}
	return q.env.Gate(spec)
}

// MayBegin tells whether a job's work may begin now by the calendar.
func (q *Queue) MayBegin(spec *jobs.Spec) bool {
	v := q.gate(spec)
	return v == calendar.Free || v == calendar.Allowed
}

// letGo gives back the room kept for windows that are about to open: each look at the
// queue keeps it anew.
func (q *Queue) releaseWindowReservations() {
	for _, taskID := range q.windowReservations {
		q.state.Unreserve(taskID)
	}
	q.windowReservations = nil
}

// prepare keeps room for a job whose window is about to open, and counts what finds
// none as waiting, so that machines are rented for it. Nothing is stopped for it yet.
// It returns how many tasks it looked at.
func (q *Queue) reserveForWindow(job *clusterstate.Job, cycle *schedulingCycle, limit int) int {
	spec := &job.Record.Spec
	leaf := q.state.QuotaLeaf(spec)
	waits := func(task *clusterstate.Task, entitled, count int) {
		if count > 0 {
			cycle.account.Charge(spec.QuotaKey(), spec.Amount(), count)
			q.Waiting = append(
				q.Waiting,
				&Waiting{Task: task, Count: count, Priority: spec.PriorityOrder(), Entitled: entitled, WindowOpensSoon: true},
			)
		}
	}
	if spec.IsGang() {
		gang := q.pendingTasks(job, spec.TaskCount)
		if len(gang) < spec.TaskCount || !cycle.account.Allows(leaf, spec.Amount(), spec.TaskCount) {
			return 1
		}
		entitled := cycle.account.Entitled(leaf, spec.Amount(), spec.TaskCount)
		placements, _ := q.fitGang(gang, cycle)
		if placements == nil {
			waits(gang[0], entitled, spec.TaskCount)
			return 1
		}
		cycle.account.Charge(spec.QuotaKey(), spec.Amount(), spec.TaskCount)
		for _, o := range placements {
			q.reserveUntilNextCycle(o.task, o.machine)
		}
		return 1
	}
	tasks := q.pendingTasks(job, min(limit, q.startableCount(job)))
	if len(tasks) == 0 {
		return 1
	}
	zones := q.state.TasksByZone(job)
	candidates := cycle.candidates(q, &clusterstate.Task{Job: job})
	for i, task := range tasks {
		if !cycle.account.Allows(leaf, spec.Amount(), 1) {
			return i + 1
		}
		chosen := q.pickCandidate(task, candidates, zones)
		if chosen < 0 {
			waits(task, cycle.account.Entitled(leaf, spec.Amount(), 1), cycle.account.More(leaf, spec.Amount(), q.startableCount(job)-i))
			return i + 1
		}
		candidate := &candidates[chosen]
		q.reserveUntilNextCycle(task, candidate.Machine)
		cycle.account.Charge(spec.QuotaKey(), spec.Amount(), 1)
		candidate.Free = candidate.Free.Sub(spec.Resources())
		zones[candidate.Zone]++
	}
	return len(tasks)
}

// reserveFor books room for a task until the next look, under a name of its own: the task
// is under no transaction.
func (q *Queue) reserveUntilNextCycle(task *clusterstate.Task, machineName string) {
	reservation := &clusterstate.Task{Task: task.Task, ID: calendar.Kept + task.ID, Index: task.Index, Job: task.Job}
	q.state.Reserve(reservation, machineName, q.state.Machines[machineName].Zone)
	q.windowReservations = append(q.windowReservations, reservation.ID)
}
