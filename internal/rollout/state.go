// Package rollout plans a rolling replacement of the controllers: the order in which they are
// replaced, and whether the next one may be stopped now or what prevents it. The plan depends
// only on the records in the state service and on the settings; the package does no I/O and
// reads no clock.
package rollout

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/sharding"
	"github.com/harrierreel/harrierreel/internal/standby"
	"github.com/harrierreel/harrierreel/internal/store"
)

// Prefixes are the key prefixes that a plan depends on. The caller lists the keys under all of
// them and passes the rows to DecodeState.
var Prefixes = []string{
	members.ViewKey,
	members.MemberPrefix,
	standby.ProbePrefix,
	fleet.UnresponsivePrefix,
	fleet.MachinePrefix,
}

// State is the part of the state service's records that a plan depends on.
type State struct {
	View         *members.View     // nil if there is no view
	Incarnations map[string]uint64 // by controller, the incarnation in its own member key
	Probed       []string          // controllers with an unanswered probe
	Unresponsive map[string]int    // by owner, the number of its unresponsive machines
	Machines     map[string]int    // by owner, the number of its machines that are up
}

// DecodeState decodes rows of the state service. Rows that can't be decoded count as absent.
func DecodeState(rows []store.Item) State {
	s := State{
		Incarnations: map[string]uint64{},
		Unresponsive: map[string]int{},
		Machines:     map[string]int{},
	}
	var machines []string
	unresponsive := map[string]fleet.UnresponsiveLists{}
	for _, row := range rows {
		prefix, name, _ := strings.Cut(row.Key, "/")
		switch prefix + "/" {
		case members.ViewKey + "/":
			s.View, _ = members.Decode(row.Value)
		case members.MemberPrefix:
			var incarnation uint64
			if json.Unmarshal(row.Value, &incarnation) == nil {
				s.Incarnations[name] = incarnation
			}
		case standby.ProbePrefix:
			s.Probed = append(s.Probed, name)
		case fleet.UnresponsivePrefix:
			owner, number := fleet.ParseUnresponsiveKey(name)
			if list, err := fleet.DecodeUnresponsiveList(row.Value); err == nil {
				if unresponsive[owner] == nil {
					unresponsive[owner] = fleet.UnresponsiveLists{}
				}
				unresponsive[owner][number] = list
			}
		case fleet.MachinePrefix:
			if machine, err := fleet.DecodeMachineRecord(row.Value); err == nil && machine.State == fleet.Up {
				machines = append(machines, name)
			}
		}
	}
	for owner, lists := range unresponsive {
		s.Unresponsive[owner] = len(lists.Join(nil, time.Time{}))
	}
	if s.View != nil {
		for _, machine := range machines {
			s.Machines[sharding.Owner(machine, s.View.Names())]++
		}
	}
	return s
}
