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

// EndAttempt is the decision that a task is no longer on its machine, for the reason that
// kind names; it is not placed again before the pause is over. It is empty if the task is
// in a state that the event does not change.
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

// attemptEnded is the decision about a reported end.
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
		decision, whole := completion.WithLastTask(task)
		if whole && (!s.isLeaving(session.Machine) || !task.StoredIn.IsBatch()) {
			return decision
		}
		return s.EndAttempt(task, jobs.Complete, 0)
	case agent.CauseError:
		decision := s.EndAttempt(task, jobs.Fail, jobs.Backoff(task.Failures))
		s.blame(session.Machine, health, task)
		return decision
	case agent.CauseNoSuch:
		return s.EndAttempt(task, jobs.Fail, jobs.Backoff(task.Failures))
	case agent.CauseNoRoom, agent.CauseInUse:
		health.BackOffUntil(s.state.Now.Add(tuning.RefusedRest))
		return s.EndAttempt(task, jobs.Lost, tuning.Backoff)
	}
	return s.EndAttempt(task, jobs.Lost, 0)
}

// blame tells a faulty machine from a faulty job. A job that has failed on several
// machines is itself to blame and costs no machine; a machine on which several blameless
// jobs fail, or one that others finish elsewhere, is faulty.
func (s *Shard) blame(machine string, health *fleet.Health, task *clusterstate.Task) {
	if s.state.Trust(task.Job, machine) == jobs.Probing {
		return
	}
	blameless := func(jobID string) bool {
		job := s.state.Jobs[jobID]
		return job != nil && isLive(job) && s.state.Trust(job, "") == jobs.Trusted
	}
	if health.Failed(task.Job.ID, s.state.Now, task.Job.DoneCount > 0, blameless) {
		s.commits.Commit(s.TransitionMachine(machine, fleet.Unhealthy, "tasks fail on it"))
	}
}

// free is what becomes of a recorded task that is not on its machine. While this
// controller reconciles, one that vanished from a machine that may hold it still, as it
// does where the lease expired, is left to placeAgain.
func (s *Shard) free(task *clusterstate.Task, difference reconcile.Difference, found *review) {
	if !s.Reconciling.Steady() && difference == reconcile.Vanished && s.canPlaceAgain(task) {
		s.vanishedTasks[task.ID] = true
		found.vanished = true
		return
	}
	found.decisions = append(found.decisions, s.EndAttempt(task, jobs.Lost, 0))
}
