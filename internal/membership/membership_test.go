package membership

import (
	"encoding/json"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/book"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/quota"
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
