package readconsistency

import (
	"maps"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// PeerQuery asks another controller which ends of jobs it has acknowledged recently.
type PeerQuery struct {
	Nonce uint64 `json:"nonce"`
	AgeMs int64  `json:"age_ms"` // how far back the answer has to go
}

// PeerAnswer is the complete answer to a PeerQuery.
type PeerAnswer struct {
	Nonce uint64                      `json:"nonce"`
	Ended map[string]jobs.StoredState `json:"ended,omitempty"` // by job ID
}

// Valid reports whether the query could have been sent by a controller. No query (nil) is valid.
func (q *PeerQuery) Valid() bool { return q == nil || q.Nonce != 0 && q.AgeMs >= 0 }

// Valid reports whether the answer could have been sent by a controller. No answer (nil) is valid.
func (a *PeerAnswer) Valid() bool {
	return a == nil || a.Nonce != 0 && (&Acks{Ended: a.Ended}).Valid()
}

// AnswerQuery returns the answer to a query of another controller. It returns false if the answer
// would be incomplete: the log does not go back far enough, because the process has just started or
// has acknowledged too much since, or the answer does not fit into a message.
func (l *AckLog) AnswerQuery(query PeerQuery, now time.Time) (PeerAnswer, bool) {
	since := now.Add(-time.Duration(query.AgeMs) * time.Millisecond)
	if l.completeSince.IsZero() || since.Before(l.completeSince) {
		return PeerAnswer{}, false
	}
	answer := PeerAnswer{Nonce: query.Nonce, Ended: map[string]jobs.StoredState{}}
	for jobID, ack := range l.acks {
		if ack.state.State != jobs.Live && !ack.recordedAt.Before(since) {
			answer.Ended[jobID] = ack.state
		}
	}
	return answer, len(answer.Ended) <= tuning.MaxAcksPerLine
}

// PeerProof proves, while the state service is slow, that this controller knows every end of a job
// that any controller has acknowledged: every other controller has answered a query with what it
// has acknowledged since a given time, and the query was sent at most tuning.MaxReadAge ago. What a
// controller records after its answer, it acknowledges no sooner than tuning.AckDelay later.
type PeerProof struct {
	peers         []string
	nonce         uint64
	sentAt        time.Time       // of the last query
	completeSince time.Time       // the ends acknowledged since then are known once all have answered
	unanswered    map[string]bool // the peers that have not answered the last query
}

// NewPeerProof returns a proof for a controller with the given peers. The nonce should be random, so
// that an answer to an earlier process is not taken for one to this process.
func NewPeerProof(peers []string, nonce uint64) *PeerProof {
	return &PeerProof{peers: peers, nonce: nonce}
}

// Begin begins a new query, which replaces the last one. Its answers cover all acknowledgements
// since the given time.
func (p *PeerProof) Begin(since, now time.Time) PeerQuery {
	p.nonce++
	p.sentAt, p.completeSince = now, since
	p.unanswered = map[string]bool{}
	for _, name := range p.peers {
		p.unanswered[name] = true
	}
	// A peer counts the age back from the arrival of the query.
	return PeerQuery{Nonce: p.nonce, AgeMs: (now.Sub(since) + tuning.MaxReadAge).Milliseconds()}
}

// SinceLastQuery returns the time since the last query was sent.
func (p *PeerProof) SinceLastQuery(now time.Time) time.Duration { return now.Sub(p.sentAt) }

// Answered records an answer, whose content the AckLog has already recorded.
func (p *PeerProof) Answered(from string, answer PeerAnswer) {
	if answer.Nonce == p.nonce {
		delete(p.unanswered, from)
	}
}

// Unanswered returns the names of the peers that have not answered the last query, sorted.
func (p *PeerProof) Unanswered() []string { return slices.Sorted(maps.Keys(p.unanswered)) }

// Covers reports whether all ends of jobs that were acknowledged since the given time are known now.
func (p *PeerProof) Covers(since, now time.Time) bool {
	if len(p.peers) == 0 {
		return true
	}
	return len(p.unanswered) == 0 && !since.Before(p.completeSince) && now.Sub(p.sentAt) <= tuning.MaxReadAge
}
