// Package reachability is what a controller knows of who reaches whom: workers that can't
// reach their owner, members that are therefore left out of the view, and whether
// this node itself reaches workers. It has no IO and no clock.
package reachability

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Env is what it is told from outside.
type Env struct {
	Log  *slog.Logger
	Rand *rand.Rand
	// Call sends a request to a worker; its answer comes back on the loop.
	Call func(endpoint, method, target string, body []byte, timeout time.Duration, done func(status int, body []byte, err error))
	// OwnerOf is the controller that a machine belongs to.
	OwnerOf func(machine string) string
	// Incarnation is that of a member's key, 0 if it has none.
	Incarnation func(name string) uint64
	// OutsideView tells whether this node is outside the view, Live whether the mirror
	// follows the store.
	OutsideView, MirrorLive func() bool
	// StoreUnavailable tells whether the state service answers nobody, as far as this node knows.
	StoreUnavailable func() bool
}

// Tracker is what one node knows.
type Tracker struct {
	*clusterstate.State
	Env

	complaints    members.Complaints
	lastHeard     map[string]time.Time // machine to last report that its owner did not get
	votedOut      map[string]votedOutMember
	peers         map[string]peerState
	isolated      bool // outside the view, and no worker answers
	pendingProbes int  // questions to workers that find out
	probedAt      time.Time
}

type peerState struct {
	stateOK  bool
	isolated bool
	at       time.Time
}

// votedOutMember is a member that workers could not reach.
type votedOutMember struct {
	incarnation uint64
	until       time.Time
}

// New makes an empty sight over a book.
func New(b *clusterstate.State, env Env) *Tracker {
	return &Tracker{State: b, Env: env, complaints: members.Complaints{}, lastHeard: map[string]time.Time{}, votedOut: map[string]votedOutMember{}, peers: map[string]peerState{}}
}

// Isolated tells whether this node is outside the view and reaches no worker.
func (si *Tracker) Isolated() bool { return si.isolated }

// LastHeard is when a machine of another owner was last heard here.
func (si *Tracker) LastHeard(machine string) time.Time { return si.lastHeard[machine] }

// LocalComplaints lists the machines whose workers came here lately.
func (si *Tracker) LocalComplaints() []string { return si.complaints.Local(si.Now) }

// ResetComplaints drops all complaints: they were about another view, or about time in
// which this node did not listen.
func (si *Tracker) ResetComplaints() { si.complaints = members.Complaints{} }

// MachineRemoved forgets a machine.
func (si *Tracker) MachineRemoved(machine string) { delete(si.lastHeard, machine) }

// ApplyGossip takes in what a peer says of itself.
func (si *Tracker) ApplyGossip(from string, stateOK, blind bool) {
	si.peers[from] = peerState{stateOK, blind, si.Now}
}

// StoreReachableElsewhere tells whether a peer said lately that the state service answers it.
func (si *Tracker) StoreReachableElsewhere() bool {
	for _, p := range si.peers {
		if p.stateOK && si.Now.Sub(p.at) < tuning.PeerFresh {
			return true
		}
	}
	return false
}

// complain notes a report by a worker that was sent to its owner.
// Complain notes that a worker is out of its owner's reach: it came here though it
// was sent there, or to another controller that says so.
func (si *Tracker) Complain(owner, machine string, here bool) {
	si.lastHeard[machine] = si.Now
	if si.StoreUnavailable() {
		return // its owner may be in reach and unable to renew its lease (package cancellation)
	}
	si.complaints.Add(owner, machine, here, si.Now)
}

// Unreachable lists the members that workers cannot reach: the workers were
// told the owner's name and keep coming here instead.
func (si *Tracker) Unreachable() map[string]bool {
	out := map[string]bool{}
	for name, o := range si.votedOut {
		// Only the incarnation that was out of reach: a process that ended and
		// came back starts with a clean slate.
		if si.Incarnation(name) != o.incarnation {
			continue
		}
		// One that says that it still reaches no worker stays out for longer.
		if p := si.peers[name]; si.Now.Before(o.until) || p.isolated && si.Now.Sub(p.at) < tuning.PeerFresh {
			out[name] = true
		}
	}
	if si.OutsideView() {
		return out
	}
	lasting := si.complaints.PersistentByOwner(si.Now, si.OwnerOf, func(owner, machine string) bool {
		_, is := si.Unresponsive[owner][machine]
		return is
	})
	if len(lasting) == 0 {
		return out
	}
	owned := map[string]int{}
	for _, m := range si.Machines {
		owned[m.Owner]++
	}
	for owner, machines := range lasting {
		if float64(machines) >= tuning.UnreachableShare*float64(owned[owner]) && !out[owner] {
			si.Log.Info("workers cannot reach a member", "member", owner, "machines", machines)
			si.votedOut[owner] = votedOutMember{si.Incarnation(owner), si.Now.Add(tuning.VotedOutFor)}
			out[owner] = true
		}
	}
	return out
}

// Reconcile looks from outside the view whether this node reaches workers: one
// that was voted out because they could not reach it must not be given machines
// again before that is mended.
func (si *Tracker) Reconcile() {
	if !si.OutsideView() {
		si.isolated = false
		return
	}
	if !si.MirrorLive() || si.pendingProbes > 0 || si.Now.Sub(si.probedAt) < tuning.IsolationProbeEvery {
		return
	}
	var up []*clusterstate.Machine
	for _, m := range si.MachinesByName() {
		if m.State == fleet.Up && m.Endpoint != "" {
			up = append(up, m)
		}
	}
	if len(up) < tuning.MinPartitionSample {
		si.isolated = false
		return
	}
	si.probedAt = si.Now
	seen := false
	for range tuning.MinPartitionSample {
		m := up[si.Rand.IntN(len(up))]
		si.pendingProbes++
		si.Call(m.Endpoint, "GET", "/show", nil, tuning.CommandTimeout, func(_ int, _ []byte, err error) {
			seen = seen || err == nil
			if si.pendingProbes--; si.pendingProbes == 0 {
				si.isolated = !seen
			}
		})
	}
}
