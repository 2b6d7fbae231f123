// Package cancellation sees that what a user was told is cancelled is gone in time though
// the state service answers nobody. Each controller keeps a log of the cancellations that
// it has told and passes them to the others (Log); whoever is told acts on them though its
// mirror lags (Heard); an owner renews its workers' leases only while it can prove that it
// has heard of all that was told (Proof); and where an owner cannot be reached, whoever
// told commands its machines directly (Courier). Why all four: docs/notes/cancellation.md.
// It has no IO and no clock.
package cancellation

import (
	"slices"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// LogPosition is a place in the log of one process: Seq entries of it.
type LogPosition struct {
	Incarnation uint64 `json:"inc"` // the process; another start is another one
	Seq         uint64 `json:"seq"`
}

// AckEntries is what a line passes on of its sender's log. The entries follow one another and
// begin with number First.
type AckEntries struct {
	Incarnation uint64   `json:"inc"`
	First       uint64   `json:"first,omitempty"`
	JobIDs      []string `json:"uids,omitempty"`
	LogLength   uint64   `json:"upto"` // entries of the log as it left
	// Nonce is that of the question which this line ends the answer to, 0 for none.
	Nonce uint64 `json:"nonce,omitempty"`
}

// Query is the question for all that the other side has told.
type Query struct {
	Nonce    uint64      `json:"nonce"`
	Received LogPosition `json:"taken"` // what the asker has taken in of the other's log
}

// AckLog is what one process has told users to be cancelled, in the order in which it first
// did. An entry is made before the first answer that tells it leaves, whoever committed
// the cancellation. The oldest entries are dropped beyond a bound; who has not taken them
// in sees the gap and proves nothing by what follows.
type AckLog struct {
	incarnation uint64
	dropped     uint64 // entries before those kept
	jobIDs      []string
	known       map[string]bool
}

// NewAckLog makes the log of a process.
func NewAckLog(incarnation uint64) *AckLog {
	return &AckLog{incarnation: incarnation, known: map[string]bool{}}
}

// Position is where the log stands.
func (l *AckLog) Position() LogPosition {
	return LogPosition{l.incarnation, l.dropped + uint64(len(l.jobIDs))}
}

// Append enters a job. It tells whether the entry is new.
func (l *AckLog) Append(jobID string) bool {
	if l.known[jobID] {
		return false
	}
	if len(l.jobIDs) >= tuning.MaxAckLogEntries {
		half := len(l.jobIDs) / 2
		for _, old := range l.jobIDs[:half] {
			delete(l.known, old)
		}
		l.jobIDs = slices.Clone(l.jobIDs[half:])
		l.dropped += uint64(half)
	}
	l.known[jobID] = true
	l.jobIDs = append(l.jobIDs, jobID)
	return true
}

// EntriesAfter is the lines that bring somebody from a mark to where the log stands; the last
// one carries the nonce. There is always one.
func (l *AckLog) EntriesAfter(from LogPosition, nonce uint64) []AckEntries {
	seq := l.dropped
	if from.Incarnation == l.incarnation {
		seq = max(seq, min(from.Seq, l.Position().Seq))
	}
	var out []AckEntries
	for rest := l.jobIDs[seq-l.dropped:]; ; {
		n := min(len(rest), tuning.MaxAcksPerLine)
		t := AckEntries{Incarnation: l.incarnation, JobIDs: rest[:n:n], LogLength: l.Position().Seq}
		if n > 0 {
			t.First = seq + 1
		}
		seq += uint64(n)
		rest = rest[n:]
		if len(rest) == 0 {
			t.Nonce = nonce
			return append(out, t)
		}
		out = append(out, t)
	}
}
