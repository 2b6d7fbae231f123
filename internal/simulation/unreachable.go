package simulation

import (
	"errors"
	"time"
)

var errRefusedConnection = errors.New("connection refused")

// Isolate has a machine reach no controller: its attempts to connect fail at once or find no
// answer, as drawn for each. What is sent to it by /commands and /show arrives and is
// answered, and none of that renews its lease.
func (sim *Simulator) Isolate(machine string, on bool) {
	if on {
		sim.unreachable[machine] = true
	} else {
		delete(sim.unreachable, machine)
	}
}

// failReport is the fate of a mute machine's report: no controller hears of it.
func (sim *Simulator) failReport(done func(int, []byte, error)) {
	if sim.RNG.IntN(2) == 0 {
		sim.After(sim.latency(), func() { done(0, nil, errRefusedConnection) })
		return
	}
	sim.After(4*time.Second, func() { done(0, nil, errTimeout) })
}

// Zone is the machine's zone.
func (ag *Agent) Zone() string { return ag.machine.Zone }
