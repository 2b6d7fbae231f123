package tuning

import "time"

// A controller's event loop.
const (
	// StallGap is the gap between two events of the loop from which the process counts as stalled.
	// The loop has an event every Tick, and shorter gaps also occur on a busy processor.
	StallGap = 1500 * time.Millisecond
	// Tick is the interval of the loop's timer. Every decision that no message causes is made on a
	// tick.
	Tick = 100 * time.Millisecond
	// ReconcileGap is the minimum pause between two passes that make decisions. The decisions about
	// events that arrive meanwhile share a transaction.
	ReconcileGap = 15 * time.Millisecond
	// LeaderGapPerMachine is added to ReconcileGap, for each machine, between two passes of the
	// leader, which examine every machine. With thousands of machines they then take less than a
	// tenth of a small processor share.
	LeaderGapPerMachine = 40 * time.Microsecond
	// DispatchGap is the interval at which calls that wait for the rate budget are checked.
	DispatchGap = 10 * time.Millisecond
	// SyncRetryDelay is the pause before a failed listing or watch is tried again.
	SyncRetryDelay = 300 * time.Millisecond
)
