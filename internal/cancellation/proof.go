package cancellation

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// ProofState is whether an owner's proof of knowledge is recent enough to renew leases.
type ProofState string

// The states of a proof.
const (
	ProofValid   ProofState = "valid"   // leases are renewed
	ProofExpired ProofState = "expired" // no lease is renewed: tasks of cancellations not received end by lease expiry
)

// Proof is the time up to which the owner of a shard provably knows every cancellation that any controller has
// acknowledged to a user, and what follows for leases. A worker's lease expires lease_s after the worker *sent* the
// last heartbeat that was answered 200. So if no 200 leaves later than cancel_s - lease_s after the proven time, less
// a margin, then the tasks of every cancellation acknowledged after it are gone within cancel_s, even on a machine
// that no other controller reaches.
//
// There are two ways to prove a time. The first is the mirror, at an epoch which the state service returned to a
// request sent at that time: a cancellation is committed before it is acknowledged. The second, while the state
// service is unavailable, is an answer by every controller that the settings name to a query sent at that time, with
// all entries of its process's log.
type Proof struct {
	peerAcks  *PeerAcks
	window    time.Duration // see Window; 0 turns the proof off: leases are always renewed
	provenAt  time.Time     // zero for never
	queriedAt time.Time     // when the last query round began
	nonce     uint64        // of the last query round
	rounds    []queryRound  // newest last
	state     ProofState
}

// queryRound is one query to all other controllers.
type queryRound struct {
	nonce    uint64
	sentAt   time.Time
	answered map[string]uint64 // by peer, the incarnation that answered
}

// Window is how long after the proven time leases may be renewed. It is 0 where the settings leave no time for it; the
// program refuses such settings at its start. Both parameters are in seconds.
func Window(leaseS, cancelS float64) time.Duration {
	window := time.Duration((cancelS*(1-tuning.ProofDrift)-leaseS)*float64(time.Second)) - tuning.ProofMargin
	return max(window, 0)
}

// NewProof makes the proof of a process that has proven nothing yet. The nonce should be random: an answer to a query
// of an earlier process of this controller must not be taken for an answer to this one's.
func NewProof(peers []string, window time.Duration, nonce uint64) *Proof {
	return &Proof{peerAcks: NewPeerAcks(peers), window: window, nonce: nonce, state: ProofExpired}
}

// Advance updates the state; it changes nowhere else.
func (p *Proof) Advance(now time.Time) (state ProofState, changed bool) {
	state = ProofValid
	if !p.MayRenewLeases(now) {
		state = ProofExpired
	}
	changed = state != p.state
	p.state = state
	return state, changed
}

// MayRenewLeases reports whether a worker's lease may be renewed now.
func (p *Proof) MayRenewLeases(now time.Time) bool {
	return p.window == 0 || !p.provenAt.IsZero() && now.Sub(p.provenAt) < p.window
}

// MayLaunch reports whether a task may be launched now. It is stricter than MayRenewLeases, since the task may start as
// late as the call's timeout, on a machine whose lease was last renewed while the call was under way.
func (p *Proof) MayLaunch(now time.Time) bool {
	return p.MayRenewLeases(now.Add(min(2*tuning.CommandTimeout, p.window/2)))
}

// Age is the time since the proven time.
func (p *Proof) Age(now time.Time) time.Duration { return now.Sub(p.provenAt) }

// Cancelled reports whether a job is known to be cancelled by an acknowledgement, though the mirror may not show it.
func (p *Proof) Cancelled(jobID string) bool { return p.peerAcks.Cancelled(jobID) }

// Received is the position up to which each other controller's log was received.
func (p *Proof) Received() map[string]LogPosition { return p.peerAcks.Received() }

// Receive enters a peer's message and returns the jobs that are new (PeerAcks.Receive).
func (p *Proof) Receive(from string, entries AckEntries, now time.Time) []string {
	return p.peerAcks.Receive(from, entries, now)
}

// StoreQuery is a request to the state service: when it was sent, and how long the other controllers' logs were then.
type StoreQuery struct {
	sentAt     time.Time
	logLengths map[string]LogPosition
}

// BeginStoreQuery notes that a request to the state service is sent now.
func (p *Proof) BeginStoreQuery(now time.Time) StoreQuery {
	return StoreQuery{now, p.peerAcks.logLengths()}
}

// StoreQueryAnswered notes that the mirror shows all changes up to the answer to that request.
func (p *Proof) StoreQueryAnswered(query StoreQuery) {
	if query.sentAt.After(p.provenAt) {
		p.provenAt = query.sentAt
	}
	p.peerAcks.mirrorCaughtUp(query.sentAt, query.logLengths)
}

// NextQuery begins a query round to the other controllers, if one is due, and returns its nonce. A round is due where
// the state service is unavailable, or has proven nothing for half of the window.
func (p *Proof) NextQuery(now time.Time, storeUnavailable bool) (nonce uint64, due bool) {
	minAge := p.window / 2
	if storeUnavailable {
		minAge = min(minAge, tuning.ProofQueryAfter)
	}
	if p.window == 0 || p.provenAt.IsZero() || len(p.peerAcks.peers) == 0 {
		return 0, false
	}
	if now.Sub(p.provenAt) < minAge || now.Sub(p.queriedAt) < tuning.ProofQueryEvery {
		return 0, false
	}
	p.queriedAt = now
	p.nonce++
	if len(p.rounds) >= tuning.ProofRounds {
		p.rounds = p.rounds[1:]
	}
	p.rounds = append(p.rounds, queryRound{p.nonce, now, map[string]uint64{}})
	return p.nonce, true
}

// PeerAnswered notes the last message of an answer, after Receive has entered its entries. It counts only if no entry
// of the peer's log is missing, and only by an incarnation whose first message came before the proven time: what an
// earlier incarnation has acknowledged since then is in no log any more.
func (p *Proof) PeerAnswered(from string, entries AckEntries) {
	peer := p.peerAcks.peers[from]
	if entries.Nonce == 0 || peer == nil || peer.incarnation != entries.Incarnation || peer.received < entries.LogLength {
		return
	}
	for i := range p.rounds {
		if p.rounds[i].nonce == entries.Nonce {
			p.rounds[i].answered[from] = entries.Incarnation
			p.closeRound(i)
			return
		}
	}
}

// closeRound proves the time at which a round was sent, if all peers have answered it, each by the incarnation that was
// there at the time proven before.
func (p *Proof) closeRound(i int) {
	round := p.rounds[i]
	for name, peer := range p.peerAcks.peers {
		incarnation, ok := round.answered[name]
		if !ok || incarnation != peer.incarnation || !peer.since.Before(p.provenAt) {
			return
		}
	}
	if round.sentAt.After(p.provenAt) {
		p.provenAt = round.sentAt
	}
	p.rounds = p.rounds[i+1:]
}
