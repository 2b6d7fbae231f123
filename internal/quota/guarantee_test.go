package quota

import (
	"fmt"
	"testing"
)

func TestEntitled(t *testing.T) {
	tree := world(t)
	c := NewAccount(tree)
	leaf := func(team, class string) int { return tree.Leaf(Key{team, class}) }
	at := func(team, class string, g float64) string {
		node := c.Entitled(leaf(team, class), gpus(g), 1)
		if node == noNode {
			return "none"
		}
		return fmt.Sprintf("%s turn %d", tree.Path(node), tree.FairShareOrder(node, leaf(team, class)))
	}
	for _, step := range []struct {
		team, class string
		g           float64
		want        string
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
		if got := at(step.team, step.class, step.g); got != step.want {
			t.Errorf("%v: %s", step, got)
		}
		c.Charge(Key{step.team, step.class}, gpus(step.g), 1)
	}
}

// Who yields to whom. Italia's burst gives way to what Kenya is guaranteed; within
// an organisation nobody loses what it has of the shared guarantee.
func TestYields(t *testing.T) {
	tree := world(t)
	c := NewAccount(tree)
	c.Charge(Key{"stazioni", "z"}, gpus(1), 14) // 4 beyond italia's 10
	c.Charge(Key{"storefront", "x"}, gpus(1), 10)
	store, price, staz := tree.Leaf(
		Key{"storefront", "x"},
	), tree.Leaf(
		Key{"pricing", "sweep"},
	), tree.Leaf(
		Key{"stazioni", "z"},
	)
	within := c.Entitled(price, gpus(1), 1)
	if !c.Yields(within, staz, gpus(1)) || !c.Yields(within, staz, gpus(4)) || c.Yields(within, staz, gpus(5)) {
		t.Error("italia must yield what it borrowed, and no more")
	}
	if !c.Yields(within, store, gpus(2)) || c.Yields(within, store, gpus(3)) {
		t.Error("storefront must yield to pricing's guarantee what it borrowed from it")
	}
	org := c.Entitled(store, gpus(1), 1)
	if tree.Path(org) != "kenya" || c.Yields(org, price, Amount{}) || !c.Yields(org, staz, gpus(1)) {
		t.Error("what is borrowed within an organisation takes nothing from a sibling")
	}
	if c.Yields(noNode, staz, gpus(1)) {
		t.Error("beyond all guarantees nobody has to yield")
	}
	c = NewAccount(tree)
	c.Charge(Key{"stazioni", "z"}, gpus(1), 10)
	if c.Yields(c.Entitled(price, gpus(1), 1), staz, gpus(1)) {
		t.Error("italia must keep its guarantee")
	}
}

// Whoever gives keeps what all nodes on its side are guaranteed, up to where its side and
// the taker's meet.
func TestSpares(t *testing.T) {
	tree := world(t)
	c := NewAccount(tree)
	c.Charge(Key{"stazioni", "z"}, gpus(1), 14) // 4 beyond italia's 10
	store, staz := tree.Leaf(Key{"storefront", "x"}), tree.Leaf(Key{"stazioni", "z"})
	if !c.Spares(store, staz, gpus(4)) || c.Spares(store, staz, gpus(5)) {
		t.Error("italia can spare 4 for kenya")
	}
	if !c.Spares(staz, staz, gpus(14)) {
		t.Error("what shares a guarantee has no claim against its own side")
	}
}
