package scenario

import (
	"encoding/json"

	"github.com/harrierreel/harrierreel/internal/members"
)

// controllerExpectations are about controllers, their leader and view, and the calendar.
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

// expectKnown: expect known NODE COUNT: live jobs by its mirror.
func (s *script) expectKnown(args []string) {
	s.t.Helper()
	if got := s.w.Nodes[s.node(args[1])].LiveJobs(); got != int(s.number(args[2])) {
		s.fatal("%s knows %d live jobs, not %s", args[1], got, args[2])
	}
}

// expectNotLeader: expect not-leader NODE.
func (s *script) expectNotLeader(args []string) {
	s.t.Helper()
	if s.w.Leader() == s.party(args[1]) {
		s.fatal("%s leads", args[1])
	}
}

// expectState: expect state NODE STATE: of its readiness to lead.
func (s *script) expectState(args []string) {
	s.t.Helper()
	if got, _ := s.w.Nodes[s.node(args[1])].Standby(); string(got) != args[2] {
		s.fatal("%s is %s, not %s", args[1], got, args[2])
	}
}

// expectBatons: expect batons MAX: most times that a machine of the start was shown a higher one.
func (s *script) expectBatons(args []string) {
	s.t.Helper()
	for _, h := range s.machines {
		if agent := s.w.Agents[h]; agent != nil && agent.TokenChanges > int(s.number(args[1])) {
			s.fatal("%s was shown a higher baton %d times, more than %s", h, agent.TokenChanges, args[1])
		}
	}
}

// expectAlarms: expect alarms MIN MAX: calls that were answered, as all count them.
func (s *script) expectAlarms(args []string) {
	s.t.Helper()
	got := 0
	for _, n := range s.w.NodeNames {
		_, alarms := s.w.Nodes[n].Standby()
		got = max(got, alarms)
	}
	if got < int(s.number(args[1])) || got > int(s.number(args[2])) {
		s.fatal("%d calls were answered, not %s to %s", got, args[1], args[2])
	}
}

// expectOut: expect out NODE: it is not in the view.
func (s *script) expectOut(args []string) {
	s.t.Helper()
	var v members.View
	if raw := s.w.Store.Value("view"); json.Unmarshal(raw, &v) != nil || v.Incarnation(s.party(args[1])) != 0 {
		s.fatal("%s is in the view %s", args[1], raw)
	}
}

// expectViews: expect views MAX: changes of the view so far.
func (s *script) expectViews(args []string) {
	s.t.Helper()
	var v struct{ Epoch int }
	if raw := s.w.Store.Value("view"); json.Unmarshal(raw, &v) != nil || v.Epoch > int(s.number(args[1])) {
		s.fatal("the view is %s, with an epoch above %s", raw, args[1])
	}
}

// expectLeader: expect leader: a controller leads.
func (s *script) expectLeader(_ []string) {
	s.t.Helper()
	s.leader()
}
