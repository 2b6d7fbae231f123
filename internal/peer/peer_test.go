package peer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/cancellation"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

func fromN1(name string) bool { return name == "n1" }

// What is not a whole line of a known controller is told apart by what is wrong with it.
func TestFaults(t *testing.T) {
	whole := string(Encode(Gossip{From: "n1", Epoch: 4, Message: cancellation.Message{Entries: &cancellation.AckEntries{Incarnation: 7, First: 1, JobIDs: []string{"wk-000001"}, LogLength: 1}}}))
	for line, want := range map[string]DecodeError{
		whole:                                   "",
		`{"from":"n1","new_field":{"a":[1]}}`:   "", // of a later version
		whole[:len(whole)/2]:                    Unreadable,
		"GET /up HTTP/1.1":                      Unreadable,
		"{}":                                    UnknownSender,
		strings.Replace(whole, "n1", "n9", 1):   UnknownSender,
		`{"from":"n1","ask":{"nonce":0}}`:       InvalidFields,
		`{"from":"n1","told":{"upto":3}}`:       InvalidFields,
		strings.Replace(whole, "wk-", "../", 1): InvalidFields,
		strings.Replace(whole, `"first":1`, `"first":9`, 1):                     InvalidFields,
		`{"from":"n1","pad":"` + strings.Repeat("x", tuning.MaxPeerLine) + `"}`: TooLong,
	} {
		if _, got := Decode([]byte(line), fromN1); got != want {
			t.Errorf("%.60q is %q, not %q", line, got, want)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(Encode(Gossip{From: "n1", Epoch: 4, StoreReachable: true}))
	f.Add([]byte("{}"))
	f.Fuzz(func(t *testing.T, b []byte) {
		h, fault := Decode(b, fromN1)
		if fault == "" && (h.From != "n1" || !h.Message.Valid()) {
			t.Error("a line of nobody, or without meaning")
		}
		if fault != "" && (h.Epoch != 0 || h.Acknowledged != nil || h.Query != nil) {
			t.Error("something of a faulty line is taken in")
		}
	})
}

// All of 4,000 machines that are out of their owner's reach at once are told in a line, and
// of any names as many as a line holds.
func TestUnreachedMachinesFit(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name  string
		host  func(i int) string
		told  int
		share int // one of so many is out of reach
	}{
		{"4000 machines", func(i int) string { return fmt.Sprintf("i-%06d", i) }, 4000, 1},
		{"a third of them", func(i int) string { return fmt.Sprintf("i-%06d", i) }, 1334, 3},
		{"long names", func(i int) string { return fmt.Sprintf("%0*d", tuning.MaxMachineName, i) }, 348, 1},
		{"odd names", func(i int) string { return strings.Repeat("<", tuning.MaxMachineName-4) + fmt.Sprintf("%04d", i) }, 60, 1},
	} {
		complaints := members.Complaints{}
		for i := 0; i < 4000; i += c.share {
			complaints.Add("n1", c.host(i), true, now)
		}
		h := Gossip{From: "n0", Epoch: 1 << 60, StoreReachable: true, MachinesHeardEpoch: 1 << 60, Unreached: complaints.Local(now)}
		h.Message = cancellation.Message{Entries: &cancellation.AckEntries{Incarnation: 1 << 60, LogLength: 1 << 60}}
		line := Encode(h)
		got, fault := Decode(line, func(string) bool { return true })
		if fault != "" || len(got.Unreached) != c.told {
			t.Errorf("%s: %d told in %d bytes, %q", c.name, len(got.Unreached), len(line), fault)
		}
	}
}
