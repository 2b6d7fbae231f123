package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/harrierreel/harrierreel/internal/testseed"
)

func TestMain(m *testing.M) { os.Exit(testseed.Main(m)) }

func gpus(n float64) Amount { return Of(0, n, 0) }

func one(v float64) *float64 { return &v }

func no() *bool {
	v := false
	return &v
}

// world has two organisations. Kenya: storefront 8 and pricing 4 of 16 guaranteed,
// 20 at most, pricing with classes. Italia: stazioni 6 of 10 guaranteed. 40 in all
// are left to the platform's limits.
func world(t interface {
	Helper()
	Fatal(...any)
},
) *Tree {
	t.Helper()
	teams := map[string]Team{
		"storefront": {Name: "storefront", Guaranteed: gpus(8), Max: gpus(18)},
		"pricing":    {Name: "pricing", Guaranteed: gpus(4), Max: gpus(12)},
		"stazioni":   {Name: "stazioni", Guaranteed: gpus(6)},
		"lone":       {Name: "lone"},
	}
	tree, faults := Build(&Document{Organisations: []Org{
		{
			Name:      "kenya",
			Guarantee: &Bounds{Accelerators: 16},
			Limit:     &Bounds{Accelerators: 20},
			Weight:    one(2),
			Teams: []OfTeam{
				{Name: "storefront"},
				{
					Name: "pricing",
					Classes: []OfClass{
						{Name: "sweep", Guarantee: &Bounds{Accelerators: 2}, Limit: &Bounds{Accelerators: 6}},
						{Name: "audit", Borrow: no(), Lend: no(), Guarantee: &Bounds{Accelerators: 1}},
					},
				},
			},
		},
		{Name: "italia", Guarantee: &Bounds{Accelerators: 10}, Teams: []OfTeam{{Name: "stazioni"}}},
	}}, teams, nil)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return tree
}

func TestFlat(t *testing.T) {
	tree := Flat(map[string]Team{"t": {Name: "t", Guaranteed: gpus(2), Max: gpus(4)}, "free": {Name: "free"}})
	c := NewAccount(tree)
	k := Key{"t", "any"}
	leaf := tree.Leaf(k)
	c.Charge(k, Of(50, 1, 1), 1)
	if c.Entitled(leaf, Of(50, 1, 1), 1) == none || c.Entitled(leaf, gpus(1.5), 1) != none ||
		c.Entitled(tree.Leaf(Key{"free", ""}), Amount{}, 1) != none {
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

// A job of 100,000 tasks must not be counted one by one on every pass; the count
// is what counting gives.
func TestMoreIsWhatCountingGives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := world(t)
		c := NewAccount(tree)
		keys := []Key{
			{"storefront", "x"},
			{"pricing", "sweep"},
			{"pricing", "audit"},
			{"pricing", "y"},
			{"stazioni", "z"},
			{"lone", "w"},
		}
		for range rapid.IntRange(0, 12).Draw(t, "charges") {
			c.Charge(
				rapid.SampledFrom(keys).Draw(t, "key"),
				Of(1, rapid.SampledFrom([]float64{0.5, 1, 2, 3}).Draw(t, "gpus"), 1),
				1,
			)
		}
		k := rapid.SampledFrom(keys).Draw(t, "more of")
		a := Of(1, rapid.SampledFrom([]float64{0, 0.3, 1, 2.5}).Draw(t, "each"), 1)
		leaf, count := tree.Leaf(k), 0
		attempt := c.Clone()
		for count < 30 && attempt.Allows(leaf, a, 1) {
			attempt.Charge(k, a, 1)
			count++
		}
		if got := c.More(leaf, a, 30); got != count {
			t.Fatalf("%d more of %v, counted %d", got, k, count)
		}
	})
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
			if !c.used[i].inside(tree.nodes[i].top()) {
				t.Fatalf("%s uses %s of %s", tree.Path(i), c.used[i], tree.nodes[i].top())
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
	if len(c.by) != 0 {
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

func TestEntitled(t *testing.T) {
	tree := world(t)
	c := NewAccount(tree)
	leaf := func(team, class string) int { return tree.Leaf(Key{team, class}) }
	at := func(team, class string, g float64) string {
		node := c.Entitled(leaf(team, class), gpus(g), 1)
		if node == none {
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
	if c.Yields(none, staz, gpus(1)) {
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

// What does not lend keeps its guarantee free for itself; what does not borrow ends
// at its guarantee.
func TestBorrowAndLend(t *testing.T) {
	tree := world(t)
	c := NewAccount(tree)
	audit, sweep, other := tree.Leaf(
		Key{"pricing", "audit"},
	), tree.Leaf(
		Key{"pricing", "sweep"},
	), tree.Leaf(
		Key{"pricing", "y"},
	)
	if c.More(audit, gpus(0.5), 10) != 2 {
		t.Errorf("audit may have %d halves of its 1", c.More(audit, gpus(0.5), 10))
	}
	c.Charge(Key{"pricing", "y"}, gpus(1), 11)
	if c.Allows(other, gpus(1), 1) || c.Allows(sweep, gpus(1), 1) || !c.Allows(audit, gpus(1), 1) {
		t.Error("the last of pricing's 12 is audit's")
	}
	if why := c.Full(sweep, gpus(1)); !strings.HasPrefix(why, "kenya/pricing uses") {
		t.Error(why)
	}
	c.Charge(Key{"pricing", "audit"}, gpus(1), 1)
	c.Charge(Key{"storefront", "x"}, gpus(1), 8)
	if why := c.Full(tree.Leaf(Key{"storefront", "x"}), gpus(1)); !strings.HasPrefix(why, "kenya uses") {
		t.Error(why)
	}
}

// A guarantee smaller than one task entitles none, and keeps it from nothing; a task
// that is larger than a limit above it can never run.
func TestTooSmall(t *testing.T) {
	tree, faults := Build(
		&Document{
			Organisations: []Org{
				{
					Name:  "o",
					Limit: &Bounds{Accelerators: 3},
					Teams: []OfTeam{{Name: "a", Classes: []OfClass{{Name: "c", Guarantee: &Bounds{Accelerators: 0.5}}}}},
				},
			},
		},
		map[string]Team{"a": {Name: "a", Max: gpus(8)}},
		nil,
	)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	c := NewAccount(tree)
	leaf := tree.Leaf(Key{"a", "c"})
	if c.Entitled(leaf, gpus(1), 1) != none || !c.Allows(leaf, gpus(1), 1) || !tree.Ever(leaf, gpus(3), 1) ||
		tree.Ever(leaf, gpus(4), 1) {
		t.Error("half a guarantee, or a limit above the team")
	}
	c.Charge(Key{"a", "c"}, gpus(1), 3)
	if v := c.Show(map[int]int{leaf: 2}); v[1].Path != "o" || v[1].Why != "at its limit" || v[0].Waiting != 2 {
		t.Errorf("%+v", v)
	}
}

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
	if n.top().Accelerators > 0 {
		sum = min(sum, float64(n.top().Accelerators)*unit)
	}
	return sum
}

func TestEveryFaultOfADocument(t *testing.T) {
	teams := map[string]Team{
		"a": {Name: "a", Guaranteed: gpus(5)},
		"b": {Name: "b", Guaranteed: gpus(5)},
		"c": {Name: "c"},
	}
	deep := Org{Name: "d8"}
	for i := 7; i > 0; i-- {
		deep = Org{Name: fmt.Sprint("d", i), Organisations: []Org{deep}}
	}
	_, faults := Build(&Document{GraceS: one(-1), Organisations: []Org{
		{
			Name:      "x",
			Guarantee: &Bounds{Accelerators: 9},
			Limit:     &Bounds{Accelerators: 8, Cores: -1},
			Weight:    one(0),
			Teams:     []OfTeam{{Name: "a"}, {Name: "b"}, {Name: "nobody"}},
		},
		{Name: "x", Teams: []OfTeam{{Name: "a"}}},
		{Name: "y/z"},
		deep,
	}, Teams: []OfTeam{{Name: "c", Classes: []OfClass{{Name: "sweep"}, {Name: "sweep"}, {Name: "ghost"}}}}}, teams, []string{"sweep", "lens"})
	text := strings.Join(faults, "\n")
	for _, want := range []string{
		"grace_s: -1 is outside", "x.limit.cores: expected", "x.weight: expected", "x: its limit of 8 accelerators is below its guarantee of 9",
		"x/nobody: no team is called", "x: organisation \"x\" stands elsewhere", "x/a: team \"a\" stands elsewhere", "y/z: expected a name", "expected at most 8 levels",
		"c/sweep: class \"sweep\" stands here twice", "c/ghost: no class is called \"ghost\"; expected one of sweep, lens", "x: its children are guaranteed 10 accelerators, above its guarantee of 9",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("not told: %s", want)
		}
	}
	if len(faults) != 12 {
		t.Errorf("%d faults:\n%s", len(faults), text)
	}
}

// leaves is a tree of 1,000 leaves on three levels.
func leaves(b testing.TB) (*Tree, []Key) {
	teams := map[string]Team{}
	d := &Document{}
	var keys []Key
	for o := range 10 {
		org := Org{Name: fmt.Sprint("o", o)}
		for i := range 10 {
			name := fmt.Sprintf("t%d-%d", o, i)
			teams[name] = Team{Name: name, Guaranteed: gpus(1), Max: gpus(50)}
			team := OfTeam{Name: name}
			for k := range 10 {
				class := fmt.Sprint("c", k)
				team.Classes = append(team.Classes, OfClass{Name: class})
				keys = append(keys, Key{name, class})
			}
			org.Teams = append(org.Teams, team)
		}
		d.Organisations = append(d.Organisations, org)
	}
	tree, faults := Build(d, teams, nil)
	if len(faults) > 0 {
		b.Fatal(faults)
	}
	return tree, keys
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
