// Package rollout plans a rolling replacement of the controllers: in which order they
// are replaced, and whether the next one may be ended now or what stands against it.
// It goes by what the state service holds and what the settings name. No IO and no
// clock.
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

// Prefixes are the key prefixes that a plan is made from; the caller lists them all
// and hands the rows to Read.
var Prefixes = []string{
	members.ViewKey,
	members.MemberPrefix,
	standby.ProbePrefix,
	fleet.UnresponsivePrefix,
	fleet.MachinePrefix,
}

// State is what was read of the state service.
type State struct {
	View         *members.View     // nil if there is none
	Incarnations map[string]uint64 // controller to the incarnation that its own key names
	Probed       []string          // controllers with a probe that they have not answered
	Unresponsive map[string]int    // owner to the count of its unresponsive machines
	Machines     map[string]int    // owner to the count of its machines in use
}

// Read takes rows of the state service in. Rows that can't be read count as absent.
func Read(rows []store.Item) State {
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
			if machine, err := fleet.Decode(row.Value); err == nil && machine.State == fleet.Up {
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
