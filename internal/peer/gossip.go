// Package peer implements gossip between controllers: JSON messages, one per line, sent to
// peer_listen.
//
// Correctness never depends on the delivery of a message. A controller that misses one makes fewer
// decisions or makes them later, and an owner that cannot prove that it knows all cancellations
// acknowledged by others lets its agents' leases expire (package cancellation). Correctness does
// require that no message states anything false: an answer counts only with the nonce of its query,
// and anything other than a complete line from a known controller has no effect.
package peer

import (
	"encoding/json"
	"fmt"

	"github.com/harrierreel/harrierreel/internal/cancellation"
	"github.com/harrierreel/harrierreel/internal/readconsistency"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Gossip is one message. The JSON tags are part of the wire format and must not change: during a
// rolling upgrade, controllers of the previous version read them.
type Gossip struct {
	From           string `json:"from"`               // name of the sender
	Epoch          uint64 `json:"epoch,omitempty"`    // epoch up to which the sender has read the store
	StoreReachable bool   `json:"state_ok,omitempty"` // whether the store answers the sender
	// Isolated is set if the sender is outside the view and reaches no agent.
	Isolated bool `json:"blind,omitempty"`
	// MachinesHeardEpoch is the epoch of the view in which the sender has received heartbeats from
	// all of its machines, apart from those that it has published as unresponsive.
	MachinesHeardEpoch uint64 `json:"heard,omitempty"`
	// Unreached lists machines whose agents contacted the sender although they had been redirected
	// to their owner.
	Unreached []string `json:"unreached,omitempty"`

	// Acknowledged contains what the sender has just acknowledged to users about jobs. A message
	// with this field has no epoch: such messages are too frequent for every one of them to make
	// all controllers catch up.
	Acknowledged *readconsistency.Acks `json:"told_of,omitempty"`

	// AckConfirmed confirms a line with Acknowledged. Like that line it is sent without an epoch.
	AckConfirmed *readconsistency.Confirmation `json:"told_seen,omitempty"`

	// AckQuery asks for the acknowledgements that the receiver sends in an AckAnswer. Like
	// Acknowledged they are sent without an epoch.
	AckQuery  *readconsistency.PeerQuery  `json:"told_query,omitempty"`
	AckAnswer *readconsistency.PeerAnswer `json:"told_answer,omitempty"`

	cancellation.Message // embedded: its fields are part of the same JSON object
}

// Valid reports whether the message could have been sent by a controller.
func (g *Gossip) Valid() bool {
	return g.Message.Valid() && g.Acknowledged.Valid() && g.AckConfirmed.Valid() &&
		g.AckQuery.Valid() && g.AckAnswer.Valid()
}

// DecodeReason is the reason of a DecodeError. Operators see its values in the counts of refused
// calls.
type DecodeReason string

// Reasons for rejecting a line.
const (
	Unreadable    DecodeReason = "unreadable"      // not JSON, or truncated
	TooLong       DecodeReason = "too long"        // longer than tuning.MaxPeerLine
	UnknownSender DecodeReason = "unknown sender"  // not a controller in the settings
	InvalidFields DecodeReason = "without meaning" // field values that no controller sends
)

// DecodeError describes why a line was rejected.
type DecodeError struct {
	Reason DecodeReason
	Err    error // the error of the JSON decoder for an unreadable line, else nil
}

// Error describes the operation and the reason for the rejection.
func (e *DecodeError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("decode gossip: %s: %v", e.Reason, e.Err)
	}
	return "decode gossip: " + string(e.Reason)
}

// Unwrap returns the error of the JSON decoder, nil if there is none.
func (e *DecodeError) Unwrap() error { return e.Err }

// Encode encodes a message as a line, including the newline.
func Encode(gossip Gossip) []byte {
	line, err := json.Marshal(gossip)
	if err != nil {
		return []byte("{}\n")
	}
	return append(line, '\n')
}

// Decode decodes a line from one of the known controllers. The error is a *DecodeError; no part of
// a rejected line is returned.
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
