package tuning

import "time"

// The loop of a controller.
const (
	// Standstill: a pause between two turns of the loop, which comes round every
	// Pulse, that means that the process stood still. Shorter ones are a busy
	// processor's.
	Standstill = 1500 * time.Millisecond
	// Tick: the loop's own clock; every decision not caused by a message is
	// taken on a pulse.
	Tick = 100 * time.Millisecond
	// ReconcileGap: decisions are taken at most this often; what comes in between
	// shares a transaction.
	ReconcileGap = 15 * time.Millisecond
	// LeaderGapPerMachine: on top of ReconcileGap for each machine between two passes of the
	// leader, which look at every machine; keeps them below a tenth of a small
	// processor share at thousands of machines.
	LeaderGapPerMachine = 40 * time.Microsecond
	// DispatchGap: how often calls that wait for the rate budget are looked at.
	DispatchGap = 10 * time.Millisecond
	// SyncAgain: pause before a failed listing or watch is tried again.
	SyncAgain = 300 * time.Millisecond
)
