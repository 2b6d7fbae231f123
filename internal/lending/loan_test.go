package lending

import (
	"os"
	"testing"

	"pgregory.net/rapid"

	"github.com/harrierreel/harrierreel/internal/testseed"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

func TestMain(m *testing.M) { os.Exit(testseed.Main(m)) }

// nextCase is one step of a loan.
type nextCase struct {
	loan  Loan
	event Event
	facts Facts
	want  State
}

// nextCases are the steps of the state machine, and what must not be one.
var nextCases = map[string]nextCase{
	"begins with its stops": {
		loan:  Loan{State: Wanted},
		event: Request,
		facts: Facts{},
		want:  Requested,
	},
	"is asked for once": {
		loan:  Loan{State: Lent},
		event: Request,
		facts: Facts{},
		want:  Lent,
	},
	"waits for the lender to leave": {
		loan:  Loan{State: Requested},
		event: Observe,
		facts: Facts{LenderLeaving: true, ReplicaWaits: true},
		want:  Requested,
	},
	"is vacated once it has left": {
		loan:  Loan{State: Requested},
		event: Observe,
		facts: Facts{ReplicaWaits: true},
		want:  Vacated,
	},
	"is lent when the replica is there": {
		loan:  Loan{State: Vacated},
		event: Observe,
		facts: Facts{ReplicaOnMachine: true},
		want:  Lent,
	},
	"a replica on its way holds it": {
		loan:  Loan{State: Vacated},
		event: Observe,
		facts: Facts{NowMs: 1e9, ReplicaReleased: true},
		want:  Vacated,
	},
	"a cancelled replica gives it back": {
		loan:  Loan{State: Requested},
		event: Observe,
		facts: Facts{LenderLeaving: true},
		want:  CalledBack,
	},
	"a lender that hangs": {
		loan:  Loan{State: Requested},
		event: Observe,
		facts: Facts{NowMs: tuning.LoanRequestTimeout.Milliseconds() + 1, LenderLeaving: true, ReplicaWaits: true},
		want:  CalledBack,
	},
	"a replica that does not come": {
		loan:  Loan{State: Vacated},
		event: Observe,
		facts: Facts{NowMs: tuning.LoanVacant.Milliseconds() + 1, ReplicaWaits: true},
		want:  CalledBack,
	},
	"a machine with a notice": {
		loan:  Loan{State: Vacated},
		event: Observe,
		facts: Facts{MachineDoubtful: true, ReplicaWaits: true},
		want:  BrokenOff,
	},
	"a replica stays through a notice": {
		loan:  Loan{State: Lent},
		event: Observe,
		facts: Facts{MachineDoubtful: true, ReplicaOnMachine: true},
		want:  Lent,
	},
	"a machine that is gone": {
		loan:  Loan{State: Lent},
		event: Observe,
		facts: Facts{MachineGone: true, ReplicaOnMachine: true},
		want:  BrokenOff,
	},
	"a replica that ended": {
		loan:  Loan{State: Lent},
		event: Observe,
		facts: Facts{LenderWaits: true},
		want:  CalledBack,
	},
	"called back": {
		loan:  Loan{State: Lent},
		event: CallBack,
		facts: Facts{ReplicaOnMachine: true},
		want:  CalledBack,
	},
	"room that is being made is not": {
		loan:  Loan{State: Vacated},
		event: CallBack,
		facts: Facts{},
		want:  Vacated,
	},
	"not before the replica is gone": {
		loan:  Loan{State: CalledBack, FreeMs: 1},
		event: Observe,
		facts: Facts{NowMs: 1e9, ReplicaOnMachine: true},
		want:  CalledBack,
	},
	"the room waits for its lender": {
		loan:  Loan{State: CalledBack, FreeMs: 1},
		event: Observe,
		facts: Facts{NowMs: 2, LenderWaits: true},
		want:  CalledBack,
	},
	"but not for ever": {
		loan:  Loan{State: CalledBack, FreeMs: 1},
		event: Observe,
		facts: Facts{NowMs: tuning.LoanReturnReservation.Milliseconds() + 2, LenderWaits: true},
		want:  Returned,
	},
	"a lender that is over needs none": {
		loan:  Loan{State: CalledBack, FreeMs: 1},
		event: Observe,
		facts: Facts{NowMs: 2},
		want:  Returned,
	},
	"a lender that is back": {
		loan:  Loan{State: CalledBack, FreeMs: 1},
		event: Observe,
		facts: Facts{NowMs: 2, LenderWaits: true, LenderBack: true},
		want:  Returned,
	},
	"what is over stays so": {
		loan:  Loan{State: Returned},
		event: Observe,
		facts: Facts{MachineGone: true},
		want:  Returned,
	},
	"nothing is called back that is over": {
		loan:  Loan{State: BrokenOff},
		event: CallBack,
		facts: Facts{ReplicaOnMachine: true},
		want:  BrokenOff,
	},
	"nothing wanted is lent without a stop": {
		loan:  Loan{State: Wanted},
		event: Observe,
		facts: Facts{ReplicaOnMachine: true},
		want:  Wanted,
	},
}

func TestLoanChangesStateOnlyWithCause(t *testing.T) {
	for name, c := range nextCases {
		if got, _ := Next(c.loan, c.event, c.facts); got.State != c.want {
			t.Errorf("%s: %s becomes %s, not %s", name, c.loan.State, got.State, c.want)
		}
	}
}

// TestLoanEndsAfterAnyFacts draws any facts, in any order, and then a quiet end: the machine is
// there, the lender has left, no replica is. Within the stated times every loan is over, and
// what is over never changes.
func TestLoanEndsAfterAnyFacts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nowMs := int64(1)
		loan, _ := Next(Loan{State: Wanted}, Request, Facts{NowMs: nowMs})
		for range rapid.IntRange(0, 12).Draw(t, "events") {
			nowMs += rapid.Int64Range(0, 90_000).Draw(t, "ms")
			before := loan
			event := rapid.SampledFrom([]Event{Request, Observe, Observe, CallBack}).Draw(t, "event")
			var changed bool
			loan, changed = Next(loan, event, drawFacts(t, nowMs))
			if before.State.Over() && (changed || loan.State != before.State) {
				t.Fatalf("%s becomes %s", before.State, loan.State)
			}
			if before.State == Lent && loan.State == Returned {
				t.Fatal("returned with the replica there")
			}
		}
		calm := Facts{
			ReplicaWaits: rapid.Bool().Draw(t, "replica waits"),
			LenderWaits:  rapid.Bool().Draw(t, "lender waits still"),
		}
		longest := max(tuning.LoanRequestTimeout, tuning.LoanVacant, tuning.LoanReturnReservation)
		for range 8 {
			nowMs += longest.Milliseconds() + 1
			calm.NowMs = nowMs
			loan, _ = Next(loan, Observe, calm)
		}
		if !loan.State.Over() {
			t.Fatalf("still %s", loan.State)
		}
	})
}

func drawFacts(t *rapid.T, nowMs int64) Facts {
	t.Helper()
	return Facts{
		NowMs:            nowMs,
		MachineGone:      rapid.Bool().Draw(t, "machine gone"),
		MachineDoubtful:  rapid.Bool().Draw(t, "machine doubtful"),
		LenderLeaving:    rapid.Bool().Draw(t, "lender leaving"),
		ReplicaOnMachine: rapid.Bool().Draw(t, "replica on machine"),
		ReplicaReleased:  rapid.Bool().Draw(t, "replica released"),
		ReplicaWaits:     rapid.Bool().Draw(t, "replica waits"),
		LenderWaits:      rapid.Bool().Draw(t, "lender waits"),
		LenderBack:       rapid.Bool().Draw(t, "lender back"),
	}
}
