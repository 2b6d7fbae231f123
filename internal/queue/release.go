package queue

import (
	"maps"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/calendar"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/sharding"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// RunCycle runs a scheduling cycle of the leader, which releases tasks to shards within each team's
// limit. Once its decisions have used up the write budget, the cycle examines no further jobs,
// because further decisions could not be committed: with a thousand one-task jobs waiting for
// writes, searching for a machine for each of them in every cycle took all of a controller's CPU
// time (docs/incidents/ops-swarm.md).
func (q *Queue) RunCycle() {
	q.releaseWindowReservations()
	cycle := q.newCycle()
	q.reconcileLoans(cycle)
	stillWaiting := q.StillWaiting()
	maps.DeleteFunc(q.noCapacitySince, func(jobID string, _ time.Time) bool { return q.state.Queued[jobID] == nil })
	q.Waiting = nil
	q.dropAccumulations()
	hasBudget, limit := q.budget.Allows(0, 1), tuning.MaxExaminedTasks
	if !hasBudget {
		limit = tuning.MaxExaminedWithoutBudget
	}
	examined := map[*clusterstate.Job]bool{}
	examinedCount := 0
	for _, job := range q.order(cycle.account) {
		if examinedCount >= limit || hasBudget && !q.budget.Allows(cycle.writeCount(), 1) {
			break
		}
		examined[job] = true
		examinedCount += q.examine(job, cycle, limit-examinedCount)
	}
	if hasBudget {
		q.runSecondRound(cycle, limit-examinedCount)
	}
	q.preempt(cycle)
	// Jobs that were not examined keep waiting. There may be capacity for them by now.
	for _, waiting := range stillWaiting {
		if !examined[waiting.Task.Job] {
			waiting.NotExamined = true
			q.Waiting = append(q.Waiting, waiting)
		}
	}
	if hasBudget {
		q.examined = examined // without write budget, even a job that fits is not released
	}
	q.startStarvingJobs(cycle, examined)
	cycle.end(q)
	q.commits.Commit(cycle.decisions)
}

// examine looks for capacity for a job, and returns the number of tasks that it examined.
func (q *Queue) examine(job *clusterstate.Job, cycle *schedulingCycle, limit int) int {
	spec := &job.Record.Spec
	if cycle.quotaLeavesAtLimit[q.state.QuotaLeaf(spec)] {
		cycle.rounds.overLimit = append(cycle.rounds.overLimit, job)
		return 0
	}
	switch q.gate(spec) {
	case calendar.Shut:
		return 0
	case calendar.Soon:
		if cycle.rounds.inSecondRound {
			return 0
		}
		return q.reserveForWindow(job, cycle, limit)
	case calendar.Free, calendar.Allowed:
	}
	q.unblockReturned(job.ID, cycle)
	defer q.blockReturned(job.ID, cycle)
	covered := cycle.account.Entitled(q.state.QuotaLeaf(spec), spec.Amount(), 1) >= 0
	cycle.blockRoomFrom(q, job, covered)
	defer cycle.keepRoomOf(q, job)
	if spec.IsGang() {
		q.releaseGang(job, cycle)
		return 1
	}
	return q.releaseTasks(job, cycle, limit)
}

// StillWaiting lists the tasks that found no capacity when they were last examined and whose job
// still waits.
func (q *Queue) StillWaiting() []*Waiting {
	return slices.DeleteFunc(
		slices.Clone(q.Waiting),
		func(waiting *Waiting) bool { return q.state.Queued[waiting.Task.Job.ID] != waiting.Task.Job },
	)
}

// releaseTasks releases the waiting tasks of a job of independent tasks or replicas, and returns
// the number of tasks that it examined.
func (q *Queue) releaseTasks(job *clusterstate.Job, cycle *schedulingCycle, limit int) int {
	spec := &job.Record.Spec
	candidates, freeSlots := q.taskCandidates(job, cycle)
	probing := q.state.Trust(job, "") == jobs.Probing
	tasks := q.tasksToExamine(job, cycle, limit, freeSlots)
	if probing {
		tasks = q.probeTask(job)
	}
	if len(tasks) == 0 {
		return 1
	}
	placer := taskPlacer{
		queue:      q,
		cycle:      cycle,
		job:        job,
		tasks:      tasks,
		probing:    probing,
		zones:      q.zonesWithLoans(job, cycle),
		candidates: q.limitShards(spec, candidates, len(tasks)),
	}
	examinedCount := placer.placeAll()
	placements := placer.placements
	if len(placements) == len(tasks) {
		delete(q.noCapacitySince, job.ID)
	}
	if q.awaitsMoreCapacity(job, len(placements), freeSlots) {
		for _, p := range placements {
			cycle.hold(q, p.machine, spec.Resources())
		}
		return examinedCount
	}
	cycle.decisions = append(cycle.decisions, q.releaseDecisions(job, placements)...)
	return examinedCount
}

// taskCandidates lists the machines with capacity for a task of a job, and counts the tasks that
// fit on them. It stops counting once the count exceeds the number of tasks that the job has left.
func (q *Queue) taskCandidates(job *clusterstate.Job, cycle *schedulingCycle) ([]sharding.Candidate, int) {
	spec := &job.Record.Spec
	if cycle.knownUnplaceable(spec, 1) {
		return nil, 0
	}
	candidates := cycle.candidates(q, &clusterstate.Task{Job: job})
	if len(candidates) == 0 {
		cycle.noteUnplaceable(spec, 1)
	}
	freeSlots := 0
	wanted := spec.TaskCount - job.DoneCount - len(job.Active)
	for i := 0; i < len(candidates) && freeSlots <= wanted; i++ {
		freeSlots += candidates[i].Free.HowMany(spec.Resources())
	}
	return candidates, freeSlots
}

// tasksToExamine lists the tasks of a job that a cycle tries to place.
func (q *Queue) tasksToExamine(
	job *clusterstate.Job,
	cycle *schedulingCycle,
	limit, freeSlots int,
) []*clusterstate.Task {
	if q.Overdue(job) {
		// This leaves capacity for the overdue jobs behind it.
		limit = min(limit, 1+job.Record.Spec.TaskCount/tuning.OverdueStartDivisor)
	}
	limit = min(limit, freeSlots+tuning.MaxPreemptingTasks, q.startableCount(job))
	return q.withoutBorrowers(q.pendingTasks(job, limit), cycle)
}

// addWaiting records tasks that found no capacity. They keep their position in the queue, and
// machines are held for the first of them.
func (q *Queue) addWaiting(
	job *clusterstate.Job,
	tasks []*clusterstate.Task,
	entitled int,
	zones map[string]int,
	cycle *schedulingCycle,
) {
	spec := &job.Record.Spec
	if cycle.rounds.inSecondRound {
		return
	}
	expired := q.noteNoCapacity(job)
	count := cycle.account.CountAllowed(q.state.QuotaLeaf(spec), spec.Amount(), q.startableCount(job))
	if count == 0 {
		return
	}
	cycle.account.Charge(spec.QuotaKey(), spec.Amount(), count)
	if expired {
		cycle.rounds.expired = append(cycle.rounds.expired, unplacedCharge{job, count})
	}
	q.Waiting = append(
		q.Waiting,
		&Waiting{
			Task:     tasks[0],
			Tasks:    tasks[:min(count, len(tasks))],
			Count:    count,
			Priority: spec.PriorityOrder(),
			Entitled: entitled,
		},
	)
	q.holdMachines(tasks[0], min(count, tuning.HoldEach), zones, cycle)
}

// awaitsMoreCapacity reports whether the few tasks of a job array that fit now should wait briefly
// until more of them fit, so that they share a task range. The caller holds the capacity for them.
func (q *Queue) awaitsMoreCapacity(job *clusterstate.Job, placementCount, freeSlots int) bool {
	wanted := min(tuning.GatherTasks, job.Record.Spec.TaskCount-job.DoneCount-len(job.Active))
	savesWrites := q.WritesScarce() && !q.budget.HasSpareWrites() && !q.cluster.UsesBatches() &&
		job.Record.Spec.Kind == jobs.JobArray
	if !savesWrites || placementCount == 0 || placementCount >= wanted || placementCount < freeSlots {
		job.AccumulatingSince = time.Time{}
		return false
	}
	if job.AccumulatingSince.IsZero() {
		job.AccumulatingSince = q.state.Now
	}
	if q.state.Now.Sub(job.AccumulatingSince) < tuning.GatherFor {
		return true
	}
	job.AccumulatingSince = time.Time{}
	return false
}
