// Package sight is what a controller knows of who reaches whom: workers that can't
// reach their owner, members that are therefore left out of the view, and whether
// this node itself reaches workers. It has no IO and no clock.
package sight

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/harrierreel/harrierreel/internal/book"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Env is what it is told from outside.
type Env struct {
	Log    *slog.Logger
	Chance *rand.Rand
	// Call sends a request to a worker; its answer comes back on the loop.
	Call func(endpoint, method, target string, body []byte, timeout time.Duration, done func(status int, body []byte, err error))
	// OwnerOf is the controller that a machine belongs to.
	OwnerOf func(host string) string
	// Incarnation is that of a member's key, 0 if it has none.
	Incarnation func(name string) uint64
	// Outside tells whether this node is outside the view, Live whether the mirror
	// follows the store.
	Outside, Live func() bool
	// Down tells whether the state service answers nobody, as far as this node knows.
	Down func() bool
}

// Sight is what one node knows.
type Sight struct {
	*book.Book
	Env

	complaints members.Complaints
	heard      map[string]time.Time // machine to last report that its owner did not get
	outUntil   map[string]votedOut
	peers      map[string]peerState
	blind      bool // outside the view, and no worker answers
	looking    int  // questions to workers that find out
	lookedAt   time.Time
}

type peerState struct {
	stateOK bool
	blind   bool
	at      time.Time
}

// votedOut is a member that workers could not reach.
type votedOut struct {
	inc   uint64
	until time.Time
}

// New makes an empty sight over a book.
func New(b *book.Book, env Env) *Sight {
	return &Sight{Book: b, Env: env, complaints: members.Complaints{}, heard: map[string]time.Time{}, outUntil: map[string]votedOut{}, peers: map[string]peerState{}}
}

// Blind tells whether this node is outside the view and reaches no worker.
func (si *Sight) Blind() bool { return si.blind }

// Heard is when a machine of another owner was last heard here.
func (si *Sight) Heard(host string) time.Time { return si.heard[host] }

// Here lists the machines whose workers came here lately.
func (si *Sight) Here() []string { return si.complaints.Here(si.Now) }

// Forget drops all complaints: they were about another view, or about time in
// which this node did not listen.
func (si *Sight) Forget() { si.complaints = members.Complaints{} }

// HostGone forgets a machine.
func (si *Sight) HostGone(host string) { delete(si.heard, host) }

// Hint takes in what a peer says of itself.
func (si *Sight) Hint(from string, stateOK, blind bool) {
	si.peers[from] = peerState{stateOK, blind, si.Now}
}

// StateElsewhere tells whether a peer said lately that the state service answers it.
func (si *Sight) StateElsewhere() bool {
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
func (si *Sight) Complain(owner, host string, here bool) {
	si.heard[host] = si.Now
	if si.Down() {
		return // its owner may be in reach and unable to renew its lease (package cancellation)
	}
	si.complaints.Note(owner, host, here, si.Now)
}

// Unreachable lists the members that workers cannot reach: the workers were
// told the owner's name and keep coming here instead.
func (si *Sight) Unreachable() map[string]bool {
	out := map[string]bool{}
	for name, o := range si.outUntil {
		// Only the incarnation that was out of reach: a process that ended and
		// came back starts with a clean slate.
		if si.Incarnation(name) != o.inc {
			continue
		}
		// One that says that it still reaches no worker stays out for longer.
		if p := si.peers[name]; si.Now.Before(o.until) || p.blind && si.Now.Sub(p.at) < tuning.PeerFresh {
			out[name] = true
		}
	}
	if si.Outside() {
		return out
	}
	lasting := si.complaints.Lasting(si.Now, si.OwnerOf, func(owner, host string) bool {
		_, is := si.Quiet[owner][host]
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
		if float64(machines) >= tuning.SilentShare*float64(owned[owner]) && !out[owner] {
			si.Log.Info("workers cannot reach a member", "member", owner, "machines", machines)
			si.outUntil[owner] = votedOut{si.Incarnation(owner), si.Now.Add(tuning.OutFor)}
			out[owner] = true
		}
	}
	return out
}

// Keep looks from outside the view whether this node reaches workers: one
// that was voted out because they could not reach it must not be given machines
// again before that is mended.
func (si *Sight) Keep() {
	if !si.Outside() {
		si.blind = false
		return
	}
	if !si.Live() || si.looking > 0 || si.Now.Sub(si.lookedAt) < tuning.LookEvery {
		return
	}
	var up []*book.Machine
	for _, m := range si.ByName() {
		if m.State == fleet.Up && m.Endpoint != "" {
			up = append(up, m)
		}
	}
	if len(up) < tuning.CutLeast {
		si.blind = false
		return
	}
	si.lookedAt = si.Now
	seen := false
	for range tuning.CutLeast {
		m := up[si.Chance.IntN(len(up))]
		si.looking++
		si.Call(m.Endpoint, "GET", "/show", nil, tuning.CommandTimeout, func(_ int, _ []byte, err error) {
			seen = seen || err == nil
			if si.looking--; si.looking == 0 {
				si.blind = !seen
			}
		})
	}
}
