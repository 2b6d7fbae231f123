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

// A job of 100,000 tasks must not be counted one by one on every pass; the count
// is what counting gives.
func TestMoreIsWhatCountingGives(t *testing.T) {
	for _, team := range []Team{{}, {Max: Amount{Cores: 10}}, {Max: Amount{Accelerators: 7}}, {Max: Amount{Cores: 9.5, Accelerators: 3}}} {
		for _, used := range []Amount{{}, {Cores: 2.5, Accelerators: 1}, {Cores: 9.5, Accelerators: 3}, {Cores: 50, Accelerators: 50}} {
			for _, each := range []Amount{{Cores: 1}, {Accelerators: 1}, {Cores: 0.7, Accelerators: 0.5}} {
				count, sum := 0, used
				for count < 20 && team.Allows(sum.Add(each, 1)) {
					sum = sum.Add(each, 1)
					count++
				}
				if got := team.More(used, each, 20); got != count {
					t.Errorf("%v with %v used, %v each: %d, counted %d", team.Max, used, each, got, count)
				}
			}
		}
	}
}
