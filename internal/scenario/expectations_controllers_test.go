package scenario

import (
	"encoding/json"

	"github.com/harrierreel/harrierreel/internal/members"
)

// controllerExpectations are about controllers, leadership, the view and the calendar.
var controllerExpectations = map[string]expectFunc{
	"opened":     (*script).expectWindow,
	"window":     (*script).expectWindow,
	"began":      (*script).expectWindow,
	"known":      (*script).expectKnown,
	"not-leader": (*script).expectNotLeader,
	"state":      (*script).expectState,
	"batons":     (*script).expectBatons,
	"alarms":     (*script).expectAlarms,
	"out":        (*script).expectOut,
	"views":      (*script).expectViews,
	"since":      (*script).expectLead,
	"tokens":     (*script).expectLead,
	"recorded":   (*script).expectLead,
	"least":      (*script).expectLead,
	"ended":      (*script).expectLead,
	"leader":     (*script).expectLeader,
}

// expectKnown checks "expect known NODE COUNT": the live jobs in the controller's mirror.
func (s *script) expectKnown(args []string) {
	s.t.Helper()
	if got := s.sim.Nodes[s.node(args[1])].LiveJobs(); got != int(s.number(args[2])) {
		s.fatal("%s has %d live jobs in its mirror, want %s", args[1], got, args[2])
	}
}

// expectNotLeader checks "expect not-leader NODE".
func (s *script) expectNotLeader(args []string) {
	s.t.Helper()
	if s.sim.Leader() == s.endpoint(args[1]) {
		s.fatal("%s is leader", args[1])
	}
}

// expectState checks "expect state NODE STATE": its standby state.
func (s *script) expectState(args []string) {
	s.t.Helper()
	if got, _ := s.sim.Nodes[s.node(args[1])].Standby(); string(got) != args[2] {
		s.fatal("%s is %s, want %s", args[1], got, args[2])
	}
}

// expectBatons checks "expect batons MAX": how often each initial machine received a higher fencing
// token.
func (s *script) expectBatons(args []string) {
	s.t.Helper()
	for _, machine := range s.machines {
		if agent := s.sim.Agents[machine]; agent != nil && agent.TokenChanges > int(s.number(args[1])) {
			s.fatal("%s received a higher fencing token %d times, more than %s", machine, agent.TokenChanges, args[1])
		}
	}
}

// expectAlarms checks "expect alarms MIN MAX": answered standby calls, by the highest count of any
// controller.
func (s *script) expectAlarms(args []string) {
	s.t.Helper()
	got := 0
	for _, n := range s.sim.NodeNames {
		_, alarms := s.sim.Nodes[n].Standby()
		got = max(got, alarms)
	}
	if got < int(s.number(args[1])) || got > int(s.number(args[2])) {
		s.fatal("%d calls were answered, want %s to %s", got, args[1], args[2])
	}
}

// expectOut checks "expect out NODE": the controller is not in the view.
func (s *script) expectOut(args []string) {
	s.t.Helper()
	var v members.View
	if raw := s.sim.Store.Value("view"); json.Unmarshal(raw, &v) != nil || v.Incarnation(s.endpoint(args[1])) != 0 {
		s.fatal("%s is in the view %s", args[1], raw)
	}
}

// expectViews checks "expect views MAX": view changes so far.
func (s *script) expectViews(args []string) {
	s.t.Helper()
	var v struct{ Epoch int }
	if raw := s.sim.Store.Value("view"); json.Unmarshal(raw, &v) != nil || v.Epoch > int(s.number(args[1])) {
		s.fatal("the view is %s, want an epoch of at most %s", raw, args[1])
	}
}

// expectLeader checks "expect leader": there is a leader.
func (s *script) expectLeader(_ []string) {
	s.t.Helper()
	s.leader()
}
