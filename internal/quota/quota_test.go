package quota

import "testing"

func TestLimits(t *testing.T) {
	team := Team{Guaranteed: Amount{Accelerators: 2}, Max: Amount{Accelerators: 4}}
	if !team.Allows(Amount{Cores: 1e6, Accelerators: 4}) || team.Allows(Amount{Accelerators: 4.5}) {
		t.Error("0 means no cap, 4 means 4")
	}
	if !team.Guarantees(Amount{Cores: 50, Accelerators: 2}) || team.Guarantees(Amount{Accelerators: 3}) {
		t.Error("guarantee")
	}
	if (Team{}).Guarantees(Amount{}) {
		t.Error("no guarantee at all guarantees nothing")
	}
	a := NewAccount()
	a.Charge("x", Amount{Accelerators: 1}, 3)
	a.Charge("x", Amount{Accelerators: 1}, -1)
	if a.Used("x").Accelerators != 2 {
		t.Error(a.Used("x"))
	}
}
