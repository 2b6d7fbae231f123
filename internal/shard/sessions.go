package shard

import (
	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// sessionOf returns the session of a machine of this shard and starts one if there is none. It
// returns nil if the limit of sessions is reached.
func (s *Shard) sessionOf(machine string) *agent.Session {
	session := s.sessions[machine]
	if session == nil {
		if len(s.sessions) >= tuning.MaxSessions {
			return nil
		}
		session = agent.NewSession(machine, s.view.Epoch(), s.nextCounter, s.state.Now)
		s.sessions[machine] = session
	}
	return session
}

// dropSession forgets the session of a machine. One that is started again under the same view uses none of
// the fencing tokens that were issued before: commands under them may still arrive.
func (s *Shard) dropSession(machine string) {
	if session := s.sessions[machine]; session != nil {
		s.nextCounter = max(s.nextCounter, session.Counter+1)
		delete(s.sessions, machine)
	}
}

// ensureSession ensures that a machine of this shard has a session.
func (s *Shard) ensureSession(machine *clusterstate.Machine) {
	session := s.sessionOf(machine.Name)
	if session == nil || session.Endpoint != "" {
		return
	}
	session.Endpoint = machine.Endpoint
	session.MachineType = machine.MachineType
	session.Zone = machine.Zone
	session.Spot = machine.Spot
}

// accept applies a heartbeat, or the answer to a command, to a machine's session.
func (s *Shard) accept(session *agent.Session, heartbeat *agent.Heartbeat) (isNew bool) {
	placed := map[string]uint64{}
	for taskID, task := range s.state.TasksOnMachine[session.Machine] {
		placed[taskID] = task.Attempt
	}
	return session.Accept(heartbeat, s.state.Now, placed)
}

// awaitsFirstAnswer reports whether a machine has no record and has not answered a command yet.
func (s *Shard) awaitsFirstAnswer(session *agent.Session) bool {
	return !session.Connected && s.state.Machines[session.Machine] == nil
}

// overdue reports whether a machine's heartbeat is late. An overdue machine is called directly: if
// heartbeats are infrequent, waiting for the next one would leave failed tasks down for long.
func (s *Shard) overdue(session *agent.Session) bool {
	return s.state.Now.Sub(session.LastStatus) > s.config.Cluster.Workers.HeartbeatLateAfter()
}
