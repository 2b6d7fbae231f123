package quota

import (
	"fmt"
	"testing"
)

func TestEntitledIsTheLowestGuarantee(t *testing.T) {
	tree := twoOrganisations(t)
	account := NewAccount(tree)
	leaf := func(team, class string) int { return tree.Leaf(Key{team, class}) }
	entitlement := func(team, class string, accelerators float64) string {
		node := account.Entitled(leaf(team, class), gpus(accelerators), 1)
		if node == noNode {
			return "none"
		}
		return fmt.Sprintf("%s order %d", tree.Path(node), tree.GuaranteeOrder(node, leaf(team, class)))
	}
	for _, step := range []struct {
		team, class  string
		accelerators float64
		want         string
	}{
		{"pricing", "sweep", 2, "kenya/pricing/sweep order 0"},
		{"pricing", "sweep", 2, "kenya/pricing order 0"},
		{"pricing", "sweep", 1, "kenya order 1"},
		{"storefront", "x", 8, "kenya/storefront order 0"},
		{"storefront", "x", 3, "kenya order 1"},
		{"storefront", "x", 1, "none"},
		{"stazioni", "z", 6, "italia/stazioni order 0"},
		{"stazioni", "z", 4, "italia order 1"},
		{"stazioni", "z", 1, "none"},
		{"lone", "w", 1, "none"},
	} {
		if got := entitlement(step.team, step.class, step.accelerators); got != step.want {
			t.Errorf("%+v: entitled by %s", step, got)
		}
		account.Charge(Key{step.team, step.class}, gpus(step.accelerators), 1)
	}
}

// TestMayPreemptWhatIsBorrowed checks that what organisation italia has borrowed can be preempted
// for tasks within the guarantee of organisation kenya, and that within an organisation no team
// loses its part of the organisation's guarantee to another.
func TestMayPreemptWhatIsBorrowed(t *testing.T) {
	tree := twoOrganisations(t)
	account := NewAccount(tree)
	account.Charge(Key{"stazioni", "z"}, gpus(1), 14) // 4 beyond italia's 10
	account.Charge(Key{"storefront", "x"}, gpus(1), 10)
	storefront := tree.Leaf(Key{"storefront", "x"})
	pricing := tree.Leaf(Key{"pricing", "sweep"})
	stazioni := tree.Leaf(Key{"stazioni", "z"})
	within := account.Entitled(pricing, gpus(1), 1)
	if !account.MayPreempt(within, stazioni, gpus(1)) ||
		!account.MayPreempt(within, stazioni, gpus(4)) ||
		account.MayPreempt(within, stazioni, gpus(5)) {
		t.Error("the 4 that italia has borrowed must be preemptible, and no more")
	}
	if !account.MayPreempt(within, storefront, gpus(2)) || account.MayPreempt(within, storefront, gpus(3)) {
		t.Error("storefront's 2 beyond its guarantee must be preemptible for pricing's guarantee, and no more")
	}
	org := account.Entitled(storefront, gpus(1), 1)
	if tree.Path(org) != "kenya" || account.MayPreempt(org, pricing, Amount{}) ||
		!account.MayPreempt(org, stazioni, gpus(1)) {
		t.Error("a task within the organisation's guarantee must preempt italia's tasks, and none of a sibling team")
	}
	if account.MayPreempt(noNode, stazioni, gpus(1)) {
		t.Error("a task that is within no guarantee must not preempt any task")
	}
	account = NewAccount(tree)
	account.Charge(Key{"stazioni", "z"}, gpus(1), 10)
	if account.MayPreempt(account.Entitled(pricing, gpus(1), 1), stazioni, gpus(1)) {
		t.Error("italia is within its guarantee, so its tasks must not be preempted")
	}
}

// TestCanSpareWhatIsNotGuaranteed checks that a leaf can spare only usage beyond its own guarantee
// and those of its ancestors, up to the lowest common ancestor with the receiver.
func TestCanSpareWhatIsNotGuaranteed(t *testing.T) {
	tree := twoOrganisations(t)
	account := NewAccount(tree)
	account.Charge(Key{"stazioni", "z"}, gpus(1), 14) // 4 beyond italia's 10
	storefront, stazioni := tree.Leaf(Key{"storefront", "x"}), tree.Leaf(Key{"stazioni", "z"})
	if !account.CanSpare(storefront, stazioni, gpus(4)) || account.CanSpare(storefront, stazioni, gpus(5)) {
		t.Error("italia must be able to spare 4 for kenya, and no more")
	}
	if !account.CanSpare(stazioni, stazioni, gpus(14)) {
		t.Error("a leaf must be able to spare all of its usage for itself")
	}
}
