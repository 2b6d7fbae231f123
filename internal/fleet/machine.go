// Package fleet models the machines of the cluster: the state machine of their records, the
// lists of unresponsive machines, claims for gangs, draining, failures and cached images. It
// does no I/O and reads no clock.
package fleet

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"unicode"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// MachinePrefix is the key prefix of machine records in the state service.
const MachinePrefix = "host/"

// State is the state of a machine's record. A machine gets its record when its agent sends the
// first heartbeat under its owner's fencing token, or when the leader decides to delete it.
// Until then its state is empty. The values are stored.
type State string

// States of a machine.
const (
	Up State = "up" // its owner receives heartbeats from it
	// LegacyUnresponsive: its owner has received no heartbeat for some time. This state is read but
	// no longer written: such machines are now listed under UnresponsivePrefix.
	LegacyUnresponsive State = "silent"
	Warned             State = "warned"   // the cloud has announced its preemption
	Faulty             State = "faulty"   // tasks fail on it, or its owner cannot command it
	Deleting           State = "deleting" // to be deleted; no task is placed on it any more
	// Deleted: the cloud answered the delete request with 200, so nothing runs on it any more. This
	// state is read but no longer written: records now stay Deleting until they are removed.
	Deleted State = "deleted"
)

// Event is an event that may change the state of a machine.
type Event string

// Events of a machine.
const (
	HeartbeatReceived Event = "heard"   // a heartbeat arrived
	HeartbeatsMissed  Event = "unheard" // no heartbeat arrived for some time; used by earlier versions
	PreemptionNotice  Event = "notice"  // the cloud announced the machine's preemption
	Unhealthy         Event = "sick"    // tasks fail on it, or its owner cannot command it
	Decommission      Event = "condemn" // the leader decided to delete it
	DeleteConfirmed   Event = "removed" // the delete was answered with 200; used by earlier versions
)

// NextState returns the state that follows an event, and whether the event changes the state. All
// changes of a machine's state go through it. Only a confirmed delete leads out of Deleting, so
// that no task is placed on a machine that may be gone.
func NextState(state State, event Event) (State, bool) {
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

// moveFrom returns target if state is one of the sources, and otherwise state unchanged. The result
// is false if the state is unchanged.
func moveFrom(state, target State, sources ...State) (State, bool) {
	if slices.Contains(sources, state) {
		return target, true
	}
	return state, false
}

// ValidName reports whether the name of a machine or machine type can be part of a key of the
// state service, where keys have at most 200 bytes and no spaces.
func ValidName(name string) bool {
	return name != "" && len(name) <= tuning.MaxMachineName &&
		!strings.ContainsFunc(name, func(r rune) bool { return unicode.IsSpace(r) || unicode.IsControl(r) })
}

// MachineRecord is the record of a machine that is stored under MachinePrefix.
type MachineRecord struct {
	State       State  `json:"s"`
	Endpoint    string `json:"endpoint,omitempty"`
	MachineType string `json:"build,omitempty"`
	Zone        string `json:"site,omitempty"`
	Spot        bool   `json:"loaner,omitempty"`
	Claim       string `json:"claim,omitempty"` // gang that the leader is placing here
	Reason      string `json:"why,omitempty"`   // why it is deleted
	SinceMs     int64  `json:"since,omitempty"` // start of this state, Unix time in ms
}

// DecodeMachineRecord decodes a machine record. It returns an error if the value is not valid JSON
// or the state is unknown.
func DecodeMachineRecord(value []byte) (*MachineRecord, error) {
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

// ListedMachine is an entry of the cloud's list of machines.
type ListedMachine struct {
	Name        string  `json:"uid"`
	Endpoint    string  `json:"endpoint"`
	MachineType string  `json:"build"`
	Zone        string  `json:"site"`
	Spot        bool    `json:"loaner"`
	Status      string  `json:"status"`
	AgeS        float64 `json:"age_s"` // seconds since its start, when the list was taken
}

// Group identifies the machines that are scaled together: those of one type, either spot or not.
// Spot and other machines are scaled separately because only tasks that allow spot instances can
// run on them.
type Group struct {
	MachineType string
	Spot        bool
}

// String returns the group's name in the autoscaler's stored summary: the machine type, with a
// plus sign appended for spot machines.
func (g Group) String() string {
	if g.Spot {
		return g.MachineType + "+"
	}
	return g.MachineType
}
