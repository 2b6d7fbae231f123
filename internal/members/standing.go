package members

// Standing is how sure a controller is of its place in the view. A process that
// stood still while its clocks ran on wakes with an old lease, an old view and
// ages that count time in which it did not listen.
type Standing string

// Standings of a controller.
const (
	Sure     Standing = "sure"
	Doubtful Standing = "doubtful"    // stood still: its lease may have ended
	Settled  Standing = "settled"     // the lease stands or is known to be gone
	Catching Standing = "catching up" // the mirror must reach an epoch read since
)

// StandingEvent is what changes a standing.
type StandingEvent struct {
	Kind  StandingEventKind
	Epoch uint64 // read, or followed to
}

// StandingEventKind names an event.
type StandingEventKind string

// Events of a standing.
const (
	StoodStill   StandingEventKind = "stood still"
	LeaseSettled StandingEventKind = "lease settled"
	EpochRead    StandingEventKind = "epoch read"
	FollowedTo   StandingEventKind = "followed to"
)

// Certainty is a standing with the epoch that it waits for.
type Certainty struct {
	Standing
	Until uint64
}

// Next is the one place where a standing changes. An answer that belongs to an
// earlier standstill changes nothing.
func (c Certainty) Next(e StandingEvent) Certainty {
	switch {
	case e.Kind == StoodStill:
		return Certainty{Standing: Doubtful}
	case e.Kind == LeaseSettled && c.Standing == Doubtful:
		return Certainty{Standing: Settled}
	case e.Kind == EpochRead && c.Standing == Settled:
		return Certainty{Catching, e.Epoch}
	case e.Kind == FollowedTo && c.Standing == Catching && e.Epoch >= c.Until:
		return Certainty{Standing: Sure}
	}
	return c
}
