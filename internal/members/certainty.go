package members

// CertaintyState is how certain a controller is of its place in the view. A process that
// stalled while its clocks ran on wakes with an old lease, an old view and ages that count
// time in which it received nothing.
type CertaintyState string

// Certainty states of a controller, in the order in which a stall leads through them.
const (
	Certain    CertaintyState = "sure"
	Doubtful   CertaintyState = "doubtful"    // stalled: its lease may have expired
	LeaseKnown CertaintyState = "settled"     // the lease holds, or is known to have expired
	CatchingUp CertaintyState = "catching up" // the mirror must reach an epoch read since
)

// CertaintyEvent is what changes a certainty state.
type CertaintyEvent struct {
	Kind CertaintyEventKind
	// Epoch is the store's epoch that was read (EpochRead), or that the watch has reached
	// (WatchedTo); other kinds leave it 0.
	Epoch uint64
}

// CertaintyEventKind is the kind of a CertaintyEvent.
type CertaintyEventKind string

// Kinds of events.
const (
	Stalled        CertaintyEventKind = "stood still"
	LeaseConfirmed CertaintyEventKind = "lease settled"
	EpochRead      CertaintyEventKind = "epoch read"
	WatchedTo      CertaintyEventKind = "followed to"
)

// LeaseCertainty is a certainty state with the epoch that it waits for.
type LeaseCertainty struct {
	State CertaintyState
	// RequiredEpoch is the epoch that the watch must reach while the state is CatchingUp.
	RequiredEpoch uint64
}

// Next returns the certainty after an event. It is the only place where the state changes. An
// event that does not follow from the present state, such as the answer to a request from before
// the last stall, changes nothing.
func (c LeaseCertainty) Next(e CertaintyEvent) LeaseCertainty {
	switch {
	case e.Kind == Stalled:
		return LeaseCertainty{State: Doubtful}
	case e.Kind == LeaseConfirmed && c.State == Doubtful:
		return LeaseCertainty{State: LeaseKnown}
	case e.Kind == EpochRead && c.State == LeaseKnown:
		return LeaseCertainty{State: CatchingUp, RequiredEpoch: e.Epoch}
	case e.Kind == WatchedTo && c.State == CatchingUp && e.Epoch >= c.RequiredEpoch:
		return LeaseCertainty{State: Certain}
	}
	return c
}
