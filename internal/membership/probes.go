package membership

import (
	"encoding/json"
	"time"

	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/standby"
	"github.com/harrierreel/harrierreel/internal/store"
)

// PeerDisconnected records that the connection to a peer ended or was refused.
func (m *Membership) PeerDisconnected(name string) {
	view := m.cluster.View()
	if m.config.AnswersProbes && view != nil && view.Incarnation(name) != 0 {
		m.standby.ConnectionEnded(name, m.state.Now)
		m.loop.Wake()
	}
}

// PeerAlive records that gossip of a peer was received.
func (m *Membership) PeerAlive(name string) { m.standby.PeerAlive(name) }

// ApplyProbe applies a change of the probe of a member; value is nil if the probe was deleted.
func (m *Membership) ApplyProbe(name string, value json.RawMessage) {
	if probe, ok := standby.DecodeProbe(value); ok {
		m.probes[name] = probe
		m.standby.ProbeObserved(name, probe, m.state.Now)
	} else {
		delete(m.probes, name)
		m.standby.ProbeRemoved(name)
	}
	m.loop.Wake()
}

// Standby returns the standby state and the number of probes that have been answered so far.
func (m *Membership) Standby() (state standby.State, falseAlarms int) {
	return m.standby.State, m.standby.FalseAlarms
}

// SuccessionOrder returns the position of this controller in the order of succession, -1 if it has
// none.
func (m *Membership) SuccessionOrder() int { return m.standby.SuccessionOrder }

// evaluateStandby advances the standby state machine and carries out its actions.
func (m *Membership) evaluateStandby() {
	m.unansweredProbes = nil
	since := m.standby.Since
	actions, changed := m.standby.Evaluate(m.clusterStatus())
	if changed {
		m.config.Log.Debug("standby state changed",
			"state", string(m.standby.State),
			"reason", m.standby.Reason,
			"duration_ms", m.state.Now.Sub(since).Milliseconds(),
		)
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

// clusterStatus returns the input of the standby state machine.
func (m *Membership) clusterStatus() standby.ClusterStatus {
	status := standby.ClusterStatus{
		Now:              m.state.Now,
		Name:             m.config.Name,
		Lag:              m.fitness.Lag(),
		WatchBehind:      m.mirror.Epoch < m.probeEpoch,
		PendingChecks:    m.fitness.PendingChecks(),
		Probes:           m.probes,
		StoreUnavailable: m.client.Unavailable(),
	}
	view := m.cluster.View()
	if view == nil {
		return status
	}
	inView := m.leaseID != 0 && view.Incarnation(m.config.Name) == m.leaseID
	status.InView = inView && m.cluster.MirrorLive() && m.Certain()
	status.Leader = view.Leader
	for _, member := range view.Members {
		c := m.capabilities[member.Name]
		status.Members = append(status.Members, standby.Member{
			Name:          member.Name,
			Incarnation:   member.Incarnation,
			Zone:          m.config.Zones[member.Name],
			AnswersProbes: c.Incarnation == member.Incarnation && c.AnswersProbes,
		})
	}
	return status
}

// probe writes probes of members. The transaction's preconditions cover what the decision is based
// on: the view, the member key of this controller, and the member keys of the probed members.
func (m *Membership) probe(names []string, timeout time.Duration) {
	if m.probing {
		return
	}
	names = names[:min(len(names), m.maxRemovals())]
	txn := store.Txn{
		Preconditions: []store.Precondition{
			m.precondition(members.ViewKey),
			m.precondition(members.MemberPrefix + m.config.Name),
		},
	}
	for _, name := range names {
		key := standby.ProbePrefix + name
		txn.Preconditions = append(txn.Preconditions, m.precondition(members.MemberPrefix+name), m.precondition(key))
		txn.Writes = append(txn.Writes, decide.Put(key, standby.Probe{
			Incarnation: m.cluster.View().Incarnation(name),
			By:          m.config.Name,
			WaitMs:      timeout.Milliseconds(),
		}))
	}
	m.probing = true
	m.client.Commit(store.PriorityMembership, txn, func(epoch uint64, _ []string, err error) {
		m.probing = false
		if err == nil {
			m.config.Log.Info("members probed",
				"members", names,
				"reason", "connection ended",
				"timeout_ms", timeout.Milliseconds(),
			)
			m.mirror.ApplyCommit(txn.Writes, epoch)
			m.probeEpoch = epoch
		}
		m.loop.Wake()
	})
}

// answerProbe deletes the probe of this controller.
func (m *Membership) answerProbe() {
	if m.answeringProbe {
		return
	}
	m.answeringProbe = true
	key := standby.ProbePrefix + m.config.Name
	txn := store.Txn{
		Preconditions: []store.Precondition{m.precondition(key)},
		Writes:        []store.Write{decide.Remove(key)},
	}
	m.client.Commit(store.PriorityMembership, txn, func(epoch uint64, _ []string, err error) {
		m.answeringProbe = false
		if err == nil {
			m.config.Log.Info("probe answered")
			m.mirror.ApplyCommit(txn.Writes, epoch)
		}
	})
}
