// Package fleet holds what is known of the machines: the state machine of their records,
// the lists of unresponsive ones, claims for gangs, draining, failures and cached images.
// It has no IO and no clock.
package fleet

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"unicode"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// MachinePrefix is the prefix of machine records in the state service.
const MachinePrefix = "host/"

// State is the state of a machine's record. A machine gets its record with the first
// heartbeat of its agent under our fencing token, or with the decision to delete it.
// Until then its state is empty. The values are stored.
type State string

// States of a machine.
const (
	Up State = "up" // its owner receives its heartbeats
	// LegacyUnresponsive: its owner has received no heartbeat for some time. Earlier versions wrote it;
	// this one lists such machines under UnresponsivePrefix and only reads it.
	LegacyUnresponsive State = "silent"
	Warned             State = "warned"   // the cloud has announced that it will take it away
	Faulty             State = "faulty"   // tasks fail on it
	Deleting           State = "deleting" // to be deleted; no task may be placed on it
	// Deleted: the delete was answered 200, nothing runs on it any more. Earlier versions wrote it; this
	// one keeps the record Deleting until it removes it, and only reads it.
	Deleted State = "deleted"
)

// Event is what can happen to a machine.
type Event string

// Events of a machine.
const (
	HeartbeatReceived Event = "heard"   // a heartbeat arrived
	HeartbeatsMissed  Event = "unheard" // no heartbeat arrived for some time; of earlier versions
	PreemptionNotice  Event = "notice"  // the cloud announced that it will take the machine away
	Unhealthy         Event = "sick"    // tasks fail on it
	Decommission      Event = "condemn" // the leader decided to delete it
	DeleteConfirmed   Event = "removed" // the delete was answered 200; of earlier versions
)

// Next is the state that follows on an event, and whether the event changes the state.
// It is the only place where a machine's record changes state: nothing leads out of
// Deleting but the confirmed delete, so that no task is placed on a machine that may
// be gone.
func Next(state State, event Event) (State, bool) {
	switch event {
	case HeartbeatReceived:
		return moveFrom(state, Up, "", LegacyUnresponsive)
	case HeartbeatsMissed:
		return moveFrom(state, LegacyUnresponsive, Up, Warned)
	case PreemptionNotice:
		return moveFrom(state, Warned, Up, LegacyUnresponsive)
	case Unhealthy:
		return moveFrom(state, Faulty, Up, LegacyUnresponsive, Warned)
	case Decommission:
		if state == Deleting || state == Deleted {
			return state, false
		}
		return Deleting, true
	case DeleteConfirmed:
		return moveFrom(state, Deleted, Deleting)
	}
	return state, false
}

// moveFrom leads to the target from one of the sources, and leaves any other state.
func moveFrom(state, target State, sources ...State) (State, bool) {
	if slices.Contains(sources, state) {
		return target, true
	}
	return state, false
}

// ValidName tells whether the name of a machine, or of a machine type, can be part of a
// key of the state service: keys have at most 200 bytes and no spaces.
func ValidName(name string) bool {
	return name != "" && len(name) <= tuning.MaxMachineName &&
		!strings.ContainsFunc(name, func(r rune) bool { return unicode.IsSpace(r) || unicode.IsControl(r) })
}

// MachineRecord is a machine's record, as it is stored under MachinePrefix.
type MachineRecord struct {
	State       State  `json:"s"`
	Endpoint    string `json:"endpoint,omitempty"`
	MachineType string `json:"build,omitempty"`
	Zone        string `json:"site,omitempty"`
	Spot        bool   `json:"loaner,omitempty"`
	Claim       string `json:"claim,omitempty"` // the gang that the leader places here
	Reason      string `json:"why,omitempty"`   // why it is deleted
	SinceMs     int64  `json:"since,omitempty"` // when it got this state, Unix time in milliseconds
}

// Decode reads a machine record. It is an error if the value is no JSON, or the state is
// none of those above.
func Decode(value []byte) (*MachineRecord, error) {
	var record MachineRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return nil, fmt.Errorf("decode machine record: %w", err)
	}
	switch record.State {
	case Up, LegacyUnresponsive, Warned, Faulty, Deleting, Deleted:
		return &record, nil
	}
	return nil, fmt.Errorf("decode machine record: unknown state %q", record.State)
}

// ListedMachine is a machine in the cloud's list.
type ListedMachine struct {
	Name        string  `json:"uid"`
	Endpoint    string  `json:"endpoint"`
	MachineType string  `json:"build"`
	Zone        string  `json:"site"`
	Spot        bool    `json:"loaner"`
	Status      string  `json:"status"`
	AgeS        float64 `json:"age_s"` // seconds since its start, at the time that the list describes
}

// Group is what is scaled separately: the machines of a type, either spot or not. Spot
// machines take only tasks that allow them, so the two cannot stand in for one another.
type Group struct {
	MachineType string
	Spot        bool
}

// String is the group's name in the autoscaler's stored summary: the type, with a plus
// for spot machines.
func (g Group) String() string {
	if g.Spot {
		return g.MachineType + "+"
	}
	return g.MachineType
}
