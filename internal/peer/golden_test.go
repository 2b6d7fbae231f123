package peer

import (
	"reflect"
	"testing"

	"github.com/harrierreel/harrierreel/internal/cancellation"
	"github.com/harrierreel/harrierreel/internal/goldentest"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/readconsistency"
)

func goldenHint() Gossip {
	return Gossip{
		From: "ctl-a", Epoch: 40, StoreReachable: true, Isolated: true, MachinesHeardEpoch: 5, Unreached: []string{"m-1", "m-2"},
		Acknowledged: &readconsistency.Acks{Accepted: []string{"wk-1"}, Ended: map[string]jobs.Final{"wk-3": {State: jobs.Done, DoneCount: 9}}},
		Message: cancellation.Message{
			Entries:  &cancellation.AckEntries{Incarnation: 3, First: 4, JobIDs: []string{"wk-5", "wk-6"}, LogLength: 5, Nonce: 6},
			Query:    &cancellation.Query{Nonce: 7, Received: cancellation.LogPosition{Incarnation: 8, Seq: 9}},
			Received: map[string]cancellation.LogPosition{"ctl-b": {Incarnation: 10, Seq: 11}},
		},
	}
}

func TestGoldenHint(t *testing.T) {
	full := goldenHint()
	goldentest.Filled(t, full)
	for name, h := range map[string]Gossip{
		"hint.json":       full,
		"hint-least.json": {From: "ctl-a"},
		"hint-beat.json":  {From: "ctl-a", Epoch: 40, StoreReachable: true, Message: cancellation.Message{Entries: &cancellation.AckEntries{Incarnation: 3}}},
		"hint-told.json":  {From: "ctl-a", StoreReachable: true, Acknowledged: &readconsistency.Acks{}},
	} {
		goldentest.Bytes(t, name, Encode(h))
		back, fault := Decode(goldentest.Read(t, name), func(who string) bool { return who == "ctl-a" })
		if fault != "" || !reflect.DeepEqual(back, h) {
			t.Errorf("%s: read %+v, %q", name, back, fault)
		}
		goldentest.Bytes(t, name, Encode(back))
	}
}
