package peer

import (
	"reflect"
	"testing"

	"github.com/harrierreel/harrierreel/internal/cancellation"
	"github.com/harrierreel/harrierreel/internal/goldentest"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/readconsistency"
)

// fullGossip returns a message with all fields set.
func fullGossip() Gossip {
	return Gossip{
		From:               "ctl-a",
		Epoch:              40,
		StoreReachable:     true,
		Isolated:           true,
		MachinesHeardEpoch: 5,
		Unreached:          []string{"m-1", "m-2"},
		Acknowledged: &readconsistency.Acks{
			Accepted: []string{"wk-1"},
			Ended:    map[string]jobs.StoredState{"wk-3": {State: jobs.Done, DoneCount: 9}},
		},
		Message: cancellation.Message{
			Entries: &cancellation.AckEntries{
				Incarnation: 3,
				First:       4,
				JobIDs:      []string{"wk-5", "wk-6"},
				LogLength:   5,
				Nonce:       6,
			},
			Query: &cancellation.Query{
				Nonce:    7,
				Received: cancellation.LogPosition{Incarnation: 8, Seq: 9},
			},
			Received: map[string]cancellation.LogPosition{"ctl-b": {Incarnation: 10, Seq: 11}},
		},
	}
}

// Messages are encoded and decoded byte for byte as recorded.
func TestGossipIsEncodedAndDecodedAsRecorded(t *testing.T) {
	full := fullGossip() // as far as the version before AckQuery writes it
	all := full          // as far as the version before AckConfirmed writes it
	all.AckQuery = &readconsistency.PeerQuery{Nonce: 12, AgeMs: 630}
	all.AckAnswer = &readconsistency.PeerAnswer{Nonce: 13, Ended: full.Acknowledged.Ended}
	confirming := all
	confirming.Acknowledged = &readconsistency.Acks{
		Accepted: full.Acknowledged.Accepted,
		Ended:    full.Acknowledged.Ended,
		Line:     14,
	}
	confirming.AckConfirmed = &readconsistency.Confirmation{Line: 15}
	goldentest.RequireNonZeroFields(t, confirming)
	heartbeat := Gossip{
		From:           "ctl-a",
		Epoch:          40,
		StoreReachable: true,
		Message:        cancellation.Message{Entries: &cancellation.AckEntries{Incarnation: 3}},
	}
	for file, gossip := range map[string]Gossip{
		"hint.json":            full,
		"hint-all.json":        all,
		"hint-confirming.json": confirming,
		"hint-least.json":      {From: "ctl-a"},
		"hint-beat.json":       heartbeat,
		"hint-told.json":       {From: "ctl-a", StoreReachable: true, Acknowledged: &readconsistency.Acks{}},
	} {
		t.Run(file, func(t *testing.T) {
			goldentest.Bytes(t, file, Encode(gossip))
			decoded, err := Decode(goldentest.Read(t, file), func(name string) bool { return name == "ctl-a" })
			if err != nil || !reflect.DeepEqual(decoded, gossip) {
				t.Errorf("decoded %+v, %v", decoded, err)
			}
			goldentest.Bytes(t, file, Encode(decoded))
		})
	}
}
