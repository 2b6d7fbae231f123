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

// statusOfFive returns the status as seen by one of five controllers in two zones, led by n0.
func statusOfFive(name string, now time.Time) ClusterStatus {
	status := ClusterStatus{
		Now:    now,
		Name:   name,
		InView: true,
		Leader: "n0",
		Probes: map[string]Probe{},
	}
	for i, zone := range []string{"a", "b", "a", "b", "b"} {
		status.Members = append(status.Members, Member{
			Name:          fmt.Sprint("n", i),
			Incarnation:   uint64(10 + i),
			Zone:          zone,
			AnswersProbes: true,
		})
	}
	return status
}

// evaluate returns the actions of one evaluation.
func evaluate(s *Standby, status ClusterStatus) []Action {
	actions, _ := s.Evaluate(status)
	return actions
}

// wantNone fails the test if there are any actions.
func wantNone(t *testing.T, actions []Action, reason string) {
	t.Helper()
	if len(actions) != 0 {
		t.Fatalf("%s: %+v", reason, actions)
	}
}

// wantOne fails the test unless there is exactly one action, of the given kind and for the given
// members.
func wantOne(t *testing.T, actions []Action, kind ActionKind, names, reason string) {
	t.Helper()
	if len(actions) != 1 || actions[0].Kind != kind || fmt.Sprint(actions[0].Names) != names {
		t.Fatalf("%s: %+v, want %s %s", reason, actions, kind, names)
	}
}

// An ended connection alone must not remove a member. The first successor probes at once and the
// next one a little later; the member is removed only if the probe times out.
func TestEndedConnectionIsProbedBeforeTheMemberIsRemoved(t *testing.T) {
	now := start
	first, second := New(now), New(now)
	first.ConnectionEnded("n0", now)
	second.ConnectionEnded("n0", now)
	actions := evaluate(first, statusOfFive("n1", now))
	wantOne(t, actions, ActionProbe, "[n0]", "the first successor probes")
	if actions[0].Wait != tuning.ProbeTimeout || first.State != Probing {
		t.Fatalf("actions of the first successor: %+v, state %s", actions, first.State)
	}
	wantNone(t, evaluate(second, statusOfFive("n3", now)), "the second successor does not probe at once")
	now = now.Add(tuning.ProbeStagger)
	wantOne(t, evaluate(second, statusOfFive("n3", now)), ActionProbe, "[n0]", "the first successor has not probed")

	status := statusOfFive("n1", now)
	status.Probes["n0"] = Probe{Incarnation: 10, By: "n1", WaitMs: tuning.ProbeTimeout.Milliseconds()}
	wantNone(t, evaluate(first, status), "the probe is already there")
	status.Now = now.Add(tuning.ProbeTimeout - 1)
	wantNone(t, evaluate(first, status), "removed before the probe timed out")
	status.Now = now.Add(tuning.ProbeTimeout)
	wantOne(t, evaluate(first, status), ActionRemove, "[n0]", "the probe timed out")

	// Only the leader probes suspected followers.
	third := New(now)
	third.ConnectionEnded("n2", now)
	wantNone(t, evaluate(third, statusOfFive("n4", now.Add(time.Hour))), "a follower suspects another")
}

// A member that has answered a probe is probed again only after a pause that doubles each time,
// however often its connection ends. Gossip of a member clears the suspicion, and a new incarnation
// starts without any.
func TestAnsweredProbeDelaysTheNextOne(t *testing.T) {
	s, now := New(start), start
	pause := tuning.ProbePause
	for range 8 {
		s.ConnectionEnded("n2", now)
		actions := evaluate(s, statusOfFive("n0", now))
		wantOne(t, actions, ActionProbe, "[n2]", "the connection ended")
		if again := s.FalseAlarms > 0; again != (actions[0].Wait == tuning.ProbeTimeoutMany) {
			t.Fatalf("probe timeout %v; it must be longer exactly if an earlier probe was answered", actions[0].Wait)
		}
		// The probe is written and answered between two evaluations.
		s.ProbeObserved("n2", Probe{Incarnation: 12, By: "n0", WaitMs: 500}, now)
		s.ProbeRemoved("n2")
		s.Evaluate(statusOfFive("n0", now.Add(time.Millisecond)))
		s.ConnectionEnded("n2", now)
		wantNone(t, evaluate(s, statusOfFive("n0", now.Add(pause))), "probed again within the pause")
		now = now.Add(pause + time.Millisecond)
		pause = min(2*pause, tuning.MaxProbePause)
	}
	if s.FalseAlarms != 8 {
		t.Error(s.FalseAlarms)
	}
	s.ConnectionEnded("n3", now)
	s.PeerAlive("n3")
	s.PeerAlive("n2")
	if actions := evaluate(s, statusOfFive("n0", now)); len(actions) != 0 {
		t.Errorf("actions against members whose gossip arrived: %+v", actions)
	}
	s.ConnectionEnded("n2", now)
	status := statusOfFive("n0", now)
	status.Members[2].Incarnation = 99
	if actions := evaluate(s, status); len(actions) != 0 {
		t.Errorf("actions against a new incarnation: %+v", actions)
	}
}

// A leader that has been lagging for some time hands over leadership, with a growing pause between
// handovers.
func TestLaggingLeaderHandsOver(t *testing.T) {
	s, now := New(start), start
	actionsAt := map[time.Duration]string{}
	for at := time.Duration(0); at < 3*time.Minute; at += 100 * time.Millisecond {
		status := statusOfFive("n0", now.Add(at))
		if at > 5*time.Second && at < 7*time.Second || at > 20*time.Second {
			status.Lag = tuning.MaxLeaderLag
		}
		for _, a := range evaluate(s, status) {
			actionsAt[at.Truncate(time.Second)] = string(a.Kind) + " " + a.Names[0]
		}
	}
	if want := "map[23s:hand over n1 53s:hand over n1 1m53s:hand over n1]"; fmt.Sprint(actionsAt) != want {
		t.Error(actionsAt)
	}
	status := statusOfFive("n1", now)
	status.Lag = time.Hour
	follower := New(now)
	follower.Evaluate(status)
	status.Now = now.Add(time.Hour)
	if actions := evaluate(follower, status); len(actions) != 0 {
		t.Errorf("a lagging follower hands over: %+v", actions)
	}
}

// Connections that end at the same time point to a network problem, so the probes get a longer
// timeout.
func TestSeveralEndedConnectionsGetALongerProbeTimeout(t *testing.T) {
	s := New(start)
	for _, name := range []string{"n1", "n2", "n3"} {
		s.ConnectionEnded(name, start)
	}
	status := statusOfFive("n0", start)
	status.Members[2].AnswersProbes = false
	actions := evaluate(s, status)
	if len(actions) != 1 || fmt.Sprint(actions[0].Names) != "[n1 n3]" || actions[0].Wait != tuning.ProbeTimeoutMany {
		t.Errorf("actions after three connections ended: %+v", actions)
	}
	status.StoreUnavailable = true
	if actions := evaluate(s, status); len(actions) != 0 {
		t.Errorf("actions with the store unavailable: %+v", actions)
	}
}

// A leader that resigns names its successor, and a follower that resigns names the current leader.
// Neither answers probes.
func TestResigningControllerNamesTheNextLeaderAndAnswersNoProbe(t *testing.T) {
	for name, test := range map[string]struct{ controller, leader string }{
		"the leader": {controller: "n0", leader: "n1"},
		"a follower": {controller: "n4", leader: "n0"},
	} {
		t.Run(name, func(t *testing.T) {
			s := New(start)
			s.Resign()
			status := statusOfFive(test.controller, start)
			status.Probes[test.controller] = Probe{Incarnation: 10, By: "n1", WaitMs: 500}
			actions := evaluate(s, status)
			if len(actions) != 1 || actions[0].Kind != ActionResign || actions[0].Names[0] != test.leader {
				t.Errorf("%s: %+v", test.controller, actions)
			}
			if s.State != Leaving {
				t.Errorf("%s: state %s, want leaving", test.controller, s.State)
			}
		})
	}
}
