package cancellation

import (
	"testing"

	"github.com/harrierreel/harrierreel/internal/goldentest"
)

func TestGoldenMessage(t *testing.T) {
	full := Message{
		Entries: &AckEntries{Incarnation: 3, First: 4, JobIDs: []string{"wk-1", "wk-2"}, LogLength: 5, Nonce: 6},
		Query:   &Query{Nonce: 7, Received: LogPosition{Incarnation: 8, Seq: 9}},
		Received: map[string]LogPosition{
			"ctl-b": {Incarnation: 10, Seq: 11},
			"ctl-c": {Incarnation: 12, Seq: 13},
		},
	}
	goldentest.RequireNonZeroFields(t, full)
	goldentest.JSON(t, "message.json", full)
	goldentest.JSON(t, "message-least.json", Message{})
	goldentest.JSON(t, "message-zeros.json", Message{
		Entries:  &AckEntries{},
		Query:    &Query{},
		Received: map[string]LogPosition{"ctl-b": {}},
	})
}

// TestGoldenAnswer compares the messages of answers with the recorded ones.
func TestGoldenAnswer(t *testing.T) {
	log := NewAckLog(3)
	goldentest.JSON(t, "answer-empty.json", log.EntriesAfter(LogPosition{}, 6))
	for _, jobID := range []string{"wk-1", "wk-2", "wk-3"} {
		log.Append(jobID)
	}
	goldentest.JSON(t, "answer-all.json", log.EntriesAfter(LogPosition{}, 6))
	goldentest.JSON(t, "answer-rest.json", log.EntriesAfter(LogPosition{Incarnation: 3, Seq: 1}, 0))
}
