// Package fleet keeps the machines: their records, the cloud's list, renting,
// draining and deleting.
package fleet

import (
	"encoding/json"
	"fmt"
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
