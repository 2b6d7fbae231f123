package shard

import (
	"maps"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

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

// publishUnresponsive is the decisions that write which of this part's machines are not
// heard, where that has changed.
func (pt *Shard) publishUnresponsive(unheard map[string]bool) []decide.Decision {
	told := pt.unresponsiveLists[pt.config.Name]
	want := told.Divide(unheard, pt.view.Epoch(), pt.config.ValueBytes)
	// The first list is written last: it has the others count.
	numbers := map[int]bool{1: true}
	for number := range want {
		numbers[number] = true
	}
	for number := range told {
		numbers[number] = true
	}
	var ds []decide.Decision
	for _, number := range slices.Backward(slices.Sorted(maps.Keys(numbers))) {
		list, needed := want[number]
		had, has := told[number]
		key := fleet.UnresponsiveKey(pt.config.Name, number)
		w := decide.Put(key, list.Entries())
		if !needed {
			// Not before its machines stand elsewhere.
			if !want[1].Same(told[1]) {
				continue
			}
			w = decide.Remove(key)
		} else if list.Same(had) && (has || number == 1) {
			continue
		}
		if pt.commits.Busy(key) {
			continue
		}
		ds = append(ds, decide.Decision{Writes: []store.Write{w}, OnSettled: func(ok bool) {
			if ok {
				pt.config.Log.Info("machines not heard", "machines", len(unheard))
			}
		}})
	}
	return ds
}

// UnresponsiveKeys are the keys of the lists in which this owner says what it does not hear.
func (pt *Shard) UnresponsiveKeys() []string {
	keys := []string{fleet.UnresponsiveKey(pt.config.Name, 1)}
	for number := range pt.unresponsiveLists[pt.config.Name] {
		if number > 1 {
			keys = append(keys, fleet.UnresponsiveKey(pt.config.Name, number))
		}
	}
	return keys
}

// UnresponsivenessOf is what a machine's owner says of it while it sends no reports.
func (pt *Shard) UnresponsivenessOf(m *clusterstate.Machine) (fleet.Unresponsiveness, bool) {
	if m.State == fleet.Lost {
		return fleet.Unresponsiveness{Since: m.Since}, true
	}
	u, is := pt.state.Unresponsive[m.Owner][m.Name]
	return u, is
}

// UnresponsiveSince tells since when nobody has heard a machine in any way, if so.
func (pt *Shard) UnresponsiveSince(m *clusterstate.Machine) (time.Time, bool) {
	u, is := pt.UnresponsivenessOf(m)
	return u.Since, is && !u.OutboundPartitioned
}

// InUse tells whether a machine is up and sends reports.
func (pt *Shard) InUse(m *clusterstate.Machine) bool {
	if m.State != fleet.Up {
		return false
	}
	_, unresponsive := pt.state.Unresponsive[m.Owner][m.Name]
	return !unresponsive && !pt.provisioner.GivenUp(m.Name)
}

// overdue tells whether a machine should have reported by now. It is then
// asked directly: where reports are seldom, waiting for the next would leave
// its tasks dead for long.
func (pt *Shard) overdue(s *agent.Session) bool {
	return pt.state.Now.Sub(s.LastStatus) > pt.config.Cluster.Workers.Late()
}
