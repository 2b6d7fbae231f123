package shard

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/store"
)

// ApplyUnresponsive takes in which machines an owner does not hear. The name is that of one of
// its lists, the key without fleet.UnresponsivePrefix.
func (pt *Shard) ApplyUnresponsive(name string, value json.RawMessage) error {
	owner, number := fleet.ParseUnresponsiveKey(name)
	lists := pt.unresponsiveLists[owner]
	if value == nil {
		delete(lists, number)
	} else {
		list, err := fleet.DecodeUnresponsiveList(value)
		if err != nil {
			return err
		}
		if lists == nil {
			lists = fleet.UnresponsiveLists{}
			pt.unresponsiveLists[owner] = lists
		}
		lists[number] = list
	}
	if _, is := lists[1]; !is {
		delete(pt.state.Unresponsive, owner)
		return nil
	}
	pt.state.Unresponsive[owner] = lists.Join(pt.state.Unresponsive[owner], pt.state.Now)
	pt.confirmComplaints(owner)
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
