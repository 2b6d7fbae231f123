package shard

import (
	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// sessionOf returns the session of a machine of this shard, starting it if need be; nil if
// there are too many.
func (s *Shard) sessionOf(machine string) *agent.Session {
	session := s.sessions[machine]
	if session == nil {
		if len(s.sessions) >= tuning.MaxSessions {
			return nil
		}
		session = agent.NewSession(machine, s.view.Epoch(), s.state.Now)
		s.sessions[machine] = session
	}
	return session
}

// keepSession makes sure that a machine of this shard has a session.
func (s *Shard) keepSession(machine *clusterstate.Machine) {
	session := s.sessionOf(machine.Name)
	if session == nil || session.Endpoint != "" {
		return
	}
	session.Endpoint = machine.Endpoint
	session.MachineType = machine.MachineType
	session.Zone = machine.Zone
	session.Spot = machine.Spot
}

// accept enters a heartbeat, or the answer to a command, into a machine's session.
func (s *Shard) accept(session *agent.Session, heartbeat *agent.Heartbeat) (isNew bool) {
	placed := map[string]uint64{}
	for taskID, task := range s.state.TasksOnMachine[session.Machine] {
		placed[taskID] = task.Attempt
	}
	return session.Accept(heartbeat, s.state.Now, placed)
}

// awaitsFirstAnswer tells whether a machine without a record has yet to answer a command.
func (s *Shard) awaitsFirstAnswer(session *agent.Session) bool {
	return !session.Connected && s.state.Machines[session.Machine] == nil
}

// overdue tells whether a machine should have reported by now. It is then called directly:
// where heartbeats are seldom, waiting for the next would leave its tasks dead for long.
func (s *Shard) overdue(session *agent.Session) bool {
	return s.state.Now.Sub(session.LastStatus) > s.config.Cluster.Workers.HeartbeatLateAfter()
}
