// Package fleet keeps the machines: their records, the cloud's list, renting,
// draining and deleting.
package fleet

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"unicode"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// MachinePrefix is the prefix of machine records in the state service.
const MachinePrefix = "host/"

// State is the state of a machine's record. A machine has a record from its
// worker's first report under our baton, or from the decision to delete it.
type State string

// States of a machine.
const (
	Up       State = "up"       // its owner hears it
	Lost     State = "silent"   // its owner has not heard it for some time
	Warned   State = "warned"   // the cloud will take it away
	Faulty   State = "faulty"   // tasks fail on it
	Deleting State = "deleting" // to be deleted; no task may be placed
	Deleted  State = "deleted"  // the delete was answered 200: all on it is gone
)

// Event is what can happen to a machine.
type Event string

// Events of a machine.
const (
	Heard        Event = "heard"
	Unregistered Event = "unheard"
	Notice       Event = "notice"
	Unhealthy    Event = "sick"
	Decommission Event = "condemn"
	Removed      Event = "removed" // delete answered 200
)

// Next is the one place where a machine's record changes state.
func Next(s State, e Event) (State, bool) {
	switch e {
	case Heard:
		if s == Lost || s == "" {
			return Up, true
		}
	case Unregistered:
		if s == Up || s == Warned {
			return Lost, true
		}
	case Notice:
		if s == Up || s == Lost {
			return Warned, true
		}
	case Unhealthy:
		if s == Up || s == Lost || s == Warned {
			return Faulty, true
		}
	case Decommission:
		if s != Deleting && s != Deleted {
			return Deleting, true
		}
	case Removed:
		if s == Deleting {
			return Deleted, true
		}
	}
	return s, false
}

// ValidName tells whether a name, of a machine or of what the cloud rents, can be part
// of a key of the state service: keys have at most 200 bytes and no spaces.
func ValidName(name string) bool {
	return name != "" && len(name) <= tuning.MaxMachineName &&
		!strings.ContainsFunc(name, func(r rune) bool { return unicode.IsSpace(r) || unicode.IsControl(r) })
}

// MachineRecord is a machine's record.
type MachineRecord struct {
	State       State  `json:"s"`
	Endpoint    string `json:"endpoint,omitempty"`
	MachineType string `json:"build,omitempty"`
	Zone        string `json:"site,omitempty"`
	Spot        bool   `json:"loaner,omitempty"`
	Claim       string `json:"claim,omitempty"` // gang that the leader places here
	Reason      string `json:"why,omitempty"`   // why it is deleted
	SinceMs     int64  `json:"since,omitempty"`
}

// Decode reads a machine record.
func Decode(b []byte) (*MachineRecord, error) {
	var h MachineRecord
	if err := json.Unmarshal(b, &h); err != nil {
		return nil, err
	}
	switch h.State {
	case Up, Lost, Warned, Faulty, Deleting, Deleted:
		return &h, nil
	}
	return nil, fmt.Errorf("unknown machine state %q", h.State)
}

// ListedMachine is a machine in the cloud's list.
type ListedMachine struct {
	Name        string  `json:"uid"`
	Endpoint    string  `json:"endpoint"`
	MachineType string  `json:"build"`
	Zone        string  `json:"site"`
	Spot        bool    `json:"loaner"`
	Status      string  `json:"status"`
	AgeS        float64 `json:"age_s"`
}

// Group is what is sized separately: a machine type, ordinary or cheap. The
// design sizes each type; cheap machines of a type take only tasks that allow
// them, so that the two cannot stand in for one another.
type Group struct {
	MachineType string
	Spot        bool
}

func (g Group) String() string {
	if g.Spot {
		return g.MachineType + "+"
	}
	return g.MachineType
}

// Draining is the stage of each draining machine, by name; the scaler's
// summary carries it, so that owners and a fresh leader know.
type Draining map[string]int

// Idle is a machine that may be drained, with the share of it in use.
type Idle struct {
	Machine string
	Load    float64
	Cost    float64 // per hour
}

// DrainStep moves draining on by one step. surplus is how many machines of
// the group are not needed over the whole plan, draining ones not counted as
// supply; negative when machines are short. It returns the next stages and
// the machines to return to the cloud now. steps and revive are the lengths
// of draining and of its part with revival.
func DrainStep(now Draining, idle []Idle, surplus, steps, revive int) (next Draining, give, revived []string) {
	next = Draining{}
	load := map[string]float64{}
	for _, i := range idle {
		load[i.Machine] = i.Load
	}
	var names []string
	for h := range now {
		names = append(names, h)
	}
	// Revival takes the fullest first: they would be returned last.
	sort.Slice(names, func(a, b int) bool {
		if load[names[a]] != load[names[b]] {
			return load[names[a]] > load[names[b]]
		}
		return names[a] < names[b]
	})
	short := -surplus
	for _, h := range names {
		l, known := load[h]
		stage := now[h]
		switch {
		case !known:
			continue // no longer ours
		case short > 0 && stage <= revive:
			revived = append(revived, h)
			short--
		case l == 0:
			give = append(give, h)
		case stage >= steps:
			revived = append(revived, h) // not empty by the end
		default:
			next[h] = stage + 1
		}
	}
	if surplus <= 0 {
		return next, give, revived
	}
	sort.SliceStable(idle, func(a, b int) bool {
		if idle[a].Load != idle[b].Load {
			return idle[a].Load < idle[b].Load
		}
		if idle[a].Cost != idle[b].Cost {
			return idle[a].Cost > idle[b].Cost
		}
		return idle[a].Machine > idle[b].Machine
	})
	for _, i := range idle {
		if surplus == 0 {
			break
		}
		if _, was := now[i.Machine]; was {
			continue
		}
		next[i.Machine] = 1
		surplus--
	}
	return next, give, revived
}
