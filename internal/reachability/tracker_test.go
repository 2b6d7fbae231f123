package reachability

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// fixture is a tracker with fake collaborators that the test controls.
type fixture struct {
	*Tracker
	outsideView      bool
	agentsAnswer     bool
	incarnation      uint64
	storeUnavailable bool
}

func (f *fixture) OwnerOf(string) string     { return "n1" }
func (f *fixture) Incarnation(string) uint64 { return f.incarnation }
func (f *fixture) OutsideView() bool         { return f.outsideView }
func (f *fixture) MirrorLive() bool          { return true }
func (f *fixture) Unavailable() bool         { return f.storeUnavailable }

func (f *fixture) CallAgent(_, _, _ string, _ []byte, _ time.Duration, done func(int, []byte, error)) {
	if f.agentsAnswer {
		done(http.StatusOK, nil, nil)
		return
	}
	done(0, nil, errors.New("no answer"))
}

// advance moves the clock forward.
func (f *fixture) advance(d time.Duration) { f.state.Now = f.state.Now.Add(d) }

// complainFor makes the agents of all machines complain to this controller once a second.
func (f *fixture) complainFor(seconds, machines int) {
	for range seconds {
		f.advance(time.Second)
		for i := range machines {
			f.Complain("n1", fmt.Sprint("i-", i), true)
		}
	}
}

// newFixture returns a tracker that knows a number of machines of member n1.
func newFixture(t *testing.T, machines int) *fixture {
	t.Helper()
	f := &fixture{incarnation: 7}
	state := clusterstate.New(quota.Flat(nil), func(string) {})
	state.Now = time.Unix(1000, 0)
	record := jobs.Encode(fleet.MachineRecord{State: fleet.Up, MachineType: "g", Zone: "a", Endpoint: "w"})
	for i := range machines {
		if err := state.ApplyMachine(fmt.Sprint("i-", i), "n1", record); err != nil {
			t.Fatal(err)
		}
	}
	f.Tracker = New(state, Config{
		Log:        slog.New(slog.DiscardHandler),
		Rand:       rand.New(rand.NewPCG(1, 1)),
		Agents:     f,
		Membership: f,
		Store:      f,
	})
	return f
}

// A member that agents cannot reach is unreachable for a limited time. Its next incarnation is not
// affected. A member that reports that it is isolated stays unreachable.
func TestMemberUnreachableByAgentsStaysOutForAWhile(t *testing.T) {
	f := newFixture(t, 4)
	f.complainFor(20, 4)
	if !f.Unreachable()["n1"] || f.LastHeard("i-2") != f.state.Now || len(f.LocalComplaints()) != 4 {
		t.Fatalf("unreachable %v, local complaints %v", f.Unreachable(), f.LocalComplaints())
	}
	f.ResetComplaints()
	f.incarnation = 8
	if f.Unreachable()["n1"] {
		t.Error("the next incarnation is unreachable because of the previous one")
	}
	f.incarnation = 7
	f.advance(tuning.ExcludedFor + time.Second)
	if f.Unreachable()["n1"] {
		t.Error("still unreachable after VotedOutFor")
	}
	f.ApplyGossip("n1", true, true)
	if !f.Unreachable()["n1"] || !f.StoreReachableElsewhere() {
		t.Error("a member that reports that it is isolated is not unreachable")
	}
	f.advance(tuning.PeerFresh + time.Second)
	if f.Unreachable()["n1"] || f.StoreReachableElsewhere() {
		t.Error("outdated gossip counts")
	}
}

// While the store is unavailable, an owner may be unable to renew leases, so its agents try other
// controllers. That does not show that they cannot reach the owner.
func TestComplaintsDoNotCountWhileStoreIsUnavailable(t *testing.T) {
	f := newFixture(t, 4)
	f.storeUnavailable = true
	f.complainFor(20, 4)
	if f.Unreachable()["n1"] || f.LastHeard("i-2") != f.state.Now {
		t.Errorf("unreachable %v, last heard %v", f.Unreachable(), f.LastHeard("i-2"))
	}
}

// A controller outside the view probes whether it reaches agents, at most once per interval.
func TestIsolatedOutsideViewWhileNoAgentAnswers(t *testing.T) {
	f := newFixture(t, 10)
	f.outsideView = true
	f.Reconcile()
	if !f.Isolated() {
		t.Error("not isolated although no agent answers")
	}
	f.agentsAnswer = true
	f.Reconcile()
	if !f.Isolated() {
		t.Error("agents were probed again before the interval elapsed")
	}
	f.advance(tuning.IsolationProbeEvery + time.Second)
	if f.Reconcile(); f.Isolated() {
		t.Error("isolated although agents answer")
	}
	f.agentsAnswer, f.outsideView = false, false
	f.advance(tuning.IsolationProbeEvery + time.Second)
	if f.Reconcile(); f.Isolated() {
		t.Error("isolated although inside the view")
	}
}
