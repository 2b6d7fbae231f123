package quota

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

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
	b.tree.nested = true
	if d.GraceS != nil && (*d.GraceS < 0 || *d.GraceS > tuning.MaxGrace.Seconds()) {
		b.fail("grace_s", "%g is outside 0 to %g", *d.GraceS, tuning.MaxGrace.Seconds())
	}
	b.addChildren(0, "", d.Organisations, d.Teams)
	for _, name := range slices.Sorted(maps.Keys(teams)) {
		if _, placed := b.tree.teams[name]; !placed {
			b.tree.addTeam(0, teams[name])
		}
	}
	b.checkGuarantees()
	if len(b.faults) > 0 {
		return nil, b.faults
	}
	return b.tree, nil
}

func (b *builder) addChildren(parent int, path string, orgs []Org, teams []OfTeam) {
	if b.tree.nodes[parent].depth >= tuning.MaxQuotaDepth-1 && len(orgs) > 0 {
		b.fail(path, "expected at most %d levels", tuning.MaxQuotaDepth)
		return
	}
	for _, o := range orgs {
		at := joinPath(path, o.Name)
		if !b.checkRoom(at) {
			return
		}
		b.checkName(at, o.Name)
		i := b.tree.add(parent, b.makeNode(at, Organisation, o.Name, o.Weight, o.Borrow, o.Lend, o.Guarantee, o.Limit))
		b.addChildren(i, at, o.Organisations, o.Teams)
	}
	for _, t := range teams {
		b.addTeam(parent, joinPath(path, t.Name), t)
	}
}

func (b *builder) addTeam(parent int, at string, t OfTeam) {
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
	n := b.makeNode(at, TeamNode, t.Name, t.Weight, t.Borrow, t.Lend, nil, nil)
	b.tree.nodes[i].Weight, b.tree.nodes[i].Borrow, b.tree.nodes[i].Lend = n.Weight, n.Borrow, n.Lend
	for _, c := range t.Classes {
		cat := joinPath(at, c.Name)
		if !b.checkRoom(cat) {
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
		b.tree.classes[key] = b.tree.add(i, b.makeNode(cat, Class, c.Name, c.Weight, c.Borrow, c.Lend, c.Guarantee, c.Limit))
	}
}

// checkRoom tells whether the tree may have one more node.
func (b *builder) checkRoom(at string) bool {
	if len(b.tree.nodes) >= tuning.MaxQuotaNodes {
		b.fail(at, "expected at most %d nodes", tuning.MaxQuotaNodes)
		return false
	}
	return true
}

func (b *builder) checkName(at, name string) {
	if name == "" || len(name) > tuning.MaxMatrixText || strings.ContainsAny(name, "/ ") {
		b.fail(at, "expected a name of 1 to %d bytes without / and spaces", tuning.MaxMatrixText)
	}
	if b.names[name] {
		b.fail(at, "organisation %q stands elsewhere already", name)
	}
	b.names[name] = true
}

func (b *builder) makeNode(
	at string,
	kind Kind,
	name string,
	weight *float64,
	borrow, lend *bool,
	guarantee, limit *Bounds,
) Node {
	n := Node{
		Name: name, Kind: kind, Weight: 1, Borrow: borrow == nil || *borrow, Lend: lend == nil || *lend,
		Guaranteed: b.amount(at+".guarantee", guarantee), Max: b.amount(at+".limit", limit),
	}
	if weight != nil {
		if n.Weight = *weight; !(n.Weight > 0 && n.Weight <= tuning.MaxWeight) {
			b.fail(at+".weight", "expected a number above 0, at most %g", tuning.MaxWeight)
			n.Weight = 1
		}
	}
	eachResource(func(res string, of func(Amount) int64) {
		if top := of(n.Max); top > 0 && of(n.Guaranteed) > top {
			b.fail(at, "its limit of %g %s is below its guarantee of %g", float64(top)*unit, res, float64(of(n.Guaranteed))*unit)
		}
	})
	return n
}

func (b *builder) amount(at string, v *Bounds) Amount {
	if v == nil {
		return Amount{}
	}
	for _, x := range []struct {
		name string
		v    float64
	}{{"cores", v.Cores}, {"accelerators", v.Accelerators}, {"memory_gb", v.MemoryGB}} {
		if !(x.v >= 0 && x.v <= maxAmount) {
			b.fail(at+"."+x.name, "expected a number from 0 to %g", maxAmount)
		}
	}
	return Of(v.Cores, v.Accelerators, v.MemoryGB)
}

// checkGuarantees checks that what the children of a node are guaranteed is there: within
// its own guarantee, or within its limit if it has none.
func (b *builder) checkGuarantees() {
	for i := range b.tree.nodes {
		n := &b.tree.nodes[i]
		var sum Amount
		for _, k := range n.children {
			sum = sum.Add(b.tree.nodes[k].Guaranteed, 1)
		}
		eachResource(func(res string, of func(Amount) int64) {
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

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "/" + name
}
