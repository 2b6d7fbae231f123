package shard

import (
	"encoding/json"
	"time"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/cancellation"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
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

// unmetDeadline tells whether a machine without a record has yet to answer a command.
func (pt *Shard) unmetDeadline(s *agent.Session) bool {
	return !s.Connected && pt.state.Machines[s.Machine] == nil
}

// CanPlace tells whether a task may go on a machine of this part now.
func (pt *Shard) CanPlace(t *clusterstate.Task, m *clusterstate.Machine) bool {
	s := pt.sessions[m.Name]
	if s == nil || s.State != agent.Known || s.PreemptionNoticeS != nil {
		return false
	}
	if pt.state.Now.Sub(s.LastStatus) > jobs.Seconds(pt.config.Cluster.Workers.ReportS*tuning.FreshReports) {
		return false
	}
	jobID := pt.scheduler.ClaimedFor(m)
	return pt.takes(t, m) && (jobID == "" || jobID == t.Job.ID)
}

// takes tells whether a machine is one that a task may go on, by its record.
func (pt *Shard) takes(t *clusterstate.Task, m *clusterstate.Machine) bool {
	return pt.Ready(m) && clusterstate.FitsTask(t, m)
}

// Ready tells whether a machine takes new tasks at all, by its record.
func (pt *Shard) Ready(m *clusterstate.Machine) bool {
	return pt.Reconciling.Open(m.Name) && pt.healthy(m)
}

// healthy tells whether a machine would take new tasks if it is reconciled.
func (pt *Shard) healthy(m *clusterstate.Machine) bool {
	if !pt.InUse(m) || pt.state.MachineTypes[m.MachineType] == nil {
		return false
	}
	if pt.provisioner.Draining(m.Name) {
		return false
	}
	return !pt.health[m.Name].Rests(pt.state.Now)
}

// keepSession makes sure that a machine of ours has a session.
func (pt *Shard) keepSession(m *clusterstate.Machine) {
	if s := pt.session(m.Name); s != nil && s.Endpoint == "" {
		s.Endpoint, s.MachineType, s.Zone, s.Spot = m.Endpoint, m.MachineType, m.Zone, m.Spot
	}
}

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
