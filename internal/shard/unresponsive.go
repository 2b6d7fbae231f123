package shard

import (
	"encoding/json"
	"fmt"
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

// isUnresponsive reports whether a machine of this shard neither sends heartbeats nor answers
// commands.
func (s *Shard) isUnresponsive(session *agent.Session) bool {
	neverHeard := session.HeartbeatSeq == 0
	if !s.Reconciling.Steady() && neverHeard && session.FailedCalls > 0 {
		return true
	}
	settings := s.config.Cluster.Workers
	sinceStatus := s.state.Now.Sub(session.LastStatus)
	return sinceStatus > settings.UnresponsiveAfter() ||
		session.FailedCalls >= tuning.UnresponsiveCalls && sinceStatus > settings.HeartbeatLateAfter()
}

// ApplyUnresponsive applies a stored list of the machines that an owner considers unresponsive. The
// name is the list's key without fleet.UnresponsivePrefix. A nil value means that the list was
// removed. If the value is not a valid list, ApplyUnresponsive returns an error and changes
// nothing.
func (s *Shard) ApplyUnresponsive(name string, value json.RawMessage) error {
	owner, number := fleet.ParseUnresponsiveKey(name)
	lists := s.unresponsiveLists[owner]
	if value == nil {
		delete(lists, number)
	} else {
		list, err := fleet.DecodeUnresponsiveList(value)
		if err != nil {
			return fmt.Errorf("read list %q of unresponsive machines: %w", name, err)
		}
		if lists == nil {
			lists = fleet.UnresponsiveLists{}
			s.unresponsiveLists[owner] = lists
		}
		lists[number] = list
	}
	if _, ok := lists[1]; !ok {
		delete(s.state.Unresponsive, owner)
		return nil
	}
	s.state.Unresponsive[owner] = lists.Join(s.state.Unresponsive[owner], s.state.Now)
	s.confirmComplaints(owner)
	return nil
}

// publishUnresponsive returns the decisions that update the stored lists of this shard's
// unresponsive machines, if they have changed. The values of unresponsive have the meaning given in
// checkHealth.
func (s *Shard) publishUnresponsive(unresponsive map[string]bool) []decide.Decision {
	published := s.unresponsiveLists[s.config.Name]
	wanted := published.Divide(unresponsive, s.view.Epoch(), s.config.ValueBytes)
	settled := func(ok bool) {
		if ok {
			s.config.Log.Info("unresponsive machines published", "machines", len(unresponsive))
		}
	}
	// The first list is written last, because the other lists only take effect with it.
	numbers := map[int]bool{1: true}
	for number := range wanted {
		numbers[number] = true
	}
	for number := range published {
		numbers[number] = true
	}
	var decisions []decide.Decision
	for _, number := range slices.Backward(slices.Sorted(maps.Keys(numbers))) {
		key := fleet.UnresponsiveKey(s.config.Name, number)
		write, changed := listWrite(key, number, published, wanted)
		if changed && !s.commits.Busy(key) {
			decisions = append(decisions, decide.Decision{Writes: []store.Write{write}, OnSettled: settled})
		}
	}
	return decisions
}

// listWrite returns the write that updates one list from the published to the wanted content.
func listWrite(key string, number int, published, wanted fleet.UnresponsiveLists) (write store.Write, changed bool) {
	list, needed := wanted[number]
	previous, exists := published[number]
	if !needed {
		// A list is removed only after its machines have been published in other lists.
		return decide.Remove(key), wanted[1].Equal(published[1])
	}
	if list.Equal(previous) && (exists || number == 1) {
		return store.Write{}, false
	}
	return decide.Put(key, list.Entries()), true
}

// UnresponsiveKeys returns the keys of the lists in which this controller publishes its
// unresponsive machines.
func (s *Shard) UnresponsiveKeys() []string {
	keys := []string{fleet.UnresponsiveKey(s.config.Name, 1)}
	for number := range s.unresponsiveLists[s.config.Name] {
		if number > 1 {
			keys = append(keys, fleet.UnresponsiveKey(s.config.Name, number))
		}
	}
	return keys
}

// UnresponsivenessOf returns what a machine's owner has published about it, and whether the machine
// is listed as unresponsive.
func (s *Shard) UnresponsivenessOf(machine *clusterstate.Machine) (fleet.Unresponsiveness, bool) {
	if machine.State == fleet.LegacyUnresponsive {
		return fleet.Unresponsiveness{Since: machine.StateSince}, true
	}
	unresponsiveness, ok := s.state.Unresponsive[machine.Owner][machine.Name]
	return unresponsiveness, ok
}

// UnresponsiveSince returns the time since which a machine has neither sent heartbeats nor answered
// commands, and whether that is the case.
func (s *Shard) UnresponsiveSince(machine *clusterstate.Machine) (time.Time, bool) {
	unresponsiveness, ok := s.UnresponsivenessOf(machine)
	return unresponsiveness.Since, ok && !unresponsiveness.OutboundPartitioned
}

// InUse reports whether a machine is up, sends heartbeats and is not being decommissioned.
func (s *Shard) InUse(machine *clusterstate.Machine) bool {
	if machine.State != fleet.Up {
		return false
	}
	_, unresponsive := s.state.Unresponsive[machine.Owner][machine.Name]
	return !unresponsive && !s.provisioner.Decommissioning(machine.Name)
}
