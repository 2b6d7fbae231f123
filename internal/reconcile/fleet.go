package reconcile

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Phase is how far a controller that has started has come.
type Phase string

// Phases, in order. Steady is the end: from then on nothing here holds anything back.
const (
	Reading     Phase = "reading"     // the state service; it is in no view yet
	Hearing     Phase = "hearing"     // some machines have not been heard, or others had no time to
	Reconciling Phase = "reconciling" // of those heard, some still differ
	Steady      Phase = "steady"
)

// Duty is what a controller does.
type Duty string

// Duties.
const (
	Halt    Duty = "stop what is cancelled or not recorded"
	Settle  Duty = "free, end and begin again what machines tell"
	Hand    Duty = "place on machines that are reconciled"
	HandAny Duty = "place on machines of others, by their records"
	Rent    Duty = "rent"
)

// may is what may be decided in each phase. Who may decide at all, as a member or a
// leader, is not told here (standby.Checks, the view's stamp).
var may = map[Phase]map[Duty]bool{
	Reading:     {},
	Hearing:     {Halt: true, Settle: true, Hand: true},
	Reconciling: {Halt: true, Settle: true, Hand: true, HandAny: true, Rent: true},
	Steady:      {Halt: true, Settle: true, Hand: true, HandAny: true, Rent: true},
}

// May tells whether a duty may be done in a phase.
func (p Phase) May(d Duty) bool { return may[p][d] }

// Counts is how many machines are in each state.
type Counts struct {
	Unheard, Heard, Differs, Reconciled, GivenUp int
}

// of is the count of a state.
func (c *Counts) of(m Machine) *int {
	switch m {
	case Unheard:
		return &c.Unheard
	case Heard:
		return &c.Heard
	case Differs:
		return &c.Differs
	case Reconciled:
		return &c.Reconciled
	case GivenUp:
	}
	return &c.GivenUp
}

// Facts is what a phase follows from.
type Facts struct {
	Begun bool // this controller is in a view
	Counts
	Others bool          // some owners of the rest have not told that they heard theirs
	For    time.Duration // since it came into its first view
	Viewed time.Duration // since the newest view
}

// Advance is the one place where the phase changes. within is by when machines that run
// are heard (two report intervals and some), most by when reconciling is over in any case:
// what still differs then is what differs on any day.
func (p Phase) Advance(f Facts, within, most time.Duration) Phase {
	switch {
	case p == Steady || !f.Begun:
		return p
	case f.For >= most:
		return Steady
	case f.Unheard > 0 && f.For < within, f.Others && f.Viewed < tuning.ReconcileOthers:
		return Hearing
	case f.Heard+f.Differs > 0:
		return Reconciling
	}
	return Steady
}
