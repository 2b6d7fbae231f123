package simulation

import (
	"errors"
	"math"
	"strings"
	"time"
)

// cutMode is what happens to packets between two parties.
type cutMode int

const (
	cutNone cutMode = iota
	cutDrop         // packets are dropped
	cutHold         // packets are delivered once the cut ends
)

// Cut blocks packets from one party to another; "*" stands for any party. With held, packets are
// queued and delivered once the cut ends; otherwise they are dropped.
func (sim *Simulator) Cut(from, to string, held bool) {
	sim.cuts[from+">"+to] = cutDrop
	if held {
		sim.cuts[from+">"+to] = cutHold
	}
}

// Heal ends a cut and delivers the packets that were held.
func (sim *Simulator) Heal(from, to string) { sim.heal(from + ">" + to) }

func (sim *Simulator) heal(key string) {
	delete(sim.cuts, key)
	held := sim.heldPackets[key]
	delete(sim.heldPackets, key)
	for _, deliver := range held {
		sim.After(sim.latency(), deliver)
	}
}

// Links describes the links between all parties, in addition to the 1 to 4 ms that every packet takes.
type Links struct {
	Delay  time.Duration // mean one-way delay
	Jitter float64       // the delay varies by up to this share, either way
	Loss   float64       // share of packets that are lost and sent again after RetransmitAfter
}

// RetransmitAfter is how long a sender waits before it sends a lost packet again, as TCP does.
const RetransmitAfter = 200 * time.Millisecond

// Ranges from which DrawNetwork draws: the links and state services that deployments may have.
const (
	minLinkDelay, maxLinkDelay     = 300 * time.Microsecond, 100 * time.Millisecond
	minServiceTime, maxServiceTime = 3 * time.Millisecond, 200 * time.Millisecond
	maxLinkJitter                  = 0.5
	maxLinkLoss                    = 0.01
)

// DrawNetwork draws how slow the links and the state service are for the whole simulation. Each order
// of magnitude is as likely as any other.
func (sim *Simulator) DrawNetwork() {
	between := func(shortest, longest time.Duration) time.Duration {
		ratio := float64(longest) / float64(shortest)
		return time.Duration(float64(shortest) * math.Pow(ratio, sim.linkRNG.Float64()))
	}
	sim.Links = Links{
		Delay:  between(minLinkDelay, maxLinkDelay),
		Jitter: maxLinkJitter * sim.linkRNG.Float64(),
		Loss:   maxLinkLoss * sim.linkRNG.Float64(),
	}
	sim.Store.ServiceTime = between(minServiceTime, maxServiceTime)
}

// linkDelay draws the additional delay of a packet. It draws from linkRNG, so that links without
// delay leave the course of a simulation as it was.
func (sim *Simulator) linkDelay() time.Duration {
	links := sim.Links
	if links == (Links{}) {
		return 0
	}
	delay := time.Duration(float64(links.Delay) * (1 + links.Jitter*(2*sim.linkRNG.Float64()-1)))
	for sim.linkRNG.Float64() < links.Loss {
		delay += RetransmitAfter
	}
	return delay
}

// latency draws the latency of a packet on a link without delay, 1 to 4 ms.
func (sim *Simulator) latency() time.Duration {
	return time.Millisecond + time.Duration(sim.RNG.IntN(3000))*time.Microsecond
}

// packet runs f when a packet between two parties arrives. The name of a party may end in a colon
// and a channel, which can be cut separately.
func (sim *Simulator) packet(from, to string, f func()) { sim.deliver(from, to, sim.latency, f) }

// gossipLatency draws a latency from gossipRNG instead of RNG. It serves messages whose number should
// not change the rest of the simulation.
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
	sim.After(latency()+sim.linkDelay(), f)
}

// requestDelay configures the delay of requests of one kind.
type requestDelay struct {
	delay time.Duration
	every int // one in this many requests is delayed
	count int
}

// DelayRequests delays the execution of every every-th request of a kind (beat, cmd, state, rent).
// The sender gets no answer, so it times out and may retry before the request is executed.
func (sim *Simulator) DelayRequests(kind string, delay time.Duration, every int) {
	sim.requestDelays[kind] = &requestDelay{delay: delay, every: every}
}

// maybeDelay returns serve or, for a request that is to be delayed, a function that executes it
// late and drops the answer.
func (sim *Simulator) maybeDelay(kind string, serve func(answer func(int, []byte))) func(answer func(int, []byte)) {
	configured := sim.requestDelays[kind]
	if configured == nil {
		return serve
	}
	if configured.count++; configured.count%configured.every != 0 {
		return serve
	}
	return func(func(int, []byte)) { sim.After(configured.delay, func() { serve(func(int, []byte) {}) }) }
}

var errTimeout = errors.New("no answer")

// call sends a request and calls done with the answer or, after timeout, with errTimeout. serve
// receives a callback for the answer, which it may call immediately or later.
func (sim *Simulator) call(
	from, to string,
	timeout time.Duration,
	serve func(answer func(int, []byte)),
	done func(int, []byte, error),
) {
	sim.callWithLatency(from, to, timeout, sim.latency, serve, done)
}

// callWithLatency is like call, but draws the latency of each packet from the given function.
func (sim *Simulator) callWithLatency(
	from, to string,
	timeout time.Duration,
	latency func() time.Duration,
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
	sim.deliver(from, to, latency, func() {
		serve(func(status int, body []byte) {
			sim.deliver(to, from, latency, func() { finish(status, body, nil) })
		})
	})
}
