package shard

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/cancellation"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/gangs"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/reconcile"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// review is what the comparison of a machine's records with its heartbeats calls for.
type review struct {
	commands  []agent.Command
	decisions []decide.Decision // ends of attempts, and tasks that are freed
	vanished  bool              // tasks are gone that are to be placed there once more
	busy      bool              // a record is under a transaction
}

// differenceCounter takes note of a difference and its answer. A review for the answer to
// a heartbeat counts none, since the next reconciliation finds them again.
type differenceCounter func(machine string, difference reconcile.Difference, answer reconcile.Answer)

func ignoreDifference(string, reconcile.Difference, reconcile.Answer) {}

// review compares a machine's records with its heartbeats.
func (s *Shard) review(session *agent.Session, count differenceCounter) review {
	var found review
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

// reviewRecorded compares a task that is recorded on a machine with its heartbeats.
func (s *Shard) reviewRecorded(
	session *agent.Session, task *clusterstate.Task, count differenceCounter, found *review,
) {
	over := !isLive(task.Job) || s.cancellations.Cancelled(task.Job.ID)
	if s.commits.Busy(task.StoredIn.Key) {
		found.busy = true
		if over && session.State == agent.Known {
			// A transaction may be without an answer for as long as the key-value store is
			// away; a stop of what is over does not wait for it.
			always := func(string) bool { return true }
			found.commands = append(found.commands, cancellation.StopCommands(session.Tasks[task.ID], always)...)
		}
		return // its end has the machine reviewed again
	}
	verdict, status := session.Judge(task.ID, task.Attempt)
	recorded := reconcile.Recorded{
		Verdict:  verdict,
		Over:     over,
		Stopping: task.State == jobs.Stopping,
		Leaving:  s.isLeaving(session.Machine),
	}
	if verdict == agent.OnMachine {
		s.noteRunning(session, task, status)
		recorded.Checkpoint = !over && s.shouldCheckpoint(session, task, status)
	}
	difference, answer := reconcile.OfRecorded(recorded)
	count(session.Machine, difference, answer)
	switch answer {
	case reconcile.Launch:
		if s.launchesLater(task) || !s.cancellations.MayLaunch() {
			s.reviewAgain[session.Machine] = true
			return
		}
		launch := agent.Command{Verb: agent.Launch, TaskID: task.ID, Attempt: task.Attempt}
		found.commands = append(found.commands, launch)
	case reconcile.Stop:
		found.commands = append(found.commands, stopCommand(task, over))
	case reconcile.End:
		found.decisions = append(found.decisions, s.attemptEnded(session, task, status))
	case reconcile.Free:
		s.free(task, difference, found)
	case reconcile.Wait, reconcile.Continue, reconcile.Forget:
	}
}

// reviewReported compares an attempt of a machine's newest heartbeat with the records.
func (s *Shard) reviewReported(
	session *agent.Session, status agent.TaskStatus, count differenceCounter, found *review,
) {
	task := s.state.TasksOnMachine[session.Machine][status.TaskID]
	recorded := task != nil && task.Attempt == status.Attempt
	// What is cancelled is stopped at once; its end is forgotten only once no record can
	// name it any more.
	writing := !recorded && s.isBeingWritten(status.TaskID) &&
		(status.Status == agent.Ended || !s.cancellations.Cancelled(jobOf(status.TaskID)))
	difference, answer := reconcile.OfReported(status.Status, recorded, writing)
	if !recorded {
		count(session.Machine, difference, answer)
	}
	switch answer {
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

// isLive tells whether a job is recorded as live.
func isLive(job *clusterstate.Job) bool { return job.Record != nil && job.Record.State == jobs.Live }

// isLeaving tells whether a machine is deleted, or about to be, or has no record.
func (s *Shard) isLeaving(machine string) bool {
	m := s.state.Machines[machine]
	return m == nil || m.State == fleet.Deleting || m.State == fleet.Deleted
}

// jobOf is the job of a task.
func jobOf(taskID string) string {
	jobID, _, _ := jobs.SplitTaskID(taskID)
	return jobID
}

// task is what is known of a task by its name, nil if there is none.
func (s *Shard) task(taskID string) *clusterstate.Task {
	jobID, index, ok := jobs.SplitTaskID(taskID)
	if !ok || s.state.Jobs[jobID] == nil {
		return nil
	}
	return s.state.Jobs[jobID].Tasks[index]
}

// launchesLater tells whether a task of a gang should wait with its launch for the image
// pulls of the others (gangs.LaunchAt).
func (s *Shard) launchesLater(task *clusterstate.Task) bool {
	spec := &task.Job.Record.Spec
	if !spec.IsGang() || spec.ImageGB <= 0 {
		return false
	}
	ready := make([]time.Time, 0, len(task.Job.Active))
	for _, member := range task.Job.Active {
		if member.OnMachine() {
			ready = append(ready, s.state.Images.Ready(member.Machine, spec.Image))
		}
	}
	gangWait := jobs.Seconds(s.config.Cluster.Workers.GangWaitS)
	launchAt := gangs.LaunchAt(s.state.Images.Ready(task.Machine, spec.Image), ready, gangWait)
	return s.state.Now.Before(launchAt)
}

// noteRunning takes note that a task was seen running. Operators' scripts read its log
// line, whose keys and message stay as they are.
func (s *Shard) noteRunning(session *agent.Session, task *clusterstate.Task, status agent.TaskStatus) {
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

// isBeingWritten tells whether the record of a task is under a transaction.
func (s *Shard) isBeingWritten(taskID string) bool {
	if _, reserved := s.state.Reservations[taskID]; reserved {
		return true
	}
	task := s.task(taskID)
	return task != nil && s.commits.Busy(task.StoredIn.Key)
}

// shouldCheckpoint tells whether a task should write a checkpoint now, since its machine
// will be taken.
func (s *Shard) shouldCheckpoint(session *agent.Session, task *clusterstate.Task, status agent.TaskStatus) bool {
	if session.PreemptionNoticeS == nil || status.Status != agent.Running {
		return false
	}
	spec := &task.Job.Record.Spec
	if spec.Kind == jobs.Service {
		return true // a replica has nothing to finish: start it elsewhere
	}
	leftS := *session.PreemptionNoticeS - s.state.Now.Sub(session.LastStatus).Seconds()
	if spec.CheckpointIntervalS > 0 {
		return leftS <= spec.CheckpointTimeS+tuning.SaveMargin
	}
	// What cannot finish in time had better begin elsewhere at once.
	return spec.ExpectedDurationS-s.state.Now.Sub(task.StateSince).Seconds() > leftS*tuning.NoticeDoubt
}

// stopCommand stops a recorded attempt, with time for a checkpoint unless its job is over.
func stopCommand(task *clusterstate.Task, over bool) agent.Command {
	gracePeriodS := 0.0
	if !over && task.Job.Record.Spec.CheckpointIntervalS > 0 {
		gracePeriodS = task.Job.Record.Spec.CheckpointTimeS + 1
	}
	return agent.Command{
		Verb:         agent.Stop,
		TaskID:       task.ID,
		Attempt:      task.Attempt,
		GracePeriodS: &gracePeriodS,
	}
}
