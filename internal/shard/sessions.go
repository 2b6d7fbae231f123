package shard

import (
	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// session returns the session of a machine of ours, starting it if need be.
func (pt *Shard) session(machine string) *agent.Session {
	s := pt.sessions[machine]
	if s == nil {
		if len(pt.sessions) >= tuning.MaxSessions {
			return nil
		}
		s = agent.NewSession(machine, pt.view.Epoch(), pt.state.Now)
		pt.sessions[machine] = s
	}
	return s
}

// keepSession makes sure that a machine of ours has a session.
func (pt *Shard) keepSession(m *clusterstate.Machine) {
	if s := pt.session(m.Name); s != nil && s.Endpoint == "" {
		s.Endpoint, s.MachineType, s.Zone, s.Spot = m.Endpoint, m.MachineType, m.Zone, m.Spot
	}
}

func (pt *Shard) placedOn(machine string) map[string]uint64 {
	out := map[string]uint64{}
	for taskID, t := range pt.state.TasksOnMachine[machine] {
		out[taskID] = t.Attempt
	}
	return out
}

// unmetDeadline tells whether a machine without a record has yet to answer a command.
func (pt *Shard) unmetDeadline(s *agent.Session) bool {
	return !s.Connected && pt.state.Machines[s.Machine] == nil
}

// overdue tells whether a machine should have reported by now. It is then
// asked directly: where reports are seldom, waiting for the next would leave
// its tasks dead for long.
func (pt *Shard) overdue(s *agent.Session) bool {
	return pt.state.Now.Sub(s.LastStatus) > pt.config.Cluster.Workers.Late()
}
