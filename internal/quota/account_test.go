package quota

import (
	"math/rand/v2"
	"testing"
)

func TestFlat(t *testing.T) {
	tree := Flat(map[string]Team{"t": {Name: "t", Guaranteed: gpus(2), Max: gpus(4)}, "free": {Name: "free"}})
	c := NewAccount(tree)
	k := Key{"t", "any"}
	leaf := tree.Leaf(k)
	c.Charge(k, Of(50, 1, 1), 1)
	if c.Entitled(leaf, Of(50, 1, 1), 1) == noNode || c.Entitled(leaf, gpus(1.5), 1) != noNode ||
		c.Entitled(tree.Leaf(Key{"free", ""}), Amount{}, 1) != noNode {
		t.Error("a guarantee of 0 in one resource says nothing of it; no guarantee guarantees nothing")
	}
	if !c.Allows(leaf, Of(1e6, 3, 0), 1) || c.Allows(leaf, gpus(3.5), 1) ||
		!c.Allows(tree.Leaf(Key{"free", ""}), gpus(1e6), 1) {
		t.Error("0 means no cap, 4 means 4")
	}
	if tree.Knows("x") || tree.Leaf(Key{"x", ""}) != 0 || tree.Shaped() || c.Way(leaf) != nil {
		t.Error("unknown team, or a shape that nobody gave")
	}
}

// Whatever is taken only if it is allowed, and given back in any order: no node is
// ever above its limit, a child never above its parent, and at the end nothing is
// left, to the millionth.
func TestNeverAboveALimit(t *testing.T) {
	tree := world(t)
	rng := rand.New(rand.NewPCG(1, 1))
	c := NewAccount(tree)
	keys := []Key{
		{"storefront", "x"},
		{"pricing", "sweep"},
		{"pricing", "audit"},
		{"pricing", "y"},
		{"stazioni", "z"},
		{"lone", "w"},
	}
	type taken struct {
		k Key
		a Amount
	}
	var all []taken
	for range 1_000_000 {
		if rng.IntN(2) == 0 && len(all) > 0 {
			i := rng.IntN(len(all))
			c.Charge(all[i].k, all[i].a, -1)
			all[i] = all[len(all)-1]
			all = all[:len(all)-1]
			continue
		}
		x := taken{keys[rng.IntN(len(keys))], Of(rng.Float64(), rng.Float64()/3, rng.Float64())}
		if c.Allows(tree.Leaf(x.k), x.a, 1) {
			c.Charge(x.k, x.a, 1)
			all = append(all, x)
		}
		for i := range tree.nodes {
			if !c.used[i].within(tree.nodes[i].effectiveLimit()) {
				t.Fatalf("%s uses %s of %s", tree.Path(i), c.used[i], tree.nodes[i].effectiveLimit())
			}
			if p := tree.nodes[i].parent; p >= 0 && !c.used[p].Covers(c.used[i]) {
				t.Fatalf("%s uses more than what is above it", tree.Path(i))
			}
		}
	}
	again := NewAccount(tree)
	for _, x := range all {
		again.Charge(x.k, x.a, 1)
		c.Charge(x.k, x.a, -1)
	}
	for i := range tree.nodes {
		if c.used[i] != (Amount{}) {
			t.Errorf("%s keeps %s of nothing", tree.Path(i), c.used[i])
		}
	}
	if len(c.charged) != 0 {
		t.Error("keys are left")
	}
	// The use of another tree follows from the charges alone.
	other := Flat(map[string]Team{"pricing": {Name: "pricing"}})
	again.Rebase(other)
	want := Amount{}
	for _, x := range all {
		want = want.Add(x.a, 1)
	}
	if again.used[0] != want {
		t.Error("a rebase loses charges")
	}
}
