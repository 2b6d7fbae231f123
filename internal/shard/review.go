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

// review is what a look at a machine calls for.
type review struct {
	commands  []agent.Command
	decisions []decide.Decision // a machine's ends and frees
	gathering bool              // tasks have vanished that are placed there once more
	busy      bool              // a record is under a transaction
}

// review compares a machine's records with its reports.
func (pt *Shard) review(s *agent.Session) review {
	var out review
	for _, taskID := range clusterstate.SortedKeys(pt.state.TasksOnMachine[s.Machine]) {
		t := pt.state.TasksOnMachine[s.Machine][taskID]
		over := t.Job.Record == nil || t.Job.Record.State != jobs.Live || pt.cancellations.Cancelled(t.Job.ID)
		if pt.commits.Busy(t.Stored.Key) {
			out.busy = true
			if over && s.State == agent.Known {
				// A transaction may be without an answer for as long as the state service is
				// away; a stop of what is over does not wait for it.
				out.commands = append(out.commands, cancellation.StopCommands(s.Tasks[taskID], func(string) bool { return true })...)
			}
			continue // its end is touched again
		}
		verdict, p := s.Judge(taskID, t.Attempt)
		m := pt.state.Machines[s.Machine]
		rec := reconcile.Recorded{Verdict: verdict, Over: over, Stopping: t.State == jobs.Stopping, Leaving: m == nil || m.State == fleet.Deleting || m.State == fleet.Deleted}
		if verdict == agent.OnIt {
			pt.noteRunning(s, t, p)
			rec.Save = !over && pt.shouldCheckpoint(s, t, p)
		}
		diff, answer := reconcile.OfRecorded(rec)
		pt.count(s.Machine, diff, answer)
		switch answer {
		case reconcile.Launch:
			if pt.tooSoon(t) || !pt.cancellations.MayLaunch() {
				pt.revisit[s.Machine] = true
				continue
			}
			out.commands = append(out.commands, agent.Command{Verb: agent.Launch, TaskID: taskID, Attempt: t.Attempt})
		case reconcile.Stop:
			out.commands = append(out.commands, pt.stopCommand(t, over))
		case reconcile.End:
			out.decisions = append(out.decisions, pt.ended(s, t, p))
		case reconcile.Free:
			pt.free(t, diff, &out)
		}
	}
	if s.State != agent.Known {
		return out
	}
	for _, taskID := range clusterstate.SortedKeys(s.Tasks) {
		t := pt.state.TasksOnMachine[s.Machine][taskID]
		for _, p := range s.Tasks[taskID] {
			recorded := t != nil && t.Attempt == p.Attempt
			// What is cancelled is stopped at once; its end is reaped only once no record can
			// name it any more.
			writing := !recorded && pt.writing(taskID) && (p.Status == agent.Ended || !pt.cancellations.Cancelled(jobOf(taskID)))
			diff, answer := reconcile.OfReported(p.Status, recorded, writing)
			if !recorded {
				pt.count(s.Machine, diff, answer)
			}
			switch answer {
			case reconcile.Forget:
				out.commands = append(out.commands, agent.Command{Verb: agent.Forget, TaskID: taskID, Attempt: p.Attempt})
				s.ForgetTask(taskID, p.Attempt)
			case reconcile.Stop:
				zero := 0.0
				out.commands = append(out.commands, agent.Command{Verb: agent.Stop, TaskID: taskID, Attempt: p.Attempt, GracePeriodS: &zero})
			}
		}
	}
	return out
}

// jobOf is the job of a task.
func jobOf(taskID string) string {
	jobID, _, _ := jobs.SplitTaskID(taskID)
	return jobID
}

// tooSoon tells whether a task of a gang should wait with its launch for the fetches of
// the others (gangs.LaunchAt).
func (pt *Shard) tooSoon(t *clusterstate.Task) bool {
	spec := &t.Job.Record.Spec
	if !spec.IsGang() || spec.ImageGB <= 0 {
		return false
	}
	ready := make([]time.Time, 0, len(t.Job.Active))
	for _, o := range t.Job.Active {
		if o.OnMachine() {
			ready = append(ready, pt.state.Images.Ready(o.Machine, spec.Image))
		}
	}
	return pt.state.Now.Before(gangs.LaunchAt(pt.state.Images.Ready(t.Machine, spec.Image), ready, jobs.Seconds(pt.config.Cluster.Workers.GangWaitS)))
}

// noteRunning takes note that a task was seen running.
func (pt *Shard) noteRunning(s *agent.Session, t *clusterstate.Task, p agent.TaskStatus) {
	if p.Status != agent.Running || t.ObservedRunning {
		return
	}
	t.ObservedRunning = true
	if t.Job.Record != nil {
		pt.config.Log.Debug("runs", "task", t.ID, "class", t.Job.Record.Spec.Class, "machine", s.Machine, "try", t.Attempt, "since_accepted_ms", pt.state.NowMs()-t.Job.Record.AcceptedMs, "since_placed_ms", pt.state.Now.Sub(t.Since).Milliseconds())
	}
}

// writing tells whether the record of a task is under a transaction.
func (pt *Shard) writing(taskID string) bool {
	if _, booked := pt.state.Reservations[taskID]; booked {
		return true
	}
	t := pt.task(taskID)
	return t != nil && pt.commits.Busy(t.Stored.Key)
}

// shouldCheckpoint tells whether a task should save before its machine is taken.
func (pt *Shard) shouldCheckpoint(s *agent.Session, t *clusterstate.Task, p agent.TaskStatus) bool {
	if s.PreemptionNoticeS == nil || p.Status != agent.Running {
		return false
	}
	spec := &t.Job.Record.Spec
	if spec.Kind == jobs.Service {
		return true // a replica has nothing to finish: start it elsewhere
	}
	left := *s.PreemptionNoticeS - pt.state.Now.Sub(s.LastStatus).Seconds()
	if spec.CheckpointIntervalS > 0 {
		return left <= spec.CheckpointTimeS+tuning.SaveMargin
	}
	// What cannot finish in time had better begin elsewhere at once.
	return spec.ExpectedDurationS-pt.state.Now.Sub(t.Since).Seconds() > left*tuning.NoticeDoubt
}

func (pt *Shard) stopCommand(t *clusterstate.Task, over bool) agent.Command {
	grace := 0.0
	if !over && t.Job.Record.Spec.CheckpointIntervalS > 0 {
		grace = t.Job.Record.Spec.CheckpointTimeS + 1
	}
	return agent.Command{Verb: agent.Stop, TaskID: t.ID, Attempt: t.Attempt, GracePeriodS: &grace}
}

// count notes a difference, once for every look of a pass.
func (pt *Shard) count(machine string, d reconcile.Difference, a reconcile.Answer) {
	if pt.countDifferences {
		pt.Reconciling.Count(machine, d, a)
	}
}

// compared takes in what a look at a machine has found.
func (pt *Shard) compared(s *agent.Session, rv *review) {
	switch {
	case pt.Reconciling.Steady():
	case s.State != agent.Known:
		if pt.provisioner.GivenUp(s.Machine) {
			pt.Reconciling.Record(s.Machine, reconcile.Silent, pt.state.Now)
		}
	case len(rv.commands) > 0 || len(rv.decisions) > 0 || rv.gathering || rv.busy:
		pt.Reconciling.Record(s.Machine, reconcile.Shows, pt.state.Now)
		pt.Reconciling.Record(s.Machine, reconcile.Departs, pt.state.Now)
	default:
		pt.Reconciling.Record(s.Machine, reconcile.Shows, pt.state.Now)
		pt.Reconciling.Record(s.Machine, reconcile.Agrees, pt.state.Now)
	}
}

// task is the record of a task by its name, nil if there is none.
func (pt *Shard) task(taskID string) *clusterstate.Task {
	jobID, num, ok := jobs.SplitTaskID(taskID)
	if !ok || pt.state.Jobs[jobID] == nil {
		return nil
	}
	return pt.state.Jobs[jobID].Tasks[num]
}
