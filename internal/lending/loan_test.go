package lending

import (
	"os"
	"testing"

	"pgregory.net/rapid"

	"github.com/harrierreel/harrierreel/internal/testseed"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

func TestMain(m *testing.M) { os.Exit(testseed.Main(m)) }

// nextCase is one event applied to a loan, and the state that it must lead to.
type nextCase struct {
	loan  Loan
	event Event
	facts Facts
	want  State
}

// nextCases holds transitions of the state machine, and events that must not cause one.
var nextCases = map[string]nextCase{
	"a request begins a loan": {
		loan:  Loan{State: Wanted},
		event: Request,
		facts: Facts{},
		want:  Requested,
	},
	"a loan is not requested twice": {
		loan:  Loan{State: Lent},
		event: Request,
		facts: Facts{},
		want:  Lent,
	},
	"a loan waits until the lender has left": {
		loan:  Loan{State: Requested},
		event: Observe,
		facts: Facts{LenderLeaving: true, ReplicaWaits: true},
		want:  Requested,
	},
	"room is vacated once the lender has left": {
		loan:  Loan{State: Requested},
		event: Observe,
		facts: Facts{ReplicaWaits: true},
		want:  Vacated,
	},
	"room is lent once the replica is on the machine": {
		loan:  Loan{State: Vacated},
		event: Observe,
		facts: Facts{ReplicaOnMachine: true},
		want:  Lent,
	},
	"a released replica keeps its room": {
		loan:  Loan{State: Vacated},
		event: Observe,
		facts: Facts{NowMs: 1e9, ReplicaReleased: true},
		want:  Vacated,
	},
	"a cancelled replica gives its room back": {
		loan:  Loan{State: Requested},
		event: Observe,
		facts: Facts{LenderLeaving: true},
		want:  Recalled,
	},
	"a lender does not leave in time": {
		loan:  Loan{State: Requested},
		event: Observe,
		facts: Facts{NowMs: tuning.LoanRequestTimeout.Milliseconds() + 1, LenderLeaving: true, ReplicaWaits: true},
		want:  Recalled,
	},
	"a replica does not arrive in time": {
		loan:  Loan{State: Vacated},
		event: Observe,
		facts: Facts{NowMs: tuning.LoanVacant.Milliseconds() + 1, ReplicaWaits: true},
		want:  Recalled,
	},
	"a warned machine ends a loan without a replica": {
		loan:  Loan{State: Vacated},
		event: Observe,
		facts: Facts{MachineUnschedulable: true, ReplicaWaits: true},
		want:  BrokenOff,
	},
	"a replica stays on a warned machine": {
		loan:  Loan{State: Lent},
		event: Observe,
		facts: Facts{MachineUnschedulable: true, ReplicaOnMachine: true},
		want:  Lent,
	},
	"a deleted machine ends a loan": {
		loan:  Loan{State: Lent},
		event: Observe,
		facts: Facts{MachineGone: true, ReplicaOnMachine: true},
		want:  BrokenOff,
	},
	"an ended replica gives its room back": {
		loan:  Loan{State: Lent},
		event: Observe,
		facts: Facts{LenderWaits: true},
		want:  Recalled,
	},
	"a replica on its machine can be called back": {
		loan:  Loan{State: Lent},
		event: Recall,
		facts: Facts{ReplicaOnMachine: true},
		want:  Recalled,
	},
	"vacated room is not called back": {
		loan:  Loan{State: Vacated},
		event: Recall,
		facts: Facts{},
		want:  Vacated,
	},
	"room is not returned while the replica is there": {
		loan:  Loan{State: Recalled, FreeMs: 1},
		event: Observe,
		facts: Facts{NowMs: 1e9, ReplicaOnMachine: true},
		want:  Recalled,
	},
	"room is reserved for the lender": {
		loan:  Loan{State: Recalled, FreeMs: 1},
		event: Observe,
		facts: Facts{NowMs: 2, LenderWaits: true},
		want:  Recalled,
	},
	"room is not reserved for the lender forever": {
		loan:  Loan{State: Recalled, FreeMs: 1},
		event: Observe,
		facts: Facts{NowMs: tuning.LoanReturnReservation.Milliseconds() + 2, LenderWaits: true},
		want:  Returned,
	},
	"a lender without waiting tasks needs no room": {
		loan:  Loan{State: Recalled, FreeMs: 1},
		event: Observe,
		facts: Facts{NowMs: 2},
		want:  Returned,
	},
	"a lender has a task on the machine again": {
		loan:  Loan{State: Recalled, FreeMs: 1},
		event: Observe,
		facts: Facts{NowMs: 2, LenderWaits: true, LenderBack: true},
		want:  Returned,
	},
	"a returned loan is final": {
		loan:  Loan{State: Returned},
		event: Observe,
		facts: Facts{MachineGone: true},
		want:  Returned,
	},
	"a loan that is over is not called back": {
		loan:  Loan{State: BrokenOff},
		event: Recall,
		facts: Facts{ReplicaOnMachine: true},
		want:  BrokenOff,
	},
	"a wanted loan does not begin by observation": {
		loan:  Loan{State: Wanted},
		event: Observe,
		facts: Facts{ReplicaOnMachine: true},
		want:  Wanted,
	},
}

func TestLoanStateTransitions(t *testing.T) {
	for name, c := range nextCases {
		if got, _ := Next(c.loan, c.event, c.facts); got.State != c.want {
			t.Errorf("%s: %s becomes %s, want %s", name, c.loan.State, got.State, c.want)
		}
	}
}

// TestLoanEndsAfterAnyFacts applies random events with random facts to a loan, and then lets time
// pass in which the machine is up, the lender has left and the replica is not on the machine. The
// loan must be over within the timeouts, and a loan that is over must never change.
func TestLoanEndsAfterAnyFacts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nowMs := int64(1)
		loan, _ := Next(Loan{State: Wanted}, Request, Facts{NowMs: nowMs})
		for range rapid.IntRange(0, 12).Draw(t, "events") {
			nowMs += rapid.Int64Range(0, 90_000).Draw(t, "ms")
			before := loan
			event := rapid.SampledFrom([]Event{Request, Observe, Observe, Recall}).Draw(t, "event")
			var changed bool
			loan, changed = Next(loan, event, drawFacts(t, nowMs))
			if before.State.Final() && (changed || loan.State != before.State) {
				t.Fatalf("%s becomes %s", before.State, loan.State)
			}
			if before.State == Lent && loan.State == Returned {
				t.Fatal("a lent loan is returned without being called back")
			}
		}
		quiet := Facts{
			ReplicaWaits: rapid.Bool().Draw(t, "replica waits"),
			LenderWaits:  rapid.Bool().Draw(t, "lender waits"),
		}
		longest := max(tuning.LoanRequestTimeout, tuning.LoanVacant, tuning.LoanReturnReservation)
		for range 8 {
			nowMs += longest.Milliseconds() + 1
			quiet.NowMs = nowMs
			loan, _ = Next(loan, Observe, quiet)
		}
		if !loan.State.Final() {
			t.Fatalf("the loan is not over, but %s", loan.State)
		}
	})
}

func drawFacts(t *rapid.T, nowMs int64) Facts {
	t.Helper()
	return Facts{
		NowMs:                nowMs,
		MachineGone:          rapid.Bool().Draw(t, "machine gone"),
		MachineUnschedulable: rapid.Bool().Draw(t, "machine unschedulable"),
		LenderLeaving:        rapid.Bool().Draw(t, "lender leaving"),
		ReplicaOnMachine:     rapid.Bool().Draw(t, "replica on machine"),
		ReplicaReleased:      rapid.Bool().Draw(t, "replica released"),
		ReplicaWaits:         rapid.Bool().Draw(t, "replica waits"),
		LenderWaits:          rapid.Bool().Draw(t, "lender waits"),
		LenderBack:           rapid.Bool().Draw(t, "lender back"),
	}
}
