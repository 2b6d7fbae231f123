// Package reconcile is how a controller that starts reconciles what machines report with
// what is recorded: which machines have been heard, what differs, and what may be
// decided before all of it is known. After all controllers went down nothing else knows.
// It has no IO and no clock.
package reconcile

// Machine is where a machine stands between its records and its reports.
type Machine string

// States of a machine.
const (
	MachineUnheard        Machine = "unheard"    // no report under our baton yet
	Heard                 Machine = "heard"      // not compared yet
	Differs               Machine = "differs"    // something is still to be done about it
	Reconciled            Machine = "reconciled" // records and reports agree
	MachineDecommissioned Machine = "given up"   // no longer waited for: it does not answer, or is lost
)

// Event is what happens to a machine.
type Event string

// Events of a machine.
const (
	Shows      Event = "shows"   // reports under our baton
	Agrees     Event = "agrees"  // compared, nothing differs
	Departs    Event = "departs" // compared, something differs
	Silent     Event = "silent"  // left a call unanswered, or is given up
	PlaceAgain Event = "anew"    // another baton: what it said before counts no more
)

// Next is the one place where a machine's state changes.
func Next(m Machine, e Event) (Machine, bool) {
	switch e {
	case Shows:
		if m == MachineUnheard || m == MachineDecommissioned {
			return Heard, true
		}
	case Agrees:
		if m == Heard || m == Differs {
			return Reconciled, true
		}
	case Departs:
		if m == Heard || m == Reconciled {
			return Differs, true
		}
	case Silent:
		if m == MachineUnheard {
			return MachineDecommissioned, true
		}
	case PlaceAgain:
		if m == Heard || m == Differs || m == Reconciled {
			return MachineUnheard, true
		}
	}
	return m, false
}
