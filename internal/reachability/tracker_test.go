package reachability

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

type world struct {
	*Tracker
	outside bool
	answers bool
	inc     uint64
	down    bool // the state service
}

func newWorld(t *testing.T, machines int) *world {
	t.Helper()
	w := &world{inc: 7}
	b := clusterstate.New(quota.Flat(nil), func(string) {})
	b.Now = time.Unix(1000, 0)
	for i := range machines {
		if err := b.ApplyMachine(fmt.Sprint("i-", i), "n1", jobs.Encode(fleet.MachineRecord{State: fleet.Up, MachineType: "g", Zone: "a", Endpoint: "w"})); err != nil {
			t.Fatal(err)
		}
	}
	w.Tracker = New(b, Env{
		Log: slog.New(slog.DiscardHandler), Rand: rand.New(rand.NewPCG(1, 1)), OwnerOf: func(string) string { return "n1" },
		Incarnation: func(string) uint64 { return w.inc }, OutsideView: func() bool { return w.outside }, MirrorLive: func() bool { return true }, StoreUnavailable: func() bool { return w.down },
		Call: func(_, _, _ string, _ []byte, _ time.Duration, done func(int, []byte, error)) {
			if w.answers {
				done(200, nil, nil)
				return
			}
			done(0, nil, errors.New("no answer"))
		},
	})
	return w
}

// A member that workers keep away from, though sent there, is left out for a while;
// its next incarnation starts with a clean slate, and one that is blind stays out.
func TestUnreachable(t *testing.T) {
	w := newWorld(t, 4)
	for range 20 {
		w.Now = w.Now.Add(time.Second)
		for i := range 4 {
			w.Complain("n1", fmt.Sprint("i-", i), true)
		}
	}
	if !w.Unreachable()["n1"] || w.LastHeard("i-2") != w.Now || len(w.LocalComplaints()) != 4 {
		t.Fatalf("%v, here %v", w.Unreachable(), w.LocalComplaints())
	}
	w.ResetComplaints()
	w.inc = 8
	if w.Unreachable()["n1"] {
		t.Error("another process is left out for the last one's sake")
	}
	w.inc = 7
	w.Now = w.Now.Add(tuning.VotedOutFor + time.Second)
	if w.Unreachable()["n1"] {
		t.Error("left out for too long")
	}
	w.ApplyGossip("n1", true, true)
	if !w.Unreachable()["n1"] || !w.StoreReachableElsewhere() {
		t.Error("one that says it is blind is let in")
	}
	w.Now = w.Now.Add(tuning.PeerFresh + time.Second)
	if w.Unreachable()["n1"] || w.StoreReachableElsewhere() {
		t.Error("an old hint counts")
	}
}

// While the state service answers nobody an owner may be unable to renew leases, and its
// workers go round: that is no word against it.
func TestNoComplaintsInAnOutage(t *testing.T) {
	w := newWorld(t, 4)
	w.down = true
	for range 20 {
		w.Now = w.Now.Add(time.Second)
		for i := range 4 {
			w.Complain("n1", fmt.Sprint("i-", i), true)
		}
	}
	if w.Unreachable()["n1"] || w.LastHeard("i-2") != w.Now {
		t.Errorf("%v, heard %v", w.Unreachable(), w.LastHeard("i-2"))
	}
}

// From outside the view a node looks whether it reaches workers.
func TestBlind(t *testing.T) {
	w := newWorld(t, 10)
	w.outside = true
	w.Reconcile()
	if !w.Isolated() {
		t.Error("no worker answers, and it is not blind")
	}
	w.answers = true
	w.Reconcile()
	if !w.Isolated() {
		t.Error("it looked again at once")
	}
	w.Now = w.Now.Add(tuning.IsolationProbeEvery + time.Second)
	if w.Reconcile(); w.Isolated() {
		t.Error("workers answer, and it is blind")
	}
	w.answers, w.outside = false, false
	w.Now = w.Now.Add(tuning.IsolationProbeEvery + time.Second)
	if w.Reconcile(); w.Isolated() {
		t.Error("inside the view nobody is blind")
	}
}
