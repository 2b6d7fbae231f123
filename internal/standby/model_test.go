package standby

import (
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"
)

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
