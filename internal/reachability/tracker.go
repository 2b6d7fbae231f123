// Package reachability tracks which controllers and agents reach each other: members whose
// agents cannot reach them and that are therefore left out of the view, and whether this
// controller itself reaches any agent. It has no IO and no clock.
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
	// CallAgent sends one request; done is called on the event loop, exactly once.
	CallAgent(endpoint, method, target string, body []byte, timeout time.Duration,
		done func(status int, body []byte, err error))
}

// Membership is what this controller knows of the view and of its members.
type Membership interface {
	// OwnerOf is the controller that a machine belongs to.
	OwnerOf(machine string) string
	// Incarnation is that of a member's lease, 0 if it has none.
	Incarnation(member string) uint64
	// OutsideView tells whether the known view does not name this controller.
	OutsideView() bool
}

// Store is what this controller knows of its connection to the store.
type Store interface {
	// MirrorLive tells whether the mirror follows the store.
	MirrorLive() bool
	// Unavailable tells whether the store answers nobody, as far as this controller knows.
	Unavailable() bool
}

// Config is what a Tracker is built from. Every field is required.
type Config struct {
	Log        *slog.Logger
	Rand       *rand.Rand // picks the agents that are probed
	Agents     AgentCaller
	Membership Membership
	Store      Store
}

// Tracker is what one controller knows of who reaches whom. It belongs to the event loop.
type Tracker struct {
	state      *clusterstate.State
	log        *slog.Logger
	rand       *rand.Rand
	agents     AgentCaller
	membership Membership
	store      Store

	complaints    members.Complaints
	lastHeard     map[string]time.Time // machine to its last heartbeat that its owner did not get
	votedOut      map[string]votedOutMember
	peers         map[string]peerState
	isolated      bool // outside the view, and no agent answers
	pendingProbes int  // probes of agents that were not answered yet
	probedAt      time.Time
}

// peerState is what a peer said of itself last.
type peerState struct {
	storeReachable bool
	isolated       bool
	at             time.Time
}

// fresh tells whether the peer said so lately enough to count.
func (p peerState) fresh(now time.Time) bool { return now.Sub(p.at) < tuning.PeerFresh }

// votedOutMember is a member that agents could not reach.
type votedOutMember struct {
	incarnation uint64
	until       time.Time
}

// New makes a tracker that has heard nothing yet. state is read only, and its clock is used.
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
		votedOut:   map[string]votedOutMember{},
		peers:      map[string]peerState{},
	}
}

// Isolated tells whether this controller is outside the view and reaches no agent.
func (t *Tracker) Isolated() bool { return t.isolated }

// LastHeard is when a machine of another owner was last heard here, zero if never.
func (t *Tracker) LastHeard(machine string) time.Time { return t.lastHeard[machine] }

// LocalComplaints lists the machines whose agents lately came to this controller instead of
// their owner.
func (t *Tracker) LocalComplaints() []string { return t.complaints.Local(t.state.Now) }

// ResetComplaints drops all complaints: they were about another view, or about time in
// which this controller's loop did not run.
func (t *Tracker) ResetComplaints() { t.complaints = members.Complaints{} }

// MachineRemoved forgets a machine.
func (t *Tracker) MachineRemoved(machine string) { delete(t.lastHeard, machine) }

// ApplyGossip takes in what a peer says of itself: whether the store answers it, and whether
// it is isolated.
func (t *Tracker) ApplyGossip(from string, storeReachable, isolated bool) {
	t.peers[from] = peerState{storeReachable: storeReachable, isolated: isolated, at: t.state.Now}
}

// StoreReachableElsewhere tells whether a peer said lately that the store answers it.
func (t *Tracker) StoreReachableElsewhere() bool {
	for _, peer := range t.peers {
		if peer.storeReachable && peer.fresh(t.state.Now) {
			return true
		}
	}
	return false
}

// Complain notes that an agent does not reach its machine's owner: it came here (here is
// true) although it was sent there, or to another controller, which says so.
func (t *Tracker) Complain(owner, machine string, here bool) {
	t.lastHeard[machine] = t.state.Now
	if t.store.Unavailable() {
		return // the owner may be in reach and unable to renew its lease (package cancellation)
	}
	t.complaints.Add(owner, machine, here, t.state.Now)
}

// Unreachable lists the members that agents cannot reach: the agents were told the owner's
// name and keep coming here instead. A member that is found unreachable stays so for
// tuning.VotedOutFor, so that it does not enter and leave the view in turns.
func (t *Tracker) Unreachable() map[string]bool {
	unreachable := t.stillVotedOut()
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
		t.votedOut[owner] = votedOutMember{
			incarnation: t.membership.Incarnation(owner),
			until:       t.state.Now.Add(tuning.VotedOutFor),
		}
		unreachable[owner] = true
	}
	return unreachable
}

// stillVotedOut lists the members whose time outside the view is not over.
func (t *Tracker) stillVotedOut() map[string]bool {
	out := map[string]bool{}
	for name, member := range t.votedOut {
		// Only the incarnation that was out of reach: a process that ended and
		// came back starts with a clean slate.
		if t.membership.Incarnation(name) != member.incarnation {
			continue
		}
		// One that says that it still reaches no agent stays out for longer.
		peer := t.peers[name]
		if t.state.Now.Before(member.until) || peer.isolated && peer.fresh(t.state.Now) {
			out[name] = true
		}
	}
	return out
}

// Reconcile probes agents while this controller is outside the view: one that was voted out
// because agents could not reach it must not be given machines again before that is mended.
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

// probeCandidates lists the machines that are up and whose agent's address is known.
func (t *Tracker) probeCandidates() []*clusterstate.Machine {
	var candidates []*clusterstate.Machine
	for _, m := range t.state.MachinesByName() {
		if m.State == fleet.Up && m.Endpoint != "" {
			candidates = append(candidates, m)
		}
	}
	return candidates
}

// probe asks a sample of the agents for anything at all: an answer of any status counts.
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
