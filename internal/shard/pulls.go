package shard

import (
	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// letsPullFinish reports whether the stop of a task waits because its machine is still pulling the
// image. A task of a gang that has lost another one is stopped so that the gang can be launched anew,
// and a stop makes the machine give up the pull. If the gang lost a task because that waited for this
// pull in vain, the next attempt would end the same way. So whoever has pulled for as long as a task
// waits for its gang, finishes. A pull that takes twice the longest expected time is given up.
func (s *Shard) letsPullFinish(
	session *agent.Session, task *clusterstate.Task, status agent.TaskStatus,
) bool {
	if status.Status != agent.Pulling || task.Reason != jobs.ReasonGangNotWhole {
		return false
	}
	if session.PreemptionNoticeS != nil || s.isScaledIn(session.Machine) {
		return false // the image would be of no use
	}
	pulledFor := s.state.Now.Sub(task.PlacedSince)
	longest := s.state.Images.Readiness(task.Machine, task.Job.Record.Spec.Image).Latest.Sub(task.PlacedSince)
	return pulledFor >= s.state.GangWait && pulledFor < tuning.OverduePulls*longest
}

// isScaledIn reports whether a machine is to be deleted, or is deleted already.
func (s *Shard) isScaledIn(machine string) bool {
	return s.isLeaving(machine) || s.provisioner.Draining(machine) || s.provisioner.Decommissioning(machine)
}
