package queue

import (
	"sort"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// order lists the waiting live jobs in queue order. The first of these criteria in which two jobs
// differ decides:
//  1. the priority;
//  2. the guarantee: jobs covered by the guarantee of their own quota leaf come first, then those
//     covered by one further up the quota tree, then those covered by none;
//  3. the fair share, for jobs that the guarantee of their own quota leaf does not cover;
//  4. overdue jobs come first, the oldest of them first;
//  5. jobs that can still meet a service-level objective come first, those with the fewest
//     accelerators first;
//  6. the time by which the job must start to meet an objective.
func (q *Queue) order(account *quota.Account) []*clusterstate.Job {
	fairSharesByLeaf := map[int][]float64{}
	entries := make([]queueEntry, 0, len(q.state.Queued))
	for _, job := range q.state.Queued {
		spec := &job.Record.Spec
		leaf := q.state.QuotaLeaf(spec)
		entitled := account.Entitled(leaf, spec.Amount(), 1)
		guaranteeOrder := account.Tree().GuaranteeOrder(entitled, leaf)
		startByMs := q.StartBy(job.Record, guaranteeOrder == 0)
		if _, known := fairSharesByLeaf[leaf]; guaranteeOrder > 0 && !known {
			fairSharesByLeaf[leaf] = account.FairShares(leaf)
		}
		entries = append(entries, queueEntry{
			job:            job,
			priority:       spec.PriorityOrder(),
			guaranteeOrder: guaranteeOrder,
			fairShares:     fairSharesByLeaf[leaf],
			overdue:        q.Overdue(job),
			late:           startByMs >= job.Record.AcceptedMs+tuning.LateJobHorizon.Milliseconds(),
			accelerators:   spec.Accelerators * float64(spec.TaskCount-job.DoneCount),
			startByMs:      startByMs,
		})
	}
	sort.Slice(entries, func(a, b int) bool { return entries[a].before(&entries[b]) })
	out := make([]*clusterstate.Job, len(entries))
	for i := range entries {
		out[i] = entries[i].job
	}
	return out
}

// queueEntry is a waiting job with the values that determine its position in the queue.
type queueEntry struct {
	job            *clusterstate.Job
	priority       int
	guaranteeOrder int       // see quota.Tree.GuaranteeOrder; 0: covered by the guarantee of its own quota leaf
	fairShares     []float64 // see quota.Account.FairShares; unused if guaranteeOrder is 0
	overdue        bool      // see Overdue
	late           bool      // it can no longer meet any objective for its start
	accelerators   float64   // of all its unfinished tasks
	startByMs      int64
}

// before reports whether e precedes other in the queue.
func (e *queueEntry) before(other *queueEntry) bool {
	switch {
	case e.priority != other.priority:
		return e.priority < other.priority
	case e.guaranteeOrder != other.guaranteeOrder:
		return e.guaranteeOrder < other.guaranteeOrder
	case e.guaranteeOrder > 0 && quota.CompareFairShares(e.fairShares, other.fairShares) != 0:
		return quota.CompareFairShares(e.fairShares, other.fairShares) < 0
	case e.overdue != other.overdue:
		return e.overdue
	case e.overdue && e.job.Record.AcceptedMs != other.job.Record.AcceptedMs:
		return e.job.Record.AcceptedMs < other.job.Record.AcceptedMs
	case e.late != other.late:
		return !e.late
	case !e.late && e.accelerators != other.accelerators:
		return e.accelerators < other.accelerators
	case e.startByMs != other.startByMs:
		return e.startByMs < other.startByMs
	}
	return e.job.ID < other.job.ID
}

// Overdue reports whether a job has waited so long to start that it precedes all others of the same
// priority and fair share. Within a class smaller jobs go first, so without this rule the largest
// jobs start last, and never start while smaller ones keep arriving
// (docs/incidents/largest-last.md). The result depends only on the time at which the job was
// accepted, so that a restart of the controller does not reset the wait.
//
// Among gangs, only large ones can be overdue, and all of their tasks start together. Any other job
// stops being overdue once its first task has started, and its remaining tasks then wait in their
// regular position.
func (q *Queue) Overdue(job *clusterstate.Job) bool {
	waited := time.Duration(q.state.NowMs()-job.Record.AcceptedMs) * time.Millisecond
	if job.Record.Spec.IsGang() {
		return isLargeGang(&job.Record.Spec) && waited >= q.gangOverdueAfter(job.Record.Spec.Class)
	}
	return waited >= q.overdueAfter(job.Record.Spec.Class) && len(job.Active)+len(job.Retrying)+job.DoneCount == 0
}

// overdueAfter returns the wait after which job arrays and services of a class are overdue. It is
// chosen so that the last of the class's objectives for starting can still be met, or, if those are
// all shorter than it takes to free capacity, so that the maximum wait promised to users can be
// met.
func (q *Queue) overdueAfter(class string) time.Duration {
	lastObjective := q.lastStartObjective(class)
	if lastObjective < tuning.MinOverdueObjective {
		return tuning.OverdueAfter
	}
	return min(tuning.OverdueAfter, lastObjective-tuning.OverdueMargin)
}

// gangOverdueAfter returns the wait after which large gangs of a class are overdue: once the last
// of the class's objectives for starting has been missed, so that they take no capacity from jobs
// that can still meet one, but early enough to meet the maximum wait promised to users.
func (q *Queue) gangOverdueAfter(class string) time.Duration {
	lastObjective := q.lastStartObjective(class)
	if lastObjective < tuning.MinOverdueObjective {
		return tuning.GangOverdueAfter
	}
	return min(tuning.GangOverdueAfter, lastObjective+tuning.GangOverdueMargin)
}

// lastStartObjective returns the longest of a class's objectives for starting, or 0 if it has none.
func (q *Queue) lastStartObjective(class string) time.Duration {
	lastObjective := time.Duration(0)
	for _, objective := range q.config.Objectives {
		if objective.Kind == "wait" && objective.Class == class {
			lastObjective = max(lastObjective, jobs.Seconds(objective.WithinS))
		}
	}
	return lastObjective
}

// StartBy returns the time, in Unix milliseconds, by which a job must start to meet the earliest of
// its class's objectives that it can still meet. A job that has missed them all gets the time at
// which it has waited for tuning.LateJobHorizon, so that it comes after the jobs that have not.
func (q *Queue) StartBy(r *jobs.Record, entitled bool) int64 {
	late := r.AcceptedMs + tuning.LateJobHorizon.Milliseconds()
	best := late
	consider := func(seconds float64) {
		if t := r.AcceptedMs + int64(seconds*1000); t > q.state.NowMs() && t < best {
			best = t
		}
	}
	for _, objective := range q.config.Objectives {
		switch {
		case objective.Kind == "guarantee" && entitled, objective.Kind == "wait" && objective.Class == r.Spec.Class:
			consider(objective.WithinS)
		case objective.Kind == "finished" && objective.Class == r.Spec.Class:
			consider(objective.WithinS - r.Spec.ExpectedDurationS)
		}
	}
	if r.Spec.DeadlineS != nil {
		consider(*r.Spec.DeadlineS - r.Spec.ExpectedDurationS)
	}
	return best
}

// nextStartObjective returns the next time, in Unix milliseconds, by which a job should have
// started, or 0 if there is none.
func (q *Queue) nextStartObjective(r *jobs.Record, entitled bool) int64 {
	var best int64
	for _, objective := range q.config.Objectives {
		if (objective.Kind == "guarantee" && entitled) || (objective.Kind == "wait" && objective.Class == r.Spec.Class) {
			if t := r.AcceptedMs + int64(objective.WithinS*1000); t > q.state.NowMs() && (best == 0 || t < best) {
				best = t
			}
		}
	}
	return best
}

// pendingTasks lists up to limit waiting tasks of a job. Tasks to be retried come before tasks that
// were never attempted.
func (q *Queue) pendingTasks(job *clusterstate.Job, limit int) []*clusterstate.Task {
	var out []*clusterstate.Task
	for _, task := range job.Retrying {
		if task.NotBeforeMs <= q.state.NowMs() && !q.commits.Busy(task.StoredIn.Key) {
			out = append(out, task)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Index < out[b].Index })
	for job.FirstUnrecorded < job.Record.Spec.TaskCount && job.Tasks[job.FirstUnrecorded] != nil {
		job.FirstUnrecorded++
	}
	// While a task range is unreadable, it is unknown which tasks it holds.
	if job.TasksUnreadable || q.state.MayBeQuarantined(job.ID) {
		return out[:min(len(out), limit)]
	}
	for i := job.FirstUnrecorded; i < job.Record.Spec.TaskCount && len(out) < limit; i++ {
		if job.Tasks[i] != nil {
			continue
		}
		taskID := jobs.TaskID(job.ID, i)
		if _, reserved := q.state.Reservations[taskID]; !reserved {
			out = append(out, &clusterstate.Task{Task: jobs.Task{State: jobs.Pending}, ID: taskID, Index: i, Job: job})
		}
	}
	if len(out) > limit {
		out = out[:limit]
	}
	return out
}

// probeTask returns the one task that a job in probing state may start next, if any. It is the task
// with the most failures, which has the longest backoff.
func (q *Queue) probeTask(job *clusterstate.Job) []*clusterstate.Task {
	if len(job.Active) > 0 {
		return nil
	}
	var mostFailed *clusterstate.Task
	for _, task := range job.Retrying {
		if q.commits.Busy(task.StoredIn.Key) {
			return nil
		}
		if mostFailed == nil || task.Failures > mostFailed.Failures ||
			task.Failures == mostFailed.Failures && task.Index < mostFailed.Index {
			mostFailed = task
		}
	}
	if mostFailed == nil || mostFailed.NotBeforeMs > q.state.NowMs() {
		return nil
	}
	return []*clusterstate.Task{mostFailed}
}

// startableCount returns how many more tasks of a job may start now. At most tuning.MaxActiveTasks
// tasks of a job are active at once: when all 100,000 tasks of a job, of a few seconds each, were
// on machines, their heartbeats took all of the controllers' CPU time.
func (q *Queue) startableCount(job *clusterstate.Job) int {
	return max(0, min(job.Record.Spec.TaskCount-job.DoneCount, tuning.MaxActiveTasks)-len(job.Active))
}
