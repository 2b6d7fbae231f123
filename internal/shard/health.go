package shard

import (
	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// healthOf returns the failure history of a machine, which starts empty.
func (s *Shard) healthOf(machine string) *fleet.Health {
	health := s.health[machine]
	if health == nil {
		health = &fleet.Health{}
		s.health[machine] = health
	}
	return health
}

// TransitionMachine returns the decision that applies an event to the state of a machine's record,
// with the reason to record. It returns nil if the event changes nothing or the record is part of a
// pending transaction.
func (s *Shard) TransitionMachine(machine string, event fleet.Event, reason string) []decide.Decision {
	m := s.state.Machines[machine]
	if m == nil || s.commits.Busy(fleet.MachinePrefix+machine) {
		return nil
	}
	record := m.MachineRecord
	from := record.State
	to, ok := fleet.NextState(from, event)
	if !ok {
		return nil
	}
	record.State, record.Reason, record.SinceMs = to, reason, s.state.NowMs()
	settled := func(ok bool) {
		if ok {
			s.config.Log.Info(
				"machine state changed",
				"machine", machine,
				"from", string(from),
				"to", string(to),
				"reason", reason,
			)
		}
	}
	return []decide.Decision{{
		Writes:    []store.Write{decide.Put(fleet.MachinePrefix+machine, record)},
		OnSettled: settled,
	}}
}

// checkHealth updates a machine's record from the state of its session. If the machine sends no
// heartbeats, it is added to unresponsive, with the value true if it still answers commands.
func (s *Shard) checkHealth(session *agent.Session, unresponsive map[string]bool) []decide.Decision {
	machine := s.state.Machines[session.Machine]
	if machine == nil {
		return s.checkUnrecorded(session)
	}
	settings := s.config.Cluster.Workers
	if s.state.Now.Sub(session.LastHeartbeat) > settings.OutboundPartitionedAfter() {
		// Its answers to commands are valid but renew no lease, so every task on it ends when the
		// lease expires. Without this check a task was started on such a machine five times
		// (scenario meet-mute-one, docs/incidents/mute-machines.md).
		unresponsive[session.Machine] = true
	}
	switch {
	case !session.HigherTokenSince.IsZero() && s.state.Now.Sub(session.HigherTokenSince) > settings.LeaseOverAfter():
		// No controller of this view can command it: its lease has expired and its tasks have
		// ended.
		return s.TransitionMachine(session.Machine, fleet.Unhealthy, "has seen a later baton than this view's")
	case s.isUnresponsive(session):
		unresponsive[session.Machine] = false
	case session.State != agent.Known:
	case session.PreemptionNoticeS != nil && machine.State != fleet.Warned:
		return s.TransitionMachine(session.Machine, fleet.PreemptionNotice, "the cloud will take it")
	case machine.State == fleet.LegacyUnresponsive: // written by an earlier version
		return s.TransitionMachine(session.Machine, fleet.HeartbeatReceived, "reports again")
	}
	return nil
}

// checkUnrecorded handles a machine without a record: it records the machine once it is known to
// exist, and drops its session if nothing is heard from it.
func (s *Shard) checkUnrecorded(session *agent.Session) []decide.Decision {
	// An old heartbeat of a deleted machine may carry the current token. Only an answered command
	// shows that the machine still exists.
	if session.State == agent.Known && session.Connected {
		record := fleet.MachineRecord{
			State:       fleet.Up,
			Endpoint:    session.Endpoint,
			MachineType: session.MachineType,
			Zone:        session.Zone,
			Spot:        session.Spot,
			SinceMs:     s.state.NowMs(),
		}
		write := decide.Put(fleet.MachinePrefix+session.Machine, record)
		return []decide.Decision{{Writes: []store.Write{write}}}
	}
	if s.state.Now.Sub(session.LastStatus) > tuning.ForgetSession {
		s.dropSession(session.Machine)
	}
	return nil
}

// CanPlace reports whether a task may be placed on a machine of this shard now.
func (s *Shard) CanPlace(task *clusterstate.Task, machine *clusterstate.Machine) bool {
	session := s.sessions[machine.Name]
	if session == nil || session.State != agent.Known || session.PreemptionNoticeS != nil {
		return false
	}
	maxAge := jobs.Seconds(s.config.Cluster.Workers.HeartbeatS * tuning.FreshHeartbeatIntervals)
	if s.state.Now.Sub(session.LastStatus) > maxAge {
		return false
	}
	claimedFor := s.scheduler.ClaimedFor(machine)
	return s.Ready(machine) && clusterstate.SatisfiesConstraints(task, machine) &&
		(claimedFor == "" || claimedFor == task.Job.ID)
}

// Ready reports whether a machine accepts new tasks: it is healthy and reconciled.
func (s *Shard) Ready(machine *clusterstate.Machine) bool {
	return s.Reconciling.AcceptsTasks(machine.Name) && s.isHealthy(machine)
}

// isHealthy reports whether a machine accepts new tasks, apart from whether it is reconciled.
func (s *Shard) isHealthy(machine *clusterstate.Machine) bool {
	return s.InUse(machine) &&
		s.state.MachineTypes[machine.MachineType] != nil &&
		!s.provisioner.Draining(machine.Name) &&
		!s.health[machine.Name].BackingOff(s.state.Now)
}
