package quota

import (
	"math/rand/v2"
	"testing"
)

func TestFlatTreeOfTeams(t *testing.T) {
	tree := Flat(map[string]Team{"t": {Name: "t", Guaranteed: gpus(2), Limit: gpus(4)}, "free": {Name: "free"}})
	account := NewAccount(tree)
	key := Key{"t", "any"}
	leaf := tree.Leaf(key)
	account.Charge(key, NewAmount(50, 1, 1), 1)
	if account.Entitled(leaf, NewAmount(50, 1, 1), 1) == noNode || account.Entitled(leaf, gpus(1.5), 1) != noNode ||
		account.Entitled(tree.Leaf(Key{"free", ""}), Amount{}, 1) != noNode {
		t.Error("a guarantee of 0 in one resource restricts the entitlement, or a team without a guarantee is entitled")
	}
	if !account.Allows(leaf, NewAmount(1e6, 3, 0), 1) || account.Allows(leaf, gpus(3.5), 1) ||
		!account.Allows(tree.Leaf(Key{"free", ""}), gpus(1e6), 1) {
		t.Error("a limit of 0 is not treated as no limit, or a limit of 4 is not enforced")
	}
	if tree.HasTeam("x") || tree.Leaf(Key{"x", ""}) != 0 || tree.Nested() || account.FairShares(leaf) != nil {
		t.Error("an unknown team is known or not charged to the root, or a flat tree counts as nested")
	}
}

// TestUsageNeverExceedsLimits makes a million random charges, each only if it is allowed, and
// reverses them in random order. No node may ever exceed its limit, no child may use more than its
// parent, and in the end all usage must be exactly 0, without rounding errors.
func TestUsageNeverExceedsLimits(t *testing.T) {
	tree := twoOrganisations(t)
	rng := rand.New(rand.NewPCG(1, 1))
	account := NewAccount(tree)
	keys := []Key{
		{"storefront", "x"},
		{"pricing", "sweep"},
		{"pricing", "audit"},
		{"pricing", "y"},
		{"stazioni", "z"},
		{"lone", "w"},
	}
	type charge struct {
		key    Key
		amount Amount
	}
	var charges []charge
	for range 1_000_000 {
		if rng.IntN(2) == 0 && len(charges) > 0 {
			i := rng.IntN(len(charges))
			account.Charge(charges[i].key, charges[i].amount, -1)
			charges[i] = charges[len(charges)-1]
			charges = charges[:len(charges)-1]
			continue
		}
		c := charge{keys[rng.IntN(len(keys))], NewAmount(rng.Float64(), rng.Float64()/3, rng.Float64())}
		if account.Allows(tree.Leaf(c.key), c.amount, 1) {
			account.Charge(c.key, c.amount, 1)
			charges = append(charges, c)
		}
		for i := range tree.nodes {
			if !account.used[i].within(tree.nodes[i].effectiveLimit()) {
				t.Fatalf("%s uses %s of %s", tree.Path(i), account.used[i], tree.nodes[i].effectiveLimit())
			}
			if parent := tree.nodes[i].parent; parent >= 0 && !account.used[parent].Covers(account.used[i]) {
				t.Fatalf("%s uses more than its parent", tree.Path(i))
			}
		}
	}
	recharged := NewAccount(tree)
	for _, c := range charges {
		recharged.Charge(c.key, c.amount, 1)
		account.Charge(c.key, c.amount, -1)
	}
	for i := range tree.nodes {
		if account.used[i] != (Amount{}) {
			t.Errorf("%s still uses %s after all charges were reversed", tree.Path(i), account.used[i])
		}
	}
	if len(account.charged) != 0 {
		t.Error("charges by key are left after all were reversed")
	}
	// Rebase must recompute the usage from the charges by key.
	other := Flat(map[string]Team{"pricing": {Name: "pricing"}})
	recharged.Rebase(other)
	want := Amount{}
	for _, c := range charges {
		want = want.Add(c.amount, 1)
	}
	if recharged.used[0] != want {
		t.Error("rebasing loses charges")
	}
}
