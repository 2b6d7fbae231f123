package cancellation

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Standing is how an owner stands to what users were told.
type Standing string

// Standings of an owner.
const (
	Proven  Standing = "proven"  // leases are renewed
	Lapsing Standing = "lapsing" // no lease is renewed: what was missed must end with it
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
	*Heard
	window time.Duration // 0: turned off, as no time is left for it
	at     time.Time     // proven up to here, zero for never
	asked  time.Time     // last round of questions
	nonce  uint64
	rounds []round // newest last
	state  Standing
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
	return &Proof{Heard: NewHeard(peers), window: window, nonce: nonce, state: Lapsing}
}

// Next is the one place where the standing changes.
func (p *Proof) Next(now time.Time) (standing Standing, changed bool) {
	next := Proven
	if !p.Renews(now) {
		next = Lapsing
	}
	changed = next != p.state
	p.state = next
	return next, changed
}

// Renews tells whether a worker's lease may be renewed now.
func (p *Proof) Renews(now time.Time) bool {
	return p.window == 0 || !p.at.IsZero() && now.Sub(p.at) < p.window
}

// Launches tells whether a task may be launched now. It may begin a call's wait later, on
// a machine whose lease was renewed last while the call was under way.
func (p *Proof) Launches(now time.Time) bool {
	return p.Renews(now.Add(min(2*tuning.CommandTimeout, p.window/2)))
}

// Age is how old the proof is.
func (p *Proof) Age(now time.Time) time.Duration { return now.Sub(p.at) }

// Basis is what a question to the state service goes by: when it was asked, and how far
// the others' logs had come by then.
type Basis struct {
	asked time.Time
	marks map[string]Mark
}

// Begin is the basis of a question to the state service that is asked now.
func (p *Proof) Begin(now time.Time) Basis { return Basis{now, p.marks()} }

// Shown takes in that the mirror shows all changes up to an answer to that question.
func (p *Proof) Shown(b Basis) {
	if b.asked.After(p.at) {
		p.at = b.asked
	}
	p.shown(b.asked, b.marks)
}

// Question is the next round's nonce, if one is due: where the state service does not
// answer, or has proven nothing for half of the time that there is.
func (p *Proof) Question(now time.Time, down bool) (nonce uint64, due bool) {
	least := p.window / 2
	if down {
		least = min(least, tuning.ProofAsk)
	}
	if p.window == 0 || p.at.IsZero() || len(p.peers) == 0 || now.Sub(p.at) < least || now.Sub(p.asked) < tuning.ProofAskEvery {
		return 0, false
	}
	p.asked = now
	p.nonce++
	if len(p.rounds) >= tuning.ProofRounds {
		p.rounds = p.rounds[1:]
	}
	p.rounds = append(p.rounds, round{p.nonce, now, map[string]uint64{}})
	return p.nonce, true
}

// Answered takes in a line that ends an answer, after its entries (Take). It counts only
// if nothing of the log is missing, and only of a process that was heard of before the
// moment proven so far: what an earlier one told since then nobody lists any more.
func (p *Proof) Answered(from string, t Told) {
	other := p.peers[from]
	if t.Nonce == 0 || other == nil || other.inc != t.Inc || other.taken < t.Upto {
		return
	}
	for i := range p.rounds {
		if p.rounds[i].nonce == t.Nonce {
			p.rounds[i].answered[from] = t.Inc
			p.close(i)
			return
		}
	}
}

// close takes a round in that all have answered, each by the process that was there at
// the moment proven so far.
func (p *Proof) close(i int) {
	r := p.rounds[i]
	for name, other := range p.peers {
		if inc, ok := r.answered[name]; !ok || inc != other.inc || !other.since.Before(p.at) {
			return
		}
	}
	if r.sent.After(p.at) {
		p.at = r.sent
	}
	p.rounds = p.rounds[i+1:]
}
