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

// Mark is a place in the log of one process: Seq entries of it.
type Mark struct {
	Inc uint64 `json:"inc"` // the process; another start is another one
	Seq uint64 `json:"seq"`
}

// Told is what a line passes on of its sender's log. The entries follow one another and
// begin with number First.
type Told struct {
	Inc   uint64   `json:"inc"`
	First uint64   `json:"first,omitempty"`
	UIDs  []string `json:"uids,omitempty"`
	Upto  uint64   `json:"upto"` // entries of the log as it left
	// Nonce is that of the question which this line ends the answer to, 0 for none.
	Nonce uint64 `json:"nonce,omitempty"`
}

// Ask is the question for all that the other side has told.
type Ask struct {
	Nonce uint64 `json:"nonce"`
	Taken Mark   `json:"taken"` // what the asker has taken in of the other's log
}

// Log is what one process has told users to be cancelled, in the order in which it first
// did. An entry is made before the first answer that tells it leaves, whoever committed
// the cancellation. The oldest entries are dropped beyond a bound; who has not taken them
// in sees the gap and proves nothing by what follows.
type Log struct {
	inc     uint64
	dropped uint64 // entries before those kept
	uids    []string
	known   map[string]bool
}

// NewLog makes the log of a process.
func NewLog(inc uint64) *Log { return &Log{inc: inc, known: map[string]bool{}} }

// Mark is where the log stands.
func (l *Log) Mark() Mark { return Mark{l.inc, l.dropped + uint64(len(l.uids))} }

// Tell enters a job. It tells whether the entry is new.
func (l *Log) Tell(uid string) bool {
	if l.known[uid] {
		return false
	}
	if len(l.uids) >= tuning.MostTold {
		half := len(l.uids) / 2
		for _, old := range l.uids[:half] {
			delete(l.known, old)
		}
		l.uids = slices.Clone(l.uids[half:])
		l.dropped += uint64(half)
	}
	l.known[uid] = true
	l.uids = append(l.uids, uid)
	return true
}

// Answer is the lines that bring somebody from a mark to where the log stands; the last
// one carries the nonce. There is always one.
func (l *Log) Answer(from Mark, nonce uint64) []Told {
	seq := l.dropped
	if from.Inc == l.inc {
		seq = max(seq, min(from.Seq, l.Mark().Seq))
	}
	var out []Told
	for rest := l.uids[seq-l.dropped:]; ; {
		n := min(len(rest), tuning.ToldInLine)
		t := Told{Inc: l.inc, UIDs: rest[:n:n], Upto: l.Mark().Seq}
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
