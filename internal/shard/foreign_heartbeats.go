package shard

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// foreignHeartbeat is a heartbeat from another owner's machine that may be outdated.
type foreignHeartbeat struct {
	owner string
	at    time.Time
}

// handleForeignHeartbeat handles a heartbeat from another owner's machine. It counts as a complaint
// about the owner in two cases: it carries a token of this view or a later one, so it was sent
// after the owner first called the machine; or the owner itself lists the machine as unresponsive.
// Delayed copies of heartbeats from an earlier view meet neither condition, but a controller that
// never received heartbeats from the machine takes each of them for a new one. When they counted as
// complaints, a healthy controller was left out of the view (scenario meet-next-views,
// docs/incidents/reports-for-next.md).
func (s *Shard) handleForeignHeartbeat(owner string, heartbeat *agent.Heartbeat) {
	_, unresponsive := s.state.Unresponsive[owner][heartbeat.Machine]
	if unresponsive || heartbeat.FencingToken/agent.FencingTokenSpan >= s.view.Epoch() {
		delete(s.foreignHeartbeats, heartbeat.Machine)
		s.complaints.Complain(owner, heartbeat.Machine, true)
		return
	}
	s.foreignHeartbeats[heartbeat.Machine] = foreignHeartbeat{owner: owner, at: s.state.Now}
}

// confirmComplaints counts possibly outdated heartbeats as complaints once the owner lists their
// machines as unresponsive.
func (s *Shard) confirmComplaints(owner string) {
	for _, machine := range clusterstate.SortedKeys(s.foreignHeartbeats) {
		unconfirmed := s.foreignHeartbeats[machine]
		_, unresponsive := s.state.Unresponsive[owner][machine]
		switch {
		case s.state.Now.Sub(unconfirmed.at) > tuning.ComplaintGap:
			delete(s.foreignHeartbeats, machine)
		case unconfirmed.owner == owner && unresponsive:
			delete(s.foreignHeartbeats, machine)
			s.complaints.Complain(owner, machine, true)
		}
	}
}
