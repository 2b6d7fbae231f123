package quota

import (
	"fmt"
	"maps"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// allocateByShares allocates accelerators one by one, each to the key that CompareFairShares puts
// first.
func allocateByShares(account *Account, keys []Key, count int) map[Key]int {
	got := map[Key]int{}
	for range count {
		best := -1
		for i, k := range keys {
			leaf := account.tree.Leaf(k)
			if !account.Allows(leaf, gpus(1), 1) {
				continue
			}
			if best < 0 || CompareFairShares(account.FairShares(leaf), account.FairShares(account.tree.Leaf(keys[best]))) < 0 {
				best = i
			}
		}
		if best < 0 {
			break
		}
		account.Charge(keys[best], gpus(1), 1)
		got[keys[best]]++
	}
	return got
}

// progressiveFilling computes progressive filling by its definition: at each level, the shares of
// all children that are below their limit grow together in proportion to their weights.
func progressiveFilling(t *Tree, node int, count float64, keys []Key) map[Key]float64 {
	solution := map[Key]float64{}
	children := t.nodes[node].children
	if len(children) == 0 {
		for _, k := range keys {
			if t.Leaf(k) == node {
				solution[k] = count
			}
		}
		return solution
	}
	got := map[int]float64{}
	for remaining, open := count, children; remaining > 1e-9 && len(open) > 0; {
		sum := 0.0
		for _, i := range open {
			sum += t.nodes[i].Weight
		}
		step := remaining / sum
		for _, i := range open {
			step = min(step, (capacityBelow(t, i)-got[i])/t.nodes[i].Weight)
		}
		var stillOpen []int
		for _, i := range open {
			got[i] += step * t.nodes[i].Weight
			remaining -= step * t.nodes[i].Weight
			if capacityBelow(t, i)-got[i] > 1e-9 {
				stillOpen = append(stillOpen, i)
			}
		}
		open = stillOpen
	}
	for _, i := range children {
		maps.Copy(solution, progressiveFilling(t, i, got[i], keys))
	}
	return solution
}

// TestProgressiveFilling compares allocating accelerators one at a time by CompareFairShares with
// progressive filling by its definition, on small trees of three levels without guarantees.
func TestProgressiveFilling(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		teams := map[string]Team{}
		document := &Document{}
		var keys []Key
		for o := range rapid.IntRange(1, 3).Draw(t, "organisations") {
			org := Org{Name: fmt.Sprint("o", o), Weight: number(float64(rapid.IntRange(1, 4).Draw(t, "weight")))}
			if rapid.Bool().Draw(t, "limited") {
				org.Limit = &Bounds{Accelerators: float64(rapid.IntRange(1, 30).Draw(t, "limit"))}
			}
			for k := range rapid.IntRange(1, 3).Draw(t, "teams") {
				name := fmt.Sprintf("t%d%d", o, k)
				teams[name] = Team{Name: name, Limit: gpus(float64(rapid.IntRange(0, 12).Draw(t, "team limit")))}
				weight := float64(rapid.IntRange(1, 4).Draw(t, "team weight"))
				org.Teams = append(org.Teams, OfTeam{Name: name, Weight: &weight})
				keys = append(keys, Key{name, "c"})
			}
			document.Organisations = append(document.Organisations, org)
		}
		tree, faults := Build(document, teams, nil)
		if len(faults) > 0 {
			t.Fatal(faults)
		}
		count := rapid.IntRange(0, 60).Draw(t, "places")
		got, want := allocateByShares(NewAccount(tree), keys, count), progressiveFilling(tree, 0, float64(count), keys)
		if capacity := capacityBelow(tree, 0); float64(count) > capacity {
			want = progressiveFilling(tree, 0, capacity, keys)
		}
		for _, k := range keys {
			// Accelerators are allocated whole, so that each level may be off by less than one.
			if difference := float64(got[k]) - want[k]; math.Abs(difference) > 2 {
				t.Fatalf("%v got %d, want %g of %d accelerators: got %v, want %v", k, got[k], want[k], count, got, want)
			}
		}
	})
}

// capacityBelow returns how many accelerators the limits of a node and of its descendants allow.
func capacityBelow(t *Tree, i int) float64 {
	node := &t.nodes[i]
	sum := math.Inf(1)
	if len(node.children) > 0 {
		sum = 0
		for _, k := range node.children {
			sum += capacityBelow(t, k)
		}
	}
	if node.effectiveLimit().Accelerators > 0 {
		sum = min(sum, float64(node.effectiveLimit().Accelerators)*unit)
	}
	return sum
}

// TestFairShareOrderIsTransitive guards against an order that depends on which two of three jobs
// are compared. Class y has no node of its own, so its tasks are charged to the team's node. When
// its list of shares ended one level earlier than those of the other two classes, y compared as
// equal to both, although these two were not equal to each other.
func TestFairShareOrderIsTransitive(t *testing.T) {
	account := NewAccount(twoOrganisations(t))
	sweep, audit, y := Key{"pricing", "sweep"}, Key{"pricing", "audit"}, Key{"pricing", "y"}
	shares := func(k Key) []float64 { return account.FairShares(account.tree.Leaf(k)) }
	account.Charge(sweep, gpus(1), 5) // 3 beyond its guarantee
	account.Charge(audit, gpus(1), 1) // none beyond
	account.Charge(y, gpus(1), 2)
	if len(shares(y)) != len(shares(sweep)) ||
		CompareFairShares(shares(audit), shares(y)) >= 0 ||
		CompareFairShares(shares(y), shares(sweep)) >= 0 ||
		CompareFairShares(shares(audit), shares(sweep)) >= 0 {
		t.Errorf("want audit %v before y %v before sweep %v", shares(audit), shares(y), shares(sweep))
	}
	account.Charge(y, gpus(1), 2)
	if CompareFairShares(shares(sweep), shares(y)) >= 0 {
		t.Errorf("want sweep %v before y %v", shares(sweep), shares(y))
	}
}
