package quota

import (
	"fmt"
	"maps"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// fill gives out spare places one by one, each to the side that CompareWays puts first.
func fill(account *Account, keys []Key, places int) map[Key]int {
	got := map[Key]int{}
	for range places {
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

// solve is progressive filling by its definition: all sides that have room rise
// together in proportion to their weights, at each level by itself.
func solve(t *Tree, node int, places float64, keys []Key) map[Key]float64 {
	solution := map[Key]float64{}
	children := t.nodes[node].children
	if len(children) == 0 {
		for _, k := range keys {
			if t.Leaf(k) == node {
				solution[k] = places
			}
		}
		return solution
	}
	got := map[int]float64{}
	for remaining, open := places, children; remaining > 1e-9 && len(open) > 0; {
		sum := 0.0
		for _, i := range open {
			sum += t.nodes[i].Weight
		}
		step := remaining / sum
		for _, i := range open {
			step = min(step, (reachableBelow(t, i)-got[i])/t.nodes[i].Weight)
		}
		var stillOpen []int
		for _, i := range open {
			got[i] += step * t.nodes[i].Weight
			remaining -= step * t.nodes[i].Weight
			if reachableBelow(t, i)-got[i] > 1e-9 {
				stillOpen = append(stillOpen, i)
			}
		}
		open = stillOpen
	}
	for _, i := range children {
		maps.Copy(solution, solve(t, i, got[i], keys))
	}
	return solution
}

// TestProgressiveFilling compares what CompareWays gives out, one place at a time, with
// the solution by definition, on small trees of three levels without guarantees.
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
				teams[name] = Team{Name: name, Max: gpus(float64(rapid.IntRange(0, 12).Draw(t, "team limit")))}
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
		places := rapid.IntRange(0, 60).Draw(t, "places")
		got, want := fill(NewAccount(tree), keys, places), solve(tree, 0, float64(places), keys)
		if reachable := reachableBelow(tree, 0); float64(places) > reachable {
			want = solve(tree, 0, reachable, keys)
		}
		for _, k := range keys {
			// A place is whole, so that each level may be off by less than one.
			if difference := float64(got[k]) - want[k]; math.Abs(difference) > 2 {
				t.Fatalf("%v got %d, by definition %g of %d places: %v, %v", k, got[k], want[k], places, got, want)
			}
		}
	})
}

// reachableBelow is how much can be given out below a node at all.
func reachableBelow(t *Tree, i int) float64 {
	node := &t.nodes[i]
	sum := math.Inf(1)
	if len(node.children) > 0 {
		sum = 0
		for _, k := range node.children {
			sum += reachableBelow(t, k)
		}
	}
	if node.effectiveLimit().Accelerators > 0 {
		sum = min(sum, float64(node.effectiveLimit().Accelerators)*unit)
	}
	return sum
}

// What a team runs outside its classes counts as one more child. While its list of shares ended
// a level earlier, y came level with both classes and the classes not with each other: which of
// three jobs went first depended on which two were compared.
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
		t.Errorf("audit %v, then y %v, then sweep %v", shares(audit), shares(y), shares(sweep))
	}
	account.Charge(y, gpus(1), 2)
	if CompareFairShares(shares(sweep), shares(y)) >= 0 {
		t.Errorf("sweep %v, then y %v", shares(sweep), shares(y))
	}
}
