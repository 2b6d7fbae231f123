package quota

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Document is the tree around the platform's teams, as operators write it (HCL)
// and as it is kept in the state service (JSON).
type Document struct {
	// GraceS, seconds: for so long after a change of the tree, what is over a
	// limit may end by itself before it is stopped.
	GraceS        *float64 `hcl:"grace_s,optional" json:"grace_s,omitempty"`
	Organisations []Org    `hcl:"organisation,block" json:"organisations,omitempty"`
	Teams         []OfTeam `hcl:"team,block" json:"teams,omitempty"`
}

// Bounds are amounts; what is not named is none.
type Bounds struct {
	Cores        float64 `hcl:"cores,optional" json:"cores,omitempty"`
	Accelerators float64 `hcl:"accelerators,optional" json:"accelerators,omitempty"`
	MemoryGB     float64 `hcl:"memory_gb,optional" json:"memory_gb,omitempty"`
}

// Org is an organisation: of others, and of teams.
type Org struct {
	Name          string   `hcl:"name,label" json:"name"`
	Weight        *float64 `hcl:"weight,optional" json:"weight,omitempty"`
	Borrow        *bool    `hcl:"borrow,optional" json:"borrow,omitempty"`
	Lend          *bool    `hcl:"lend,optional" json:"lend,omitempty"`
	Guarantee     *Bounds  `hcl:"guarantee,block" json:"guarantee,omitempty"`
	Limit         *Bounds  `hcl:"limit,block" json:"limit,omitempty"`
	Organisations []Org    `hcl:"organisation,block" json:"organisations,omitempty"`
	Teams         []OfTeam `hcl:"team,block" json:"teams,omitempty"`
}

// OfTeam is a team's place, and its classes. Its guarantee and limit are the
// platform's.
type OfTeam struct {
	Name    string    `hcl:"name,label" json:"name"`
	Weight  *float64  `hcl:"weight,optional" json:"weight,omitempty"`
	Borrow  *bool     `hcl:"borrow,optional" json:"borrow,omitempty"`
	Lend    *bool     `hcl:"lend,optional" json:"lend,omitempty"`
	Classes []OfClass `hcl:"class,block" json:"classes,omitempty"`
}

// OfClass is a class of jobs of a team.
type OfClass struct {
	Name      string   `hcl:"name,label" json:"name"`
	Weight    *float64 `hcl:"weight,optional" json:"weight,omitempty"`
	Borrow    *bool    `hcl:"borrow,optional" json:"borrow,omitempty"`
	Lend      *bool    `hcl:"lend,optional" json:"lend,omitempty"`
	Guarantee *Bounds  `hcl:"guarantee,block" json:"guarantee,omitempty"`
	Limit     *Bounds  `hcl:"limit,block" json:"limit,omitempty"`
}

// builder makes a tree of a document and gathers its faults.
type builder struct {
	tree    *Tree
	teams   map[string]Team
	classes []string // known ones; none: any
	names   map[string]bool
	faults  []string
}

func (b *builder) fail(path, format string, args ...any) {
	if len(b.faults) < tuning.MaxFaults {
		b.faults = append(b.faults, path+": "+fmt.Sprintf(format, args...))
	}
}

// Build checks a document against the platform's teams and the known classes
// (none: any), and makes its tree. The tree is nil if there is any fault; every
// one is told. Teams that the document does not place stand under the root.
func Build(d *Document, teams map[string]Team, classes []string) (*Tree, []string) {
	b := &builder{tree: newTree(), teams: teams, classes: classes, names: map[string]bool{}}
	b.tree.shaped = true
	if d.GraceS != nil && (*d.GraceS < 0 || *d.GraceS > tuning.MaxGrace.Seconds()) {
		b.fail("grace_s", "%g is outside 0 to %g", *d.GraceS, tuning.MaxGrace.Seconds())
	}
	b.below(0, "", d.Organisations, d.Teams)
	for _, name := range slices.Sorted(maps.Keys(teams)) {
		if _, placed := b.tree.teams[name]; !placed {
			b.tree.addTeam(0, teams[name])
		}
	}
	b.sums()
	if len(b.faults) > 0 {
		return nil, b.faults
	}
	return b.tree, nil
}

func (b *builder) below(parent int, path string, orgs []Org, teams []OfTeam) {
	if b.tree.nodes[parent].depth >= tuning.MaxQuotaDepth-1 && len(orgs) > 0 {
		b.fail(path, "expected at most %d levels", tuning.MaxQuotaDepth)
		return
	}
	for _, o := range orgs {
		at := join(path, o.Name)
		if !b.room(at) {
			return
		}
		b.name(at, o.Name)
		i := b.tree.add(parent, b.node(at, Organisation, o.Name, o.Weight, o.Borrow, o.Lend, o.Guarantee, o.Limit))
		b.below(i, at, o.Organisations, o.Teams)
	}
	for _, t := range teams {
		b.team(parent, join(path, t.Name), t)
	}
}

func (b *builder) team(parent int, at string, t OfTeam) {
	team, known := b.teams[t.Name]
	if !known {
		b.fail(at, "no team is called %q; expected one of %s", t.Name, strings.Join(slices.Sorted(maps.Keys(b.teams)), ", "))
		return
	}
	if _, twice := b.tree.teams[t.Name]; twice {
		b.fail(at, "team %q stands elsewhere already", t.Name)
		return
	}
	i := b.tree.addTeam(parent, team)
	n := b.node(at, TeamNode, t.Name, t.Weight, t.Borrow, t.Lend, nil, nil)
	b.tree.nodes[i].Weight, b.tree.nodes[i].Borrow, b.tree.nodes[i].Lend = n.Weight, n.Borrow, n.Lend
	for _, c := range t.Classes {
		cat := join(at, c.Name)
		if !b.room(cat) {
			return
		}
		key := Key{t.Name, c.Name}
		if len(b.classes) > 0 && !slices.Contains(b.classes, c.Name) {
			b.fail(cat, "no class is called %q; expected one of %s", c.Name, strings.Join(b.classes, ", "))
		}
		if _, twice := b.tree.classes[key]; twice {
			b.fail(cat, "class %q stands here twice", c.Name)
			continue
		}
		b.tree.classes[key] = b.tree.add(i, b.node(cat, Class, c.Name, c.Weight, c.Borrow, c.Lend, c.Guarantee, c.Limit))
	}
}

// room tells whether the tree may have one more node.
func (b *builder) room(at string) bool {
	if len(b.tree.nodes) >= tuning.MaxQuotaNodes {
		b.fail(at, "expected at most %d nodes", tuning.MaxQuotaNodes)
		return false
	}
	return true
}

func (b *builder) name(at, name string) {
	if name == "" || len(name) > tuning.MaxMatrixText || strings.ContainsAny(name, "/ ") {
		b.fail(at, "expected a name of 1 to %d bytes without / and spaces", tuning.MaxMatrixText)
	}
	if b.names[name] {
		b.fail(at, "organisation %q stands elsewhere already", name)
	}
	b.names[name] = true
}

func (b *builder) node(
	at string,
	kind Kind,
	name string,
	weight *float64,
	borrow, lend *bool,
	guarantee, limit *Bounds,
) Node {
	n := Node{
		Name: name, Kind: kind, Weight: 1, Borrow: borrow == nil || *borrow, Lend: lend == nil || *lend,
		Guaranteed: b.bounds(at+".guarantee", guarantee), Max: b.bounds(at+".limit", limit),
	}
	if weight != nil {
		if n.Weight = *weight; !(n.Weight > 0 && n.Weight <= tuning.MaxWeight) {
			b.fail(at+".weight", "expected a number above 0, at most %g", tuning.MaxWeight)
			n.Weight = 1
		}
	}
	each(func(res string, of func(Amount) int64) {
		if top := of(n.Max); top > 0 && of(n.Guaranteed) > top {
			b.fail(at, "its limit of %g %s is below its guarantee of %g", float64(top)*unit, res, float64(of(n.Guaranteed))*unit)
		}
	})
	return n
}

func (b *builder) bounds(at string, v *Bounds) Amount {
	if v == nil {
		return Amount{}
	}
	for _, x := range []struct {
		name string
		v    float64
	}{{"cores", v.Cores}, {"accelerators", v.Accelerators}, {"memory_gb", v.MemoryGB}} {
		if !(x.v >= 0 && x.v <= most) {
			b.fail(at+"."+x.name, "expected a number from 0 to %g", most)
		}
	}
	return Of(v.Cores, v.Accelerators, v.MemoryGB)
}

// sums checks that what the children of a node are guaranteed is there: within
// its own guarantee, or within its limit if it has none.
func (b *builder) sums() {
	for i := range b.tree.nodes {
		n := &b.tree.nodes[i]
		var sum Amount
		for _, k := range n.children {
			sum = sum.Add(b.tree.nodes[k].Guaranteed, 1)
		}
		each(func(res string, of func(Amount) int64) {
			bound, what := of(n.Guaranteed), "guarantee"
			if bound == 0 {
				bound, what = of(n.Max), "limit"
			}
			if bound > 0 && of(sum) > bound {
				b.fail(
					b.tree.Path(i),
					"its children are guaranteed %g %s, above its %s of %g",
					float64(of(sum))*unit,
					res,
					what,
					float64(bound)*unit,
				)
			}
		})
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "/" + name
}

// StoreKey is where the state service keeps the tree that is in force.
const StoreKey = "quota"

// Stored is the tree in force as kept in the state service. Every decision is
// conditional on its stamp.
type Stored struct {
	Version int      `json:"v"`
	Number  int      `json:"n"`  // counts the changes
	AtMs    int64    `json:"at"` // time of day of the change
	Doc     Document `json:"doc"`
}

// storedVersion is the form in which trees are stored.
const storedVersion = 1

// NewStored is a tree's document as it is to be stored.
func NewStored(number int, atMs int64, d Document) Stored {
	return Stored{storedVersion, number, atMs, d}
}

// Decode reads a stored tree.
func Decode(b []byte) (*Stored, error) {
	var s Stored
	if err := json.Unmarshal(b, &s); err != nil {
		return nil, err
	}
	if s.Version != storedVersion {
		return nil, fmt.Errorf("unknown version %d of the quotas", s.Version)
	}
	return &s, nil
}

// Grace is how long, in seconds, what is over a limit may end by itself.
func (d *Document) Grace() float64 {
	if d.GraceS != nil {
		return *d.GraceS
	}
	return tuning.QuotaGrace.Seconds()
}

// View is a node for people and scripts. Fields are only ever added.
type View struct {
	Path       string  `json:"path"`
	Kind       Kind    `json:"kind"`
	Depth      int     `json:"depth"`
	Used       Bounds  `json:"used"`
	Guaranteed Bounds  `json:"guaranteed"`
	Limit      Bounds  `json:"limit"`
	Borrowed   Bounds  `json:"borrowed"` // used beyond the guarantee
	Lent       Bounds  `json:"lent"`     // of the guarantee, unused: others may have it
	Weight     float64 `json:"weight"`
	Waiting    int     `json:"waiting"` // tasks
	Why        string  `json:"why,omitempty"`
}

// Show lists all nodes from the root down. waiting counts tasks by leaf.
func (c *Account) Show(waiting map[int]int) []View {
	var out []View
	var visit func(i int) int
	visit = func(i int) int {
		n := &c.tree.nodes[i]
		at := len(out)
		lent := n.Guaranteed.less(c.used[i])
		v := View{
			Path:       c.tree.Path(i),
			Kind:       n.Kind,
			Depth:      n.depth,
			Used:       bounds(c.used[i]),
			Guaranteed: bounds(n.Guaranteed),
			Limit:      bounds(n.top()),
			Weight:     n.Weight,
		}
		// Only where there is a guarantee can anything be beyond it.
		beyond := c.used[i].less(n.Guaranteed)
		v.Borrowed = bounds(
			Amount{
				beyond.Cores * sign(n.Guaranteed.Cores),
				beyond.Accelerators * sign(n.Guaranteed.Accelerators),
				beyond.MemoryGB * sign(n.Guaranteed.MemoryGB),
			},
		)
		if n.Lend {
			v.Lent = bounds(lent)
		}
		out = append(out, v)
		sum := waiting[i]
		for _, k := range n.children {
			sum += visit(k)
		}
		out[at].Waiting = sum
		over, top := c.Excess(i), n.top()
		switch {
		case over != (Amount{}):
			out[at].Why = "over its limit by " + over.String()
		case sum > 0 && (top.Cores > 0 && c.used[i].Cores == top.Cores || top.Accelerators > 0 && c.used[i].Accelerators == top.Accelerators || top.MemoryGB > 0 && c.used[i].MemoryGB == top.MemoryGB):
			out[at].Why = "at its limit"
		case sum > 0 && n.Guaranteed != (Amount{}) && c.used[i].inside(n.Guaranteed):
			out[at].Why = "within its guarantee, waits for room"
		}
		return sum
	}
	visit(0)
	return out
}

// sign is 1 for an amount that is there, else 0.
func sign(v int64) int64 { return min(max(v, 0), 1) }

func bounds(a Amount) Bounds {
	c, g, m := a.Float()
	return Bounds{c, g, m}
}

// Full names the lowest node at whose limit a leaf is for one more task of
// amount a, and why; "" if there is room.
func (c *Account) Full(leaf int, a Amount) string {
	i := c.FullAt(leaf, a, 1)
	if i < 0 {
		return ""
	}
	where := c.tree.Path(i)
	if where == "" {
		where = "the whole"
	}
	return fmt.Sprintf("%s uses %s of %s", where, c.used[i], c.tree.nodes[i].top())
}

// FullAt is the lowest node, from a leaf upward, whose limit n more tasks of amount
// a would pass; -1 if there is none.
func (c *Account) FullAt(leaf int, a Amount, n int) int {
	full, below := -1, -1
	c.tree.up(leaf, func(i int, node *Node) bool {
		if !c.used[i].Add(a, n).inside(c.room(i, below, node)) {
			full = i
			return false
		}
		below = i
		return true
	})
	return full
}
