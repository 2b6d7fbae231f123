// Package lending lets batch work and training lend accelerators to services: which tasks give
// room on which machine (choose.go), the state machine of a loan (loan.go), the stored records
// of loans (loan_record.go), and the leader's ledger, which advances the loans (ledger.go),
// begins them (request.go), keeps their room (room.go) and calls replicas back (callback.go).
// It has no IO and reads no clock.
package lending

import "github.com/harrierreel/harrierreel/internal/tuning"

// State is how far a loan has come. Wanted is never stored: it follows from a replica that
// waits. All others are stored, and a new leader finds each again from the records.
type State string

// States of a loan.
const (
	Wanted     State = "wanted"      // a replica waits, nothing is taken
	Requested  State = "asked"       // the lender's tasks are to stop, by the same transaction
	Vacated    State = "vacated"     // they are gone, the room is reserved for the replica
	Lent       State = "lent"        // the replica is on the machine
	CalledBack State = "called back" // the replica is stopping or gone, the room is the lender's for a while
	Returned   State = "returned"    // over: the lender has the room, or did not use it in time
	BrokenOff  State = "broken off"  // over: there is no room to give back any more
)

// Over tells whether no state follows a state.
func (s State) Over() bool { return s == Returned || s == BrokenOff }

// stored tells whether a state is one that records may hold.
func (s State) stored() bool {
	switch s {
	case Requested, Vacated, Lent, CalledBack, Returned, BrokenOff:
		return true
	case Wanted:
		return false
	}
	return false
}

// Loan is the room of one replica, made by stopping others on one machine. Its tags are the
// stored form: they must not change.
type Loan struct {
	ID        int     `json:"i"`
	State     State   `json:"s"`
	Job       string  `json:"b"`  // service that the room is for
	TaskIndex int     `json:"n"`  // replica of the service
	Machine   string  `json:"h"`  // machine
	From      []Share `json:"f"`  // lenders, in the order in which the room goes back
	GPUs      float64 `json:"g"`  // accelerators lent
	BeganMs   int64   `json:"at"` // time of day when it was requested
	SinceMs   int64   `json:"t"`  // time of day when it came to its state
	// FreeMs is, of a loan called back, since when the room is the lender's; 0 while the
	// replica is there.
	FreeMs int64  `json:"k,omitempty"`
	Reason string `json:"w,omitempty"` // of its state, for people
}

// Share is what one job lends.
type Share struct {
	Job   string  `json:"j"`
	GPUs  float64 `json:"g"` // of what the replica takes
	Tasks int     `json:"n"` // tasks stopped, a gang's on other machines included
}

// Event is what advances a loan.
type Event string

// Events of a loan.
const (
	Request  Event = "ask"       // the stops of the lenders' tasks commit with it
	Observe  Event = "look"      // the records are compared with the loan
	CallBack Event = "call back" // the lender's guaranteed work waits
)

// Facts is what the records say about a loan now.
type Facts struct {
	NowMs int64
	// MachineGone: the machine is deleted, or being deleted.
	MachineGone bool
	// MachineDoubtful: the machine is warned or faulty, so no new task goes there.
	MachineDoubtful bool
	// LenderLeaving: a task of a lender is still on the machine and stopping.
	LenderLeaving bool
	// ReplicaOnMachine: the replica may be on the machine.
	ReplicaOnMachine bool
	// ReplicaReleased: the replica is released to the machine.
	ReplicaReleased bool
	// ReplicaWaits: the replica has no place anywhere, and its job is live.
	ReplicaWaits bool
	// LenderWaits: a lender has tasks that wait.
	LenderWaits bool
	// LenderBack: a lender's task has started on the machine since the room is the lender's.
	LenderBack bool
}

// Next is the state machine of a loan: nothing else changes a loan's state. It tells whether
// the loan changed.
func Next(loan Loan, event Event, facts Facts) (Loan, bool) {
	switch event {
	// Only a committed stop begins a loan.
	case Request:
		if loan.State == Wanted || loan.State == "" {
			loan.BeganMs = facts.NowMs
			return loan.to(Requested, "", facts)
		}
	// Only a replica that is on the machine can be called back.
	case CallBack:
		if loan.State == Lent && facts.ReplicaOnMachine {
			return loan.to(CalledBack, "the lender's guaranteed work waits", facts)
		}
	case Observe:
		return loan.observe(facts)
	}
	return loan, false
}

// to returns a loan in its next state.
func (l Loan) to(state State, reason string, facts Facts) (Loan, bool) {
	l.State, l.SinceMs, l.Reason = state, facts.NowMs, reason
	return l, true
}

// observe compares a loan with the records.
func (l Loan) observe(facts Facts) (Loan, bool) {
	if l.State.Over() {
		return l, false
	}
	// Room on a machine that is gone cannot be given back.
	if facts.MachineGone {
		return l.to(BrokenOff, "the machine is gone", facts)
	}
	switch l.State {
	case Requested, Vacated:
		return l.observeReserved(facts)
	case Lent:
		if !facts.ReplicaOnMachine && !facts.ReplicaReleased {
			return l.to(CalledBack, "the replica ended", facts)
		}
	case CalledBack:
		return l.observeReturn(facts)
	case Wanted, Returned, BrokenOff:
	}
	return l, false
}

// observeReserved is the step of a loan whose room is made, or reserved for its replica.
func (l Loan) observeReserved(facts Facts) (Loan, bool) {
	ageMs := facts.NowMs - l.SinceMs
	switch {
	case facts.ReplicaOnMachine && !facts.LenderLeaving:
		return l.to(Lent, "", facts)
	case facts.ReplicaReleased || facts.ReplicaOnMachine:
		return l, false
	case facts.MachineDoubtful:
		return l.to(BrokenOff, "the machine will be taken", facts)
	case !facts.ReplicaWaits:
		return l.to(CalledBack, "the replica no longer waits", facts)
	case l.State == Requested && !facts.LenderLeaving:
		return l.to(Vacated, "", facts)
	case l.State == Requested && ageMs > tuning.LoanRequestTimeout.Milliseconds():
		return l.to(CalledBack, "the lender did not leave in time", facts)
	case l.State == Vacated && ageMs > tuning.LoanVacant.Milliseconds():
		return l.to(CalledBack, "the replica did not come in time", facts)
	}
	return l, false
}

// observeReturn is the step of a loan that is called back: once the room is free it is reserved
// for the lender for a bounded time, so that room never stays empty for a lender that does
// not use it.
func (l Loan) observeReturn(facts Facts) (Loan, bool) {
	switch {
	case facts.ReplicaOnMachine || facts.LenderLeaving:
		return l, false
	case l.FreeMs == 0:
		l.FreeMs = facts.NowMs
		return l, true
	case facts.LenderBack:
		return l.to(Returned, "the lender is back", facts)
	case !facts.LenderWaits:
		return l.to(Returned, "the lender needs it no more", facts)
	case facts.NowMs-l.FreeMs > tuning.LoanReturnReservation.Milliseconds():
		return l.to(Returned, "the lender did not come in time", facts)
	}
	return l, false
}

// ForBorrower tells whether a loan's room is reserved for its replica.
func (l *Loan) ForBorrower() bool { return l.State == Requested || l.State == Vacated }

// ForLender tells whether a loan's room is reserved for the jobs that lent it.
func (l *Loan) ForLender() bool { return l.State == CalledBack && l.FreeMs > 0 }
