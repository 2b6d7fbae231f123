package cancellation

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// pair is controllers that hear one another at once, and how many lines were sent.
type pair struct {
	services map[string]*Service
	lines    int
	entries  int
	cut      bool
}

func newPair(names ...string) *pair {
	p := &pair{services: map[string]*Service{}}
	for i, name := range names {
		var peers []string
		for _, other := range names {
			if other != name {
				peers = append(peers, other)
			}
		}
		b := clusterstate.New(quota.Flat(nil), func(string) {})
		b.Now = start
		next := uint64(i+1) * 1000
		p.services[name] = New(b, Env{
			Name: name, Peers: peers, Window: 20 * time.Second, CancelFor: 60 * time.Second, Log: slog.New(slog.DiscardHandler),
			OwnerOf: func(string) string { return name }, ReviewMachine: func(string) {}, StoreUnavailable: func() bool { return false },
			Send: func(to string, m Message) {
				p.lines++
				if m.Entries != nil {
					p.entries += len(m.Entries.JobIDs)
				}
				if !m.Valid() {
					panic("a line that nobody would take")
				}
				if !p.cut {
					p.services[to].Receive(name, m)
				}
			},
		}, func() uint64 { next += 8; return next })
	}
	return p
}

// turn has a pulse pass everywhere, and each controller say how it stands.
func (p *pair) turn(d time.Duration, names ...string) {
	for _, name := range names {
		s := p.services[name]
		s.Now = s.Now.Add(d)
		s.Reconcile()
		if !p.cut {
			for _, other := range s.Peers {
				p.services[other].Receive(name, s.Handshake())
			}
		}
	}
}

// 2,000 cancellations in a second are passed on with the next pulses in a few lines, are
// confirmed, and are not passed on again.
func TestSwarm(t *testing.T) {
	p := newPair("n0", "n1", "n2")
	all := []string{"n0", "n1", "n2"}
	p.turn(time.Second, all...)
	p.lines = 0
	for pulse := range 10 {
		for i := range 200 {
			p.services["n0"].Acknowledge(fmt.Sprintf("wk-%06d", pulse*200+i))
		}
		p.turn(100*time.Millisecond, all...)
	}
	for _, name := range all {
		if got := len(p.services[name].jobs); got != 2000 {
			t.Errorf("%s knows %d", name, got)
		}
	}
	if p.lines > 2*10 || p.entries != 2*2000 {
		t.Errorf("%d lines, %d entries", p.lines, p.entries)
	}
	p.lines = 0
	for range 50 {
		p.turn(100*time.Millisecond, all...)
	}
	if p.lines != 0 {
		t.Errorf("%d lines after all was confirmed", p.lines)
	}
}

// What is not confirmed is passed on again, once a second and no more than its time.
func TestToldAgain(t *testing.T) {
	p := newPair("n0", "n1")
	p.turn(time.Second, "n0", "n1")
	p.cut = true
	p.lines = 0
	p.services["n0"].Acknowledge("wk-000001")
	for range 20 {
		p.turn(100*time.Millisecond, "n0", "n1")
	}
	if p.lines < 2 || p.lines > 4 {
		t.Errorf("%d lines in two seconds", p.lines)
	}
	p.cut = false
	p.turn(tuning.AckResend, "n0", "n1")
	if !p.services["n1"].Cancelled("wk-000001") {
		t.Error("not known once the way is open")
	}
	p.lines = 0
	p.turn(2*tuning.AckResend, "n0", "n1")
	p.turn(2*tuning.AckResend, "n0", "n1")
	if p.lines != 0 {
		t.Errorf("%d lines after it was confirmed", p.lines)
	}
}
