package shard

import (
	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/cancellation"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/reconcile"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// review is the outcome of comparing a machine's records with its heartbeats.
type review struct {
	commands  []agent.Command
	decisions []decide.Decision // that end attempts or free tasks
	vanished  bool              // some tasks have vanished and are to be placed again on the machine
	busy      bool              // a task record is part of a pending transaction
}

// differenceCounter counts a difference and the action taken on it. A review for the reply to a
// heartbeat counts nothing, since the next reconciliation finds the same differences.
type differenceCounter func(machine string, difference reconcile.Difference, action reconcile.Action)

// ignoreDifference is the differenceCounter that counts nothing.
func ignoreDifference(string, reconcile.Difference, reconcile.Action) {}

// review compares a machine's records with its heartbeats.
func (s *Shard) review(session *agent.Session, count differenceCounter) review {
	var found review
	delete(s.unverifiedLaunches, session.Machine)
	for _, taskID := range clusterstate.SortedKeys(s.state.TasksOnMachine[session.Machine]) {
		s.reviewRecorded(session, s.state.TasksOnMachine[session.Machine][taskID], count, &found)
	}
	if session.State != agent.Known {
		return found
	}
	for _, taskID := range clusterstate.SortedKeys(session.Tasks) {
		for _, status := range session.Tasks[taskID] {
			s.reviewReported(session, status, count, &found)
		}
	}
	return found
}

// reviewRecorded compares a task that is recorded on a machine with the machine's heartbeats.
func (s *Shard) reviewRecorded(
	session *agent.Session, task *clusterstate.Task, count differenceCounter, found *review,
) {
	jobOver := s.isJobOver(task.Job)
	if s.commits.Busy(task.StoredIn.Key) {
		found.busy = true
		if jobOver && session.State == agent.Known {
			// A transaction may stay unanswered for as long as the key-value store is
			// unavailable. Tasks of a job that is over are stopped without waiting for it.
			always := func(string) bool { return true }
			found.commands = append(found.commands, cancellation.StopCommands(session.Tasks[task.ID], always)...)
		}
		return // the machine is reviewed again once the transaction ends
	}
	attemptState, status := session.AttemptState(task.ID, task.Attempt)
	recorded := reconcile.Recorded{
		AttemptState: attemptState,
		JobOver:      jobOver,
		Stopping:     task.State == jobs.Stopping,
		Leaving:      s.isLeaving(session.Machine),
	}
	if attemptState == agent.OnMachine || attemptState == agent.EndReported {
		s.observe(session, task, status)
	}
	if attemptState == agent.OnMachine {
		recorded.Checkpoint = !jobOver && s.shouldCheckpoint(session, task, status)
	}
	difference, action := reconcile.OfRecorded(recorded)
	count(session.Machine, difference, action)
	switch action {
	case reconcile.Launch:
		s.launch(session, task, found)
	case reconcile.Stop:
		s.stop(session, task, status, found)
	case reconcile.End:
		found.decisions = append(found.decisions, s.attemptEnded(session, task, status))
	case reconcile.Free:
		s.freeTask(task, difference, found)
	case reconcile.Wait, reconcile.Continue, reconcile.Forget:
	}
}

// stop adds the stop of a recorded task to a review, unless it has to wait.
func (s *Shard) stop(session *agent.Session, task *clusterstate.Task, status agent.TaskStatus, found *review) {
	jobOver := s.isJobOver(task.Job)
	if !jobOver && s.letsPullFinish(session, task, status) {
		s.reviewAgain[session.Machine] = true
		return
	}
	found.commands = append(found.commands, stopCommand(task, jobOver))
}

// reviewReported compares an attempt that a machine's newest heartbeat lists with the records.
func (s *Shard) reviewReported(
	session *agent.Session, status agent.TaskStatus, count differenceCounter, found *review,
) {
	task := s.state.TasksOnMachine[session.Machine][status.TaskID]
	recorded := task != nil && task.Attempt == status.Attempt
	// Cancelled attempts are stopped at once. An ended attempt is forgotten only once no record can
	// name it any more.
	writing := !recorded && s.isBeingWritten(status.TaskID) &&
		(status.Status == agent.Ended || !s.cancellations.Cancelled(jobIDOf(status.TaskID)))
	difference, action := reconcile.OfReported(status.Status, recorded, writing)
	if !recorded {
		count(session.Machine, difference, action)
		if action == reconcile.Stop {
			s.logUnrecordedAttempt(session, status)
		}
	}
	switch action {
	case reconcile.Forget:
		forget := agent.Command{Verb: agent.Forget, TaskID: status.TaskID, Attempt: status.Attempt}
		found.commands = append(found.commands, forget)
		session.ForgetTask(status.TaskID, status.Attempt)
	case reconcile.Stop:
		gracePeriodS := 0.0
		stop := agent.Command{
			Verb:         agent.Stop,
			TaskID:       status.TaskID,
			Attempt:      status.Attempt,
			GracePeriodS: &gracePeriodS,
		}
		found.commands = append(found.commands, stop)
	case reconcile.Wait, reconcile.Continue, reconcile.Launch, reconcile.Free, reconcile.End:
	}
}

// isLive reports whether a job is recorded as live.
func isLive(job *clusterstate.Job) bool { return job.Record != nil && job.Record.State == jobs.Live }

// isJobOver reports whether a job has ended, by its record or by an acknowledged cancellation that the
// record does not show yet.
func (s *Shard) isJobOver(job *clusterstate.Job) bool {
	return !isLive(job) || s.cancellations.Cancelled(job.ID)
}

// isLeaving reports whether a machine is deleted, is being deleted, or has no record.
func (s *Shard) isLeaving(machine string) bool {
	m := s.state.Machines[machine]
	return m == nil || m.State == fleet.Deleting || m.State == fleet.Deleted
}

// jobIDOf returns the ID of the job that a task belongs to.
func jobIDOf(taskID string) string {
	jobID, _, _ := jobs.SplitTaskID(taskID)
	return jobID
}

// taskByID returns a task by its ID, or nil if there is none.
func (s *Shard) taskByID(taskID string) *clusterstate.Task {
	jobID, index, ok := jobs.SplitTaskID(taskID)
	if !ok || s.state.Jobs[jobID] == nil {
		return nil
	}
	return s.state.Jobs[jobID].Tasks[index]
}

// observe records what the reported status of a recorded attempt shows.
func (s *Shard) observe(session *agent.Session, task *clusterstate.Task, status agent.TaskStatus) {
	if held, known := status.ShowsImage(); known {
		s.state.ObserveImage(task, held)
	}
	s.markRunning(session, task, status)
}

// markRunning records that a task was observed running. Operators' scripts parse its log line, so
// the message and the keys must not change.
func (s *Shard) markRunning(session *agent.Session, task *clusterstate.Task, status agent.TaskStatus) {
	if status.Status != agent.Running || task.ObservedRunning {
		return
	}
	task.ObservedRunning = true
	if task.Job.Record != nil {
		s.config.Log.Debug(
			"runs",
			"task", task.ID,
			"class", task.Job.Record.Spec.Class,
			"machine", session.Machine,
			"try", task.Attempt,
			"since_accepted_ms", s.state.NowMs()-task.Job.Record.AcceptedMs,
			"since_placed_ms", s.state.Now.Sub(task.StateSince).Milliseconds(),
		)
	}
}

// isBeingWritten reports whether a task's record is part of a pending transaction.
func (s *Shard) isBeingWritten(taskID string) bool {
	if _, reserved := s.state.Reservations[taskID]; reserved {
		return true
	}
	task := s.taskByID(taskID)
	return task != nil && s.commits.Busy(task.StoredIn.Key)
}

// shouldCheckpoint reports whether a task should write a checkpoint and stop now because its
// machine is about to be preempted.
func (s *Shard) shouldCheckpoint(session *agent.Session, task *clusterstate.Task, status agent.TaskStatus) bool {
	if session.PreemptionNoticeS == nil || status.Status != agent.Running {
		return false
	}
	spec := &task.Job.Record.Spec
	if spec.Kind == jobs.Service {
		return true // a replica has no work to finish, so it can restart elsewhere at once
	}
	remainingS := *session.PreemptionNoticeS - s.state.Now.Sub(session.LastStatus).Seconds()
	if spec.CheckpointIntervalS > 0 {
		return remainingS <= spec.CheckpointTimeS+tuning.CheckpointMargin
	}
	// A task that cannot finish in time is better restarted elsewhere at once.
	return spec.ExpectedDurationS-s.state.Now.Sub(task.StateSince).Seconds() > remainingS*tuning.PreemptionNoticeFactor
}

// stopCommand returns the command that stops a recorded attempt, with time for a checkpoint unless
// its job is over.
func stopCommand(task *clusterstate.Task, jobOver bool) agent.Command {
	gracePeriodS := 0.0
	if !jobOver && task.Job.Record.Spec.CheckpointIntervalS > 0 {
		gracePeriodS = task.Job.Record.Spec.CheckpointTimeS + 1
	}
	return agent.Command{
		Verb:         agent.Stop,
		TaskID:       task.ID,
		Attempt:      task.Attempt,
		GracePeriodS: &gracePeriodS,
	}
}
