package simulation

import "time"

// Freeze stops the process for d while its clocks go on.
func (node *Node) Freeze(d time.Duration) { node.frozenUntil = node.sim.Now.Add(d) }

// Crash kills the process. Its connections are closed, which peers don't notice across a network
// cut.
func (node *Node) Crash() {
	node.alive = false
	node.sim.disconnectPeers(node.Name)
}

// restartAfter is the time from the end of a process to its restart, as in the users' test runs.
const restartAfter = 200 * time.Millisecond

// Discard kills the process and frees its memory.
func (node *Node) Discard() {
	node.Crash()
	node.controller = nil
}

// Flap kills the process and restarts it after restartAfter, times times in all. Each following
// kill comes 0.1 s to longest after the restart.
func (sim *Simulator) Flap(name string, times int, longest time.Duration) {
	node := sim.Nodes[name]
	node.Crash()
	sim.After(restartAfter, func() {
		node.Boot()
		if times > 1 {
			sim.After(
				100*time.Millisecond+time.Duration(sim.RNG.Int64N(int64(longest-100*time.Millisecond))),
				func() { sim.Flap(name, times-1, longest) },
			)
		}
	})
}

// RefusePeers sets whether all connections between a controller and the others are refused.
func (sim *Simulator) RefusePeers(name string, on bool) {
	sim.refusedPeers[name] = on
	if on {
		sim.disconnectPeers(name)
		for _, other := range sim.NodeNames {
			if other != name {
				sim.Nodes[name].peerDisconnected(other)
			}
		}
	}
}

// connectionRefused reports whether connections between two controllers are refused.
func (sim *Simulator) connectionRefused(a, b string) bool {
	return sim.refusedPeers[a] || sim.refusedPeers[b]
}

// Shutdown starts a graceful shutdown; the process ends once the controller reports that it
// has shut down.
func (node *Node) Shutdown() {
	gen := node.generation
	node.shutdownSince = node.sim.Now
	var watch func()
	watch = func() {
		switch {
		case !node.alive || node.generation != gen:
		case node.controller.HasShutDown():
			node.Crash()
		default:
			node.sim.After(10*time.Millisecond, watch)
		}
	}
	node.whenRunning(func() {
		if node.alive && node.generation == gen {
			node.controller.Run(node.sim.Now, node.controller.Shutdown)
			watch()
		}
	})
}
