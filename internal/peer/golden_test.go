package peer

import (
	"reflect"
	"testing"

	"github.com/harrierreel/harrierreel/internal/cancellation"
	"github.com/harrierreel/harrierreel/internal/goldentest"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/told"
)

func goldenHint() Hint {
	return Hint{
		From: "ctl-a", Epoch: 40, StateOK: true, Blind: true, Heard: 5, Unreached: []string{"m-1", "m-2"},
		Told: &told.Line{Accepted: []string{"wk-1"}, Ended: map[string]jobs.Final{"wk-3": {State: jobs.Done, Done: 9}}},
		Message: cancellation.Message{
			Told:  &cancellation.Told{Inc: 3, First: 4, UIDs: []string{"wk-5", "wk-6"}, Upto: 5, Nonce: 6},
			Ask:   &cancellation.Ask{Nonce: 7, Taken: cancellation.Mark{Inc: 8, Seq: 9}},
			Taken: map[string]cancellation.Mark{"ctl-b": {Inc: 10, Seq: 11}},
		},
	}
}

func TestGoldenHint(t *testing.T) {
	full := goldenHint()
	goldentest.Filled(t, full)
	for name, h := range map[string]Hint{
		"hint.json":       full,
		"hint-least.json": {From: "ctl-a"},
		"hint-beat.json":  {From: "ctl-a", Epoch: 40, StateOK: true, Message: cancellation.Message{Told: &cancellation.Told{Inc: 3}}},
		"hint-told.json":  {From: "ctl-a", StateOK: true, Told: &told.Line{}},
	} {
		goldentest.Bytes(t, name, Encode(h))
		back, fault := Decode(goldentest.Read(t, name), func(who string) bool { return who == "ctl-a" })
		if fault != "" || !reflect.DeepEqual(back, h) {
			t.Errorf("%s: read %+v, %q", name, back, fault)
		}
		goldentest.Bytes(t, name, Encode(back))
	}
}
