package membership

import (
	"encoding/json"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/book"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/records"
	"github.com/harrierreel/harrierreel/internal/store"
)

// A controller that stands still twice must not take the answer to what it asked
// after the first time for one that was asked after the second.
func TestTwoStandstills(t *testing.T) {
	var answers []func(int, []byte, error)
	client := store.New(func(method, target string, _ []byte, _ time.Duration, done func(int, []byte, error)) {
		if method == "GET" && strings.HasPrefix(target, "/store/") {
			answers = append(answers, done)
		}
	}, nil)
	client.SetBudget(100, 100, 100)
	b := book.New(quota.Flat(nil), func(string) {})
	b.Now = time.UnixMilli(1e12)
	n := New(b, Env{Me: "n0", TTL: 4 * time.Second, Client: client, Mirror: store.NewMirror(func(string, json.RawMessage, uint64) {}), Log: slog.New(slog.DiscardHandler),
		Live: func() bool { return true }, Wake: func() {}, Follow: func() {}})
	wake := func() {
		n.Now = n.Now.Add(time.Minute)
		n.Client.Pump(n.Now)
		n.StoodStill(time.Minute)
		n.settled(n.Now)
	}
	wake()
	wake()
	if len(answers) != 1 || n.certain.Standing != members.Settled {
		t.Fatalf("%d questions, %s", len(answers), n.certain.Standing)
	}
	answers[0](404, []byte(`{"epoch":5}`), nil)
	if n.certain.Standing != members.Settled {
		t.Fatalf("%s by an answer from before", n.certain.Standing)
	}
	n.KeepCertain()
	if len(answers) != 2 {
		t.Fatal("not asked again")
	}
	answers[1](404, []byte(`{"epoch":9999}`), nil)
	if n.certain.Standing != members.Catching || n.certain.Until != 9999 {
		t.Fatalf("%+v", n.certain)
	}
}

// Packs are begun only while all members say, for their present incarnation, that they
// read them; once there are any, a controller that does not is no candidate.
func TestWhoReadsPacks(t *testing.T) {
	b := book.New(quota.Flat(nil), func(string) {})
	view := &members.View{Leader: "n0", Epoch: 3, Members: []members.Member{{Name: "n0", Inc: 10}, {Name: "n1", Inc: 11}}}
	n := New(b, Env{Me: "n0", View: func() *members.View { return view }})
	for name, inc := range map[string]string{"n0": "10", "n1": "11"} {
		n.KeyChanged(name, json.RawMessage(inc))
	}
	n.FormChanged("n0", json.RawMessage(`{"inc":10,"pack":1}`))
	if n.AllReadPacks() || len(n.candidates()) != 2 {
		t.Error("n1 has not said what it reads; there are no packs")
	}
	n.FormChanged("n1", json.RawMessage(`{"inc":9,"pack":1}`))
	if n.AllReadPacks() {
		t.Error("that was n1's last incarnation")
	}
	n.FormChanged("n1", json.RawMessage(`{"inc":11,"pack":2}`))
	if !n.AllReadPacks() {
		t.Error("all have said that they read them")
	}
	entry := []records.Entry{{UID: "wk-1", N: 0, Task: jobs.Task{State: jobs.Placed, Host: "i-1", Try: 1}}}
	_, _ = b.PackChanged("pack/1", records.Encode(entry), 1)
	n.FormChanged("n1", nil)
	n.KeyChanged("n2", json.RawMessage("12"))
	if got := n.candidates(); len(got) != 1 || got["n0"] != 10 {
		t.Errorf("%v with a pack in the store", got)
	}
	view = nil
	if n.AllReadPacks() {
		t.Error("without a view")
	}
}
