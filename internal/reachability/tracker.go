// Package reachability tracks which controllers and agents can reach each other. It determines
// which members are to be left out of the view because their agents cannot reach them, and whether
// this controller itself reaches any agent. It performs no IO and reads no clock.
package reachability

import (
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// AgentCaller sends requests to machines' agents.
type AgentCaller interface {
	// CallAgent sends a request. It calls done exactly once, on the event loop.
	CallAgent(endpoint, method, target string, body []byte, timeout time.Duration,
		done func(status int, body []byte, err error))
}

// Membership gives access to this controller's knowledge of the view and its members.
type Membership interface {
	// OwnerOf returns the controller that owns a machine.
	OwnerOf(machine string) string
	// Incarnation returns the incarnation of a member's lease, or 0 if it has none.
	Incarnation(member string) uint64
	// OutsideView reports whether this controller is not in the view that it knows.
	OutsideView() bool
}

// Store gives access to the state of this controller's connection to the store.
type Store interface {
	// MirrorLive reports whether the mirror is following the store.
	MirrorLive() bool
	// Unavailable reports whether, as far as this controller knows, the store answers no
	// controller.
	Unavailable() bool
}

// Config configures a Tracker. Every field is required.
type Config struct {
	Log        *slog.Logger
	Rand       *rand.Rand // selects the agents to probe
	Agents     AgentCaller
	Membership Membership
	Store      Store
}

// Tracker is one controller's knowledge of which controllers and agents can reach each other. It
// must be used on the event loop only.
type Tracker struct {
	state      *clusterstate.State
	log        *slog.Logger
	rand       *rand.Rand
	agents     AgentCaller
	membership Membership
	store      Store

	complaints    members.Complaints
	lastHeard     map[string]time.Time // by machine, its last heartbeat that did not reach its owner
	excluded      map[string]excludedMember
	peers         map[string]peerState
	isolated      bool // outside the view, and no agent answers
	pendingProbes int  // probes of agents that are in flight
	probedAt      time.Time
}

// peerState is what a peer last reported about itself.
type peerState struct {
	storeReachable bool
	isolated       bool
	at             time.Time
}

// fresh reports whether the peer's report is recent enough to count.
func (p peerState) fresh(now time.Time) bool { return now.Sub(p.at) < tuning.PeerFresh }

// excludedMember is a member that is left out of the view because agents could not reach it.
type excludedMember struct {
	incarnation uint64
	until       time.Time
}

// New returns a tracker without any complaints or gossip. It only reads state, and takes the time
// from it.
func New(state *clusterstate.State, config Config) *Tracker {
	return &Tracker{
		state:      state,
		log:        config.Log,
		rand:       config.Rand,
		agents:     config.Agents,
		membership: config.Membership,
		store:      config.Store,
		complaints: members.Complaints{},
		lastHeard:  map[string]time.Time{},
		excluded:   map[string]excludedMember{},
		peers:      map[string]peerState{},
	}
}

// Isolated reports whether this controller is outside the view and reaches no agent.
func (t *Tracker) Isolated() bool { return t.isolated }

// LastHeard returns the time of the last heartbeat of a machine that is known not to have reached
// the machine's owner, or the zero time if there was none.
func (t *Tracker) LastHeard(machine string) time.Time { return t.lastHeard[machine] }

// LocalComplaints returns the machines whose agents recently sent heartbeats to this controller
// instead of their owner.
func (t *Tracker) LocalComplaints() []string { return t.complaints.Local(t.state.Now) }

// ResetComplaints drops all complaints. It is called when they no longer apply: after a change of
// view, or after a gap during which this controller's event loop did not run.
func (t *Tracker) ResetComplaints() { t.complaints = members.Complaints{} }

// MachineRemoved forgets a machine.
func (t *Tracker) MachineRemoved(machine string) { delete(t.lastHeard, machine) }

// ApplyGossip records what a peer reports about itself: whether it reaches the store, and whether
// it is isolated.
func (t *Tracker) ApplyGossip(from string, storeReachable, isolated bool) {
	t.peers[from] = peerState{storeReachable: storeReachable, isolated: isolated, at: t.state.Now}
}

// StoreReachableElsewhere reports whether a peer has recently reported that it reaches the store.
func (t *Tracker) StoreReachableElsewhere() bool {
	for _, peer := range t.peers {
		if peer.storeReachable && peer.fresh(t.state.Now) {
			return true
		}
	}
	return false
}

// Complain records that an agent does not reach its machine's owner: although it was redirected to
// the owner, it sent a heartbeat to this controller (local is set) or to a peer that reported it.
func (t *Tracker) Complain(owner, machine string, local bool) {
	t.lastHeard[machine] = t.state.Now
	if t.store.Unavailable() {
		return // the owner may be reachable but unable to renew leases (see package cancellation)
	}
	t.complaints.Add(owner, machine, local, t.state.Now)
}

// Unreachable returns the members that agents cannot reach: the agents were redirected to them but
// keep sending heartbeats to other controllers. A member that is found to be unreachable remains so
// for tuning.ExcludedFor, so that it does not repeatedly enter and leave the view.
func (t *Tracker) Unreachable() map[string]bool {
	unreachable := t.stillExcluded()
	if t.membership.OutsideView() {
		return unreachable
	}
	persistent := t.complaints.PersistentByOwner(t.state.Now, t.membership.OwnerOf, func(owner, machine string) bool {
		_, unresponsive := t.state.Unresponsive[owner][machine]
		return unresponsive
	})
	if len(persistent) == 0 {
		return unreachable
	}
	owned := map[string]int{}
	for _, m := range t.state.Machines {
		owned[m.Owner]++
	}
	for owner, machines := range persistent {
		if float64(machines) < tuning.UnreachableShare*float64(owned[owner]) || unreachable[owner] {
			continue
		}
		t.log.Info("member marked unreachable by agents", "member", owner, "machines", machines)
		t.excluded[owner] = excludedMember{
			incarnation: t.membership.Incarnation(owner),
			until:       t.state.Now.Add(tuning.ExcludedFor),
		}
		unreachable[owner] = true
	}
	return unreachable
}

// stillExcluded returns the members that must still stay outside the view.
func (t *Tracker) stillExcluded() map[string]bool {
	out := map[string]bool{}
	for name, member := range t.excluded {
		// Only the incarnation that was unreachable is left out, not a process that has restarted.
		if t.membership.Incarnation(name) != member.incarnation {
			continue
		}
		// A member that reports that it still reaches no agent stays out for longer.
		peer := t.peers[name]
		if t.state.Now.Before(member.until) || peer.isolated && peer.fresh(t.state.Now) {
			out[name] = true
		}
	}
	return out
}

// Reconcile probes agents while this controller is outside the view. A controller that was left out
// because agents could not reach it must not be assigned machines again before the connection is
// restored.
func (t *Tracker) Reconcile() {
	if !t.membership.OutsideView() {
		t.isolated = false
		return
	}
	if !t.store.MirrorLive() || t.pendingProbes > 0 || t.state.Now.Sub(t.probedAt) < tuning.IsolationProbeEvery {
		return
	}
	candidates := t.probeCandidates()
	if len(candidates) < tuning.MinPartitionSample {
		t.isolated = false
		return
	}
	t.probe(candidates)
}

// probeCandidates returns the machines that are up and whose agent has a known address.
func (t *Tracker) probeCandidates() []*clusterstate.Machine {
	var candidates []*clusterstate.Machine
	for _, m := range t.state.MachinesByName() {
		if m.State == fleet.Up && m.Endpoint != "" {
			candidates = append(candidates, m)
		}
	}
	return candidates
}

// probe sends a request to a random sample of the agents. An answer with any status counts as
// success.
func (t *Tracker) probe(candidates []*clusterstate.Machine) {
	t.probedAt = t.state.Now
	answered := false
	for range tuning.MinPartitionSample {
		m := candidates[t.rand.IntN(len(candidates))]
		t.pendingProbes++
		t.agents.CallAgent(m.Endpoint, http.MethodGet, "/show", nil, tuning.CommandTimeout,
			func(_ int, _ []byte, err error) {
				answered = answered || err == nil
				t.pendingProbes--
				if t.pendingProbes == 0 {
					t.isolated = !answered
				}
			})
	}
}
