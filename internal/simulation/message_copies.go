package simulation

import "time"

// RequestKind is a kind of message that CopyRequests duplicates.
type RequestKind string

// Kinds of messages that can arrive once more.
const (
	AgentCommands RequestKind = "cmd"    // a controller's requests to agents
	Heartbeats    RequestKind = "beat"   // agents' reports to controllers
	StoreChanges  RequestKind = "state"  // transactions, grants, renewals and ends of leases
	CloudChanges  RequestKind = "rent"   // rental and deletion requests
	UserChanges   RequestKind = "user"   // submissions and cancellations
	GossipLines   RequestKind = "gossip" // lines between controllers
)

// RequestKinds returns all kinds, in a fixed order.
func RequestKinds() []RequestKind {
	return []RequestKind{AgentCommands, Heartbeats, StoreChanges, CloudChanges, UserChanges, GossipLines}
}

// RequestCopies describes copies of messages that were carried out and answered. A copy arrives whatever
// has become of its sender, and its answer is dropped.
type RequestCopies struct {
	Share             float64       // of the messages that are copied
	Earliest, Longest time.Duration // range of the delay between a message and each of its copies
	Count             int           // copies of each message
	For               time.Duration // how long messages are copied
}

// copyFault is the RequestCopies of one kind that is in effect.
type copyFault struct {
	RequestCopies
	until time.Time
}

// CopyRequests makes a share of the messages of a kind arrive once more.
func (sim *Simulator) CopyRequests(kind RequestKind, copies RequestCopies) {
	sim.copyFaults[kind] = copyFault{copies, sim.Now.Add(copies.For)}
}

// withCopies returns serve, or a function that also schedules copies of the request once it was answered
// with success.
func (sim *Simulator) withCopies(
	kind RequestKind, serve func(answer func(int, []byte)),
) func(answer func(int, []byte)) {
	if !sim.copied(kind) {
		return serve
	}
	return func(answer func(int, []byte)) {
		serve(func(status int, body []byte) {
			if status/100 == 2 {
				sim.scheduleCopies(kind, func() { serve(func(int, []byte) {}) })
			}
			answer(status, body)
		})
	}
}

// copied draws whether a message is copied. Like linkDelay it draws from a source of its own, so that
// simulations without copies keep their course.
func (sim *Simulator) copied(kind RequestKind) bool {
	fault := sim.copyFaults[kind]
	return sim.Now.Before(fault.until) && sim.copyRNG.Float64() < fault.Share
}

// scheduleCopies makes copies of a message arrive late.
func (sim *Simulator) scheduleCopies(kind RequestKind, arrive func()) {
	fault := sim.copyFaults[kind]
	for range fault.Count {
		delay := fault.Earliest + time.Duration(sim.copyRNG.Float64()*float64(fault.Longest-fault.Earliest))
		sim.After(delay, func() {
			sim.CopiesArrived[kind]++
			arrive()
		})
	}
}
