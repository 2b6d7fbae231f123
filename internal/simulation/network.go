package simulation

import (
	"errors"
	"strings"
	"time"
)

type cutMode int

const (
	open cutMode = iota
	drop         // packets are lost
	hold         // packets are delivered once the cut ends
)

// Cut interrupts what goes from one party to another; "*" stands for any.
// With hold, packets arrive once the cut ends.
func (w *Simulator) Cut(from, to string, held bool) {
	w.cuts[from+">"+to] = drop
	if held {
		w.cuts[from+">"+to] = hold
	}
}

// Heal ends a cut and delivers what was held.
func (w *Simulator) Heal(from, to string) { w.heal(from + ">" + to) }

func (w *Simulator) heal(key string) {
	delete(w.cuts, key)
	fs := w.heldPackets[key]
	delete(w.heldPackets, key)
	for _, f := range fs {
		w.After(w.latency(), f)
	}
}

func (w *Simulator) latency() time.Duration {
	return time.Millisecond + time.Duration(w.RNG.IntN(3000))*time.Microsecond
}

// packet carries f from one party to another. A party's name may carry a
// channel after a colon, which can be cut by itself.
func (w *Simulator) packet(from, to string, f func()) { w.deliver(from, to, w.latency, f) }

// gossipLatency is that of lines with a chance of their own.
func (w *Simulator) gossipLatency() time.Duration {
	return time.Millisecond + time.Duration(w.gossipRNG.IntN(3000))*time.Microsecond
}

func (w *Simulator) deliver(from, to string, latency func() time.Duration, f func()) {
	if w.separatedByZone(from, to) {
		return
	}
	base, _, _ := strings.Cut(from, ":")
	for _, key := range []string{from + ">" + to, base + ">" + to, base + ">*", "*>" + to} {
		switch w.cuts[key] {
		case drop:
			return
		case hold:
			w.heldPackets[key] = append(w.heldPackets[key], f)
			return
		case open:
		}
	}
	w.After(latency(), f)
}

// lateness is how requests of one kind are held back.
type lateness struct {
	by      time.Duration
	every   int
	counted int
}

// HoldBack has each every-th request of a kind (beat, cmd, state, rent)
// arrive so late that its sender has given it up, and sent it again if it does that.
func (w *Simulator) HoldBack(kind string, by time.Duration, every int) {
	w.lateness[kind] = &lateness{by: by, every: every}
}

// maybeLate is how a request is served: at once, or late and for a sender that has gone.
func (w *Simulator) maybeLate(kind string, serve func(answer func(int, []byte))) func(answer func(int, []byte)) {
	l := w.lateness[kind]
	if l == nil {
		return serve
	}
	if l.counted++; l.counted%l.every != 0 {
		return serve
	}
	return func(func(int, []byte)) { w.After(l.by, func() { serve(func(int, []byte) {}) }) }
}

var errTimeout = errors.New("no answer")

// call sends a request and brings back the answer or, after timeout, none.
// serve gets a function for its answer, to be called now or later.
func (w *Simulator) call(
	from, to string,
	timeout time.Duration,
	serve func(answer func(int, []byte)),
	done func(int, []byte, error),
) {
	over := false
	finish := func(status int, body []byte, err error) {
		if !over {
			over = true
			done(status, body, err)
		}
	}
	w.After(timeout, func() { finish(0, nil, errTimeout) })
	w.packet(from, to, func() {
		serve(func(status int, body []byte) {
			w.packet(to, from, func() { finish(status, body, nil) })
		})
	})
}
