package standby

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

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

// Who follows: other zones than the leader's first, nobody who is suspected.
func TestSuccessors(t *testing.T) {
	x := five("n1", start)
	none := func(string) bool { return false }
	if got := fmt.Sprint(Successors(x, none)); got != "[n1 n3 n4 n2]" {
		t.Error(got)
	}
	if got := fmt.Sprint(Successors(x, func(n string) bool { return n == "n1" || n == "n3" })); got != "[n1 n4 n2]" {
		t.Error("of itself nobody thinks that: ", got)
	}
	x.Leader = "n3"
	if got := fmt.Sprint(Successors(x, none)); got != "[n0 n2 n4 n1]" {
		t.Error(got)
	}
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

// No duty before its checks, each told once with its time; another epoch starts anew.
func TestChecks(t *testing.T) {
	var c Checks
	if c.Permits(Release) || c.Permits(Rent) || c.Permits(Delete) {
		t.Error("before it leads")
	}
	c.Begin(7, start)
	for i, k := range All() {
		if len(c.Pending()) != len(All())-i {
			t.Error(c.Pending())
		}
		for d, ks := range checksFor {
			ready := !slices.ContainsFunc(ks, func(n Check) bool { return slices.Contains(c.Pending(), n) })
			if c.Permits(d) != ready {
				t.Errorf("%s with %v left: %v", d, c.Pending(), c.Permits(d))
			}
		}
		if first, _ := c.Record(k, false, start); first {
			t.Error("done although it does not hold")
		}
		at := start.Add(time.Duration(i) * time.Second)
		if first, after := c.Record(k, true, at); !first || after != time.Duration(i)*time.Second {
			t.Error(k, first, after)
		}
		if first, _ := c.Record(k, true, at); first {
			t.Error("told twice")
		}
	}
	if !c.Permits(Rent) {
		t.Error(c.Pending())
	}
	c.Begin(7, start)
	if !c.Permits(Rent) {
		t.Error("forgotten under the same epoch")
	}
	if c.Begin(8, start); c.Permits(Delete) {
		t.Error("another epoch's checks count")
	}
}

// world is a state service with a view, members' keys and calls, and controllers that
// see it late, commit late, stand still, end and come back.
type world struct {
	now     time.Time
	stamp   int
	leader  string
	epoch   int
	view    map[string]uint64
	viewAt  int
	keys    map[string]uint64
	calls   map[string]Probe
	callAt  map[string]int
	nodes   map[string]*node
	leaders map[int]string
	inc     uint64
	log     []change
}

type node struct {
	s     *Standby
	inc   uint64
	alive bool
	// What it has read.
	leader string
	view   map[string]uint64
	viewAt int
	calls  map[string]Probe
	callAt map[string]int
	late   []func() // transactions that have not arrived
	at     int      // of the log
}

var names = []string{"n0", "n1", "n2", "n3", "n4"}

func (w *world) boot(n string) {
	w.inc++
	x := w.nodes[n]
	*x = node{s: New(w.now), inc: w.inc, alive: true, late: x.late, at: len(w.log)}
	w.keys[n] = w.inc
	w.read(n)
}

func (w *world) read(n string) {
	x := w.nodes[n]
	x.leader, x.viewAt, x.view = w.leader, w.viewAt, map[string]uint64{}
	for k, v := range w.view {
		x.view[k] = v
	}
	// As a watch tells it: each call, and each that went.
	for _, e := range w.log[x.at:] {
		if e.gone {
			x.s.ProbeRemoved(e.name)
		} else {
			x.s.ProbeObserved(e.name, e.call, w.now)
		}
	}
	x.at = len(w.log)
	x.calls, x.callAt = map[string]Probe{}, map[string]int{}
	for k, v := range w.calls {
		x.calls[k], x.callAt[k] = v, w.callAt[k]
	}
}

// uncall removes a call.
func (w *world) uncall(name string) {
	if w.callAt[name] != 0 {
		delete(w.calls, name)
		delete(w.callAt, name)
		w.log = append(w.log, change{name: name, gone: true})
	}
}

// change is of a call.
type change struct {
	name string
	call Probe
	gone bool
}

// look has a controller look and hands what it wants to commit to send.
func (w *world) look(n string, send func(func())) {
	x := w.nodes[n]
	if !x.alive {
		return
	}
	if w.keys[n] != x.inc { // left out: it comes back as a new incarnation
		w.boot(n)
		x = w.nodes[n]
	}
	sit := ClusterStatus{Now: w.now, Name: n, InView: x.view[n] == x.inc, Leader: x.leader, Probes: x.calls}
	for _, m := range names {
		if x.view[m] != 0 {
			sit.Members = append(sit.Members, Member{Name: m, Incarnation: x.view[m], Zone: m[1:], AnswersProbes: true})
		}
	}
	acts, _ := x.s.Evaluate(sit)
	viewAt, callAt, incarnation := x.viewAt, x.callAt, x.inc
	for _, a := range acts {
		switch a.Kind {
		case ActionAnswer:
			at := callAt[n]
			send(func() {
				if w.callAt[n] == at {
					w.stamp++
					w.uncall(n)
				}
			})
		case ActionProbe:
			send(func() {
				for _, m := range a.Names {
					if w.callAt[m] != callAt[m] || w.viewAt != viewAt || w.keys[n] != incarnation || w.keys[m] != w.view[m] {
						return
					}
				}
				w.stamp++
				for _, m := range a.Names {
					w.calls[m], w.callAt[m] = Probe{Incarnation: w.view[m], By: n, WaitMs: a.Wait.Milliseconds()}, w.stamp
					w.log = append(w.log, change{name: m, call: w.calls[m]})
				}
			})
		case ActionRemove:
			send(func() {
				for _, m := range a.Names {
					if w.callAt[m] != callAt[m] || w.callAt[m] == 0 {
						return
					}
				}
				if w.viewAt == viewAt && w.keys[n] == incarnation {
					w.change(n, a.Names)
				}
			})
		}
	}
	// The leader lets members in, whose keys are there.
	if x.leader == n && sit.InView {
		send(func() {
			if w.viewAt == viewAt && w.keys[n] == incarnation && !maps.Equal(w.keys, w.view) {
				w.change(n, nil)
			}
		})
	}
}

// change commits a view led by a controller, without some.
func (w *world) change(by string, out []string) {
	w.stamp++
	w.epoch++
	w.leader, w.viewAt = by, w.stamp
	for _, m := range out {
		delete(w.keys, m)
		w.uncall(m)
	}
	w.view = map[string]uint64{}
	for m, incarnation := range w.keys {
		w.view[m] = incarnation
	}
	if was, led := w.leaders[w.epoch]; led && was != by {
		panic("two leaders under one epoch")
	}
	w.leaders[w.epoch] = by
}

// TestAnyOrder draws any order of ends, standstills, returns, refused connections, late
// reads and late transactions: no epoch has two leaders, a controller that runs, reads
// and commits in time is never left out, and once all runs again every call ends and
// somebody leads.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{now: start, keys: map[string]uint64{}, calls: map[string]Probe{}, callAt: map[string]int{}, nodes: map[string]*node{}, leaders: map[int]string{}, view: map[string]uint64{}}
		for _, n := range names {
			w.nodes[n] = &node{}
			w.boot(n)
		}
		w.change("n0", nil)
		prompt := rapid.SampledFrom(names).Draw(t, "prompt") // always in time
		atOnce := func(f func()) { f() }
		step := func(n string, late bool) {
			x := w.nodes[n]
			if late {
				w.look(n, func(f func()) { x.late = append(x.late, f) })
				return
			}
			w.read(n)
			w.look(n, atOnce)
		}
		for range rapid.IntRange(5, 120).Draw(t, "steps") {
			w.now = w.now.Add(50 * time.Millisecond)
			n := rapid.SampledFrom(names).Draw(t, "who")
			x := w.nodes[n]
			switch kind := rapid.IntRange(0, 9).Draw(t, "what"); {
			case kind == 0 && n != prompt && x.alive:
				x.alive = false
				for _, o := range names {
					if w.nodes[o].alive && rapid.Bool().Draw(t, "seen") {
						w.nodes[o].s.ConnectionEnded(n, w.now)
					}
				}
			case kind == 1 && !x.alive:
				w.boot(n)
			case kind == 2:
				for _, o := range names { // a filter refuses its connections
					w.nodes[o].s.ConnectionEnded(n, w.now)
					x.s.ConnectionEnded(o, w.now)
				}
			case kind == 3 && len(x.late) > 0:
				x.late[0]()
				x.late = x.late[1:]
			case kind < 7 && n != prompt:
				step(n, rapid.Bool().Draw(t, "late"))
			default:
				step(n, false)
			}
			incarnation := w.nodes[prompt].inc
			step(prompt, false)
			if w.nodes[prompt].inc != incarnation {
				t.Fatalf("%s answered in time and was left out", prompt)
			}
		}
		for _, n := range names {
			for _, f := range w.nodes[n].late {
				f()
			}
			w.nodes[n].late = nil
			if !w.nodes[n].alive {
				w.boot(n)
			}
		}
		// A leader that is out is replaced by its lease or by a call; here its lease ends.
		for range 400 {
			w.now = w.now.Add(50 * time.Millisecond)
			if w.keys[w.leader] != w.view[w.leader] {
				w.change(prompt, nil)
			}
			for _, n := range names {
				step(n, false)
			}
		}
		if len(w.calls) > 0 || len(w.view) != len(names) {
			t.Fatalf("calls %v, view %v, keys %v", w.calls, w.view, w.keys)
		}
		for _, n := range names {
			want := Following
			if n == w.leader {
				want = Leading
			}
			if got := w.nodes[n].s.State; got != want && got != Warm {
				t.Fatalf("%s is %s, not %s", n, got, want)
			}
		}
	})
}
