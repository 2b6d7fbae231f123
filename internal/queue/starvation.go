package queue

import (
	"cmp"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// starvation is what the starvation guard records about a job that has no active tasks. A job
// starves while there is free capacity for it and its team is under its limit, but the capacity or
// the quota is kept for other jobs.
type starvation struct {
	starvingSince time.Time // zero if there was no free capacity for it recently
	hadCapacityAt time.Time // when there last was free capacity for it
	examinedAt    time.Time
}

// startStarvingJobs is the starvation guard: it starts jobs that have waited too long although
// there is free capacity for them. A cycle holds capacity and quota until the job that they are
// held for can start: a machine for a task that fits nowhere, capacity for a large gang, the
// remaining quota of a team for a job that needs more, and the charges of tasks that found no
// capacity. Some of those jobs never start, because only replicas occupy the capacity they need.
// Therefore no job waits longer than tuning.StarvingAfter for free capacity, whatever that capacity
// is held for (docs/incidents/passed-over.md).
//
// It runs last in a cycle, when capacity that has become free has been given to jobs in queue
// order, and what is still free is held. Jobs that the cycle did not examine are not considered,
// because a later cycle has yet to examine them in queue order.
func (q *Queue) startStarvingJobs(cycle *schedulingCycle, examined map[*clusterstate.Job]bool) {
	for jobID := range q.starving {
		if job := q.state.Queued[jobID]; job == nil || len(job.Active) > 0 {
			delete(q.starving, jobID)
		}
	}
	cycle.releaseHolds(q)
	due := q.starvationCandidates(examined)
	for _, job := range due[:min(len(due), tuning.MaxStarvingExamined)] {
		q.startIfStarving(job, cycle)
	}
}

// startIfStarving checks whether there is capacity for a job, records since when, and starts the
// job if there has been for too long.
func (q *Queue) startIfStarving(job *clusterstate.Job, cycle *schedulingCycle) {
	now := q.state.Now
	starving := q.starving[job.ID]
	starving.examinedAt = now
	start := q.prepareStart(job, cycle)
	if start != nil {
		starving.hadCapacityAt = now
	}
	starvingFor := now.Sub(starving.starvingSince)
	starvedTooLong := starvingFor >= tuning.StarvingAfter
	due := starvedTooLong || starvingFor >= tuning.JointStartAfter && now.Before(q.startStarvingUntil)
	switch {
	case now.Sub(starving.hadCapacityAt) > tuning.StarvingGap:
		starving.starvingSince = time.Time{}
	case starving.starvingSince.IsZero():
		starving.starvingSince = now
	case start != nil && due && q.budget.Allows(cycle.writeCount(), 1):
		if starvedTooLong {
			q.startStarvingUntil = now.Add(tuning.StarvingEvery)
		}
		q.config.Log.Debug("starving job started",
			"job_id", job.ID,
			"class", job.Record.Spec.Class,
			"duration_ms", starvingFor.Milliseconds(),
		)
		start()
	}
	q.starving[job.ID] = starving
}

// starvationCandidates lists the examined jobs that wait, have no active tasks or reservations and
// are due for a check. Jobs that have starved the longest come first.
func (q *Queue) starvationCandidates(examined map[*clusterstate.Job]bool) []*clusterstate.Job {
	reserved := map[*clusterstate.Job]bool{}
	for _, r := range q.state.Reservations {
		reserved[r.Task.Job] = true
	}
	var out []*clusterstate.Job
	for job := range examined {
		if q.state.Queued[job.ID] == job && len(job.Active) == 0 && !reserved[job] && q.starvationCheckDue(job) {
			out = append(out, job)
		}
	}
	slices.SortFunc(out, func(a, b *clusterstate.Job) int {
		return cmp.Or(
			q.starving[a.ID].compare(q.starving[b.ID]),
			cmp.Compare(a.Record.AcceptedMs, b.Record.AcceptedMs),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return out
}

// starvationCheckDue reports whether a job has waited long enough to be checked, was not checked
// recently, and may start.
func (q *Queue) starvationCheckDue(job *clusterstate.Job) bool {
	waited := time.Duration(q.state.NowMs()-job.Record.AcceptedMs) * time.Millisecond
	return waited >= tuning.StarvingMinAge &&
		q.state.Now.Sub(q.starving[job.ID].examinedAt) >= tuning.StarvingEvery &&
		q.MayBegin(&job.Record.Spec) &&
		!q.HasClaim(job.ID) &&
		q.state.Trust(job, "") != jobs.Probing
}

// compare orders by starvingSince, with jobs that do not starve last, and then by the time of the
// last check.
func (s starvation) compare(other starvation) int {
	if s.starvingSince.IsZero() != other.starvingSince.IsZero() {
		if s.starvingSince.IsZero() {
			return 1
		}
		return -1
	}
	return cmp.Or(
		s.starvingSince.Compare(other.starvingSince),
		s.examinedAt.Compare(other.examinedAt),
	)
}

// prepareStart returns a function that starts a job now: all tasks of a gang, or one task of any
// other job. It returns nil if there is no capacity or not enough quota for that.
func (q *Queue) prepareStart(job *clusterstate.Job, cycle *schedulingCycle) func() {
	if job.Record.Spec.IsGang() {
		return q.prepareGangStart(job, cycle)
	}
	spec := &job.Record.Spec
	tasks := q.pendingTasks(job, 1)
	if len(tasks) == 0 || !q.state.Account.Allows(q.state.QuotaLeaf(spec), spec.Amount(), 1) ||
		cycle.knownUnplaceable(spec, 1) {
		return nil
	}
	candidates := cycle.candidates(q, tasks[0])
	if len(candidates) == 0 {
		cycle.noteUnplaceable(spec, 1)
	}
	chosen := q.pickCandidate(tasks[0], candidates, q.state.TasksByZone(job))
	if chosen < 0 {
		return nil
	}
	machineName := candidates[chosen].Machine
	return func() {
		cycle.decisions = append(cycle.decisions, q.releaseDecisions(job, []placement{{tasks[0], machineName}})...)
	}
}

// prepareGangStart implements prepareStart for a gang.
func (q *Queue) prepareGangStart(job *clusterstate.Job, cycle *schedulingCycle) func() {
	spec := &job.Record.Spec
	tasks, attempt := q.startableGangTasks(job)
	if tasks == nil || !q.state.Account.Allows(q.state.QuotaLeaf(spec), spec.Amount(), spec.TaskCount) {
		return nil
	}
	placements, oneShard := q.fitGang(tasks, cycle)
	if placements == nil {
		return nil
	}
	return func() { q.startGang(job, tasks, placements, oneShard, attempt, cycle) }
}
