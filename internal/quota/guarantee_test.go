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
		return fmt.Sprintf("%s turn %d", tree.Path(node), tree.FairShareOrder(node, leaf(team, class)))
	}
	for _, step := range []struct {
		team, class  string
		accelerators float64
		want         string
	}{
		{"pricing", "sweep", 2, "kenya/pricing/sweep turn 0"},
		{"pricing", "sweep", 2, "kenya/pricing turn 0"},
		{"pricing", "sweep", 1, "kenya turn 1"},
		{"storefront", "x", 8, "kenya/storefront turn 0"},
		{"storefront", "x", 3, "kenya turn 1"},
		{"storefront", "x", 1, "none"},
		{"stazioni", "z", 6, "italia/stazioni turn 0"},
		{"stazioni", "z", 4, "italia turn 1"},
		{"stazioni", "z", 1, "none"},
		{"lone", "w", 1, "none"},
	} {
		if got := entitlement(step.team, step.class, step.accelerators); got != step.want {
			t.Errorf("%v: %s", step, got)
		}
		account.Charge(Key{step.team, step.class}, gpus(step.accelerators), 1)
	}
}

// What Italia borrowed is preempted for what Kenya is guaranteed; within an organisation nobody
// loses what it has of the shared guarantee.
func TestYieldsWhatIsBorrowed(t *testing.T) {
	tree := twoOrganisations(t)
	account := NewAccount(tree)
	account.Charge(Key{"stazioni", "z"}, gpus(1), 14) // 4 beyond italia's 10
	account.Charge(Key{"storefront", "x"}, gpus(1), 10)
	storefront := tree.Leaf(Key{"storefront", "x"})
	pricing := tree.Leaf(Key{"pricing", "sweep"})
	stazioni := tree.Leaf(Key{"stazioni", "z"})
	within := account.Entitled(pricing, gpus(1), 1)
	if !account.Yields(within, stazioni, gpus(1)) ||
		!account.Yields(within, stazioni, gpus(4)) ||
		account.Yields(within, stazioni, gpus(5)) {
		t.Error("italia must yield what it borrowed, and no more")
	}
	if !account.Yields(within, storefront, gpus(2)) || account.Yields(within, storefront, gpus(3)) {
		t.Error("storefront must yield to pricing's guarantee what it borrowed from it")
	}
	org := account.Entitled(storefront, gpus(1), 1)
	if tree.Path(org) != "kenya" || account.Yields(org, pricing, Amount{}) || !account.Yields(org, stazioni, gpus(1)) {
		t.Error("what is borrowed within an organisation takes nothing from a sibling")
	}
	if account.Yields(noNode, stazioni, gpus(1)) {
		t.Error("beyond all guarantees nobody has to yield")
	}
	account = NewAccount(tree)
	account.Charge(Key{"stazioni", "z"}, gpus(1), 10)
	if account.Yields(account.Entitled(pricing, gpus(1), 1), stazioni, gpus(1)) {
		t.Error("italia is within its guarantee and must not yield")
	}
}

// Whoever lends keeps what all nodes on its side are guaranteed, up to where its side and
// the borrower's meet.
func TestSparesWhatIsNotGuaranteed(t *testing.T) {
	tree := twoOrganisations(t)
	account := NewAccount(tree)
	account.Charge(Key{"stazioni", "z"}, gpus(1), 14) // 4 beyond italia's 10
	storefront, stazioni := tree.Leaf(Key{"storefront", "x"}), tree.Leaf(Key{"stazioni", "z"})
	if !account.CanSpare(storefront, stazioni, gpus(4)) || account.CanSpare(storefront, stazioni, gpus(5)) {
		t.Error("italia can spare 4 for kenya")
	}
	if !account.CanSpare(stazioni, stazioni, gpus(14)) {
		t.Error("what shares a guarantee has no claim against its own side")
	}
}
