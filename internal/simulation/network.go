package simulation

import (
	"errors"
	"strings"
	"time"
)

type cutMode int

const (
	cutNone cutMode = iota
	cutDrop         // packets are lost
	cutHold         // packets are delivered once the cut ends
)

// Cut interrupts what goes from one party to another; "*" stands for any.
// With hold, packets arrive once the cut ends.
func (sim *Simulator) Cut(from, to string, held bool) {
	sim.cuts[from+">"+to] = cutDrop
	if held {
		sim.cuts[from+">"+to] = cutHold
	}
}

// Heal ends a cut and delivers what was held.
func (sim *Simulator) Heal(from, to string) { sim.heal(from + ">" + to) }

func (sim *Simulator) heal(key string) {
	delete(sim.cuts, key)
	fs := sim.heldPackets[key]
	delete(sim.heldPackets, key)
	for _, f := range fs {
		sim.After(sim.latency(), f)
	}
}

func (sim *Simulator) latency() time.Duration {
	return time.Millisecond + time.Duration(sim.RNG.IntN(3000))*time.Microsecond
}

// packet carries f from one party to another. A party's name may carry a
// channel after a colon, which can be cut by itself.
func (sim *Simulator) packet(from, to string, f func()) { sim.deliver(from, to, sim.latency, f) }

// gossipLatency is that of lines with a chance of their own.
func (sim *Simulator) gossipLatency() time.Duration {
	return time.Millisecond + time.Duration(sim.gossipRNG.IntN(3000))*time.Microsecond
}

func (sim *Simulator) deliver(from, to string, latency func() time.Duration, f func()) {
	if sim.separatedByZone(from, to) {
		return
	}
	base, _, _ := strings.Cut(from, ":")
	for _, key := range []string{from + ">" + to, base + ">" + to, base + ">*", "*>" + to} {
		switch sim.cuts[key] {
		case cutDrop:
			return
		case cutHold:
			sim.heldPackets[key] = append(sim.heldPackets[key], f)
			return
		case cutNone:
		}
	}
	sim.After(latency(), f)
}

// lateness is how requests of one kind are held back.
type lateness struct {
	by      time.Duration
	every   int
	counted int
}

// HoldBack has each every-th request of a kind (beat, cmd, state, rent)
// arrive so late that its sender has given it up, and sent it again if it does that.
func (sim *Simulator) HoldBack(kind string, by time.Duration, every int) {
	sim.lateness[kind] = &lateness{by: by, every: every}
}

// maybeLate is how a request is served: at once, or late and for a sender that has gone.
func (sim *Simulator) maybeDelay(kind string, serve func(answer func(int, []byte))) func(answer func(int, []byte)) {
	l := sim.lateness[kind]
	if l == nil {
		return serve
	}
	if l.counted++; l.counted%l.every != 0 {
		return serve
	}
	return func(func(int, []byte)) { sim.After(l.by, func() { serve(func(int, []byte) {}) }) }
}

var errTimeout = errors.New("no answer")

// call sends a request and brings back the answer or, after timeout, none.
// serve gets a function for its answer, to be called now or later.
func (sim *Simulator) call(
	from, to string,
	timeout time.Duration,
	serve func(answer func(int, []byte)),
	done func(int, []byte, error),
) {
	finished := false
	finish := func(status int, body []byte, err error) {
		if !finished {
			finished = true
			done(status, body, err)
		}
	}
	sim.After(timeout, func() { finish(0, nil, errTimeout) })
	sim.packet(from, to, func() {
		serve(func(status int, body []byte) {
			sim.packet(to, from, func() { finish(status, body, nil) })
		})
	})
}
