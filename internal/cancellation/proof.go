package cancellation

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// ProofState is how an owner stands to what users were told.
type ProofState string

// Standings of an owner.
const (
	Proven  ProofState = "proven"  // leases are renewed
	Lapsing ProofState = "lapsing" // no lease is renewed: what was missed must end with it
)

// Proof is up to which moment an owner has heard of every cancellation told to any user,
// and what follows from that. A worker's lease ends lease_s after it *sent* the last
// report that was answered 200. So if no 200 leaves later than cancel_s - lease_s after
// that moment, less a margin, then whatever was told after it is gone within cancel_s,
// even on a machine that nobody else reaches.
//
// Two things prove it. The mirror, at an epoch that the state service answered to a
// question asked at that moment: a cancellation is committed before it is told. Or, with
// the state service away, an answer of each controller that the settings name to a
// question sent at that moment, with all that its process has told.
type Proof struct {
	*PeerAcks
	window    time.Duration // 0: turned off, as no time is left for it
	provenAt  time.Time     // proven up to here, zero for never
	queriedAt time.Time     // last round of questions
	nonce     uint64
	rounds    []round // newest last
	state     ProofState
}

// round is one question to each of the others.
type round struct {
	nonce    uint64
	sent     time.Time
	answered map[string]uint64 // by which process
}

// Window is how long after the proven moment leases may be renewed, 0 where the settings
// leave no time for it (the program refuses such settings at its start).
func Window(leaseS, cancelS float64) time.Duration {
	w := time.Duration((cancelS*(1-tuning.ProofDrift)-leaseS)*float64(time.Second)) - tuning.ProofMargin
	return max(w, 0)
}

// NewProof makes the proof of a process that has proven nothing. Nonces begin with its
// own: an answer to an earlier process's question must not pass for one to its own.
func NewProof(peers []string, window time.Duration, nonce uint64) *Proof {
	return &Proof{PeerAcks: NewPeerAcks(peers), window: window, nonce: nonce, state: Lapsing}
}

// Advance is the one place where the standing changes.
func (p *Proof) Advance(now time.Time) (standing ProofState, changed bool) {
	next := Proven
	if !p.MayRenewLeases(now) {
		next = Lapsing
	}
	changed = next != p.state
	p.state = next
	return next, changed
}

// MayRenewLeases tells whether a worker's lease may be renewed now.
func (p *Proof) MayRenewLeases(now time.Time) bool {
	return p.window == 0 || !p.provenAt.IsZero() && now.Sub(p.provenAt) < p.window
}

// MayLaunch tells whether a task may be launched now. It may begin a call's wait later, on
// a machine whose lease was renewed last while the call was under way.
func (p *Proof) MayLaunch(now time.Time) bool {
	return p.MayRenewLeases(now.Add(min(2*tuning.CommandTimeout, p.window/2)))
}

// Age is how old the proof is.
func (p *Proof) Age(now time.Time) time.Duration { return now.Sub(p.provenAt) }

// StoreQuery is what a question to the state service goes by: when it was asked, and how far
// the others' logs had come by then.
type StoreQuery struct {
	asked      time.Time
	logLengths map[string]LogPosition
}

// BeginStoreQuery is the basis of a question to the state service that is asked now.
func (p *Proof) BeginStoreQuery(now time.Time) StoreQuery { return StoreQuery{now, p.logLengths()} }

// StoreQueryAnswered takes in that the mirror shows all changes up to an answer to that question.
func (p *Proof) StoreQueryAnswered(b StoreQuery) {
	if b.asked.After(p.provenAt) {
		p.provenAt = b.asked
	}
	p.mirrorCaughtUp(b.asked, b.logLengths)
}

// NextQuery is the next round's nonce, if one is due: where the state service does not
// answer, or has proven nothing for half of the time that there is.
func (p *Proof) NextQuery(now time.Time, down bool) (nonce uint64, due bool) {
	least := p.window / 2
	if down {
		least = min(least, tuning.ProofQueryAfter)
	}
	if p.window == 0 || p.provenAt.IsZero() || len(p.peers) == 0 || now.Sub(p.provenAt) < least || now.Sub(p.queriedAt) < tuning.ProofQueryEvery {
		return 0, false
	}
	p.queriedAt = now
	p.nonce++
	if len(p.rounds) >= tuning.ProofRounds {
		p.rounds = p.rounds[1:]
	}
	p.rounds = append(p.rounds, round{p.nonce, now, map[string]uint64{}})
	return p.nonce, true
}

// PeerAnswered takes in a line that ends an answer, after its entries (Take). It counts only
// if nothing of the log is missing, and only of a process that was heard of before the
// moment proven so far: what an earlier one told since then nobody lists any more.
func (p *Proof) PeerAnswered(from string, t AckEntries) {
	other := p.peers[from]
	if t.Nonce == 0 || other == nil || other.incarnation != t.Incarnation || other.received < t.LogLength {
		return
	}
	for i := range p.rounds {
		if p.rounds[i].nonce == t.Nonce {
			p.rounds[i].answered[from] = t.Incarnation
			p.closeRound(i)
			return
		}
	}
}

// closeRound takes a round in that all have answered, each by the process that was there at
// the moment proven so far.
func (p *Proof) closeRound(i int) {
	r := p.rounds[i]
	for name, other := range p.peers {
		if incarnation, ok := r.answered[name]; !ok || incarnation != other.incarnation || !other.since.Before(p.provenAt) {
			return
		}
	}
	if r.sent.After(p.provenAt) {
		p.provenAt = r.sent
	}
	p.rounds = p.rounds[i+1:]
}
