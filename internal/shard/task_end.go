package shard

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/completion"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/reconcile"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// EndAttempt returns the decision that takes a task off its machine, for the reason given by kind.
// The task is not placed again before pause has elapsed. The decision is empty if the event does
// not apply to the task's state.
func (s *Shard) EndAttempt(task *clusterstate.Task, kind jobs.TaskEventKind, pause time.Duration) decide.Decision {
	if !isLive(task.Job) {
		kind = jobs.Lost
	}
	event := jobs.TaskEvent{Kind: kind, NotBeforeMs: s.state.NowMs() + pause.Milliseconds()}
	next, ok := jobs.NextTask(task.Task, event)
	if !ok {
		return decide.Decision{}
	}
	return decide.Decision{
		Changes: decide.TransitionTask(task, next),
		ReadSet: []string{jobs.JobPrefix + task.Job.ID},
	}
}

// attemptEnded returns the decision for an attempt that the machine reports as ended.
func (s *Shard) attemptEnded(session *agent.Session, task *clusterstate.Task, status agent.TaskStatus) decide.Decision {
	health := s.healthOf(session.Machine)
	if !isLive(task.Job) {
		return s.EndAttempt(task, jobs.Lost, 0)
	}
	switch status.Cause {
	case agent.CauseDone:
		health.Succeeded()
		if task.Job.Record.Spec.Kind == jobs.Service {
			return s.EndAttempt(task, jobs.Lost, 0)
		}
		decision, endsJob := completion.WithLastTask(task)
		if endsJob && (!s.isLeaving(session.Machine) || !task.StoredIn.IsBatch()) {
			return decision
		}
		return s.EndAttempt(task, jobs.Complete, 0)
	case agent.CauseError:
		decision := s.EndAttempt(task, jobs.Fail, jobs.Backoff(task.Failures))
		s.attributeFailure(session.Machine, health, task)
		return decision
	case agent.CauseNoSuch:
		return s.EndAttempt(task, jobs.Fail, jobs.Backoff(task.Failures))
	case agent.CauseNoRoom, agent.CauseInUse:
		health.BackOffUntil(s.state.Now.Add(tuning.RefusedBackoff))
		return s.EndAttempt(task, jobs.Lost, tuning.Backoff)
	case agent.CauseAlone, agent.CauseMatesGone:
	}
	return s.EndAttempt(task, jobs.Lost, 0)
}

// attributeFailure attributes a task's failure to its machine or to its job. A job that has failed
// on several machines is itself considered faulty and marks no machine as unhealthy. A machine is
// marked as unhealthy if several trusted jobs fail on it, or if a job whose other tasks succeed
// keeps failing on it.
func (s *Shard) attributeFailure(machine string, health *fleet.Health, task *clusterstate.Task) {
	if s.state.Trust(task.Job, machine) == jobs.Probing {
		return
	}
	trusted := func(jobID string) bool {
		job := s.state.Jobs[jobID]
		return job != nil && isLive(job) && s.state.Trust(job, "") == jobs.Trusted
	}
	if health.Failed(task.Job.ID, s.state.Now, task.Job.DoneCount > 0, trusted) {
		s.commits.Commit(s.TransitionMachine(machine, fleet.Unhealthy, "tasks fail on it"))
	}
}

// freeTask handles a recorded task that is not on its machine: it adds the decision that frees the
// task. While this controller reconciles after its start, a task that vanished from a machine that
// could run it again, for instance because the worker's lease expired, is left to placeAgain
// instead.
func (s *Shard) freeTask(task *clusterstate.Task, difference reconcile.Difference, found *review) {
	if !s.Reconciling.Steady() && difference == reconcile.Vanished && s.canPlaceAgain(task) {
		s.vanishedTasks[task.ID] = true
		found.vanished = true
		return
	}
	found.decisions = append(found.decisions, s.EndAttempt(task, jobs.Lost, 0))
}
