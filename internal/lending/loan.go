// Package lending is GPUs that batch work and training lend to serving: who gives
// (choose.go), how far each loan has come (loan.go), the leader's keeping of them in the
// shared state (ledger.go, loan_record.go). No IO, no clock.
package lending

import "github.com/harrierreel/harrierreel/internal/tuning"

// State is how far a loan has come. What is wanted is not stored: it follows from a
// replica that waits. All others are, and each can be found again from the records.
type State string

// States of a loan.
const (
	Wanted     State = "wanted"      // a replica waits, nothing is taken
	Asked      State = "asked"       // the lender's tasks are to stop, by the same transaction
	Vacated    State = "vacated"     // they are gone, the room is kept for the replica
	Lent       State = "lent"        // the replica is on the machine
	CalledBack State = "called back" // the replica goes or is gone, the room is the lender's for a while
	Returned   State = "returned"    // over: the lender has it, or has let its time pass
	BrokenOff  State = "broken off"  // over: there is no room to give back any more
)

// Over tells whether nothing comes after a state.
func (s State) Over() bool { return s == Returned || s == BrokenOff }

// Loan is one replica's room, made by stopping others on one machine.
type Loan struct {
	ID        int     `json:"i"`
	State     State   `json:"s"`
	Job       string  `json:"b"`           // whose replica it is for
	TaskIndex int     `json:"n"`           // which of them
	Machine   string  `json:"h"`           // machine
	From      []Share `json:"f"`           // from whom, in the order in which it goes back
	GPUs      float64 `json:"g"`           // accelerators lent
	BeganMs   int64   `json:"at"`          // time of day when it was asked for
	SinceMs   int64   `json:"t"`           // when it came to its state
	FreeMs    int64   `json:"k,omitempty"` // called back: since when the room is the lender's, 0 while the replica is there
	Reason    string  `json:"w,omitempty"`
}

// Share is what one job gave.
type Share struct {
	Job   string  `json:"j"`
	GPUs  float64 `json:"g"` // of what the replica takes
	Tasks int     `json:"n"` // that stop, those of a gang elsewhere included
}

// Event is what the keeper tells a loan.
type Event string

// Events of a loan.
const (
	Request  Event = "ask"       // its stops are committed with it
	Observe  Event = "look"      // the records are looked at
	CallBack Event = "call back" // the lender's guaranteed work waits
)

// Facts is what the records say about a loan now.
type Facts struct {
	NowMs int64
	// MachineGone: the machine is no more, or will be; Doubtful: it has a notice, so nothing
	// new goes there.
	MachineGone, MachineDoubtful bool
	// LenderLeaving: a task of a lender is still on the machine, on its way out.
	LenderLeaving bool
	// ReplicaOnMachine: the replica may be on the machine; Coming: it is released to it. Waits: it
	// has no place anywhere, and its job lives.
	ReplicaOnMachine, ReplicaReleased, ReplicaWaits bool
	// LenderWaits: a lender has tasks that wait; LenderBack: one has started there again.
	LenderWaits, LenderBack bool
}

// Next is the one place where a loan changes. It tells whether it did.
func Next(l Loan, e Event, f Facts) (Loan, bool) {
	to := func(s State, why string) (Loan, bool) {
		l.State, l.SinceMs, l.Reason = s, f.NowMs, why
		return l, true
	}
	age := f.NowMs - l.SinceMs
	// Only a committed stop begins a loan, and only what is lent can be called back.
	switch {
	case e == Request && (l.State == Wanted || l.State == ""):
		l.BeganMs = f.NowMs
		return to(Asked, "")
	case e == CallBack && l.State == Lent && f.ReplicaOnMachine:
		return to(CalledBack, "the lender's guaranteed work waits")
	case e != Observe || l.State.Over():
		return l, false
	}
	// What is on a machine that is gone cannot be given back.
	if f.MachineGone {
		return to(BrokenOff, "the machine is gone")
	}
	switch l.State {
	case Asked, Vacated:
		switch {
		case f.ReplicaOnMachine && !f.LenderLeaving:
			return to(Lent, "")
		case f.ReplicaReleased || f.ReplicaOnMachine:
			return l, false
		case f.MachineDoubtful:
			return to(BrokenOff, "the machine will be taken")
		case !f.ReplicaWaits:
			return to(CalledBack, "the replica no longer waits")
		case l.State == Asked && !f.LenderLeaving:
			return to(Vacated, "")
		case l.State == Asked && age > tuning.LoanRequestTimeout.Milliseconds():
			return to(CalledBack, "the lender did not leave in time")
		case l.State == Vacated && age > tuning.LoanVacant.Milliseconds():
			return to(CalledBack, "the replica did not come in time")
		}
	case Lent:
		if !f.ReplicaOnMachine && !f.ReplicaReleased {
			return to(CalledBack, "the replica ended")
		}
	case CalledBack:
		return giveBack(l, f, to)
	case Wanted, Returned, BrokenOff:
	}
	return l, false
}

// giveBack is the end of a loan: once the room is free it is the lender's for a bounded
// time, so that room never stands empty for one that does not come.
func giveBack(l Loan, f Facts, to func(State, string) (Loan, bool)) (Loan, bool) {
	switch {
	case f.ReplicaOnMachine || f.LenderLeaving:
		return l, false
	case l.FreeMs == 0:
		l.FreeMs = f.NowMs
		return l, true
	case f.LenderBack:
		return to(Returned, "the lender is back")
	case !f.LenderWaits:
		return to(Returned, "the lender needs it no more")
	case f.NowMs-l.FreeMs > tuning.LoanReturnReservation.Milliseconds():
		return to(Returned, "the lender did not come in time")
	}
	return l, false
}

// ForBorrower tells whether a loan's room is kept for its replica, ForLender whether
// for those that gave it.
func (l *Loan) ForBorrower() bool { return l.State == Asked || l.State == Vacated }

// ForLender: see ForBorrower.
func (l *Loan) ForLender() bool { return l.State == CalledBack && l.FreeMs > 0 }
