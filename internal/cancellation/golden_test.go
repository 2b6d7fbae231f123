package cancellation

import (
	"testing"

	"github.com/harrierreel/harrierreel/internal/goldentest"
)

func TestGoldenMessage(t *testing.T) {
	full := Message{
		Told:  &Told{Inc: 3, First: 4, UIDs: []string{"wk-1", "wk-2"}, Upto: 5, Nonce: 6},
		Ask:   &Ask{Nonce: 7, Taken: Mark{Inc: 8, Seq: 9}},
		Taken: map[string]Mark{"ctl-b": {Inc: 10, Seq: 11}, "ctl-c": {Inc: 12, Seq: 13}},
	}
	goldentest.Filled(t, full)
	goldentest.JSON(t, "message.json", full)
	goldentest.JSON(t, "message-least.json", Message{})
	goldentest.JSON(t, "message-zeros.json", Message{Told: &Told{}, Ask: &Ask{}, Taken: map[string]Mark{"ctl-b": {}}})
}

// TestGoldenAnswer holds the lines that a log's answer consists of.
func TestGoldenAnswer(t *testing.T) {
	l := NewLog(3)
	goldentest.JSON(t, "answer-empty.json", l.Answer(Mark{}, 6))
	for _, uid := range []string{"wk-1", "wk-2", "wk-3"} {
		l.Tell(uid)
	}
	goldentest.JSON(t, "answer-all.json", l.Answer(Mark{}, 6))
	goldentest.JSON(t, "answer-rest.json", l.Answer(Mark{Inc: 3, Seq: 1}, 0))
}
