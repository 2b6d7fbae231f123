package standby

import (
	"slices"
	"testing"
	"time"
)

// No duty before its checks, each told once with its time; another epoch starts anew.
func TestChecks(t *testing.T) {
	var c Checks
	if c.Permits(Release) || c.Permits(Rent) || c.Permits(Delete) {
		t.Error("before it leads")
	}
	c.Begin(7, start)
	for i, k := range All() {
		if len(c.Pending()) != len(All())-i {
			t.Error(c.Pending())
		}
		for d, ks := range checksFor {
			ready := !slices.ContainsFunc(ks, func(n Check) bool { return slices.Contains(c.Pending(), n) })
			if c.Permits(d) != ready {
				t.Errorf("%s with %v left: %v", d, c.Pending(), c.Permits(d))
			}
		}
		if first, _ := c.Record(k, false, start); first {
			t.Error("done although it does not hold")
		}
		at := start.Add(time.Duration(i) * time.Second)
		if first, after := c.Record(k, true, at); !first || after != time.Duration(i)*time.Second {
			t.Error(k, first, after)
		}
		if first, _ := c.Record(k, true, at); first {
			t.Error("told twice")
		}
	}
	if !c.Permits(Rent) {
		t.Error(c.Pending())
	}
	c.Begin(7, start)
	if !c.Permits(Rent) {
		t.Error("forgotten under the same epoch")
	}
	if c.Begin(8, start); c.Permits(Delete) {
		t.Error("another epoch's checks count")
	}
}
