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

// healthOf is what is known of a machine's failures.
func (s *Shard) healthOf(machine string) *fleet.Health {
	health := s.health[machine]
	if health == nil {
		health = &fleet.Health{}
		s.health[machine] = health
	}
	return health
}

// TransitionMachine is the decision that an event changes the state of a machine's record,
// if it does; reason goes into the record.
func (s *Shard) TransitionMachine(machine string, event fleet.Event, reason string) []decide.Decision {
	m := s.state.Machines[machine]
	if m == nil || s.commits.Busy(fleet.MachinePrefix+machine) {
		return nil
	}
	record := m.MachineRecord
	from := record.State
	to, ok := fleet.Next(from, event)
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

// watchHealth keeps a machine's record in step with what its owner hears. It notes in
// unresponsive a machine that sends no heartbeats, with true if it answers commands.
func (s *Shard) watchHealth(session *agent.Session, unresponsive map[string]bool) []decide.Decision {
	machine := s.state.Machines[session.Machine]
	if machine == nil {
		return s.watchUnrecorded(session)
	}
	settings := s.config.Cluster.Workers
	if s.state.Now.Sub(session.LastHeartbeat) > settings.OutboundPartitionedAfter() {
		// What it answers to commands is true, but renews no lease: all that it holds ends
		// with that, again and again. Without this a task was begun on such a machine
		// five times (meet-mute-one, docs/incidents/mute-machines.md).
		unresponsive[session.Machine] = true
	}
	switch {
	case !session.HigherTokenSince.IsZero() && s.state.Now.Sub(session.HigherTokenSince) > settings.LeaseOverAfter():
		// Nobody of this view can command it: its lease has expired, and what it holds with it.
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

// watchUnrecorded records a machine without a record once it is certain that it is there,
// and forgets one that does not report.
func (s *Shard) watchUnrecorded(session *agent.Session) []decide.Decision {
	// An old heartbeat of a machine that is gone may carry the token in force: only an
	// answered command shows that it is there.
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
		delete(s.sessions, session.Machine)
	}
	return nil
}

// CanPlace tells whether a task may go on a machine of this shard now.
func (s *Shard) CanPlace(task *clusterstate.Task, machine *clusterstate.Machine) bool {
	session := s.sessions[machine.Name]
	if session == nil || session.State != agent.Known || session.PreemptionNoticeS != nil {
		return false
	}
	maxAge := jobs.Seconds(s.config.Cluster.Workers.HeartbeatS * tuning.FreshReports)
	if s.state.Now.Sub(session.LastStatus) > maxAge {
		return false
	}
	claimedFor := s.scheduler.ClaimedFor(machine)
	return s.Ready(machine) && clusterstate.FitsTask(task, machine) &&
		(claimedFor == "" || claimedFor == task.Job.ID)
}

// Ready tells whether a machine takes new tasks at all, by its record.
func (s *Shard) Ready(machine *clusterstate.Machine) bool {
	return s.Reconciling.AcceptsTasks(machine.Name) && s.isHealthy(machine)
}

// isHealthy tells whether a machine takes new tasks once it is reconciled.
func (s *Shard) isHealthy(machine *clusterstate.Machine) bool {
	return s.InUse(machine) &&
		s.state.MachineTypes[machine.MachineType] != nil &&
		!s.provisioner.Draining(machine.Name) &&
		!s.health[machine.Name].BackingOff(s.state.Now)
}
