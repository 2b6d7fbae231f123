package shard

import (
	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/gangs"
)

// pendingLaunch is a direct command with launches that has not been answered yet.
type pendingLaunch struct {
	permit *agent.Permit
	jobIDs []string // of the tasks that are launched
}

// launch adds the launch of a recorded task to a review, unless it has to wait.
func (s *Shard) launch(session *agent.Session, task *clusterstate.Task, found *review) {
	switch {
	case s.shouldDelayLaunch(task):
		s.reviewAgain[session.Machine] = true
	case !s.mayLaunch(task.Job.ID):
		s.unverifiedLaunches[session.Machine] = append(s.unverifiedLaunches[session.Machine], task.Job.ID)
	default:
		launch := agent.Command{Verb: agent.Launch, TaskID: task.ID, Attempt: task.Attempt}
		found.commands = append(found.commands, launch)
	}
}

// shouldDelayLaunch reports whether the launch of a gang's task should be delayed because other
// members of the gang take longer to pull their image (see gangs.LaunchAt).
func (s *Shard) shouldDelayLaunch(task *clusterstate.Task) bool {
	spec := &task.Job.Record.Spec
	if !spec.IsGang() || spec.ImageGB <= 0 {
		return false
	}
	ready := make([]fleet.Readiness, 0, len(task.Job.Active))
	for _, member := range task.Job.Active {
		if member.OnMachine() {
			ready = append(ready, s.state.Images.Readiness(member.Machine, spec.Image))
		}
	}
	own := s.state.Images.Readiness(task.Machine, spec.Image)
	return s.state.Now.Before(gangs.LaunchAt(own, ready, s.state.GangWait))
}

// mayLaunch reports whether tasks of a job that is not known to be cancelled may be launched now.
func (s *Shard) mayLaunch(jobID string) bool {
	return s.state.Now.Before(s.cancellations.LaunchUntil(jobID))
}

// UnverifiedJobs returns the jobs with launches that wait until their users cannot have been told of a
// cancellation, sorted.
func (s *Shard) UnverifiedJobs() []string {
	waiting := map[string]bool{}
	for _, jobIDs := range s.unverifiedLaunches {
		for _, jobID := range jobIDs {
			waiting[jobID] = true
		}
	}
	return clusterstate.SortedKeys(waiting)
}

// ResumeLaunches makes the next reconciliation send the launches that may be sent by now.
func (s *Shard) ResumeLaunches() {
	for machine := range s.unverifiedLaunches {
		s.toReview[machine] = true
	}
}

// beginLaunch returns the permit of a direct command, which is nil if it launches nothing.
func (s *Shard) beginLaunch(machine string, commands []agent.Command) *agent.Permit {
	var jobIDs []string
	for _, command := range commands {
		if command.Verb == agent.Launch {
			jobIDs = append(jobIDs, jobIDOf(command.TaskID))
		}
	}
	if len(jobIDs) == 0 {
		return nil
	}
	until := s.cancellations.LaunchUntil(jobIDs[0])
	for _, jobID := range jobIDs[1:] {
		if other := s.cancellations.LaunchUntil(jobID); other.Before(until) {
			until = other
		}
	}
	permit := agent.NewPermit(until)
	s.pendingLaunches[machine] = pendingLaunch{permit: permit, jobIDs: jobIDs}
	return permit
}

// endLaunch forgets a direct command that was answered or was not sent.
func (s *Shard) endLaunch(machine string, permit *agent.Permit) {
	if permit != nil && s.pendingLaunches[machine].permit == permit {
		delete(s.pendingLaunches, machine)
	}
}

// revokeEndedLaunches revokes the permit of a machine's pending launches if a job among them is over.
// What was not sent by then is not sent, so a peer may be told that this controller launches no task
// of the job any more.
func (s *Shard) revokeEndedLaunches(machine string) {
	for _, jobID := range s.pendingLaunches[machine].jobIDs {
		job := s.state.Jobs[jobID]
		if job == nil || s.isJobOver(job) {
			s.pendingLaunches[machine].permit.Revoke()
			return
		}
	}
}
