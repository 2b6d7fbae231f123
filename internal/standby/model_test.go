package standby

import (
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// model simulates a store with a view, member keys and probes, and controllers that read it late,
// commit late, stall, crash and restart.
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
	// The state of the store as of the last read.
	leader         string
	view           map[string]uint64
	viewRevision   int
	probes         map[string]Probe
	probeRevisions map[string]int
	logPosition    int
	delayedTxns    []func() // transactions that have not reached the store
}

// probeChange is an event of the watch: a probe was written or deleted.
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
		delayedTxns: node.delayedTxns,
		logPosition: len(m.log),
	}
	m.keys[name] = m.lastIncarnation
	m.read(name)
}

// read brings the state of a controller up to date with the store and passes on all probe changes
// since the last read.
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

// evaluate evaluates the status of a controller and passes the resulting transactions to send.
func (m *model) evaluate(name string, send func(func())) {
	node := m.nodes[name]
	if !node.alive {
		return
	}
	if m.keys[name] != node.incarnation { // removed: rejoins as a new incarnation
		m.restart(name)
		node = m.nodes[name]
	}
	status := node.status(name, m.now)
	actions, _ := node.standby.Evaluate(status)
	observed := *node // a copy, since transactions may reach the store later
	for _, action := range actions {
		switch action.Kind {
		case ActionAnswer:
			send(func() { m.commitAnswer(name, observed) })
		case ActionProbe:
			send(func() { m.commitProbes(name, observed, action) })
		case ActionRemove:
			send(func() { m.commitRemoval(name, observed, action.Names) })
		case ActionResign, ActionHandOver:
			panic("no controller resigns or lags in this model")
		}
	}
	// The leader updates the view to match the member keys.
	if node.leader == name && status.InView {
		send(func() {
			if m.viewRevision == observed.viewRevision && m.keys[name] == observed.incarnation && !maps.Equal(m.keys, m.view) {
				m.commitView(name, nil)
			}
		})
	}
}

// status returns the cluster status according to what a controller has read.
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

// commitAnswer deletes the probe of a controller if the probe is unchanged since it was observed.
func (m *model) commitAnswer(name string, observed modelNode) {
	if m.probeRevisions[name] == observed.probeRevisions[name] {
		m.revision++
		m.removeProbe(name)
	}
}

// commitProbes writes probes if the view, the member keys and the probes are unchanged since the
// prober observed them.
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

// commitRemoval removes members from the view if their probes are unchanged since they were
// observed.
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

// commitView commits a view with the given leader and without the removed members.
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
		panic("two leaders in one epoch")
	}
	m.leaders[m.epoch] = leader
}

// step makes a controller read, evaluate and commit at once. If late is set, the controller
// evaluates what it last read, and its transactions are delayed.
func (m *model) step(name string, late bool) {
	node := m.nodes[name]
	if late {
		m.evaluate(name, func(commit func()) { node.delayedTxns = append(node.delayedTxns, commit) })
		return
	}
	m.read(name)
	m.evaluate(name, func(commit func()) { commit() })
}

// drawEvent draws an event that affects one controller. The prompt node never crashes and is never
// late.
func (m *model) drawEvent(t *rapid.T, promptNode string) {
	name := rapid.SampledFrom(names).Draw(t, "who")
	node := m.nodes[name]
	switch kind := rapid.IntRange(0, 9).Draw(t, "what"); {
	case kind == 0 && name != promptNode && node.alive:
		node.alive = false
		for _, other := range names {
			if m.nodes[other].alive && rapid.Bool().Draw(t, "seen") {
				m.nodes[other].standby.ConnectionEnded(name, m.now)
			}
		}
	case kind == 1 && !node.alive:
		m.restart(name)
	case kind == 2:
		for _, other := range names { // a packet filter refuses all of its connections
			m.nodes[other].standby.ConnectionEnded(name, m.now)
			node.standby.ConnectionEnded(other, m.now)
		}
	case kind == 3 && len(node.delayedTxns) > 0:
		node.delayedTxns[0]()
		node.delayedTxns = node.delayedTxns[1:]
	case kind < 7 && name != promptNode:
		m.step(name, rapid.Bool().Draw(t, "late"))
	default:
		m.step(name, false)
	}
}

// settle delivers all delayed transactions, starts all stopped controllers, and lets all of them
// evaluate without delay for twenty seconds.
func (m *model) settle(promptNode string) {
	for _, name := range names {
		for _, commit := range m.nodes[name].delayedTxns {
			commit()
		}
		m.nodes[name].delayedTxns = nil
		if !m.nodes[name].alive {
			m.restart(name)
		}
	}
	// A leader that lost its member key is replaced after its lease expires or a probe times out.
	// Here the lease expires.
	for range 400 {
		m.now = m.now.Add(50 * time.Millisecond)
		if m.keys[m.leader] != m.view[m.leader] {
			m.commitView(promptNode, nil)
		}
		for _, name := range names {
			m.step(name, false)
		}
	}
}

// TestAnyOrderOfFaultsKeepsOneLeader draws arbitrary sequences of crashes, stalls, restarts,
// refused connections, late reads and late transactions. No epoch may have two leaders, a
// controller that reads and commits without delay must never be removed, and once all controllers
// run again, all probes must be answered and one controller must lead.
func TestAnyOrderOfFaultsKeepsOneLeader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		promptNode := rapid.SampledFrom(names).Draw(t, "prompt") // never crashes and is never late
		for range rapid.IntRange(5, 120).Draw(t, "steps") {
			m.now = m.now.Add(50 * time.Millisecond)
			m.drawEvent(t, promptNode)
			incarnation := m.nodes[promptNode].incarnation
			m.step(promptNode, false)
			if m.nodes[promptNode].incarnation != incarnation {
				t.Fatalf("%s was removed although it answered in time", promptNode)
			}
		}
		m.settle(promptNode)
		if len(m.probes) > 0 || len(m.view) != len(names) {
			t.Fatalf("probes %v, view %v, keys %v", m.probes, m.view, m.keys)
		}
		for _, name := range names {
			want := Following
			if name == m.leader {
				want = Leading
			}
			if got := m.nodes[name].standby.State; got != want && got != Warm {
				t.Fatalf("%s is in state %s, want %s", name, got, want)
			}
		}
	})
}
