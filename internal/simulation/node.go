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

// Node is a simulated controller process, which can crash, freeze and restart.
type Node struct {
	Name          string
	sim           *Simulator
	settings      *settings.Settings
	controller    *controller.Controller
	generation    int // number of starts of the process
	alive         bool
	startedAt     time.Time
	wakeAt        time.Time // next scheduled run of the event loop
	frozenUntil   time.Time // the process is frozen until then
	shutdownSince time.Time // start of a graceful shutdown, else zero
	requests      int       // users' requests
	answered      int       // users' requests with an answer other than 503 and 429
}

// balancerDelay is how long the load balancer takes to notice that a controller reports itself
// unhealthy.
const balancerDelay = 2 * time.Second

// avoidedByBalancer reports whether the load balancer routes users to other controllers: a
// controller that has just started gets requests once it is in the view, and one that is shutting
// down gets none after balancerDelay.
func (node *Node) avoidedByBalancer() bool {
	return !node.shutdownSince.IsZero() && node.sim.Now.Sub(node.shutdownSince) > balancerDelay ||
		node.sim.Now.Sub(node.startedAt) < balancerDelay && node.controller.Role() == members.Outside
}

// whenRunning runs f at once or, if the process is frozen, as soon as it runs again.
func (node *Node) whenRunning(f func()) {
	if node.sim.Now.Before(node.frozenUntil) {
		node.sim.After(node.frozenUntil.Sub(node.sim.Now), f)
		return
	}
	f()
}

// SetCalendar replaces the controller's calendar file, which takes effect at its next start.
func (node *Node) SetCalendar(d *calendar.Document) { node.settings.Operator.Calendar = d }

// AddNodes creates and starts n controllers named n0, n1 and so on.
func (sim *Simulator) AddNodes(n int, base settings.Settings) {
	sim.EnforceLimits(base.Cluster)
	for i := range n {
		sim.NodeNames = append(sim.NodeNames, fmt.Sprintf("n%d", i))
	}
	for _, name := range sim.NodeNames {
		s := base
		s.NodeName = name
		s.Peers = nil
		if slices.Contains(sim.Unresponsive, name) {
			s.Operator.Failover = settings.FailoverOnLeaseExpiry
		}
		for _, p := range sim.NodeNames {
			if p != name {
				s.Peers = append(s.Peers, settings.Peer{NodeName: p})
			}
		}
		sim.Nodes[name] = &Node{sim: sim, Name: name, settings: &s}
	}
	for _, name := range sim.NodeNames {
		sim.Nodes[name].Boot()
	}
}

// relayedFields occur in lines of relayed gossip. Their latency is drawn from gossipRNG, so that
// their number does not affect the rest of the simulation.
var relayedFields = [][]byte{[]byte(`"told_of"`), confirmationField}

// auditEvery is the interval, in ticks, at which a node's counters are audited.
const auditEvery = 7

// Boot starts the process unless it is running.
func (node *Node) Boot() {
	if node.alive {
		return
	}
	node.generation++
	node.alive, node.frozenUntil, node.shutdownSince, node.startedAt = true, time.Time{}, time.Time{}, node.sim.Now
	node.controller = controller.New(
		node.settings,
		node.transport(),
		node.sim.Log.With("node", node.Name, "t", node.sim.At().Seconds()),
		rand.New(rand.NewPCG(node.sim.RNG.Uint64(), 2)),
	)
	node.startTicks()
}

// transport returns the transport that connects the current process to the simulation.
func (node *Node) transport() controller.Transport {
	storeCall := node.sim.Store.Call(node.Name)
	cloudCall := node.sim.Cloud.Call(node.Name)
	agentCall := node.sim.Call(node.Name)
	track := node.tracker()
	return controller.Transport{
		Store: func(m, t string, b []byte, d time.Duration, done func(int, []byte, error)) {
			if node.sim.Unconfirming[node.Name] {
				b = bytes.ReplaceAll(b, confirmsField, nil)
			}
			storeCall(m, t, b, d, track("state", m, t, b, d, done))
		},
		Watch: func(m, t string, b []byte, d time.Duration, done func(int, []byte, error)) {
			storeCall(m, t, b, d, track("watch", m, t, b, d, done))
		},
		Cloud: func(m, t string, b []byte, d time.Duration, done func(int, []byte, error)) {
			cloudCall(m, t, b, d, track("cloud", m, t, b, d, done))
		},
		Agent: func(r agent.Request, done func(int, []byte, error)) {
			answered := track(r.Endpoint, r.Method, r.Target, r.Body, r.Timeout, done)
			agentCall(r.Endpoint, r.Method, r.Target, r.Body, r.Timeout, answered)
		},
		WallClockMs: func() int64 { return node.sim.Now.Add(node.sim.ClockOffsets[node.Name]).UnixMilli() },
		Gossip:      node.gossip,
	}
}

// requestTracker records a request and returns the callback for its answer.
type requestTracker func(
	party, method, target string,
	body []byte,
	timeout time.Duration,
	done func(int, []byte, error),
) func(int, []byte, error)

// tracker returns the requestTracker of the current process. Answers that arrive after that
// process has ended are dropped.
func (node *Node) tracker() requestTracker {
	generation := node.generation
	guard := func(f func()) {
		node.whenRunning(func() {
			if node.alive && node.generation == generation {
				node.controller.Run(node.sim.Now, f)
				node.scheduleRun()
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
		number := node.record(request)
		return func(status int, answer []byte, err error) {
			guard(func() {
				node.record(
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

// confirmsField is what a controller declares in the state service if it confirms acknowledgements,
// and confirmationField occurs in the lines that do so.
var (
	confirmsField     = []byte(`,"acks":true`)
	confirmationField = []byte(`"told_seen"`)
)

// gossip sends a line of gossip to another controller.
func (node *Node) gossip(peer string, line []byte) {
	sim := node.sim
	if sim.Unconfirming[node.Name] && bytes.Contains(line, confirmationField) {
		return
	}
	node.record(Message{Kind: GossipSent, Party: peer, Body: line})
	if sim.connectionRefused(node.Name, peer) {
		sim.After(sim.latency(), func() { node.peerDisconnected(peer) })
		return
	}
	latency := sim.latency
	isRelayed := func(field []byte) bool { return bytes.Contains(line, field) }
	if slices.ContainsFunc(relayedFields, isRelayed) {
		latency = sim.gossipLatency
	}
	sim.deliver(node.Name, peer, latency, func() {
		p := sim.Nodes[peer]
		if p == nil {
			return
		}
		if !p.alive {
			sim.packet(peer, node.Name, func() { node.peerDisconnected(peer) }) // refused
			return
		}
		receive := func() { p.whenRunning(func() { p.receiveGossip(line) }) }
		if sim.copied(GossipLines) {
			sim.scheduleCopies(GossipLines, receive)
		}
		receive()
	})
}

// receiveGossip handles a line of gossip from another controller, unless the process has ended.
func (node *Node) receiveGossip(line []byte) {
	if !node.alive {
		return
	}
	node.controller.Run(node.sim.Now, func() {
		node.record(Message{Kind: GossipReceived, Body: line})
		node.controller.ReceiveGossip(line)
	})
	node.scheduleRun()
}

// startTicks ticks the controller every 100 ms while the process runs, and audits its counters
// at every auditEvery-th tick.
func (node *Node) startTicks() {
	sim, generation, ticks := node.sim, node.generation, 0
	var tick func()
	tick = func() {
		if !node.alive || node.generation != generation {
			return
		}
		if sim.Now.Before(node.frozenUntil) {
			node.whenRunning(tick)
			return
		}
		node.controller.Tick(sim.Now)
		if ticks++; ticks%auditEvery == 0 {
			for _, mismatch := range node.controller.State().Audit() {
				sim.ReportViolation("%s keeps wrong count: %s", node.Name, mismatch)
			}
		}
		node.scheduleRun()
		sim.After(100*time.Millisecond, tick)
	}
	sim.After(time.Millisecond, tick)
}

// scheduleRun schedules the next run of the controller's event loop for the time that it asks for.
func (node *Node) scheduleRun() {
	at := node.sim.Now.Add(node.controller.Wait())
	if node.wakeAt.After(node.sim.Now) && !node.wakeAt.After(at) {
		return
	}
	node.wakeAt = at
	gen := node.generation
	node.sim.After(node.controller.Wait(), func() {
		node.whenRunning(func() {
			if node.alive && node.generation == gen {
				node.controller.Run(node.sim.Now, func() {})
			}
		})
	})
}

// disconnectPeers notifies the other controllers that their connections to a controller have
// closed.
func (sim *Simulator) disconnectPeers(name string) {
	for _, other := range sim.NodeNames {
		if o := sim.Nodes[other]; other != name && o.alive {
			sim.packet(name, other, func() { o.peerDisconnected(name) })
		}
	}
}

// peerDisconnected notifies the controller that its connection to a peer was closed or refused.
func (node *Node) peerDisconnected(peer string) {
	node.whenRunning(func() {
		if node.alive {
			node.controller.Run(node.sim.Now, func() {
				node.record(Message{Kind: Disconnected, Party: peer})
				node.controller.PeerDisconnected(peer)
			})
			node.scheduleRun()
		}
	})
}

// request delivers a request to the process, if it is running.
func (node *Node) request(method, target string, body []byte, answer func(int, []byte)) {
	if !node.alive {
		return
	}
	gen := node.generation
	node.whenRunning(func() {
		if node.alive && node.generation == gen {
			node.handle(method, target, body, answer)
		}
	})
}

// handle passes a request to the controller and records the request and its answer.
func (node *Node) handle(method, target string, body []byte, answer func(int, []byte)) {
	gen := node.generation
	node.controller.Run(node.sim.Now, func() {
		number := node.record(Message{Kind: RequestReceived, Method: method, Target: target, Body: body})
		node.controller.Request(&http1.Message{Method: method, Target: target, Body: body}, func(r http1.Reply) {
			if node.alive && node.generation == gen {
				node.record(
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
	node.scheduleRun()
}

// Standby returns the controller's standby state and the number of its probes that were answered.
func (node *Node) Standby() (standby.State, int) { return node.controller.Standby() }

// SuccessionOrder returns the controller's position among the successors of the leader, -1 if it is
// none.
func (node *Node) SuccessionOrder() int { return node.controller.SuccessionOrder() }

// LiveJobs returns the number of live jobs that the controller knows.
func (node *Node) LiveJobs() int {
	live := 0
	for _, j := range node.controller.State().Jobs {
		if j.Record != nil && j.Record.State == jobs.Live {
			live++
		}
	}
	return live
}

// Alive reports whether the process is running.
func (node *Node) Alive() bool { return node.alive }

// TokenShown reports whether every agent that isn't hung has received a fencing token of this
// epoch or a later one.
func (sim *Simulator) TokenShown(epoch uint64) bool {
	for _, ag := range sim.Agents {
		if !ag.Hung && ag.fencingToken < epoch*agent.FencingTokenSpan {
			return false
		}
	}
	return true
}

// Leader returns the first node that considers itself the leader, "" if there is none.
func (sim *Simulator) Leader() string {
	for _, name := range sim.NodeNames {
		if node := sim.Nodes[name]; node.alive && node.controller.Role() == members.Leader {
			return name
		}
	}
	return ""
}
