package cancellation

import (
	"slices"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// AckLog records the cancellations that one process has acknowledged to users, in the order of the
// first acknowledgement. An entry is appended before the first answer that acknowledges the
// cancellation leaves, whichever controller committed it. Beyond tuning.MaxAckLogEntries the oldest
// entries are dropped; a peer that has not received them detects the gap, and the entries that
// follow it prove nothing.
type AckLog struct {
	incarnation uint64
	dropped     uint64 // number of dropped entries, which precede those in jobIDs
	jobIDs      []string
	known       map[string]bool // set of the jobs in jobIDs
}

// NewAckLog returns the empty log of a process.
func NewAckLog(incarnation uint64) *AckLog {
	return &AckLog{incarnation: incarnation, known: map[string]bool{}}
}

// Position returns the end of the log.
func (l *AckLog) Position() LogPosition {
	return LogPosition{l.incarnation, l.dropped + uint64(len(l.jobIDs))}
}

// Append appends a job and reports whether it was not in the log yet.
func (l *AckLog) Append(jobID string) bool {
	if l.known[jobID] {
		return false
	}
	if len(l.jobIDs) >= tuning.MaxAckLogEntries {
		l.dropOldestHalf()
	}
	l.known[jobID] = true
	l.jobIDs = append(l.jobIDs, jobID)
	return true
}

func (l *AckLog) dropOldestHalf() {
	half := len(l.jobIDs) / 2
	for _, jobID := range l.jobIDs[:half] {
		delete(l.known, jobID)
	}
	l.jobIDs = slices.Clone(l.jobIDs[half:])
	l.dropped += uint64(half)
}

// EntriesAfter returns the messages with all entries after a position; the last message carries the
// nonce. There is always at least one message. A position in the log of another incarnation is
// treated as the beginning.
func (l *AckLog) EntriesAfter(from LogPosition, nonce uint64) []AckEntries {
	seq := l.dropped
	if from.Incarnation == l.incarnation {
		seq = max(seq, min(from.Seq, l.Position().Seq))
	}
	var messages []AckEntries
	for remaining := l.jobIDs[seq-l.dropped:]; ; {
		count := min(len(remaining), tuning.MaxAcksPerLine)
		entries := AckEntries{
			Incarnation: l.incarnation,
			JobIDs:      remaining[:count:count],
			LogLength:   l.Position().Seq,
		}
		if count > 0 {
			entries.First = seq + 1
		}
		seq += uint64(count)
		remaining = remaining[count:]
		if len(remaining) == 0 {
			entries.Nonce = nonce
			return append(messages, entries)
		}
		messages = append(messages, entries)
	}
}
