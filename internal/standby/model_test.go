package standby

import (
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// model is a store with a view, members' keys and probes, and controllers that see it late,
// commit late, stall, end and restart.
type model struct {
	now             time.Time
	revision        int
	leader          string
	epoch           int
	view            map[string]uint64
	viewRevision    int
	keys            map[string]uint64
	probes          map[string]Probe
	probeRevisions  map[string]int
	nodes           map[string]*modelNode
	leaders         map[int]string // by epoch
	lastIncarnation uint64
	log             []probeChange
}

type modelNode struct {
	standby     *Standby
	incarnation uint64
	alive       bool
	// What it has read.
	leader         string
	view           map[string]uint64
	viewRevision   int
	probes         map[string]Probe
	probeRevisions map[string]int
	logPosition    int
	unsent         []func() // transactions that have not arrived
}

// probeChange is an entry of the watch: a probe was written or removed.
type probeChange struct {
	name    string
	probe   Probe
	removed bool
}

var names = []string{"n0", "n1", "n2", "n3", "n4"}

func newModel() *model {
	m := &model{
		now:            start,
		keys:           map[string]uint64{},
		probes:         map[string]Probe{},
		probeRevisions: map[string]int{},
		nodes:          map[string]*modelNode{},
		leaders:        map[int]string{},
		view:           map[string]uint64{},
	}
	for _, name := range names {
		m.nodes[name] = &modelNode{}
		m.restart(name)
	}
	m.commitView("n0", nil)
	return m
}

func (m *model) restart(name string) {
	m.lastIncarnation++
	node := m.nodes[name]
	*node = modelNode{
		standby:     New(m.now),
		incarnation: m.lastIncarnation,
		alive:       true,
		unsent:      node.unsent,
		logPosition: len(m.log),
	}
	m.keys[name] = m.lastIncarnation
	m.read(name)
}

// read brings a controller's watch up to date: each probe, and each that was removed.
func (m *model) read(name string) {
	node := m.nodes[name]
	node.leader, node.viewRevision, node.view = m.leader, m.viewRevision, maps.Clone(m.view)
	for _, change := range m.log[node.logPosition:] {
		if change.removed {
			node.standby.ProbeRemoved(change.name)
		} else {
			node.standby.ProbeObserved(change.name, change.probe, m.now)
		}
	}
	node.logPosition = len(m.log)
	node.probes, node.probeRevisions = map[string]Probe{}, map[string]int{}
	for probed, probe := range m.probes {
		node.probes[probed], node.probeRevisions[probed] = probe, m.probeRevisions[probed]
	}
}

func (m *model) removeProbe(name string) {
	if m.probeRevisions[name] != 0 {
		delete(m.probes, name)
		delete(m.probeRevisions, name)
		m.log = append(m.log, probeChange{name: name, removed: true})
	}
}

// evaluate has a controller evaluate its status and hands what it wants to commit to send.
func (m *model) evaluate(name string, send func(func())) {
	node := m.nodes[name]
	if !node.alive {
		return
	}
	if m.keys[name] != node.incarnation { // removed: it comes back as a new incarnation
		m.restart(name)
		node = m.nodes[name]
	}
	status := node.status(name, m.now)
	actions, _ := node.standby.Evaluate(status)
	observed := *node // as it is now: transactions may arrive later
	for _, action := range actions {
		switch action.Kind {
		case ActionAnswer:
			send(func() { m.commitAnswer(name, observed) })
		case ActionProbe:
			send(func() { m.commitProbes(name, observed, action) })
		case ActionRemove:
			send(func() { m.commitRemoval(name, observed, action.Names) })
		case ActionResign, ActionHandOver:
			panic("nobody resigns or lags in this model")
		}
	}
	// The leader admits members whose keys are there.
	if node.leader == name && status.InView {
		send(func() {
			if m.viewRevision == observed.viewRevision && m.keys[name] == observed.incarnation && !maps.Equal(m.keys, m.view) {
				m.commitView(name, nil)
			}
		})
	}
}

// status is what a controller knows by what it has read.
func (node *modelNode) status(name string, now time.Time) ClusterStatus {
	status := ClusterStatus{
		Now:    now,
		Name:   name,
		InView: node.view[name] == node.incarnation,
		Leader: node.leader,
		Probes: node.probes,
	}
	for _, member := range names {
		if node.view[member] != 0 {
			status.Members = append(status.Members, Member{
				Name:          member,
				Incarnation:   node.view[member],
				Zone:          member[1:],
				AnswersProbes: true,
			})
		}
	}
	return status
}

// commitAnswer removes a controller's probe if it stands as it has seen it.
func (m *model) commitAnswer(name string, observed modelNode) {
	if m.probeRevisions[name] == observed.probeRevisions[name] {
		m.revision++
		m.removeProbe(name)
	}
}

// commitProbes writes probes if view, keys and probes are as the prober has seen them.
func (m *model) commitProbes(name string, observed modelNode, action Action) {
	for _, member := range action.Names {
		if m.probeRevisions[member] != observed.probeRevisions[member] || m.viewRevision != observed.viewRevision ||
			m.keys[name] != observed.incarnation || m.keys[member] != m.view[member] {
			return
		}
	}
	m.revision++
	for _, member := range action.Names {
		probe := Probe{Incarnation: m.view[member], By: name, WaitMs: action.Wait.Milliseconds()}
		m.probes[member], m.probeRevisions[member] = probe, m.revision
		m.log = append(m.log, probeChange{name: member, probe: probe})
	}
}

// commitRemoval changes the view without members whose probes stand as they were observed.
func (m *model) commitRemoval(name string, observed modelNode, removed []string) {
	for _, member := range removed {
		if m.probeRevisions[member] != observed.probeRevisions[member] || m.probeRevisions[member] == 0 {
			return
		}
	}
	if m.viewRevision == observed.viewRevision && m.keys[name] == observed.incarnation {
		m.commitView(name, removed)
	}
}

// commitView commits a view led by a controller, without some members.
func (m *model) commitView(leader string, removed []string) {
	m.revision++
	m.epoch++
	m.leader, m.viewRevision = leader, m.revision
	for _, member := range removed {
		delete(m.keys, member)
		m.removeProbe(member)
	}
	m.view = maps.Clone(m.keys)
	if former, led := m.leaders[m.epoch]; led && former != leader {
		panic("two leaders under one epoch")
	}
	m.leaders[m.epoch] = leader
}

// step has a controller read, evaluate and commit at once, or, if late, evaluate what it has read
// before and commit later.
func (m *model) step(name string, late bool) {
	node := m.nodes[name]
	if late {
		m.evaluate(name, func(commit func()) { node.unsent = append(node.unsent, commit) })
		return
	}
	m.read(name)
	m.evaluate(name, func(commit func()) { commit() })
}

// drawEvent has something happen to a controller; the prompt one neither ends nor is late.
func (m *model) drawEvent(t *rapid.T, prompt string) {
	name := rapid.SampledFrom(names).Draw(t, "who")
	node := m.nodes[name]
	switch kind := rapid.IntRange(0, 9).Draw(t, "what"); {
	case kind == 0 && name != prompt && node.alive:
		node.alive = false
		for _, other := range names {
			if m.nodes[other].alive && rapid.Bool().Draw(t, "seen") {
				m.nodes[other].standby.ConnectionEnded(name, m.now)
			}
		}
	case kind == 1 && !node.alive:
		m.restart(name)
	case kind == 2:
		for _, other := range names { // a filter refuses its connections
			m.nodes[other].standby.ConnectionEnded(name, m.now)
			node.standby.ConnectionEnded(other, m.now)
		}
	case kind == 3 && len(node.unsent) > 0:
		node.unsent[0]()
		node.unsent = node.unsent[1:]
	case kind < 7 && name != prompt:
		m.step(name, rapid.Bool().Draw(t, "late"))
	default:
		m.step(name, false)
	}
}

// settle has all late transactions arrive, every controller run, and all of them evaluate in
// time for twenty seconds.
func (m *model) settle(prompt string) {
	for _, name := range names {
		for _, commit := range m.nodes[name].unsent {
			commit()
		}
		m.nodes[name].unsent = nil
		if !m.nodes[name].alive {
			m.restart(name)
		}
	}
	// A leader that is out is replaced by its lease or by a probe; here its lease expires.
	for range 400 {
		m.now = m.now.Add(50 * time.Millisecond)
		if m.keys[m.leader] != m.view[m.leader] {
			m.commitView(prompt, nil)
		}
		for _, name := range names {
			m.step(name, false)
		}
	}
}

// TestAnyOrderOfFaultsKeepsOneLeader draws any order of ends, stalls, restarts, refused
// connections, late reads and late transactions: no epoch has two leaders, a controller that
// runs, reads and commits in time is never removed, and once all run again every probe ends and
// somebody leads.
func TestAnyOrderOfFaultsKeepsOneLeader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		prompt := rapid.SampledFrom(names).Draw(t, "prompt") // always in time
		for range rapid.IntRange(5, 120).Draw(t, "steps") {
			m.now = m.now.Add(50 * time.Millisecond)
			m.drawEvent(t, prompt)
			incarnation := m.nodes[prompt].incarnation
			m.step(prompt, false)
			if m.nodes[prompt].incarnation != incarnation {
				t.Fatalf("%s answered in time and was removed", prompt)
			}
		}
		m.settle(prompt)
		if len(m.probes) > 0 || len(m.view) != len(names) {
			t.Fatalf("probes %v, view %v, keys %v", m.probes, m.view, m.keys)
		}
		for _, name := range names {
			want := Following
			if name == m.leader {
				want = Leading
			}
			if got := m.nodes[name].standby.State; got != want && got != Warm {
				t.Fatalf("%s is %s, not %s", name, got, want)
			}
		}
	})
}
