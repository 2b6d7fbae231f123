package simulation

import (
	"errors"
	"time"
)

var errConnectionRefused = errors.New("connection refused")

// Isolate sets whether a machine can't reach any controller: each of its attempts to connect is
// refused at once or times out, chosen at random. Requests to the machine by /commands and /show
// still arrive and are answered, but don't renew its lease.
func (sim *Simulator) Isolate(machine string, on bool) {
	if on {
		sim.unreachable[machine] = true
	} else {
		delete(sim.unreachable, machine)
	}
}

// failReport fails the report of an isolated machine, at random at once or by timeout.
func (sim *Simulator) failReport(done func(int, []byte, error)) {
	if sim.RNG.IntN(2) == 0 {
		sim.After(sim.latency(), func() { done(0, nil, errConnectionRefused) })
		return
	}
	sim.After(4*time.Second, func() { done(0, nil, errTimeout) })
}

// Zone returns the machine's zone.
func (ag *Agent) Zone() string { return ag.machine.Zone }
