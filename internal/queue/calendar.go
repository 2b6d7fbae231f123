package queue

import (
	"github.com/harrierreel/harrierreel/internal/calendar"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
)

// gate returns the calendar's verdict on whether a job may start.
func (q *Queue) gate(spec *jobs.Spec) calendar.Verdict {
	if q.calendar == nil {
		return calendar.Free
	}
	return q.calendar.Gate(spec)
}

// MayBegin reports whether the calendar allows a job to start now.
func (q *Queue) MayBegin(spec *jobs.Spec) bool {
	v := q.gate(spec)
	return v == calendar.Free || v == calendar.Allowed
}

// releaseWindowReservations frees the capacity reserved for windows that are about to open. Each
// cycle reserves it again.
func (q *Queue) releaseWindowReservations() {
	for _, taskID := range q.windowReservations {
		q.state.Unreserve(taskID)
	}
	q.windowReservations = nil
}

// reserveForWindow reserves capacity for a job whose window is about to open, and adds tasks
// without capacity to the waiting ones, so that machines are provisioned for them. Nothing is
// preempted for them yet. It returns the number of tasks that it examined.
func (q *Queue) reserveForWindow(job *clusterstate.Job, cycle *schedulingCycle, limit int) int {
	if job.Record.Spec.IsGang() {
		q.reserveGangForWindow(job, cycle)
		return 1
	}
	tasks := q.pendingTasks(job, min(limit, q.startableCount(job)))
	if len(tasks) == 0 {
		return 1
	}
	return q.reserveTasksForWindow(job, tasks, cycle)
}

// reserveGangForWindow reserves capacity for all tasks of a gang or for none.
func (q *Queue) reserveGangForWindow(job *clusterstate.Job, cycle *schedulingCycle) {
	spec := &job.Record.Spec
	leaf := q.state.QuotaLeaf(spec)
	tasks := q.pendingTasks(job, spec.TaskCount)
	if len(tasks) < spec.TaskCount || !cycle.account.Allows(leaf, spec.Amount(), spec.TaskCount) {
		return
	}
	entitled := cycle.account.Entitled(leaf, spec.Amount(), spec.TaskCount)
	placements, _ := q.fitGang(tasks, cycle)
	if placements == nil {
		q.addWaitingForWindow(tasks[0], entitled, spec.TaskCount, cycle)
		return
	}
	cycle.account.Charge(spec.QuotaKey(), spec.Amount(), spec.TaskCount)
	for _, p := range placements {
		q.reserveUntilNextCycle(p.task, p.machine)
	}
}

// reserveTasksForWindow reserves capacity for one task after another until one exceeds the team's
// limit or finds no capacity, and returns the number of tasks that it examined.
func (q *Queue) reserveTasksForWindow(
	job *clusterstate.Job,
	tasks []*clusterstate.Task,
	cycle *schedulingCycle,
) int {
	spec := &job.Record.Spec
	leaf := q.state.QuotaLeaf(spec)
	zones := q.state.TasksByZone(job)
	candidates := cycle.candidates(q, &clusterstate.Task{Job: job})
	for i, task := range tasks {
		if !cycle.account.Allows(leaf, spec.Amount(), 1) {
			return i + 1
		}
		chosen := q.pickCandidate(task, candidates, zones)
		if chosen < 0 {
			entitled := cycle.account.Entitled(leaf, spec.Amount(), 1)
			count := cycle.account.CountAllowed(leaf, spec.Amount(), q.startableCount(job)-i)
			q.addWaitingForWindow(task, entitled, count, cycle)
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

// addWaitingForWindow records tasks that found no capacity before their window opens.
func (q *Queue) addWaitingForWindow(first *clusterstate.Task, entitled, count int, cycle *schedulingCycle) {
	if count <= 0 {
		return
	}
	spec := &first.Job.Record.Spec
	cycle.account.Charge(spec.QuotaKey(), spec.Amount(), count)
	q.Waiting = append(q.Waiting, &Waiting{
		Task:            first,
		Count:           count,
		Priority:        spec.PriorityOrder(),
		Entitled:        entitled,
		WindowOpensSoon: true,
	})
}

// reserveUntilNextCycle reserves capacity for a task until the next cycle. The reservation has its
// own ID because no transaction on the task itself is in flight.
func (q *Queue) reserveUntilNextCycle(task *clusterstate.Task, machineName string) {
	reservation := &clusterstate.Task{
		Task:  task.Task,
		ID:    calendar.ReservationPrefix + task.ID,
		Index: task.Index,
		Job:   task.Job,
	}
	q.state.Reserve(reservation, machineName, q.state.Machines[machineName].Zone)
	q.windowReservations = append(q.windowReservations, reservation.ID)
}
