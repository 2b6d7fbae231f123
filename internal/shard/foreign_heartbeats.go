package shard

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// foreignHeartbeat is a heartbeat of another owner's machine that may be an old one.
type foreignHeartbeat struct {
	owner string
	at    time.Time
}

// noteForeignHeartbeat takes in a heartbeat of another owner's machine. It is a complaint
// about the owner if it shows a token of this view, and so is from after the owner first
// called the machine, or if the owner itself lists the machine as unresponsive. Copies of
// heartbeats from under an earlier view show neither, and where the machine never came
// they pass for new ones one after another: taken for complaints they had a sound
// controller left out of the view (meet-next-views, docs/incidents/reports-for-next.md).
func (s *Shard) noteForeignHeartbeat(owner string, heartbeat *agent.Heartbeat) {
	_, unresponsive := s.state.Unresponsive[owner][heartbeat.Machine]
	if unresponsive || heartbeat.FencingToken/agent.FencingTokenSpan >= s.view.Epoch() {
		delete(s.foreignHeartbeats, heartbeat.Machine)
		s.complaints.Complain(owner, heartbeat.Machine, true)
		return
	}
	s.foreignHeartbeats[heartbeat.Machine] = foreignHeartbeat{owner: owner, at: s.state.Now}
}

// confirmComplaints counts doubted heartbeats as complaints after all, once the owner
// lists their machines as unresponsive.
func (s *Shard) confirmComplaints(owner string) {
	for _, machine := range clusterstate.SortedKeys(s.foreignHeartbeats) {
		doubted := s.foreignHeartbeats[machine]
		_, unresponsive := s.state.Unresponsive[owner][machine]
		switch {
		case s.state.Now.Sub(doubted.at) > tuning.ComplaintGap:
			delete(s.foreignHeartbeats, machine)
		case doubted.owner == owner && unresponsive:
			delete(s.foreignHeartbeats, machine)
			s.complaints.Complain(owner, machine, true)
		}
	}
}
