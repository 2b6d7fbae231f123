package quota

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// fill gives out spare places one by one, each to the side that CompareWays puts first.
func fill(c *Account, keys []Key, places int) map[Key]int {
	got := map[Key]int{}
	for range places {
		best := -1
		for i, k := range keys {
			leaf := c.tree.Leaf(k)
			if c.Allows(leaf, gpus(1), 1) && (best < 0 || CompareWays(c.Way(leaf), c.Way(c.tree.Leaf(keys[best]))) < 0) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		c.Charge(keys[best], gpus(1), 1)
		got[keys[best]]++
	}
	return got
}

// solve is progressive filling by its definition: all sides that have room rise
// together in proportion to their weights, at each level by itself.
func solve(t *Tree, node int, places float64, keys []Key) map[Key]float64 {
	out := map[Key]float64{}
	n := &t.nodes[node]
	if len(n.children) == 0 {
		for _, k := range keys {
			if t.Leaf(k) == node {
				out[k] = places
			}
		}
		return out
	}
	top := func(i int) float64 { return sumTop(t, i) } // what a side can take at all
	got := map[int]float64{}
	for left, open := places, n.children; left > 1e-9 && len(open) > 0; {
		sum := 0.0
		for _, i := range open {
			sum += t.nodes[i].Weight
		}
		step := left / sum
		for _, i := range open {
			step = min(step, (top(i)-got[i])/t.nodes[i].Weight)
		}
		var still []int
		for _, i := range open {
			got[i] += step * t.nodes[i].Weight
			left -= step * t.nodes[i].Weight
			if top(i)-got[i] > 1e-9 {
				still = append(still, i)
			}
		}
		open = still
	}
	for _, i := range n.children {
		for k, v := range solve(t, i, got[i], keys) {
			out[k] = v
		}
	}
	return out
}

// TestProgressiveFilling compares what CompareWays gives out, one place at a time, with
// the solution by definition, on small trees of three levels without guarantees.
func TestProgressiveFilling(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		teams := map[string]Team{}
		d := &Document{}
		var keys []Key
		for o := range rapid.IntRange(1, 3).Draw(t, "organisations") {
			org := Org{Name: fmt.Sprint("o", o), Weight: one(float64(rapid.IntRange(1, 4).Draw(t, "weight")))}
			if rapid.Bool().Draw(t, "limited") {
				org.Limit = &Bounds{Accelerators: float64(rapid.IntRange(1, 30).Draw(t, "limit"))}
			}
			for k := range rapid.IntRange(1, 3).Draw(t, "teams") {
				name := fmt.Sprintf("t%d%d", o, k)
				teams[name] = Team{Name: name, Max: gpus(float64(rapid.IntRange(0, 12).Draw(t, "team limit")))}
				org.Teams = append(org.Teams, OfTeam{Name: name, Weight: one(float64(rapid.IntRange(1, 4).Draw(t, "team weight")))})
				keys = append(keys, Key{name, "c"})
			}
			d.Organisations = append(d.Organisations, org)
		}
		tree, faults := Build(d, teams, nil)
		if len(faults) > 0 {
			t.Fatal(faults)
		}
		places := rapid.IntRange(0, 60).Draw(t, "places")
		got, want := fill(NewAccount(tree), keys, places), solve(tree, 0, float64(places), keys)
		if reachable := sumTop(tree, 0); float64(places) > reachable {
			want = solve(tree, 0, reachable, keys)
		}
		for _, k := range keys {
			// A place is whole, so that each level may be off by less than one.
			if d := float64(got[k]) - want[k]; d > 2 || d < -2 {
				t.Fatalf("%v got %d, by definition %g of %d places: %v, %v", k, got[k], want[k], places, got, want)
			}
		}
	})
}

// sumTop is what can be given out below a node.
func sumTop(t *Tree, i int) float64 {
	n := &t.nodes[i]
	sum := math.Inf(1)
	if len(n.children) > 0 {
		sum = 0
		for _, k := range n.children {
			sum += sumTop(t, k)
		}
	}
	if n.effectiveLimit().Accelerators > 0 {
		sum = min(sum, float64(n.effectiveLimit().Accelerators)*unit)
	}
	return sum
}

// What a team runs outside its classes is a side of its own. While its way ended a
// level earlier, y came level with both classes and the classes not with each other:
// which of three jobs went first depended on which two were compared.
func TestWaysOrderAllLeaves(t *testing.T) {
	c := NewAccount(world(t))
	sweep, audit, y := Key{"pricing", "sweep"}, Key{"pricing", "audit"}, Key{"pricing", "y"}
	way := func(k Key) []float64 { return c.Way(c.tree.Leaf(k)) }
	c.Charge(sweep, gpus(1), 5) // 3 beyond its guarantee
	c.Charge(audit, gpus(1), 1) // none beyond
	c.Charge(y, gpus(1), 2)
	if len(way(y)) != len(way(sweep)) || CompareWays(way(audit), way(y)) >= 0 || CompareWays(way(y), way(sweep)) >= 0 ||
		CompareWays(way(audit), way(sweep)) >= 0 {
		t.Errorf("audit %v, then y %v, then sweep %v", way(audit), way(y), way(sweep))
	}
	c.Charge(y, gpus(1), 2)
	if CompareWays(way(sweep), way(y)) >= 0 {
		t.Errorf("sweep %v, then y %v", way(sweep), way(y))
	}
}
