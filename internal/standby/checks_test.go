package standby

import (
	"slices"
	"testing"
	"time"
)

// A duty is permitted only after its required checks, each of which is reported once, with its
// time. A new epoch starts over.
func TestDutiesWaitForTheirChecks(t *testing.T) {
	var checks Checks
	if checks.Permits(Schedule) || checks.Permits(ScaleOut) || checks.Permits(Decommission) {
		t.Error("a duty is permitted before the checks have begun")
	}
	checks.Begin(7, start)
	for i, check := range allChecks() {
		pending := checks.Pending()
		if len(pending) != len(allChecks())-i {
			t.Error(pending)
		}
		for duty, required := range requiredChecks {
			ready := !slices.ContainsFunc(required, func(c Check) bool { return slices.Contains(pending, c) })
			if checks.Permits(duty) != ready {
				t.Errorf("%s with %v pending: permitted %v", duty, pending, checks.Permits(duty))
			}
		}
		if first, _ := checks.Record(check, false, start); first {
			t.Error("a check passed although it does not hold")
		}
		at := start.Add(time.Duration(i) * time.Second)
		if first, after := checks.Record(check, true, at); !first || after != time.Duration(i)*time.Second {
			t.Error(check, first, after)
		}
		if first, _ := checks.Record(check, true, at); first {
			t.Error("a check was reported twice")
		}
	}
	if !checks.Permits(ScaleOut) {
		t.Error(checks.Pending())
	}
	checks.Begin(7, start)
	if !checks.Permits(ScaleOut) {
		t.Error("the checks were reset within the same epoch")
	}
	if checks.Begin(8, start); checks.Permits(Decommission) {
		t.Error("the checks of a former epoch permit a duty")
	}
}
