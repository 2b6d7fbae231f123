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

func (pt *Shard) healthOf(machine string) *fleet.Health {
	h := pt.health[machine]
	if h == nil {
		h = &fleet.Health{}
		pt.health[machine] = h
	}
	return h
}

// commitTransition commits an event of a machine's record.
func (pt *Shard) commitTransition(machine string, e fleet.Event, why string) {
	pt.commits.Commit(pt.TransitionMachine(machine, e, why))
}

// TransitionMachine is the decision that a machine's record changes by an event, if it
// does.
func (pt *Shard) TransitionMachine(machine string, e fleet.Event, why string) []decide.Decision {
	m := pt.state.Machines[machine]
	if m == nil || pt.commits.Busy(fleet.MachinePrefix+machine) {
		return nil
	}
	rec := m.MachineRecord
	state, ok := fleet.Next(rec.State, e)
	if !ok {
		return nil
	}
	from := rec.State
	rec.State, rec.Reason, rec.SinceMs = state, why, pt.state.NowMs()
	return []decide.Decision{{Writes: []store.Write{decide.Put(fleet.MachinePrefix+machine, rec)}, OnSettled: func(ok bool) {
		if ok {
			pt.config.Log.Info("machine", "machine", machine, "from", string(from), "to", string(state), "why", why)
		}
	}}}
}

// watchHealth keeps a machine's record in step with what its owner hears, and notes in
// unheard a machine that it does not hear, or (true) that answers commands only.
func (pt *Shard) watchHealth(s *agent.Session, unheard map[string]bool) []decide.Decision {
	m := pt.state.Machines[s.Machine]
	if m == nil {
		if s.State == agent.Known && s.Connected { // an old report of a machine that is gone may carry our baton
			rec := fleet.MachineRecord{State: fleet.Up, Endpoint: s.Endpoint, MachineType: s.MachineType, Zone: s.Zone, Spot: s.Spot, SinceMs: pt.state.NowMs()}
			return []decide.Decision{{Writes: []store.Write{decide.Put(fleet.MachinePrefix+s.Machine, rec)}}}
		}
		if pt.state.Now.Sub(s.LastStatus) > tuning.ForgetSession {
			delete(pt.sessions, s.Machine)
		}
		return nil
	}
	unresponsive := pt.state.Now.Sub(s.LastStatus)
	times := pt.config.Cluster.Workers
	if pt.state.Now.Sub(s.LastHeartbeat) > times.OutboundPartitionedAfter() {
		// What it answers to commands is true, but renews no lease: all that it holds ends
		// with that, again and again. Without this a task was begun on such a machine
		// five times (meet-mute-one, docs/incidents/mute-machines.md).
		unheard[s.Machine] = true
	}
	switch {
	case !s.HigherTokenSince.IsZero() && pt.state.Now.Sub(s.HigherTokenSince) > times.GoneBy():
		// Nobody of this view can speak to it: its lease is over, and what it holds with it.
		return pt.TransitionMachine(s.Machine, fleet.Unhealthy, "has seen a later baton than this view's")
	case !pt.Reconciling.Steady() && s.HeartbeatSeq == 0 && s.FailedCalls > 0, // never heard
		unresponsive > times.UnresponsiveAfter() || s.FailedCalls >= tuning.UnresponsiveCalls && unresponsive > times.Late():
		unheard[s.Machine] = false
	case s.State != agent.Known:
	case s.PreemptionNoticeS != nil && m.State != fleet.Warned:
		return pt.TransitionMachine(s.Machine, fleet.Notice, "the cloud will take it")
	case m.State == fleet.Lost: // written by an earlier version
		return pt.TransitionMachine(s.Machine, fleet.Heard, "reports again")
	}
	return nil
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
