// Package lending lets batch and training jobs lend accelerators to replicas of services. Lending
// stops tasks of the lenders to make room, that is free capacity on a machine, for a replica. The
// room goes back to the lenders when the replica ends or when a lender needs what it is guaranteed.
//
// The package chooses which tasks to stop on which machine (choose.go, stop_unit.go) and defines
// the state machine of a loan (loan.go) and the stored records of loans (loan_record.go). The
// leader's ledger advances the loans (ledger.go, facts.go), begins them (request.go), reserves
// their room (room.go) and calls replicas back (callback.go). The package does no IO and reads no
// clock.
package lending

import "github.com/harrierreel/harrierreel/internal/tuning"

// State is the state of a loan. Wanted is never stored, since it follows from a waiting replica.
// All other states are stored. A new leader reads them and derives the changes since from the
// records.
type State string

// States of a loan.
const (
	Wanted    State = "wanted"      // a replica waits, nothing has been taken from a lender
	Requested State = "asked"       // the transaction that began the loan has made the lenders' tasks stop
	Vacated   State = "vacated"     // the lenders' tasks are gone, the room is reserved for the replica
	Lent      State = "lent"        // the replica is on the machine
	Recalled  State = "called back" // the replica is stopping, or it is gone and the room is reserved for the lenders
	Returned  State = "returned"    // final: a lender has the room again, no longer needs it, or did not use it in time
	BrokenOff State = "broken off"  // final: the machine is gone or about to be, so no room can be given back
)

// Final reports whether a state is final.
func (s State) Final() bool { return s == Returned || s == BrokenOff }

// stored reports whether records may contain a state.
func (s State) stored() bool {
	switch s {
	case Requested, Vacated, Lent, Recalled, Returned, BrokenOff:
		return true
	case Wanted:
		return false
	}
	return false
}

// Loan is the lending of room on one machine to one replica. The room is made by stopping tasks of
// other jobs. The field tags define the stored format and must not change.
type Loan struct {
	ID        int     `json:"i"`
	State     State   `json:"s"`
	Job       string  `json:"b"`  // service that borrows the room
	TaskIndex int     `json:"n"`  // index of the replica in the service
	Machine   string  `json:"h"`  // machine on which the room is
	From      []Share `json:"f"`  // lenders, in the order in which they get the room back
	GPUs      float64 `json:"g"`  // accelerators lent
	BeganMs   int64   `json:"at"` // Unix time at which the loan was requested
	SinceMs   int64   `json:"t"`  // Unix time at which the loan entered its state
	// FreeMs is the Unix time from which the room of a loan that is called back is reserved for the
	// lenders; 0 while the replica is still on the machine.
	FreeMs int64  `json:"k,omitempty"`
	Reason string `json:"w,omitempty"` // why the loan is in its state, for operators
}

// Share is what one job lends.
type Share struct {
	Job   string  `json:"j"`
	GPUs  float64 `json:"g"` // accelerators of the replica that this job lends
	Tasks int     `json:"n"` // tasks stopped, including those of a gang on other machines
}

// Event is an event that can change the state of a loan.
type Event string

// Events of a loan.
const (
	Request Event = "ask"       // the loan begins, in one transaction with the stops of the lenders' tasks
	Observe Event = "look"      // the loan is compared with the records
	Recall  Event = "call back" // a lender waits for what it is guaranteed
)

// Facts is what the records currently say about a loan.
type Facts struct {
	NowMs int64
	// MachineGone is set if the machine is deleted or being deleted.
	MachineGone bool
	// MachineUnschedulable is set if the machine is warned or faulty, so that no new task is placed
	// there.
	MachineUnschedulable bool
	// LenderLeaving is set if a stopping task of a lender is still on the machine.
	LenderLeaving bool
	// ReplicaOnMachine is set if the replica may be on the machine.
	ReplicaOnMachine bool
	// ReplicaReleased is set if the replica is released to the machine.
	ReplicaReleased bool
	// ReplicaWaits is set if the replica is not placed anywhere and its job may start tasks.
	ReplicaWaits bool
	// LenderWaits is set if a lender has waiting tasks that may start.
	LenderWaits bool
	// LenderBack is set if a lender's task has started on the machine since Loan.FreeMs.
	LenderBack bool
}

// Next is the state machine of a loan; nothing else changes a loan's state. It returns the loan
// after an event and reports whether the loan changed.
func Next(loan Loan, event Event, facts Facts) (Loan, bool) {
	switch event {
	// A loan begins only together with the stops that make its room.
	case Request:
		if loan.State == Wanted || loan.State == "" {
			loan.BeganMs = facts.NowMs
			return loan.withState(Requested, "", facts)
		}
	// A replica can be called back only while it is on the machine.
	case Recall:
		if loan.State == Lent && facts.ReplicaOnMachine {
			return loan.withState(Recalled, "the lender's guaranteed work waits", facts)
		}
	case Observe:
		return loan.observe(facts)
	}
	return loan, false
}

// withState returns the loan in a new state, and true because it changed.
func (l Loan) withState(state State, reason string, facts Facts) (Loan, bool) {
	l.State, l.SinceMs, l.Reason = state, facts.NowMs, reason
	return l, true
}

// observe returns the loan after an Observe event.
func (l Loan) observe(facts Facts) (Loan, bool) {
	if l.State.Final() {
		return l, false
	}
	// Room on a deleted machine cannot be given back.
	if facts.MachineGone {
		return l.withState(BrokenOff, "the machine is gone", facts)
	}
	switch l.State {
	case Requested, Vacated:
		return l.observeReserved(facts)
	case Lent:
		if !facts.ReplicaOnMachine && !facts.ReplicaReleased {
			return l.withState(Recalled, "the replica ended", facts)
		}
	case Recalled:
		return l.observeReturn(facts)
	case Wanted, Returned, BrokenOff:
	}
	return l, false
}

// observeReserved handles Observe for a loan whose room is being made or is reserved for the
// replica.
func (l Loan) observeReserved(facts Facts) (Loan, bool) {
	ageMs := facts.NowMs - l.SinceMs
	switch {
	case facts.ReplicaOnMachine && !facts.LenderLeaving:
		return l.withState(Lent, "", facts)
	case facts.ReplicaReleased || facts.ReplicaOnMachine:
		return l, false
	case facts.MachineUnschedulable:
		return l.withState(BrokenOff, "the machine will be taken", facts)
	case !facts.ReplicaWaits:
		return l.withState(Recalled, "the replica no longer waits", facts)
	case l.State == Requested && !facts.LenderLeaving:
		return l.withState(Vacated, "", facts)
	case l.State == Requested && ageMs > tuning.LoanRequestTimeout.Milliseconds():
		return l.withState(Recalled, "the lender did not leave in time", facts)
	case l.State == Vacated && ageMs > tuning.LoanVacant.Milliseconds():
		return l.withState(Recalled, "the replica did not come in time", facts)
	}
	return l, false
}

// observeReturn handles Observe for a loan that is called back. Once the room is free, it is
// reserved for the lenders for a limited time, so that it does not stay empty if they don't use it.
func (l Loan) observeReturn(facts Facts) (Loan, bool) {
	switch {
	case facts.ReplicaOnMachine || facts.LenderLeaving:
		return l, false
	case l.FreeMs == 0:
		l.FreeMs = facts.NowMs
		return l, true
	case facts.LenderBack:
		return l.withState(Returned, "the lender is back", facts)
	case !facts.LenderWaits:
		return l.withState(Returned, "the lender needs it no more", facts)
	case facts.NowMs-l.FreeMs > tuning.LoanReturnReservation.Milliseconds():
		return l.withState(Returned, "the lender did not come in time", facts)
	}
	return l, false
}

// ForBorrower reports whether a loan's room is reserved for its replica.
func (l *Loan) ForBorrower() bool { return l.State == Requested || l.State == Vacated }

// ForLender reports whether a loan's room is reserved for the jobs that lent it.
func (l *Loan) ForLender() bool { return l.State == Recalled && l.FreeMs > 0 }
