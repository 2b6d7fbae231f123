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

// Permission is what a controller does.
type Permission string

// Duties.
const (
	Halt    Permission = "stop what is cancelled or not recorded"
	Settle  Permission = "free, end and begin again what machines tell"
	Hand    Permission = "place on machines that are reconciled"
	HandAny Permission = "place on machines of others, by their records"
	Rent    Permission = "rent"
)

// permitted is what may be decided in each phase. Who may decide at all, as a member or a
// leader, is not told here (standby.Checks, the view's stamp).
var permitted = map[Phase]map[Permission]bool{
	Reading:     {},
	Hearing:     {Halt: true, Settle: true, Hand: true},
	Reconciling: {Halt: true, Settle: true, Hand: true, HandAny: true, Rent: true},
	Steady:      {Halt: true, Settle: true, Hand: true, HandAny: true, Rent: true},
}

// Permits tells whether a duty may be done in a phase.
func (p Phase) Permits(d Permission) bool { return permitted[p][d] }

// Counts is how many machines are in each state.
type Counts struct {
	Unregistered, Heard, Differs, Reconciled, Decommissioned int
}

// of is the count of a state.
func (c *Counts) of(m Machine) *int {
	switch m {
	case MachineUnheard:
		return &c.Unregistered
	case Heard:
		return &c.Heard
	case Differs:
		return &c.Differs
	case Reconciled:
		return &c.Reconciled
	case MachineDecommissioned:
	}
	return &c.Decommissioned
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
	case f.Unregistered > 0 && f.For < within, f.Others && f.Viewed < tuning.ReconcileOthers:
		return Hearing
	case f.Heard+f.Differs > 0:
		return Reconciling
	}
	return Steady
}
