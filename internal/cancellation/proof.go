package cancellation

import (
	"maps"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// ProofState is whether the proof of an owner is recent enough to renew leases.
type ProofState string

// Proof states.
const (
	ProofValid   ProofState = "valid"   // leases are renewed
	ProofExpired ProofState = "expired" // no leases are renewed; tasks with unknown cancellations end by lease expiry
)

// Proof tracks the time up to which the owner of a shard provably knows every cancellation that any
// controller has acknowledged to a user, and whether it may therefore renew leases. A worker's
// lease expires lease_s after the worker *sent* the last heartbeat that was answered with 200. If
// no 200 is sent later than cancel_s - lease_s after the proven time, less a margin, then the tasks
// of every cancellation acknowledged after the proven time have ended within cancel_s, even on a
// machine that no other controller can reach.
//
// There are two ways to prove a time. The first is the mirror: it must have reached an epoch that
// the state service returned to a request sent at that time, since a cancellation is committed
// before it is acknowledged. The second is used while the state service is unavailable: every
// controller in the settings must answer a query sent at that time with all entries of its log.
//
// Launches need more, since no task of a job may be started once its user was told that it is
// cancelled: they rest on the state service alone, either on the mirror or on a comparison of the
// job's record, and only for tuning.LaunchLease. A controller that this one has not confirmed a
// cancellation to tells the user tuning.AckHold after the cancellation was committed, by when every
// proof from before the commit has lapsed. An answer of a peer does not serve: what a peer has learned
// from its mirror enters its log only when it tells a user.
type Proof struct {
	peerAcks *PeerAcks
	window   time.Duration // see Window; 0 disables the proof: leases are always renewed
	provenAt time.Time     // zero if nothing has been proven
	mirrorAt time.Time     // the newest time that the mirror proved; zero if none

	// verifiedAt holds, by job, the newest time at which its record is proven to be as the mirror shows it.
	verifiedAt map[string]time.Time

	queriedAt time.Time    // start of the last query round
	nonce     uint64       // of the last query round
	rounds    []queryRound // oldest first
	state     ProofState
}

// queryRound is a query that is sent to all other controllers.
type queryRound struct {
	nonce    uint64
	sentAt   time.Time
	answered map[string]uint64 // by peer, the incarnation that answered
}

// Window returns how long after the proven time leases may be renewed. It returns 0 if the settings
// leave no time for that; the program rejects such settings at startup. Both parameters are in
// seconds.
func Window(leaseS, cancelS float64) time.Duration {
	window := time.Duration((cancelS*(1-tuning.ProofDrift)-leaseS)*float64(time.Second)) - tuning.ProofMargin
	return max(window, 0)
}

// NewProof returns the proof of a process that has proven nothing yet. The nonce should be random,
// so that an answer to a query by an earlier process of this controller is not taken for an answer
// to a query by this one.
func NewProof(peers []string, window time.Duration, nonce uint64) *Proof {
	return &Proof{
		peerAcks:   NewPeerAcks(peers),
		window:     window,
		nonce:      nonce,
		state:      ProofExpired,
		verifiedAt: map[string]time.Time{},
	}
}

// Advance updates the state and reports whether it changed. The state changes only here.
func (p *Proof) Advance(now time.Time) (state ProofState, changed bool) {
	state = ProofValid
	if !p.MayRenewLeases(now) {
		state = ProofExpired
	}
	changed = state != p.state
	p.state = state
	return state, changed
}

// MayRenewLeases reports whether leases of workers may be renewed now.
func (p *Proof) MayRenewLeases(now time.Time) bool {
	return p.window == 0 || !p.provenAt.IsZero() && now.Sub(p.provenAt) < p.window
}

// LaunchUntil returns the time until which launches of a job that is not known to be cancelled may be
// sent.
func (p *Proof) LaunchUntil(jobID string) time.Time {
	provenAt := p.mirrorAt
	if at := p.verifiedAt[jobID]; at.After(provenAt) {
		provenAt = at
	}
	return provenAt.Add(tuning.LaunchLease)
}

// JobsVerified records that the state service, in answer to a request sent at sentAt, found the
// records of the jobs to be as the mirror shows them. What serves no launch any more is dropped.
func (p *Proof) JobsVerified(jobIDs []string, sentAt time.Time) {
	maps.DeleteFunc(p.verifiedAt, func(_ string, at time.Time) bool {
		return at.Add(tuning.LaunchLease).Before(sentAt)
	})
	for _, jobID := range jobIDs {
		if sentAt.After(p.verifiedAt[jobID]) {
			p.verifiedAt[jobID] = sentAt
		}
	}
}

// Age returns the time since the proven time.
func (p *Proof) Age(now time.Time) time.Duration { return now.Sub(p.provenAt) }

// Cancelled reports whether a job is known to be cancelled from an acknowledgement, even if the
// mirror does not show it yet.
func (p *Proof) Cancelled(jobID string) bool { return p.peerAcks.Cancelled(jobID) }

// Received returns the position up to which each other controller's log was received.
func (p *Proof) Received() map[string]LogPosition { return p.peerAcks.Received() }

// Receive processes a message of a peer and returns the jobs that were not known before
// (PeerAcks.Receive).
func (p *Proof) Receive(from string, entries AckEntries, now time.Time) []string {
	return p.peerAcks.Receive(from, entries, now)
}

// StoreQuery describes a request to the state service: when it was sent, and how long the other
// controllers' logs were at that time.
type StoreQuery struct {
	sentAt     time.Time
	logLengths map[string]LogPosition
}

// BeginStoreQuery records that a request to the state service is being sent now.
func (p *Proof) BeginStoreQuery(now time.Time) StoreQuery {
	return StoreQuery{now, p.peerAcks.logLengths()}
}

// StoreQueryAnswered records that the mirror shows all changes up to the answer to the request.
func (p *Proof) StoreQueryAnswered(query StoreQuery) {
	if query.sentAt.After(p.provenAt) {
		p.provenAt = query.sentAt
	}
	if query.sentAt.After(p.mirrorAt) {
		p.mirrorAt = query.sentAt
	}
	p.peerAcks.mirrorCaughtUp(query.sentAt, query.logLengths)
}

// NextQuery begins a query round to the other controllers if one is due, and returns its nonce. A
// round is due if the state service is unavailable, or if it has proven nothing for half of the
// window.
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

// PeerAnswered processes the last message of an answer, after Receive has processed its entries.
// The answer counts only if no entry of the peer's log is missing, and only from an incarnation
// whose first message arrived before the proven time: an earlier incarnation may have acknowledged
// cancellations since then that are in no log any more.
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

// closeRound marks the send time of a round as proven if all peers have answered, each from the
// incarnation that it had at the previously proven time.
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
