package membership

import (
	"encoding/json"
	"time"

	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/standby"
	"github.com/harrierreel/harrierreel/internal/store"
)

// PeerDisconnected takes in that the connection to a peer ended.
func (m *Membership) PeerDisconnected(name string) {
	if m.AnswersProbes && m.View() != nil && m.View().Incarnation(name) != 0 {
		m.standby.ConnectionEnded(name, m.Now)
		m.Wake()
	}
}

// PeerAlive takes in that a peer spoke.
func (m *Membership) PeerAlive(name string) { m.standby.PeerAlive(name) }

// ApplyProbe takes in a call, nil for one that is gone.
func (m *Membership) ApplyProbe(name string, value json.RawMessage) {
	if c, ok := standby.DecodeProbe(value); ok {
		m.probes[name] = c
		m.standby.ProbeObserved(name, c, m.Now)
	} else {
		delete(m.probes, name)
		m.standby.ProbeRemoved(name)
	}
	m.Wake()
}

// Standby is the state of its readiness, and how many calls were answered so far.
func (m *Membership) Standby() (state standby.State, falseAlarms int) {
	return m.standby.State, m.standby.FalseAlarms
}

// SuccessionOrder is its place among those that are to follow the leader, -1 if it has none.
func (m *Membership) SuccessionOrder() int { return m.standby.SuccessionOrder }

// Resign has this controller give its place away.
func (m *Membership) Resign() { m.standby.Resign() }

// evaluateStandby has the standby look at how things are, and does what it says.
func (m *Membership) evaluateStandby() {
	m.unansweredProbes = nil
	v := m.View()
	status := standby.ClusterStatus{Now: m.Now, Name: m.Name, Probes: m.probes, StoreUnavailable: m.Client.Unavailable()}
	if v != nil {
		status.InView = m.MirrorLive() && m.Certain() && v.Incarnation(m.Name) == m.leaseID && m.leaseID != 0
		status.Leader = v.Leader
		for _, member := range v.Members {
			c := m.capabilities[member.Name]
			status.Members = append(status.Members, standby.Member{
				Name:          member.Name,
				Incarnation:   member.Incarnation,
				Zone:          m.Zones[member.Name],
				AnswersProbes: c.Incarnation == member.Incarnation && c.AnswersProbes,
			})
		}
	}
	status.Lag, status.PendingChecks, status.WatchBehind = m.Lag(), m.PendingChecks(), m.Mirror.Epoch < m.probeEpoch
	since := m.standby.Since
	actions, changed := m.standby.Evaluate(status)
	if changed {
		m.Log.Debug("standby", "state", string(m.standby.State), "why", m.standby.Reason, "after_ms", m.Now.Sub(since).Milliseconds())
	}
	for _, action := range actions {
		switch action.Kind {
		case standby.ActionProbe:
			m.probe(action.Names, action.Wait)
		case standby.ActionAnswer:
			m.answerProbe()
		case standby.ActionRemove:
			m.unansweredProbes = action.Names[:min(len(action.Names), m.maxRemovals())]
		case standby.ActionResign:
			m.resignTo(action.Names[0])
		case standby.ActionHandOver:
			m.handOver(action.Names[0])
		}
	}
}

// probe writes calls. What it goes by is in the conditions: the view, this controller's
// key, and the keys of those that are called.
func (m *Membership) probe(names []string, wait time.Duration) {
	if m.probing {
		return
	}
	names = names[:min(len(names), m.maxRemovals())]
	t := store.Txn{Preconditions: []store.Precondition{m.precondition(members.ViewKey), m.precondition(members.MemberPrefix + m.Name)}}
	for _, name := range names {
		key := standby.ProbePrefix + name
		t.Preconditions = append(t.Preconditions, m.precondition(members.MemberPrefix+name), m.precondition(key))
		t.Writes = append(t.Writes, decide.Put(key, standby.Probe{Incarnation: m.View().Incarnation(name), By: m.Name, WaitMs: wait.Milliseconds()}))
	}
	m.probing = true
	m.Client.Commit(store.PriorityMembership, t, func(epoch uint64, _ []string, err error) {
		m.probing = false
		if err == nil {
			m.Log.Info("called, their connections ended", "members", names, "wait_ms", wait.Milliseconds())
			m.Mirror.ApplyCommit(t.Writes, epoch)
			m.probeEpoch = epoch
		}
		m.Wake()
	})
}

// answerProbe removes the call of this controller.
func (m *Membership) answerProbe() {
	if m.answeringProbe {
		return
	}
	m.answeringProbe = true
	key := standby.ProbePrefix + m.Name
	t := store.Txn{Preconditions: []store.Precondition{m.precondition(key)}, Writes: []store.Write{decide.Remove(key)}}
	m.Client.Commit(store.PriorityMembership, t, func(epoch uint64, _ []string, err error) {
		m.answeringProbe = false
		if err == nil {
			m.Log.Info("answered a call")
			m.Mirror.ApplyCommit(t.Writes, epoch)
		}
	})
}
