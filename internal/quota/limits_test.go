package quota

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestCountAllowedEqualsCountingOneByOne checks that CountAllowed, which avoids checking each task
// of a job of 100,000 on every pass, returns the same number as checking and charging one by one.
func TestCountAllowedEqualsCountingOneByOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := twoOrganisations(t)
		account := NewAccount(tree)
		keys := []Key{
			{"storefront", "x"},
			{"pricing", "sweep"},
			{"pricing", "audit"},
			{"pricing", "y"},
			{"stazioni", "z"},
			{"lone", "w"},
		}
		for range rapid.IntRange(0, 12).Draw(t, "charges") {
			account.Charge(
				rapid.SampledFrom(keys).Draw(t, "key"),
				NewAmount(1, rapid.SampledFrom([]float64{0.5, 1, 2, 3}).Draw(t, "gpus"), 1),
				1,
			)
		}
		k := rapid.SampledFrom(keys).Draw(t, "key to count")
		a := NewAmount(1, rapid.SampledFrom([]float64{0, 0.3, 1, 2.5}).Draw(t, "each"), 1)
		leaf, count := tree.Leaf(k), 0
		clone := account.Clone()
		for count < 30 && clone.Allows(leaf, a, 1) {
			clone.Charge(k, a, 1)
			count++
		}
		if got := account.CountAllowed(leaf, a, 30); got != count {
			t.Fatalf("%d more of %v are allowed, want %d", got, k, count)
		}
	})
}

// TestBorrowAndLend checks that the unused guarantee of a class that does not lend stays reserved
// for it, and that a class that does not borrow is limited to its guarantee.
func TestBorrowAndLend(t *testing.T) {
	tree := twoOrganisations(t)
	account := NewAccount(tree)
	audit := tree.Leaf(Key{"pricing", "audit"})
	sweep := tree.Leaf(Key{"pricing", "sweep"})
	other := tree.Leaf(Key{"pricing", "y"})
	if account.CountAllowed(audit, gpus(0.5), 10) != 2 {
		t.Errorf("audit may have %d tasks of 0.5, want 2 in its guarantee", account.CountAllowed(audit, gpus(0.5), 10))
	}
	account.Charge(Key{"pricing", "y"}, gpus(1), 11)
	if account.Allows(other, gpus(1), 1) || account.Allows(sweep, gpus(1), 1) || !account.Allows(audit, gpus(1), 1) {
		t.Error("the last of pricing's 12 accelerators must be reserved for audit")
	}
	if why := account.LimitReached(sweep, gpus(1)); !strings.HasPrefix(why, "kenya/pricing uses") {
		t.Error(why)
	}
	account.Charge(Key{"pricing", "audit"}, gpus(1), 1)
	account.Charge(Key{"storefront", "x"}, gpus(1), 8)
	if why := account.LimitReached(tree.Leaf(Key{"storefront", "x"}), gpus(1)); !strings.HasPrefix(why, "kenya uses") {
		t.Error(why)
	}
}

// TestGuaranteeAndLimitSmallerThanOneTask checks that a guarantee smaller than one task neither
// entitles the task nor keeps it from running, and that a task larger than the limit of an ancestor
// is never allowed.
func TestGuaranteeAndLimitSmallerThanOneTask(t *testing.T) {
	class := OfClass{Name: "c", Guarantee: &Bounds{Accelerators: 0.5}}
	document := &Document{
		Organisations: []Org{{
			Name:  "o",
			Limit: &Bounds{Accelerators: 3},
			Teams: []OfTeam{{Name: "a", Classes: []OfClass{class}}},
		}},
	}
	tree, faults := Build(document, map[string]Team{"a": {Name: "a", Limit: gpus(8)}}, nil)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	account := NewAccount(tree)
	leaf := tree.Leaf(Key{"a", "c"})
	if account.Entitled(leaf, gpus(1), 1) != noNode || !account.Allows(leaf, gpus(1), 1) ||
		!tree.EverAllows(leaf, gpus(3), 1) ||
		tree.EverAllows(leaf, gpus(4), 1) {
		t.Error("a guarantee below one task entitles or limits it, or the organisation's limit is not applied")
	}
	account.Charge(Key{"a", "c"}, gpus(1), 3)
	if v := account.Views(map[int]int{leaf: 2}); v[1].Path != "o" || v[1].Why != "at its limit" || v[0].Waiting != 2 {
		t.Errorf("unexpected views: %+v", v)
	}
}
