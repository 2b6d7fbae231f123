package cancellation

import (
	"slices"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// AckLog holds the cancellations that one process has acknowledged to users, in the order of the first acknowledgement.
// An entry is made before the first answer that acknowledges the cancellation leaves, whichever controller committed
// it. Beyond tuning.MaxAckLogEntries the oldest entries are dropped; a peer that has not received them sees the gap
// and proves nothing by the entries that follow.
type AckLog struct {
	incarnation uint64
	dropped     uint64 // entries before those kept
	jobIDs      []string
	known       map[string]bool // the jobs of jobIDs
}

// NewAckLog makes the empty log of a process.
func NewAckLog(incarnation uint64) *AckLog {
	return &AckLog{incarnation: incarnation, known: map[string]bool{}}
}

// Position is the end of the log.
func (l *AckLog) Position() LogPosition {
	return LogPosition{l.incarnation, l.dropped + uint64(len(l.jobIDs))}
}

// Append enters a job and reports whether the entry is new.
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

// EntriesAfter returns the messages that bring a peer from a position to the end of the log; the last one carries the
// nonce. There is always at least one. A position of another incarnation counts as the beginning.
func (l *AckLog) EntriesAfter(from LogPosition, nonce uint64) []AckEntries {
	seq := l.dropped
	if from.Incarnation == l.incarnation {
		seq = max(seq, min(from.Seq, l.Position().Seq))
	}
	var messages []AckEntries
	for rest := l.jobIDs[seq-l.dropped:]; ; {
		count := min(len(rest), tuning.MaxAcksPerLine)
		entries := AckEntries{
			Incarnation: l.incarnation,
			JobIDs:      rest[:count:count],
			LogLength:   l.Position().Seq,
		}
		if count > 0 {
			entries.First = seq + 1
		}
		seq += uint64(count)
		rest = rest[count:]
		if len(rest) == 0 {
			entries.Nonce = nonce
			return append(messages, entries)
		}
		messages = append(messages, entries)
	}
}
