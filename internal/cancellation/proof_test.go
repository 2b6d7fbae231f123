package cancellation

import (
	"testing"
	"time"
)

var start = time.UnixMilli(1e12)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

// newProvenProof is a proof with the peer n1, whose incarnation 7 was received from at 1 s, proven at 10 s.
func newProvenProof() *Proof {
	p := NewProof([]string{"n1"}, 20*time.Second, 100)
	p.Receive("n1", AckEntries{Incarnation: 7, LogLength: 3}, at(1))
	p.StoreQueryAnswered(p.BeginStoreQuery(at(10)))
	return p
}

// beginRound begins a query round.
func beginRound(t *testing.T, p *Proof, s float64) (nonce uint64) {
	t.Helper()
	nonce, due := p.NextQuery(at(s), true)
	if !due {
		t.Fatalf("no query due at %v s", s)
	}
	return nonce
}

// receive handles a peer's message as the service does.
func receive(p *Proof, peer string, s float64, entries AckEntries) {
	p.Receive(peer, entries, at(s))
	p.PeerAnswered(peer, entries)
}

func TestWindowIsWhatLeaseAndMarginLeaveOfCancelTime(t *testing.T) {
	for _, c := range []struct{ leaseS, cancelS, wantS float64 }{
		{16, 41, 23.459},
		{42, 62, 18.438},
		{38, 63, 23.437},
		{60, 60, 0},
		{200, 60, 0},
	} {
		if got := Window(c.leaseS, c.cancelS).Seconds(); got < c.wantS-0.001 || got > c.wantS+0.001 {
			t.Errorf("lease %v, cancel %v: %v s", c.leaseS, c.cancelS, got)
		}
	}
}

// The state service proves a time; entries acknowledged before it that were received are no longer asked for, and are
// dropped.
func TestStoreAnswerProvesItsRequestTime(t *testing.T) {
	p := newProvenProof()
	if p.MayRenewLeases(at(29.9)) != true || p.MayRenewLeases(at(30)) || p.MayLaunch(at(28)) {
		t.Error("leases are not renewed until just before 20 s after the proof")
	}
	if got := p.Received()["n1"]; got != (LogPosition{7, 3}) {
		t.Errorf("received %v", got)
	}
	p.Receive("n1", AckEntries{Incarnation: 7, First: 4, JobIDs: []string{"wk-000004"}, LogLength: 4}, at(12))
	query := p.BeginStoreQuery(at(13))
	p.Receive("n1", AckEntries{Incarnation: 7, First: 5, JobIDs: []string{"wk-000005"}, LogLength: 5}, at(14))
	p.StoreQueryAnswered(query)
	if p.Cancelled("wk-000004") || !p.Cancelled("wk-000005") {
		t.Error("the mirror shows what was acknowledged before the request, and no more")
	}
}

// Without the state service an answer of each other controller proves the time of the query, if no entry of its log is
// missing and it is the incarnation that was there at the time proven before.
func TestPeerAnswersProveTheirQueryTime(t *testing.T) {
	complete := func(nonce uint64) AckEntries {
		return AckEntries{Incarnation: 7, First: 4, JobIDs: []string{"wk-000004"}, LogLength: 4, Nonce: nonce}
	}
	for name, c := range map[string]struct {
		answer func(p *Proof, nonce uint64)
		want   bool
	}{
		"complete": {func(p *Proof, nonce uint64) { receive(p, "n1", 15, complete(nonce)) }, true},
		"in two messages": {func(p *Proof, nonce uint64) {
			receive(p, "n1", 15, AckEntries{Incarnation: 7, First: 4, JobIDs: []string{"wk-000004"}, LogLength: 5})
			receive(p, "n1", 15, AckEntries{Incarnation: 7, First: 5, JobIDs: []string{"wk-000005"}, LogLength: 5, Nonce: nonce})
		}, true},
		"first of two messages lost": {func(p *Proof, nonce uint64) {
			receive(p, "n1", 15, AckEntries{Incarnation: 7, First: 5, JobIDs: []string{"wk-000005"}, LogLength: 5, Nonce: nonce})
		}, false},
		"entries dropped by the peer": {func(p *Proof, nonce uint64) {
			receive(p, "n1", 15, AckEntries{Incarnation: 7, First: 9, JobIDs: []string{"wk-000009"}, LogLength: 9, Nonce: nonce})
		}, false},
		"to no query":         {func(p *Proof, _ uint64) { receive(p, "n1", 15, complete(0)) }, false},
		"to an earlier query": {func(p *Proof, nonce uint64) { receive(p, "n1", 15, complete(nonce-1)) }, false},
		"of another incarnation": {func(p *Proof, nonce uint64) {
			receive(p, "n1", 15, AckEntries{Incarnation: 8, LogLength: 0, Nonce: nonce})
		}, false},
		"of another incarnation, before a message of the old one": {func(p *Proof, nonce uint64) {
			receive(p, "n1", 15, AckEntries{Incarnation: 8, LogLength: 0, Nonce: nonce})
			receive(p, "n1", 15.1, AckEntries{Incarnation: 7, LogLength: 3})
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := newProvenProof()
			c.answer(p, beginRound(t, p, 14))
			if got := p.MayRenewLeases(at(33)); got != c.want {
				t.Errorf("proven %v, not %v", got, c.want)
			}
		})
	}
}

// An incarnation whose first message came after the time proven so far proves nothing until the state service has
// answered: what the one before it acknowledged is in no log.
func TestRestartedPeerProvesNothingBeforeNextStoreAnswer(t *testing.T) {
	p := newProvenProof()
	p.Receive("n1", AckEntries{Incarnation: 8, LogLength: 0}, at(12))
	nonce := beginRound(t, p, 14)
	receive(p, "n1", 15, AckEntries{Incarnation: 8, LogLength: 0, Nonce: nonce})
	if p.MayRenewLeases(at(31)) {
		t.Error("proven by an incarnation that started meanwhile")
	}
	p.StoreQueryAnswered(p.BeginStoreQuery(at(20)))
	nonce = beginRound(t, p, 30)
	receive(p, "n1", 31, AckEntries{Incarnation: 8, LogLength: 0, Nonce: nonce})
	if !p.MayRenewLeases(at(45)) {
		t.Error("not proven, though the incarnation was there at the last proof")
	}
}

func TestProofNeedsAnswersOfAllPeers(t *testing.T) {
	p := NewProof([]string{"n1", "n2"}, 20*time.Second, 100)
	for _, peer := range []string{"n1", "n2"} {
		p.Receive(peer, AckEntries{Incarnation: 7, LogLength: 0}, at(1))
	}
	p.StoreQueryAnswered(p.BeginStoreQuery(at(10)))
	nonce := beginRound(t, p, 14)
	receive(p, "n1", 15, AckEntries{Incarnation: 7, Nonce: nonce})
	if p.MayRenewLeases(at(31)) {
		t.Error("proven by one of two")
	}
	receive(p, "n2", 16, AckEntries{Incarnation: 7, Nonce: nonce})
	if !p.MayRenewLeases(at(31)) || p.MayRenewLeases(at(34)) {
		t.Error("not proven up to the query, at 14 s")
	}
}
