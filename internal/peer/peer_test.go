package peer

import (
	"strings"
	"testing"

	"github.com/harrierreel/harrierreel/internal/cancellation"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

func fromN1(name string) bool { return name == "n1" }

// What is not a whole line of a known controller is told apart by what is wrong with it.
func TestFaults(t *testing.T) {
	whole := string(Encode(Hint{From: "n1", Epoch: 4, Message: cancellation.Message{Told: &cancellation.Told{Inc: 7, First: 1, UIDs: []string{"wk-000001"}, Upto: 1}}}))
	for line, want := range map[string]Fault{
		whole:                                   "",
		`{"from":"n1","new_field":{"a":[1]}}`:   "", // of a later version
		whole[:len(whole)/2]:                    Unreadable,
		"GET /up HTTP/1.1":                      Unreadable,
		"{}":                                    Stranger,
		strings.Replace(whole, "n1", "n9", 1):   Stranger,
		`{"from":"n1","ask":{"nonce":0}}`:       Senseless,
		`{"from":"n1","told":{"upto":3}}`:       Senseless,
		strings.Replace(whole, "wk-", "../", 1): Senseless,
		strings.Replace(whole, `"first":1`, `"first":9`, 1):                     Senseless,
		`{"from":"n1","pad":"` + strings.Repeat("x", tuning.MaxPeerLine) + `"}`: TooLong,
	} {
		if _, got := Decode([]byte(line), fromN1); got != want {
			t.Errorf("%.60q is %q, not %q", line, got, want)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(Encode(Hint{From: "n1", Epoch: 4, StateOK: true}))
	f.Add([]byte("{}"))
	f.Fuzz(func(t *testing.T, b []byte) {
		h, fault := Decode(b, fromN1)
		if fault == "" && (h.From != "n1" || !h.Message.Valid()) {
			t.Error("a line of nobody, or without meaning")
		}
		if fault != "" && (h.Epoch != 0 || h.Told != nil || h.Ask != nil) {
			t.Error("something of a faulty line is taken in")
		}
	})
}
