package peer

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/cancellation"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

func knowsN1(name string) bool { return name == "n1" }

// reasonOf returns the reason for which a line was rejected, "" if it was accepted.
func reasonOf(t *testing.T, err error) DecodeReason {
	t.Helper()
	if err == nil {
		return ""
	}
	var decodeError *DecodeError
	if !errors.As(err, &decodeError) {
		t.Fatalf("%v is not a DecodeError", err)
	}
	return decodeError.Reason
}

// Lines are rejected with the reason that applies to them.
func TestDecodeReturnsTheReasonOfARejection(t *testing.T) {
	entries := cancellation.AckEntries{Incarnation: 7, First: 1, JobIDs: []string{"wk-000001"}, LogLength: 1}
	validLine := string(Encode(Gossip{From: "n1", Epoch: 4, Message: cancellation.Message{Entries: &entries}}))
	for _, c := range []struct {
		name string
		line string
		want DecodeReason
	}{
		{"complete line", validLine, ""},
		{"field of a later version", `{"from":"n1","new_field":{"a":[1]}}`, ""},
		{"truncated line", validLine[:len(validLine)/2], Unreadable},
		{"HTTP request", "GET /up HTTP/1.1", Unreadable},
		{"no sender", "{}", UnknownSender},
		{"controller that is not in the settings", strings.Replace(validLine, "n1", "n9", 1), UnknownSender},
		{"query without a nonce", `{"from":"n1","ask":{"nonce":0}}`, InvalidFields},
		{"entries without an incarnation", `{"from":"n1","told":{"upto":3}}`, InvalidFields},
		{"job ID with a path", strings.Replace(validLine, "wk-", "../", 1), InvalidFields},
		{"entries beyond the end of the log", strings.Replace(validLine, `"first":1`, `"first":9`, 1), InvalidFields},
		{"too long", `{"from":"n1","pad":"` + strings.Repeat("x", tuning.MaxPeerLine) + `"}`, TooLong},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Decode([]byte(c.line), knowsN1)
			if got := reasonOf(t, err); got != c.want {
				t.Errorf("%.60q: reason %q, want %q", c.line, got, c.want)
			}
		})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(Encode(Gossip{From: "n1", Epoch: 4, StoreReachable: true}))
	f.Add([]byte("{}"))
	f.Fuzz(func(t *testing.T, line []byte) {
		gossip, err := Decode(line, knowsN1)
		reason := reasonOf(t, err)
		if reason == "" && (gossip.From != "n1" || !gossip.Valid()) {
			t.Error("a line from an unknown sender or with invalid fields was accepted")
		}
		if reason != "" && (gossip.Epoch != 0 || gossip.Acknowledged != nil || gossip.Query != nil) {
			t.Error("a part of a rejected line was returned")
		}
	})
}

// A message can contain all of 4,000 machines whose agents do not reach their owner, and with
// longer names as many as fit into a line.
func TestUnreachedMachinesFitIntoAMessage(t *testing.T) {
	now := time.Unix(1000, 0)
	numbered := func(i int) string { return fmt.Sprintf("i-%06d", i) }
	longest := func(i int) string { return fmt.Sprintf("%0*d", tuning.MaxMachineName, i) }
	escaped := func(i int) string { return strings.Repeat("<", tuning.MaxMachineName-4) + fmt.Sprintf("%04d", i) }
	for _, c := range []struct {
		name        string
		machineName func(i int) string
		want        int // machines in the message
		oneIn       int // one in so many machines is unreachable
	}{
		{"4000 machines", numbered, 4000, 1},
		{"a third of 4000 machines", numbered, 1334, 3},
		{"longest names", longest, 348, 1},
		{"names that JSON escapes", escaped, 60, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			complaints := members.Complaints{}
			for i := 0; i < 4000; i += c.oneIn {
				complaints.Add("n1", c.machineName(i), true, now)
			}
			line := Encode(Gossip{
				From:               "n0",
				Epoch:              1 << 60,
				StoreReachable:     true,
				MachinesHeardEpoch: 1 << 60,
				Unreached:          complaints.Local(now),
				Message: cancellation.Message{
					Entries: &cancellation.AckEntries{Incarnation: 1 << 60, LogLength: 1 << 60},
				},
			})
			got, err := Decode(line, func(string) bool { return true })
			if err != nil || len(got.Unreached) != c.want {
				t.Errorf("%d machines in %d bytes, %v", len(got.Unreached), len(line), err)
			}
		})
	}
}
