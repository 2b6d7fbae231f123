package standby

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/testseed"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

func TestMain(m *testing.M) { os.Exit(testseed.Main(m)) }

var start = time.Unix(1e9, 0)

// five is a view of five controllers, led by n0, in two zones.
func five(me string, now time.Time) ClusterStatus {
	x := ClusterStatus{Now: now, Name: me, InView: true, Leader: "n0", Probes: map[string]Probe{}}
	for i, zone := range []string{"a", "b", "a", "b", "b"} {
		x.Members = append(x.Members, Member{Name: fmt.Sprint("n", i), Incarnation: uint64(10 + i), Zone: zone, AnswersProbes: true})
	}
	return x
}

// An ended connection alone decides nothing: a call goes out, from the first in line at
// once, from the next a little later; only if it stands for its time is the member out.
func TestCalled(t *testing.T) {
	now := start
	first, second := New(now), New(now)
	first.ConnectionEnded("n0", now)
	second.ConnectionEnded("n0", now)
	acts, _ := first.Evaluate(five("n1", now))
	if len(acts) != 1 || acts[0].Kind != ActionProbe || fmt.Sprint(acts[0].Names) != "[n0]" || acts[0].Wait != tuning.ProbeTimeout || first.State != Probing {
		t.Fatalf("%+v %s", acts, first.State)
	}
	if acts, _ := second.Evaluate(five("n3", now)); len(acts) != 0 {
		t.Fatalf("%+v", acts)
	}
	now = now.Add(tuning.ProbeStagger)
	if acts, _ := second.Evaluate(five("n3", now)); len(acts) != 1 || acts[0].Kind != ActionProbe {
		t.Fatalf("nobody has called, and the second does not: %+v", acts)
	}
	x := five("n1", now)
	x.Probes["n0"] = Probe{Incarnation: 10, By: "n1", WaitMs: tuning.ProbeTimeout.Milliseconds()}
	if acts, _ := first.Evaluate(x); len(acts) != 0 {
		t.Fatalf("%+v", acts)
	}
	x.Now = now.Add(tuning.ProbeTimeout - 1)
	if acts, _ := first.Evaluate(x); len(acts) != 0 {
		t.Fatalf("out too early: %+v", acts)
	}
	x.Now = now.Add(tuning.ProbeTimeout)
	if acts, _ := first.Evaluate(x); len(acts) != 1 || acts[0].Kind != ActionRemove || fmt.Sprint(acts[0].Names) != "[n0]" {
		t.Fatalf("%+v", acts)
	}
	// Followers that are suspected are the leader's to call.
	third := New(now)
	third.ConnectionEnded("n2", now)
	if acts, _ := third.Evaluate(five("n4", now.Add(time.Hour))); len(acts) != 0 {
		t.Errorf("%+v", acts)
	}
}

// One that answers is not called again before a pause that doubles, however often its
// connection ends; one that speaks is not suspected; one that comes back as another
// incarnation starts anew.
func TestAnswered(t *testing.T) {
	s, now := New(start), start
	want := tuning.ProbePause
	for range 8 {
		s.ConnectionEnded("n2", now)
		acts, _ := s.Evaluate(five("n0", now))
		if len(acts) != 1 || acts[0].Kind != ActionProbe {
			t.Fatalf("%+v", acts)
		}
		if again := s.FalseAlarms > 0; again != (acts[0].Wait == tuning.ProbeTimeoutMany) {
			t.Fatalf("one that has answered before is given %v", acts[0].Wait)
		}
		// Its answer comes before the next look.
		s.ProbeObserved("n2", Probe{Incarnation: 12, By: "n0", WaitMs: 500}, now)
		s.ProbeRemoved("n2")
		s.Evaluate(five("n0", now.Add(time.Millisecond)))
		s.ConnectionEnded("n2", now)
		if acts, _ := s.Evaluate(five("n0", now.Add(want))); len(acts) != 0 {
			t.Fatalf("called again within %v: %+v", want, acts)
		}
		now = now.Add(want + time.Millisecond)
		want = min(2*want, tuning.MaxProbePause)
	}
	if s.FalseAlarms != 8 {
		t.Error(s.FalseAlarms)
	}
	s.ConnectionEnded("n3", now)
	s.PeerAlive("n3")
	s.PeerAlive("n2")
	if acts, _ := s.Evaluate(five("n0", now)); len(acts) != 0 {
		t.Errorf("%+v", acts)
	}
	s.ConnectionEnded("n2", now)
	x := five("n0", now)
	x.Members[2].Incarnation = 99
	if acts, _ := s.Evaluate(x); len(acts) != 0 {
		t.Errorf("it is back: %+v", acts)
	}
}

// A leader that is behind for some time hands over, not again before a pause.
func TestBehind(t *testing.T) {
	s, now := New(start), start
	passed := map[time.Duration]string{}
	for at := time.Duration(0); at < 3*time.Minute; at += 100 * time.Millisecond {
		x := five("n0", now.Add(at))
		if at > 5*time.Second && at < 7*time.Second || at > 20*time.Second {
			x.Lag = tuning.UnfitLag
		}
		acts, _ := s.Evaluate(x)
		for _, a := range acts {
			passed[at.Truncate(time.Second)] = string(a.Kind) + " " + a.Names[0]
		}
	}
	if want := "map[23s:hand over n1 53s:hand over n1 1m53s:hand over n1]"; fmt.Sprint(passed) != want {
		t.Error(passed)
	}
	x := five("n1", now)
	x.Lag = time.Hour
	follower := New(now)
	follower.Evaluate(x)
	x.Now = now.Add(time.Hour)
	if acts, _ := follower.Evaluate(x); len(acts) != 0 {
		t.Errorf("a follower hands over: %+v", acts)
	}
}

// Several connections that end at once are more likely the network's fault.
func TestSeveral(t *testing.T) {
	s := New(start)
	for _, n := range []string{"n1", "n2", "n3"} {
		s.ConnectionEnded(n, start)
	}
	x := five("n0", start)
	x.Members[2].AnswersProbes = false
	acts, _ := s.Evaluate(x)
	if len(acts) != 1 || fmt.Sprint(acts[0].Names) != "[n1 n3]" || acts[0].Wait != tuning.ProbeTimeoutMany {
		t.Errorf("%+v", acts)
	}
	x.StoreUnavailable = true
	if acts, _ := s.Evaluate(x); len(acts) != 0 {
		t.Errorf("with the state service down: %+v", acts)
	}
}

// Who leaves gives the lead to the next one, or tells the leader; it answers no calls.
func TestLeaving(t *testing.T) {
	for me, to := range map[string]string{"n0": "n1", "n4": "n0"} {
		s := New(start)
		s.Resign()
		x := five(me, start)
		x.Probes[me] = Probe{Incarnation: 10, By: "n1", WaitMs: 500}
		if acts, _ := s.Evaluate(x); len(acts) != 1 || acts[0].Kind != ActionResign || acts[0].Names[0] != to || s.State != Leaving {
			t.Errorf("%s: %+v", me, acts)
		}
	}
}
