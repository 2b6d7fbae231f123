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

// isUnresponsive tells whether a machine of this shard sends no heartbeats and answers no
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

// ApplyUnresponsive takes in which machines an owner lists as unresponsive. The name is
// that of one of its lists, the key without fleet.UnresponsivePrefix; a nil value is one
// that was removed. It fails if the value is no list, and then changes nothing.
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

// publishUnresponsive is the decisions that write which of this shard's machines are
// unresponsive, where that has changed. Values of unresponsive are as in watchHealth.
func (s *Shard) publishUnresponsive(unresponsive map[string]bool) []decide.Decision {
	published := s.unresponsiveLists[s.config.Name]
	wanted := published.Divide(unresponsive, s.view.Epoch(), s.config.ValueBytes)
	settled := func(ok bool) {
		if ok {
			s.config.Log.Info("unresponsive machines published", "machines", len(unresponsive))
		}
	}
	// The first list is written last: it has the others count.
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
		write, changed := writeOfList(key, number, published, wanted)
		if changed && !s.commits.Busy(key) {
			decisions = append(decisions, decide.Decision{Writes: []store.Write{write}, OnSettled: settled})
		}
	}
	return decisions
}

// writeOfList is the write that turns one list from what is published into what is wanted.
func writeOfList(key string, number int, published, wanted fleet.UnresponsiveLists) (write store.Write, changed bool) {
	list, needed := wanted[number]
	former, exists := published[number]
	if !needed {
		// A list is not removed before its machines stand in others.
		return decide.Remove(key), wanted[1].Equal(published[1])
	}
	if list.Equal(former) && (exists || number == 1) {
		return store.Write{}, false
	}
	return decide.Put(key, list.Entries()), true
}

// UnresponsiveKeys are the keys of the lists in which this controller publishes its
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

// UnresponsivenessOf is what a machine's owner says of it while it sends no heartbeats.
func (s *Shard) UnresponsivenessOf(machine *clusterstate.Machine) (fleet.Unresponsiveness, bool) {
	if machine.State == fleet.LegacyUnresponsive {
		return fleet.Unresponsiveness{Since: machine.StateSince}, true
	}
	unresponsiveness, ok := s.state.Unresponsive[machine.Owner][machine.Name]
	return unresponsiveness, ok
}

// UnresponsiveSince tells since when a machine sends no heartbeats and answers no
// commands, if so.
func (s *Shard) UnresponsiveSince(machine *clusterstate.Machine) (time.Time, bool) {
	unresponsiveness, ok := s.UnresponsivenessOf(machine)
	return unresponsiveness.Since, ok && !unresponsiveness.OutboundPartitioned
}

// InUse tells whether a machine is up and sends heartbeats.
func (s *Shard) InUse(machine *clusterstate.Machine) bool {
	if machine.State != fleet.Up {
		return false
	}
	_, unresponsive := s.state.Unresponsive[machine.Owner][machine.Name]
	return !unresponsive && !s.provisioner.GivenUp(machine.Name)
}
