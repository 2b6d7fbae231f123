package shard

import (
	"encoding/json"
	"time"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/cancellation"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/reconcile"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// command sends orders to a worker directly, or shows it the baton.
func (pt *Shard) command(s *agent.Session, orders []agent.Command) {
	if s.CommandPending || s.Endpoint == "" {
		return
	}
	if pt.calls >= tuning.MaxWorkerCalls || !pt.mayCall(s) {
		pt.deferCall(s)
		return
	}
	since := pt.state.Now.Sub(s.LastCall)
	if s.State != agent.Known || pt.unmetDeadline(s) {
		if since < tuning.AdoptAgain<<min(s.FailedCalls, 3) {
			return
		}
		orders = pt.stopsOfCancelled(s.Machine)
	} else {
		launches := false
		for _, o := range orders {
			launches = launches || o.Verb == agent.Launch
		}
		if overdue := pt.overdue(s) && since >= tuning.AdoptAgain; !overdue &&
			(len(orders) == 0 || (!launches && since < tuning.CommandGap)) {
			return
		}
	}
	orders = limitCommands(orders)
	if orders == nil {
		orders = []agent.Command{}
	}
	fencingToken, agentEpoch := s.FencingToken(), max(s.AgentEpoch, 1)
	body := agent.EncodeCommands(fencingToken, agentEpoch, orders)
	s.CommandSent(orders, pt.state.Now)
	pt.calls++
	answered := pt.beginCall(s)
	pt.agents.Call(s.Endpoint, "POST", "/commands", body, tuning.CommandTimeout, func(status int, answer []byte, err error) {
		pt.calls--
		answered()
		pt.loop.Wake()
		pt.toReview[s.Machine] = true
		if pt.sessions[s.Machine] != s {
			return
		}
		if s.FencingToken() != fencingToken {
			// A new view came meanwhile; what this command did shows in the
			// first report under the new baton.
			s.CommandPending = false
			return
		}
		var r agent.Heartbeat
		if err != nil || (status != 200 && status != 409) || json.Unmarshal(answer, &r) != nil || r.Machine != s.Machine {
			pt.config.Log.Debug("command without answer", "machine", s.Machine, "status", status, "error", err)
			s.CommandUnanswered()
			pt.Reconciling.Record(s.Machine, reconcile.Silent, pt.state.Now)
			pt.healthOf(s.Machine).Rest(pt.state.Now.Add(tuning.UnansweredRest))
			return
		}
		if status == 409 {
			s.CommandRefused()
			s.Accept(&r, pt.state.Now, pt.placedOn(s.Machine))
			if r.AgentEpoch != agentEpoch {
				s.LastCall = time.Time{} // try again with the right session
			}
			return
		}
		s.CommandAnswered()
		s.Accept(&r, pt.state.Now, pt.placedOn(s.Machine))
	})
}

// stopsOfCancelled are stops of what the records place on a machine, though it is cancelled. A
// machine that does not answer may have a launch waiting that left before the user was told,
// and carries out in order what came behind it: without the stop that would start
// (meet-hung-cancelled-launch). A stop is safe, whatever the machine holds.
func (pt *Shard) stopsOfCancelled(machine string) []agent.Command {
	var placed []agent.TaskStatus
	for _, taskID := range clusterstate.SortedKeys(pt.state.TasksOnMachine[machine]) {
		placed = append(placed, agent.TaskStatus{TaskID: taskID, Attempt: pt.state.TasksOnMachine[machine][taskID].Attempt})
	}
	return cancellation.StopCommands(placed, pt.cancelled)
}

func limitCommands(o []agent.Command) []agent.Command {
	if len(o) > tuning.MaxCommands {
		return o[:tuning.MaxCommands]
	}
	return o
}

// mayCall tells whether a call may be spent on a machine while this controller reconciles:
// those that died must not hold up those that run.
func (pt *Shard) mayCall(s *agent.Session) bool {
	switch {
	case pt.Reconciling.Steady():
		return true
	case s.FailedCalls > 0:
		return pt.callsToDoubted < tuning.DoubtedCalls && !pt.provisioner.GivenUp(s.Machine)
	case s.HeartbeatSeq == 0:
		return pt.callsToUnmet < tuning.AwaitedCalls && !pt.provisioner.GivenUp(s.Machine)
	}
	return true
}

// deferCall has a machine looked at again when a call comes free, and not with the next
// sweep: 64 machines every 0.4 s were ten seconds for all of a fleet's.
func (pt *Shard) deferCall(s *agent.Session) {
	if !pt.Reconciling.Steady() {
		pt.awaitingCall = append(pt.awaitingCall, s.Machine)
	}
}

// beginCall counts a call to a machine; the caller calls what it gets once it is over.
func (pt *Shard) beginCall(s *agent.Session) (over func()) {
	count := &pt.callsToUnmet
	switch {
	case s.FailedCalls > 0:
		count = &pt.callsToDoubted
	case s.HeartbeatSeq != 0:
		return func() {}
	}
	*count++
	return func() { *count-- }
}
