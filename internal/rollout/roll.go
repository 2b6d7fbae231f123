// Package rollout says in which order controllers can be replaced in service, and whether
// the next one may be ended now or why not yet. It goes by what the state service holds
// and what the settings name. No IO and no clock.
package rollout

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/sharding"
	"github.com/harrierreel/harrierreel/internal/standby"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Prefixes are the keys that a plan goes by.
var Prefixes = []string{
	members.ViewKey,
	members.MemberPrefix,
	standby.ProbePrefix,
	fleet.UnresponsivePrefix,
	fleet.MachinePrefix,
}

// Controller is one that the settings name.
type Controller struct{ Name, Zone string }

// State is what was read of the state service.
type State struct {
	View         *members.View
	Keys         map[string]uint64 // members' keys: name to incarnation
	Calls        []string          // controllers that are called
	Unresponsive map[string]int    // owner to machines that it does not hear
	Machines     map[string]int    // owner to machines in use
}

// Read takes rows of the state service in. Rows that can't be read count as not there.
func Read(rows []store.Item) State {
	s := State{Keys: map[string]uint64{}, Unresponsive: map[string]int{}, Machines: map[string]int{}}
	var machines []string
	unresponsive := map[string]fleet.UnresponsiveLists{}
	for _, r := range rows {
		prefix, name, _ := strings.Cut(r.Key, "/")
		switch prefix + "/" {
		case members.ViewKey + "/":
			s.View, _ = members.Decode(r.Value)
		case members.MemberPrefix:
			var incarnation uint64
			if json.Unmarshal(r.Value, &incarnation) == nil {
				s.Keys[name] = incarnation
			}
		case standby.ProbePrefix:
			s.Calls = append(s.Calls, name)
		case fleet.UnresponsivePrefix:
			owner, number := fleet.ParseUnresponsiveKey(name)
			if list, err := fleet.DecodeUnresponsiveList(r.Value); err == nil {
				if unresponsive[owner] == nil {
					unresponsive[owner] = fleet.UnresponsiveLists{}
				}
				unresponsive[owner][number] = list
			}
		case fleet.MachinePrefix:
			if h, err := fleet.Decode(r.Value); err == nil && h.State == fleet.Up {
				machines = append(machines, name)
			}
		}
	}
	for owner, lists := range unresponsive {
		s.Unresponsive[owner] = len(lists.Join(nil, time.Time{}))
	}
	if s.View != nil {
		for _, h := range machines {
			s.Machines[sharding.Owner(h, s.View.Names())]++
		}
	}
	return s
}

// Plan is the order in which controllers are to be ended, and what stands against the
// first of them now.
type Plan struct {
	Leader string   `json:"leader"`
	Epoch  uint64   `json:"epoch"` // of the view
	Order  []string `json:"order"` // those still to be replaced
	NotYet []string `json:"not_yet,omitempty"`
}

// Make plans for the controllers that the settings name; done are those that were
// replaced already.
func Make(all []Controller, done []string, s State) Plan {
	if s.View == nil {
		return Plan{NotYet: []string{"there is no view: nobody leads"}}
	}
	p := Plan{Leader: s.View.Leader, Epoch: s.View.Epoch, Order: order(all, done, s.View.Leader)}
	for _, c := range all {
		incarnation := s.View.Incarnation(c.Name)
		switch {
		case incarnation == 0:
			p.NotYet = append(p.NotYet, c.Name+" is not in the view")
		case s.Keys[c.Name] != incarnation:
			p.NotYet = append(p.NotYet, c.Name+" has just ended or come back: the view names another incarnation of it")
		}
	}
	for _, name := range s.Calls {
		p.NotYet = append(p.NotYet, name+" is called and has not answered")
	}
	for _, m := range s.View.Members {
		if unresponsive, of := s.Unresponsive[m.Name], s.Machines[m.Name]; float64(
			unresponsive,
		) > tuning.MaxRolloutUnresponsive*float64(
			of,
		) {
			p.NotYet = append(p.NotYet, fmt.Sprintf("%s does not hear %d of %d machines", m.Name, unresponsive, of))
		}
	}
	if len(s.View.Members) < 2 {
		p.NotYet = append(p.NotYet, "nobody else is there to take over")
	}
	return p
}

// May tells why a controller may not be ended now, nothing if it may.
func (p *Plan) May(name string) []string {
	why := slices.Clone(p.NotYet)
	switch at := slices.Index(p.Order, name); {
	case at < 0:
		why = append(why, name+" is not among those still to be replaced")
	case name == p.Leader && len(p.Order) > 1:
		why = append(why, name+" leads, and goes last")
	}
	return why
}

// order is zones in turn, so that two that follow each other are of different zones
// where that is possible, in each those first that would follow the leader; the leader
// comes last, and hands over to one that was replaced.
func order(all []Controller, done []string, leader string) []string {
	x := standby.ClusterStatus{Leader: leader}
	zones := map[string]string{}
	for _, c := range all {
		zones[c.Name] = c.Zone
		x.Members = append(x.Members, standby.Member{Name: c.Name, Zone: c.Zone})
	}
	var left []string
	for _, name := range standby.Successors(x, func(string) bool { return false }) {
		if !slices.Contains(done, name) {
			left = append(left, name)
		}
	}
	last := ""
	if len(done) > 0 {
		last = zones[done[len(done)-1]]
	}
	var out []string
	for len(left) > 0 {
		counts := map[string]int{}
		for _, name := range left {
			counts[zones[name]]++
		}
		// Of the zones other than the last one's, that with most left goes next.
		best := slices.MinFunc(left, func(a, b string) int {
			same := cmp.Compare(b2i(zones[a] == last), b2i(zones[b] == last))
			return cmp.Or(
				same,
				cmp.Compare(counts[zones[b]], counts[zones[a]]),
				cmp.Compare(slices.Index(left, a), slices.Index(left, b)),
			)
		})
		out, last = append(out, best), zones[best]
		left = slices.DeleteFunc(left, func(n string) bool { return n == best })
	}
	if _, named := zones[leader]; named && !slices.Contains(done, leader) {
		out = append(out, leader)
	}
	return out
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}
