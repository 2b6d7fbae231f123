package members

// CertaintyState is how far a controller can rely on its own place in the view. A process that was
// paused while its clocks kept running resumes with a stale lease, a stale view and message ages
// that include time in which it could not receive anything.
type CertaintyState string

// Certainty states, in the order in which a controller passes through them after a stall.
const (
	Certain    CertaintyState = "sure"
	Doubtful   CertaintyState = "doubtful"    // after a stall: the lease may have expired
	LeaseKnown CertaintyState = "settled"     // the lease is confirmed, or known to have expired
	CatchingUp CertaintyState = "catching up" // the mirror must reach an epoch that was read after the stall
)

// CertaintyEvent is an input to LeaseCertainty.Next.
type CertaintyEvent struct {
	Kind CertaintyEventKind
	// Epoch is the store's epoch that was read (EpochRead) or that the watch has reached
	// (WatchReached). It is 0 for the other kinds.
	Epoch uint64
}

// CertaintyEventKind is the kind of a CertaintyEvent.
type CertaintyEventKind string

// Kinds of certainty events.
const (
	Stalled        CertaintyEventKind = "stood still"
	LeaseConfirmed CertaintyEventKind = "lease settled"
	EpochRead      CertaintyEventKind = "epoch read"
	WatchReached   CertaintyEventKind = "followed to"
)

// LeaseCertainty is a certainty state together with the epoch that it waits for.
type LeaseCertainty struct {
	State CertaintyState
	// RequiredEpoch is the epoch that the watch must reach before CatchingUp becomes Certain.
	RequiredEpoch uint64
}

// Next returns the certainty after an event. All state transitions are made here. An event that is
// not valid in the current state, such as a response to a request sent before the last stall,
// changes nothing.
func (c LeaseCertainty) Next(e CertaintyEvent) LeaseCertainty {
	switch {
	case e.Kind == Stalled:
		return LeaseCertainty{State: Doubtful}
	case e.Kind == LeaseConfirmed && c.State == Doubtful:
		return LeaseCertainty{State: LeaseKnown}
	case e.Kind == EpochRead && c.State == LeaseKnown:
		return LeaseCertainty{State: CatchingUp, RequiredEpoch: e.Epoch}
	case e.Kind == WatchReached && c.State == CatchingUp && e.Epoch >= c.RequiredEpoch:
		return LeaseCertainty{State: Certain}
	}
	return c
}
