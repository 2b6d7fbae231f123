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
	tree          *Tree
	teams         map[string]Team
	classes       []string        // known ones; none: any
	organisations map[string]bool // names in use
	faults        []string
}

// fail notes a fault at a path of the document.
func (b *builder) fail(path, format string, args ...any) {
	if len(b.faults) < tuning.MaxFaults {
		b.faults = append(b.faults, path+": "+fmt.Sprintf(format, args...))
	}
}

// Build checks a document against the platform's teams and the known classes
// (none: any), and makes its tree. The tree is nil if there is any fault; up to
// tuning.MaxFaults are listed, as operators read them. Teams that the document does not
// place stand under the root.
func Build(document *Document, teams map[string]Team, classes []string) (*Tree, []string) {
	b := &builder{
		tree:          newTree(),
		teams:         teams,
		classes:       classes,
		organisations: map[string]bool{},
	}
	b.tree.nested = true
	if grace := document.GraceS; grace != nil && (*grace < 0 || *grace > tuning.MaxGrace.Seconds()) {
		b.fail("grace_s", "%g is outside 0 to %g", *grace, tuning.MaxGrace.Seconds())
	}
	b.addChildren(0, "", document.Organisations, document.Teams)
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

// addChildren adds organisations, with all below them, and teams to a node.
func (b *builder) addChildren(parent int, parentPath string, organisations []Org, teams []OfTeam) {
	if b.tree.nodes[parent].depth >= tuning.MaxQuotaDepth-1 && len(organisations) > 0 {
		b.fail(parentPath, "expected at most %d levels", tuning.MaxQuotaDepth)
		return
	}
	for i := range organisations {
		organisation := &organisations[i]
		path := joinPath(parentPath, organisation.Name)
		if !b.checkRoom(path) {
			return
		}
		b.checkName(path, organisation.Name)
		node := b.tree.add(parent, b.makeNode(path, nodeSpec{
			name:      organisation.Name,
			kind:      Organisation,
			weight:    organisation.Weight,
			borrow:    organisation.Borrow,
			lend:      organisation.Lend,
			guarantee: organisation.Guarantee,
			limit:     organisation.Limit,
		}))
		b.addChildren(node, path, organisation.Organisations, organisation.Teams)
	}
	for i := range teams {
		b.addTeam(parent, joinPath(parentPath, teams[i].Name), &teams[i])
	}
}

// addTeam adds a team, whose guarantee and limit are the platform's, with its classes.
func (b *builder) addTeam(parent int, path string, team *OfTeam) {
	platform, known := b.teams[team.Name]
	if !known {
		names := strings.Join(slices.Sorted(maps.Keys(b.teams)), ", ")
		b.fail(path, "no team is called %q; expected one of %s", team.Name, names)
		return
	}
	if _, twice := b.tree.teams[team.Name]; twice {
		b.fail(path, "team %q stands elsewhere already", team.Name)
		return
	}
	index := b.tree.addTeam(parent, platform)
	written := b.makeNode(path, nodeSpec{
		name:   team.Name,
		kind:   TeamNode,
		weight: team.Weight,
		borrow: team.Borrow,
		lend:   team.Lend,
	})
	node := &b.tree.nodes[index]
	node.Weight = written.Weight
	node.Borrow = written.Borrow
	node.Lend = written.Lend
	for i := range team.Classes {
		class := &team.Classes[i]
		classPath := joinPath(path, class.Name)
		if !b.checkRoom(classPath) {
			return
		}
		b.addClass(index, classPath, Key{Team: team.Name, Class: class.Name}, class)
	}
}

// addClass adds a class to a team's node.
func (b *builder) addClass(team int, path string, key Key, class *OfClass) {
	if len(b.classes) > 0 && !slices.Contains(b.classes, class.Name) {
		b.fail(path, "no class is called %q; expected one of %s", class.Name, strings.Join(b.classes, ", "))
	}
	if _, twice := b.tree.classes[key]; twice {
		b.fail(path, "class %q stands here twice", class.Name)
		return
	}
	b.tree.classes[key] = b.tree.add(team, b.makeNode(path, nodeSpec{
		name:      class.Name,
		kind:      Class,
		weight:    class.Weight,
		borrow:    class.Borrow,
		lend:      class.Lend,
		guarantee: class.Guarantee,
		limit:     class.Limit,
	}))
}

// checkRoom tells whether the tree may have one more node.
func (b *builder) checkRoom(path string) bool {
	if len(b.tree.nodes) >= tuning.MaxQuotaNodes {
		b.fail(path, "expected at most %d nodes", tuning.MaxQuotaNodes)
		return false
	}
	return true
}

// checkName checks an organisation's name, which no other may have.
func (b *builder) checkName(path, name string) {
	if name == "" || len(name) > tuning.MaxMatrixText || strings.ContainsAny(name, "/ ") {
		b.fail(path, "expected a name of 1 to %d bytes without / and spaces", tuning.MaxMatrixText)
	}
	if b.organisations[name] {
		b.fail(path, "organisation %q stands elsewhere already", name)
	}
	b.organisations[name] = true
}

// nodeSpec is what a document says of a node; nil for what it leaves out.
type nodeSpec struct {
	name      string
	kind      Kind
	weight    *float64
	borrow    *bool
	lend      *bool
	guarantee *Bounds
	limit     *Bounds
}

// makeNode checks what a document says of a node and sets what it leaves out: weight 1, may
// borrow and lend, no guarantee and no limit.
func (b *builder) makeNode(path string, spec nodeSpec) Node {
	node := Node{
		Name:       spec.name,
		Kind:       spec.kind,
		Guaranteed: b.amount(path+".guarantee", spec.guarantee),
		Max:        b.amount(path+".limit", spec.limit),
		Weight:     1,
		Borrow:     spec.borrow == nil || *spec.borrow,
		Lend:       spec.lend == nil || *spec.lend,
	}
	if spec.weight != nil {
		if *spec.weight > 0 && *spec.weight <= tuning.MaxWeight {
			node.Weight = *spec.weight
		} else {
			b.fail(path+".weight", "expected a number above 0, at most %g", tuning.MaxWeight)
		}
	}
	eachResource(func(name string, of func(Amount) int64) {
		limit, guarantee := of(node.Max), of(node.Guaranteed)
		if limit > 0 && guarantee > limit {
			b.fail(path, "its limit of %g %s is below its guarantee of %g",
				float64(limit)*unit, name, float64(guarantee)*unit)
		}
	})
	return node
}

// amount checks and reads a guarantee or limit; nil is none.
func (b *builder) amount(path string, bounds *Bounds) Amount {
	if bounds == nil {
		return Amount{}
	}
	for _, resource := range []struct {
		name  string
		value float64
	}{
		{"cores", bounds.Cores},
		{"accelerators", bounds.Accelerators},
		{"memory_gb", bounds.MemoryGB},
	} {
		if !(resource.value >= 0 && resource.value <= maxAmount) {
			b.fail(path+"."+resource.name, "expected a number from 0 to %g", maxAmount)
		}
	}
	return Of(bounds.Cores, bounds.Accelerators, bounds.MemoryGB)
}

// checkGuarantees checks that what the children of a node are guaranteed is there: within
// its own guarantee, or within its limit if it has none.
func (b *builder) checkGuarantees() {
	for i := range b.tree.nodes {
		node := &b.tree.nodes[i]
		var sum Amount
		for _, k := range node.children {
			sum = sum.Add(b.tree.nodes[k].Guaranteed, 1)
		}
		eachResource(func(name string, of func(Amount) int64) {
			bound, what := of(node.Guaranteed), "guarantee"
			if bound == 0 {
				bound, what = of(node.Max), "limit"
			}
			if bound > 0 && of(sum) > bound {
				b.fail(b.tree.Path(i), "its children are guaranteed %g %s, above its %s of %g",
					float64(of(sum))*unit, name, what, float64(bound)*unit)
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
