package cancellation

import (
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// LogPosition is a position in the log of one process, after its first Seq entries.
type LogPosition struct {
	Incarnation uint64 `json:"inc"` // of the process; a restarted controller has a new one
	Seq         uint64 `json:"seq"`
}

// AckEntries is a range of consecutive entries of the sender's log, beginning with entry number
// First (counted from 1).
type AckEntries struct {
	Incarnation uint64   `json:"inc"`
	First       uint64   `json:"first,omitempty"`
	JobIDs      []string `json:"uids,omitempty"`
	LogLength   uint64   `json:"upto"` // number of entries in the log when the message was sent
	// Nonce is the nonce of the query if this message completes the answer to it, 0 otherwise.
	Nonce uint64 `json:"nonce,omitempty"`
}

// Query asks a peer for all entries of its log that the sender has not received.
type Query struct {
	Nonce    uint64      `json:"nonce"`
	Received LogPosition `json:"taken"` // position up to which the sender has received the peer's log
}

// Message is the part of a message between controllers that belongs to this package. All fields are
// optional.
type Message struct {
	Entries  *AckEntries            `json:"told,omitempty"`
	Query    *Query                 `json:"ask,omitempty"`
	Received map[string]LogPosition `json:"taken,omitempty"` // by peer, position up to which its log was received
}

// Valid reports whether the message could have been sent by a controller.
func (m *Message) Valid() bool {
	if m.Entries != nil && !m.Entries.valid() {
		return false
	}
	return (m.Query == nil || m.Query.Nonce != 0) && len(m.Received) <= tuning.MaxPeers
}

func (e *AckEntries) valid() bool {
	count := uint64(len(e.JobIDs))
	if e.Incarnation == 0 || count > tuning.MaxAcksPerLine {
		return false
	}
	if count > 0 && (e.First == 0 || e.First+count-1 > e.LogLength) {
		return false
	}
	for _, jobID := range e.JobIDs {
		if !jobs.ValidID(jobID) {
			return false
		}
	}
	return true
}
