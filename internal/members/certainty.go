package members

// CertaintyState is how sure a controller is of its place in the view. A process that
// stood still while its clocks ran on wakes with an old lease, an old view and
// ages that count time in which it did not listen.
type CertaintyState string

// Standings of a controller.
const (
	Certain    CertaintyState = "sure"
	Doubtful   CertaintyState = "doubtful"    // stood still: its lease may have ended
	LeaseKnown CertaintyState = "settled"     // the lease stands or is known to be gone
	CatchingUp CertaintyState = "catching up" // the mirror must reach an epoch read since
)

// CertaintyEvent is what changes a standing.
type CertaintyEvent struct {
	Kind  CertaintyEventKind
	Epoch uint64 // read, or followed to
}

// CertaintyEventKind names an event.
type CertaintyEventKind string

// Events of a standing.
const (
	Stalled        CertaintyEventKind = "stood still"
	LeaseConfirmed CertaintyEventKind = "lease settled"
	EpochRead      CertaintyEventKind = "epoch read"
	WatchedTo      CertaintyEventKind = "followed to"
)

// LeaseCertainty is a standing with the epoch that it waits for.
type LeaseCertainty struct {
	CertaintyState
	Until uint64
}

// Next is the one place where a standing changes. An answer that belongs to an
// earlier standstill changes nothing.
func (c LeaseCertainty) Next(e CertaintyEvent) LeaseCertainty {
	switch {
	case e.Kind == Stalled:
		return LeaseCertainty{CertaintyState: Doubtful}
	case e.Kind == LeaseConfirmed && c.CertaintyState == Doubtful:
		return LeaseCertainty{CertaintyState: LeaseKnown}
	case e.Kind == EpochRead && c.CertaintyState == LeaseKnown:
		return LeaseCertainty{CatchingUp, e.Epoch}
	case e.Kind == WatchedTo && c.CertaintyState == CatchingUp && e.Epoch >= c.Until:
		return LeaseCertainty{CertaintyState: Certain}
	}
	return c
}
