package simulation

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/calendar"
	"github.com/harrierreel/harrierreel/internal/controller"
	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/standby"
)

// Node runs a controller in the simulation.
type Node struct {
	Name          string
	sim           *Simulator
	settings      *settings.Settings
	controller    *controller.Controller
	generation    int // of the process: counts its starts
	alive         bool
	startedAt     time.Time
	wakeAt        time.Time // when the loop is to run again
	frozenUntil   time.Time // until then the process stands still
	shutdownSince time.Time // it was told to end in order then, zero if not
	requests      int       // of users
	answered      int       // of these, neither with 503 nor with 429
}

// balancerDelay is how long the load balancer takes to see that a controller calls itself
// unhealthy.
const balancerDelay = 2 * time.Second

// avoidedByBalancer tells that the load balancer sends users elsewhere: to a controller that has
// just started once it is in the view, and no more to one that is shutting down.
func (c *Node) avoidedByBalancer() bool {
	return !c.shutdownSince.IsZero() && c.sim.Now.Sub(c.shutdownSince) > balancerDelay ||
		c.sim.Now.Sub(c.startedAt) < balancerDelay && c.controller.Role() == members.Outside
}

// Freeze has the process stand still while its clocks run on.
func (c *Node) Freeze(d time.Duration) { c.frozenUntil = c.sim.Now.Add(d) }

// whenRunning runs f at once, or as soon as the process runs again.
func (c *Node) whenRunning(f func()) {
	if c.sim.Now.Before(c.frozenUntil) {
		c.sim.After(c.frozenUntil.Sub(c.sim.Now), f)
		return
	}
	f()
}

// SetCalendar gives a controller another file, which it reads when it next starts.
func (c *Node) SetCalendar(d *calendar.Document) { c.settings.Operator.Calendar = d }

// AddNodes makes n controllers, named n0, n1 and so on.
func (w *Simulator) AddNodes(n int, set settings.Settings) {
	w.Enforce(set.Cluster)
	for i := range n {
		w.NodeNames = append(w.NodeNames, fmt.Sprintf("n%d", i))
	}
	for _, name := range w.NodeNames {
		s := set
		s.NodeName = name
		s.Peers = nil
		if slices.Contains(w.Unresponsive, name) {
			s.Operator.Failover = settings.FailoverOnLeaseExpiry
		}
		for _, p := range w.NodeNames {
			if p != name {
				s.Peers = append(s.Peers, settings.Peer{NodeName: p})
			}
		}
		w.Nodes[name] = &Node{sim: w, Name: name, settings: &s}
	}
	for _, name := range w.NodeNames {
		w.Nodes[name].Boot()
	}
}

// relayedField is in the lines that relay gossip. Their latency is drawn from gossipRNG:
// however many there are, the rest of a simulation keeps its course.
var relayedField = []byte(`"told_of"`)

// auditEvery, in ticks: how often a node's counts are checked against a recount.
const auditEvery = 7

// Boot starts the process.
func (c *Node) Boot() {
	if c.alive {
		return
	}
	c.generation++
	c.alive, c.frozenUntil, c.shutdownSince, c.startedAt = true, time.Time{}, time.Time{}, c.sim.Now
	c.controller = controller.New(
		c.settings,
		c.transport(),
		c.sim.Log.With("node", c.Name, "t", c.sim.At().Seconds()),
		rand.New(rand.NewPCG(c.sim.RNG.Uint64(), 2)),
	)
	c.startTicks()
}

// transport is the process's way to all that is around it.
func (c *Node) transport() controller.Transport {
	state := c.sim.Store.Call(c.Name)
	cloud := c.sim.Cloud.Call(c.Name)
	worker := c.sim.Call(c.Name)
	track := c.tracker()
	return controller.Transport{
		Store: func(m, t string, b []byte, d time.Duration, done func(int, []byte, error)) {
			state(m, t, b, d, track("state", m, t, b, d, done))
		},
		Watch: func(m, t string, b []byte, d time.Duration, done func(int, []byte, error)) {
			state(m, t, b, d, track("watch", m, t, b, d, done))
		},
		Cloud: func(m, t string, b []byte, d time.Duration, done func(int, []byte, error)) {
			cloud(m, t, b, d, track("cloud", m, t, b, d, done))
		},
		Agent: func(e, m, t string, b []byte, d time.Duration, done func(int, []byte, error)) {
			worker(e, m, t, b, d, track(e, m, t, b, d, done))
		},
		WallClockMs: func() int64 { return c.sim.Now.Add(c.sim.ClockOffsets[c.Name]).UnixMilli() },
		Gossip:      c.gossip,
	}
}

// requestTracker records a request, and gives back what takes its answer.
type requestTracker func(
	party, method, target string,
	body []byte,
	timeout time.Duration,
	done func(int, []byte, error),
) func(int, []byte, error)

// tracker is the requestTracker of the process that runs now: answers that come once it
// has ended are dropped.
func (c *Node) tracker() requestTracker {
	generation := c.generation
	guard := func(f func()) {
		c.whenRunning(func() {
			if c.alive && c.generation == generation {
				c.controller.Run(c.sim.Now, f)
				c.arm()
			}
		})
	}
	return func(
		party, method, target string,
		body []byte,
		timeout time.Duration,
		done func(int, []byte, error),
	) func(int, []byte, error) {
		request := Message{
			Kind:    RequestSent,
			Party:   party,
			Method:  method,
			Target:  target,
			Body:    body,
			Timeout: timeout,
		}
		number := c.record(request)
		return func(status int, answer []byte, err error) {
			guard(func() {
				c.record(
					Message{
						Kind:   ResponseReceived,
						Number: number,
						Party:  party,
						Method: method,
						Target: target,
						Status: status,
						Body:   answer,
						Err:    err,
					},
				)
				done(status, answer, err)
			})
		}
	}
}

// gossip sends a line to another controller.
func (c *Node) gossip(peer string, line []byte) {
	w := c.sim
	c.record(Message{Kind: GossipSent, Party: peer, Body: line})
	if w.refuses(c.Name, peer) {
		w.After(w.latency(), func() { c.peerEnded(peer) })
		return
	}
	latency := w.latency
	if bytes.Contains(line, relayedField) {
		latency = w.gossipLatency
	}
	w.deliver(c.Name, peer, latency, func() {
		p := w.Nodes[peer]
		if p == nil {
			return
		}
		if !p.alive {
			w.packet(peer, c.Name, func() { c.peerEnded(peer) }) // refused
			return
		}
		p.whenRunning(func() { p.receiveGossip(line) })
	})
}

// receiveGossip takes another controller's line, unless the process has ended.
func (c *Node) receiveGossip(line []byte) {
	if !c.alive {
		return
	}
	c.controller.Run(c.sim.Now, func() {
		c.record(Message{Kind: GossipReceived, Body: line})
		c.controller.ReceiveGossip(line)
	})
	c.arm()
}

// startTicks has the controller tick every 100 ms while the process runs, and checks its
// counts against a recount at each auditEvery-th tick.
func (c *Node) startTicks() {
	w, generation, ticks := c.sim, c.generation, 0
	var tick func()
	tick = func() {
		if !c.alive || c.generation != generation {
			return
		}
		if w.Now.Before(c.frozenUntil) {
			c.whenRunning(tick)
			return
		}
		c.controller.Tick(w.Now)
		if ticks++; ticks%auditEvery == 0 {
			for _, what := range c.controller.State().Audit() {
				w.RuleBroken("%s keeps wrong count: %s", c.Name, what)
			}
		}
		c.arm()
		w.After(100*time.Millisecond, tick)
	}
	w.After(time.Millisecond, tick)
}

// arm makes sure that the loop runs again when it wants to.
func (c *Node) arm() {
	at := c.sim.Now.Add(c.controller.Wait())
	if c.wakeAt.After(c.sim.Now) && !c.wakeAt.After(at) {
		return
	}
	c.wakeAt = at
	gen := c.generation
	c.sim.After(c.controller.Wait(), func() {
		c.whenRunning(func() {
			if c.alive && c.generation == gen {
				c.controller.Run(c.sim.Now, func() {})
			}
		})
	})
}

// Crash ends the process without a word. Its connections end with it; where the way
// between is cut, nobody hears of that.
func (c *Node) Crash() {
	c.alive = false
	c.sim.endPeers(c.Name)
}

// restartAfter: a process that has ended is back so much later, as on the users' days.
const restartAfter = 200 * time.Millisecond

// Discard ends the process and lets go of what it held.
func (c *Node) Discard() {
	c.Crash()
	c.controller = nil
}

// Flap kills the process, has it back backAfter later, and kills it again 0.1 s to longest
// after that, so many times in all.
func (w *Simulator) Flap(name string, times int, longest time.Duration) {
	c := w.Nodes[name]
	c.Crash()
	w.After(restartAfter, func() {
		c.Boot()
		if times > 1 {
			w.After(
				100*time.Millisecond+time.Duration(w.RNG.Int64N(int64(longest-100*time.Millisecond))),
				func() { w.Flap(name, times-1, longest) },
			)
		}
	})
}

// endPeers has the others see that their connections to a controller ended.
func (w *Simulator) endPeers(name string) {
	for _, other := range w.NodeNames {
		if o := w.Nodes[other]; other != name && o.alive {
			w.packet(name, other, func() { o.peerEnded(name) })
		}
	}
}

// peerEnded tells a controller that its connection to a peer ended, or was refused.
func (c *Node) peerEnded(peer string) {
	c.whenRunning(func() {
		if c.alive {
			c.controller.Run(c.sim.Now, func() {
				c.record(Message{Kind: Disconnected, Party: peer})
				c.controller.PeerDisconnected(peer)
			})
			c.arm()
		}
	})
}

// RefusePeers has all connections between a controller and the others refused, or no
// longer so.
func (w *Simulator) RefusePeers(name string, on bool) {
	w.refusedPeers[name] = on
	if on {
		w.endPeers(name)
		for _, other := range w.NodeNames {
			if other != name {
				w.Nodes[name].peerEnded(other)
			}
		}
	}
}

func (w *Simulator) refuses(a, b string) bool { return w.refusedPeers[a] || w.refusedPeers[b] }

// Shutdown asks the process to end in order; it ends once it has given its place away.
func (c *Node) Shutdown() {
	gen := c.generation
	c.shutdownSince = c.sim.Now
	var watch func()
	watch = func() {
		switch {
		case !c.alive || c.generation != gen:
		case c.controller.HasShutDown():
			c.Crash()
		default:
			c.sim.After(10*time.Millisecond, watch)
		}
	}
	c.whenRunning(func() {
		if c.alive && c.generation == gen {
			c.controller.Run(c.sim.Now, c.controller.Shutdown)
			watch()
		}
	})
}

func (c *Node) request(method, target string, body []byte, answer func(int, []byte)) {
	if !c.alive {
		return
	}
	gen := c.generation
	c.whenRunning(func() {
		if c.alive && c.generation == gen {
			c.handle(method, target, body, answer)
		}
	})
}

func (c *Node) handle(method, target string, body []byte, answer func(int, []byte)) {
	gen := c.generation
	c.controller.Run(c.sim.Now, func() {
		number := c.record(Message{Kind: RequestReceived, Method: method, Target: target, Body: body})
		c.controller.Request(&http1.Message{Method: method, Target: target, Body: body}, func(r http1.Reply) {
			if c.alive && c.generation == gen {
				c.record(
					Message{
						Kind:       ResponseSent,
						Number:     number,
						Method:     method,
						Target:     target,
						Status:     r.Status,
						RetryAfter: r.RetryAfter,
						Body:       r.Body,
					},
				)
				answer(r.Status, r.Body)
			}
		})
	})
	c.arm()
}

// Standby is the state of a controller's readiness, and how many calls it saw answered.
func (c *Node) Standby() (standby.State, int) { return c.controller.Standby() }

// SuccessionOrder is a controller's place among those that are to follow the leader.
func (c *Node) SuccessionOrder() int { return c.controller.SuccessionOrder() }

// LiveJobs is how many live jobs a controller knows.
func (c *Node) LiveJobs() int {
	live := 0
	for _, j := range c.controller.State().Jobs {
		if j.Record != nil && j.Record.State == jobs.Live {
			live++
		}
	}
	return live
}

// Alive tells whether the process runs.
func (c *Node) Alive() bool { return c.alive }

// TokenShown tells whether every agent that runs has been shown a fencing token of this epoch.
func (w *Simulator) TokenShown(epoch uint64) bool {
	for _, wk := range w.Agents {
		if !wk.Hung && wk.fencingToken < epoch*agent.FencingTokenSpan {
			return false
		}
	}
	return true
}

// Leader is the name of a node that believes to lead, "" if there is none.
func (w *Simulator) Leader() string {
	for _, name := range w.NodeNames {
		if c := w.Nodes[name]; c.alive && c.controller.Role() == members.Leader {
			return name
		}
	}
	return ""
}
