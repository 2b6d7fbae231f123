package cancellation

import (
	"fmt"
	"testing"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// The log drops its oldest entries beyond its limit, which a peer detects as a gap, and a peer
// stops receiving entries beyond its own limit.
func TestLogsAreBoundedAndDroppedEntriesAreDetectedAsAGap(t *testing.T) {
	log := NewAckLog(7)
	for i := range 3 * tuning.MaxAckLogEntries {
		if !log.Append(fmt.Sprintf("wk-%06d", i)) {
			t.Fatal("a new job was not appended")
		}
	}
	if log.Append(fmt.Sprintf("wk-%06d", 3*tuning.MaxAckLogEntries-1)) {
		t.Error("a job was appended twice")
	}
	if len(log.jobIDs) > tuning.MaxAckLogEntries || len(log.known) != len(log.jobIDs) ||
		log.Position().Seq != uint64(3*tuning.MaxAckLogEntries) {
		t.Errorf("%d entries kept, %d known, position %v", len(log.jobIDs), len(log.known), log.Position())
	}
	acks := NewPeerAcks([]string{"n1"})
	for _, entries := range log.EntriesAfter(LogPosition{}, 5) {
		if message := (Message{Entries: &entries}); !message.Valid() {
			t.Fatalf("invalid message: %d entries from %d", len(entries.JobIDs), entries.First)
		}
		acks.Receive("n1", entries, at(0))
	}
	if got := acks.Received()["n1"].Seq; got != 0 {
		t.Errorf("received up to %d across a gap", got)
	}
	for i := range tuning.MaxPeerCancellations + 10 {
		seq := uint64(i + 1)
		entries := AckEntries{Incarnation: 7, First: seq, JobIDs: []string{fmt.Sprintf("wk-%07d", i)}, LogLength: seq}
		acks.Receive("n1", entries, at(0))
	}
	if len(acks.jobs) > tuning.MaxPeerCancellations ||
		acks.Received()["n1"].Seq >= uint64(tuning.MaxPeerCancellations+10) {
		t.Errorf("%d jobs known, received %v", len(acks.jobs), acks.Received())
	}
}

// An answer contains all entries that the sender of the query has not received, even if it only
// knows an earlier incarnation.
func TestAnswerBeginsAfterTheReceivedPosition(t *testing.T) {
	log := NewAckLog(7)
	for i := range tuning.MaxAcksPerLine + 3 {
		log.Append(fmt.Sprintf("wk-%06d", i))
	}
	for name, c := range map[string]struct {
		from     LogPosition
		messages int
		first    uint64
	}{
		"nothing received":        {LogPosition{}, 2, 1},
		"earlier incarnation":     {LogPosition{6, 400}, 2, 1},
		"some entries received":   {LogPosition{7, 5}, 1, 6},
		"all entries received":    {LogPosition{7, uint64(tuning.MaxAcksPerLine + 3)}, 1, 0},
		"position beyond the end": {LogPosition{7, 9999}, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			got := log.EntriesAfter(c.from, 5)
			if len(got) != c.messages || got[0].First != c.first {
				t.Errorf("%d messages, first entry %d", len(got), got[0].First)
			}
			if got[len(got)-1].Nonce != 5 || len(got) > 1 && got[0].Nonce != 0 {
				t.Error("only the last message must carry the nonce")
			}
		})
	}
}
