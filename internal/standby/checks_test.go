package standby

import (
	"slices"
	"testing"
	"time"
)

// No duty before its checks, each reported once with its time; another epoch starts anew.
func TestDutiesWaitForTheirChecks(t *testing.T) {
	var checks Checks
	if checks.Permits(Schedule) || checks.Permits(ScaleOut) || checks.Permits(Decommission) {
		t.Error("before it leads")
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
				t.Errorf("%s with %v pending: %v", duty, pending, checks.Permits(duty))
			}
		}
		if first, _ := checks.Record(check, false, start); first {
			t.Error("done although it does not hold")
		}
		at := start.Add(time.Duration(i) * time.Second)
		if first, after := checks.Record(check, true, at); !first || after != time.Duration(i)*time.Second {
			t.Error(check, first, after)
		}
		if first, _ := checks.Record(check, true, at); first {
			t.Error("reported twice")
		}
	}
	if !checks.Permits(ScaleOut) {
		t.Error(checks.Pending())
	}
	checks.Begin(7, start)
	if !checks.Permits(ScaleOut) {
		t.Error("forgotten under the same epoch")
	}
	if checks.Begin(8, start); checks.Permits(Decommission) {
		t.Error("another epoch's checks count")
	}
}
