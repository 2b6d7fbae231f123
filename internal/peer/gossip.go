// Package peer is the gossip between controllers: JSON lines on peer_listen.
//
// No rule needs that a line arrives: a controller that misses one decides less, or later, and
// an owner that cannot prove that it knows the others' acknowledged cancellations lets its
// agents' leases expire (package cancellation). What the rules do need is that no line states
// anything false: an answer counts only with the nonce of its query, and what is not a whole
// line of a known controller changes nothing.
package peer

import (
	"encoding/json"
	"fmt"

	"github.com/harrierreel/harrierreel/internal/cancellation"
	"github.com/harrierreel/harrierreel/internal/readconsistency"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Gossip is one line. The tags are the wire names: a controller of the former version reads
// them while controllers are replaced.
type Gossip struct {
	From           string `json:"from"`               // name of the sender
	Epoch          uint64 `json:"epoch,omitempty"`    // the store's epoch that the sender has read up to
	StoreReachable bool   `json:"state_ok,omitempty"` // the store answers the sender
	// Isolated: the sender is outside the view and reaches no agent.
	Isolated bool `json:"blind,omitempty"`
	// MachinesHeardEpoch is the epoch of the view under which the sender has heard all of its
	// machines, or given them up.
	MachinesHeardEpoch uint64 `json:"heard,omitempty"`
	// Unreached are machines whose agents came to the sender although they were sent to their
	// owner.
	Unreached []string `json:"unreached,omitempty"`

	// Acknowledged is what the sender has just acknowledged to users of jobs. A line with it has
	// no epoch: it comes too often to have every controller catch up at once.
	Acknowledged *readconsistency.Acks `json:"told_of,omitempty"`

	cancellation.Message // a line is a message about cancellations, and more
}

// Valid tells whether a controller may have sent this.
func (g *Gossip) Valid() bool { return g.Message.Valid() && g.Acknowledged.Valid() }

// DecodeReason is the kind of a DecodeError. Operators see its value in the counts of refused
// calls.
type DecodeReason string

// Kinds of lines that are not taken in.
const (
	Unreadable    DecodeReason = "unreadable"      // not JSON, or cut short
	TooLong       DecodeReason = "too long"        // beyond tuning.MaxPeerLine
	UnknownSender DecodeReason = "unknown sender"  // no controller that the settings name
	InvalidFields DecodeReason = "without meaning" // fields that no controller sends
)

// DecodeError is why a line was not taken in.
type DecodeError struct {
	Reason DecodeReason
	Err    error // what the JSON decoder says of an unreadable line, else nil
}

// Error says operation, object and reason.
func (e *DecodeError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("decode gossip: %s: %v", e.Reason, e.Err)
	}
	return "decode gossip: " + string(e.Reason)
}

// Unwrap is the decoder's error.
func (e *DecodeError) Unwrap() error { return e.Err }

// Encode writes gossip as a line, with its end.
func Encode(gossip Gossip) []byte {
	line, err := json.Marshal(gossip)
	if err != nil {
		return []byte("{}\n")
	}
	return append(line, '\n')
}

// Decode reads a line of one of the known controllers. Its error is a *DecodeError, and
// nothing of a line with an error is returned.
func Decode(line []byte, known func(controller string) bool) (Gossip, error) {
	if len(line) > tuning.MaxPeerLine {
		return Gossip{}, &DecodeError{Reason: TooLong}
	}
	var gossip Gossip
	if err := json.Unmarshal(line, &gossip); err != nil {
		return Gossip{}, &DecodeError{Reason: Unreadable, Err: err}
	}
	if !known(gossip.From) {
		return Gossip{}, &DecodeError{Reason: UnknownSender}
	}
	if !gossip.Valid() {
		return Gossip{}, &DecodeError{Reason: InvalidFields}
	}
	return gossip, nil
}
