package node

import (
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/store"
)

// A controller that stands still twice must not take the answer to what it asked
// after the first time for one that was asked after the second.
func TestTwoStandstills(t *testing.T) {
	n := leading(1, 0, 60)
	var answers []func(int, []byte, error)
	n.client = store.New(func(method, target string, _ []byte, _ time.Duration, done func(int, []byte, error)) {
		if method == "GET" && strings.HasPrefix(target, "/store/") {
			answers = append(answers, done)
		}
	}, nil)
	n.client.SetBudget(100, 100, 100)
	wake := func() {
		n.Now = n.Now.Add(time.Minute)
		n.client.Pump(n.Now)
		n.stoodStill(time.Minute)
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
	n.sync.following = true
	n.keepCertain()
	if len(answers) != 2 {
		t.Fatal("not asked again")
	}
	answers[1](404, []byte(`{"epoch":9999}`), nil)
	if n.certain.Standing != members.Catching || n.certain.Until != 9999 {
		t.Fatalf("%+v", n.certain)
	}
}
