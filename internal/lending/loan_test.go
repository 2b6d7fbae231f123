package lending

import (
	"os"
	"testing"

	"pgregory.net/rapid"

	"github.com/harrierreel/harrierreel/internal/testseed"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

func TestMain(m *testing.M) { os.Exit(testseed.Main(m)) }

func TestNext(t *testing.T) {
	past := func(d int64) Facts { return Facts{NowMs: d + 1, ReplicaWaits: true} }
	for name, c := range map[string]struct {
		l    Loan
		e    Event
		f    Facts
		want State
	}{
		"begins with its stops":                 {Loan{State: Wanted}, Request, Facts{}, Asked},
		"is asked for once":                     {Loan{State: Lent}, Request, Facts{}, Lent},
		"waits for the lender to leave":         {Loan{State: Asked}, Observe, Facts{LenderLeaving: true, ReplicaWaits: true}, Asked},
		"is vacated once it has left":           {Loan{State: Asked}, Observe, Facts{ReplicaWaits: true}, Vacated},
		"is lent when the replica is there":     {Loan{State: Vacated}, Observe, Facts{ReplicaOnMachine: true}, Lent},
		"a replica on its way holds it":         {Loan{State: Vacated}, Observe, Facts{NowMs: 1e9, ReplicaReleased: true}, Vacated},
		"a cancelled replica gives it back":     {Loan{State: Asked}, Observe, Facts{LenderLeaving: true}, CalledBack},
		"a lender that hangs":                   {Loan{State: Asked}, Observe, Facts{NowMs: tuning.LoanRequestTimeout.Milliseconds() + 1, LenderLeaving: true, ReplicaWaits: true}, CalledBack},
		"a replica that does not come":          {Loan{State: Vacated}, Observe, past(tuning.LoanVacant.Milliseconds()), CalledBack},
		"a machine with a notice":               {Loan{State: Vacated}, Observe, Facts{MachineDoubtful: true, ReplicaWaits: true}, BrokenOff},
		"a replica stays through a notice":      {Loan{State: Lent}, Observe, Facts{MachineDoubtful: true, ReplicaOnMachine: true}, Lent},
		"a machine that is gone":                {Loan{State: Lent}, Observe, Facts{MachineGone: true, ReplicaOnMachine: true}, BrokenOff},
		"a replica that ended":                  {Loan{State: Lent}, Observe, Facts{LenderWaits: true}, CalledBack},
		"called back":                           {Loan{State: Lent}, CallBack, Facts{ReplicaOnMachine: true}, CalledBack},
		"room that is being made is not":        {Loan{State: Vacated}, CallBack, Facts{}, Vacated},
		"not before the replica is gone":        {Loan{State: CalledBack, FreeMs: 1}, Observe, Facts{NowMs: 1e9, ReplicaOnMachine: true}, CalledBack},
		"the room waits for its lender":         {Loan{State: CalledBack, FreeMs: 1}, Observe, Facts{NowMs: 2, LenderWaits: true}, CalledBack},
		"but not for ever":                      {Loan{State: CalledBack, FreeMs: 1}, Observe, Facts{NowMs: tuning.LoanReturnReservation.Milliseconds() + 2, LenderWaits: true}, Returned},
		"a lender that is over needs none":      {Loan{State: CalledBack, FreeMs: 1}, Observe, Facts{NowMs: 2}, Returned},
		"a lender that is back":                 {Loan{State: CalledBack, FreeMs: 1}, Observe, Facts{NowMs: 2, LenderWaits: true, LenderBack: true}, Returned},
		"what is over stays so":                 {Loan{State: Returned}, Observe, Facts{MachineGone: true}, Returned},
		"nothing is called back that is over":   {Loan{State: BrokenOff}, CallBack, Facts{ReplicaOnMachine: true}, BrokenOff},
		"nothing wanted is lent without a stop": {Loan{State: Wanted}, Observe, Facts{ReplicaOnMachine: true}, Wanted},
	} {
		if got, _ := Next(c.l, c.e, c.f); got.State != c.want {
			t.Errorf("%s: %s becomes %s, not %s", name, c.l.State, got.State, c.want)
		}
	}
}

// TestEveryLoanEnds draws any facts, in any order, and then a quiet end: the machine is
// there, the lender has left, no replica is. Within the stated times every loan is over,
// and what is over never changes.
func TestEveryLoanEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := int64(1)
		bit := func(name string) bool { return rapid.Bool().Draw(t, name) }
		l, _ := Next(Loan{State: Wanted}, Request, Facts{NowMs: now})
		for range rapid.IntRange(0, 12).Draw(t, "events") {
			now += rapid.Int64Range(0, 90_000).Draw(t, "ms")
			was := l
			e := rapid.SampledFrom([]Event{Request, Observe, Observe, CallBack}).Draw(t, "event")
			f := Facts{
				now,
				bit("gone"),
				bit("doubtful"),
				bit("leaving"),
				bit("on"),
				bit("coming"),
				bit("waits"),
				bit("lender waits"),
				bit("lender back"),
			}
			var moved bool
			if l, moved = Next(l, e, f); was.State.Over() && (moved || l.State != was.State) {
				t.Fatalf("%s becomes %s", was.State, l.State)
			}
			if was.State == Lent && l.State == Returned {
				t.Fatal("returned with the replica there")
			}
		}
		waits, lender := bit("replica waits"), bit("lender waits still")
		for range 8 {
			now += max(tuning.LoanRequestTimeout, tuning.LoanVacant, tuning.LoanReturnReservation).Milliseconds() + 1
			l, _ = Next(l, Observe, Facts{NowMs: now, ReplicaWaits: waits, LenderWaits: lender})
		}
		if !l.State.Over() {
			t.Fatalf("still %s", l.State)
		}
	})
}

func TestSheets(t *testing.T) {
	good := `{"l":[{"i":1,"s":"lent","b":"wk-1","n":0,"h":"i-1","f":[{"j":"wk-2","g":1}],"g":1,"at":5,"t":6}]}`
	if s, err := Decode([]byte(good)); err != nil || s.Loans[0].State != Lent {
		t.Error(s, err)
	}
	for _, bad := range []string{`7`, `{"l":[{"i":1,"s":"odd"}]}`, `{"l":[{"i":1,"s":"lent","b":"wk-1","h":"i-1","g":1}]}`, `{"l":[{"i":1,"s":"wanted"}]}`} {
		if _, err := Decode([]byte(bad)); err == nil {
			t.Errorf("read %s", bad)
		}
	}
	for _, key := range []string{"loan/", "loan/x", "loan/-1", "loan/01", "loan/99999", "job/1"} {
		if _, ok := RecordNumber(key); ok {
			t.Errorf("%s is a sheet", key)
		}
	}
	if n, ok := RecordNumber(RecordKey(3)); !ok || n != 3 {
		t.Error(n, ok)
	}
}
