package quota

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// builder builds a tree from a document and collects the document's faults.
type builder struct {
	tree          *Tree
	teams         map[string]Team
	classes       []string        // known classes; if empty, any class is accepted
	organisations map[string]bool // names in use
	faults        []string
}

// addFault records a fault at a path of the document, up to tuning.MaxFaults in all.
func (b *builder) addFault(path, format string, args ...any) {
	if len(b.faults) < tuning.MaxFaults {
		b.faults = append(b.faults, path+": "+fmt.Sprintf(format, args...))
	}
}

// Build checks a document against the platform's teams and the known classes (if there are none,
// any class is accepted) and builds its tree. If there are faults, the tree is nil and up to
// tuning.MaxFaults of them are returned, worded for operators. Teams that the document does not
// mention become children of the root.
func Build(document *Document, teams map[string]Team, classes []string) (*Tree, []string) {
	b := &builder{
		tree:          newTree(),
		teams:         teams,
		classes:       classes,
		organisations: map[string]bool{},
	}
	b.tree.nested = true
	if grace := document.GraceS; grace != nil && (*grace < 0 || *grace > tuning.MaxGrace.Seconds()) {
		b.addFault("grace_s", "%g is outside 0 to %g", *grace, tuning.MaxGrace.Seconds())
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

// addChildren adds organisations, with their subtrees, and teams below a parent node.
func (b *builder) addChildren(parent int, parentPath string, organisations []Org, teams []OfTeam) {
	if b.tree.nodes[parent].depth >= tuning.MaxQuotaDepth-1 && len(organisations) > 0 {
		b.addFault(parentPath, "expected at most %d levels", tuning.MaxQuotaDepth)
		return
	}
	for i := range organisations {
		organisation := &organisations[i]
		path := joinPath(parentPath, organisation.Name)
		if !b.checkNodeCount(path) {
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

// addTeam adds a team and its classes. The team's guarantee and limit come from the platform.
func (b *builder) addTeam(parent int, path string, team *OfTeam) {
	platformTeam, known := b.teams[team.Name]
	if !known {
		names := strings.Join(slices.Sorted(maps.Keys(b.teams)), ", ")
		b.addFault(path, "no team is called %q; expected one of %s", team.Name, names)
		return
	}
	if _, exists := b.tree.teams[team.Name]; exists {
		b.addFault(path, "team %q stands elsewhere already", team.Name)
		return
	}
	index := b.tree.addTeam(parent, platformTeam)
	settings := b.makeNode(path, nodeSpec{
		name:   team.Name,
		kind:   TeamNode,
		weight: team.Weight,
		borrow: team.Borrow,
		lend:   team.Lend,
	})
	node := &b.tree.nodes[index]
	node.Weight = settings.Weight
	node.Borrow = settings.Borrow
	node.Lend = settings.Lend
	for i := range team.Classes {
		class := &team.Classes[i]
		classPath := joinPath(path, class.Name)
		if !b.checkNodeCount(classPath) {
			return
		}
		b.addClass(index, classPath, Key{Team: team.Name, Class: class.Name}, class)
	}
}

// addClass adds a class to a team's node.
func (b *builder) addClass(team int, path string, key Key, class *OfClass) {
	if len(b.classes) > 0 && !slices.Contains(b.classes, class.Name) {
		b.addFault(path, "no class is called %q; expected one of %s", class.Name, strings.Join(b.classes, ", "))
	}
	if _, exists := b.tree.classes[key]; exists {
		b.addFault(path, "class %q stands here twice", class.Name)
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

// checkNodeCount reports whether the tree may have one more node, and adds a fault if not.
func (b *builder) checkNodeCount(path string) bool {
	if len(b.tree.nodes) >= tuning.MaxQuotaNodes {
		b.addFault(path, "expected at most %d nodes", tuning.MaxQuotaNodes)
		return false
	}
	return true
}

// checkName checks an organisation's name, which must be unique in the document.
func (b *builder) checkName(path, name string) {
	if name == "" || len(name) > tuning.MaxMatrixText || strings.ContainsAny(name, "/ ") {
		b.addFault(path, "expected a name of 1 to %d bytes without / and spaces", tuning.MaxMatrixText)
	}
	if b.organisations[name] {
		b.addFault(path, "organisation %q stands elsewhere already", name)
	}
	b.organisations[name] = true
}

// nodeSpec holds a node's settings as the document gives them; settings that it omits are nil.
type nodeSpec struct {
	name      string
	kind      Kind
	weight    *float64
	borrow    *bool
	lend      *bool
	guarantee *Bounds
	limit     *Bounds
}

// makeNode checks a node's settings and returns the node. Settings that the document omits get
// their defaults: weight 1, may borrow and lend, no guarantee and no limit.
func (b *builder) makeNode(path string, spec nodeSpec) Node {
	node := Node{
		Name:       spec.name,
		Kind:       spec.kind,
		Guaranteed: b.amount(path+".guarantee", spec.guarantee),
		Limit:      b.amount(path+".limit", spec.limit),
		Weight:     1,
		Borrow:     spec.borrow == nil || *spec.borrow,
		Lend:       spec.lend == nil || *spec.lend,
	}
	if spec.weight != nil {
		if *spec.weight > 0 && *spec.weight <= tuning.MaxWeight {
			node.Weight = *spec.weight
		} else {
			b.addFault(path+".weight", "expected a number above 0, at most %g", tuning.MaxWeight)
		}
	}
	eachResource(func(name string, valueOf func(Amount) int64) {
		limit, guarantee := valueOf(node.Limit), valueOf(node.Guaranteed)
		if limit > 0 && guarantee > limit {
			b.addFault(path, "its limit of %g %s is below its guarantee of %g",
				float64(limit)*unit, name, float64(guarantee)*unit)
		}
	})
	return node
}

// amount checks a guarantee or limit and returns it as an Amount; nil means none.
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
			b.addFault(path+"."+resource.name, "expected a number from 0 to %g", maxAmount)
		}
	}
	return NewAmount(bounds.Cores, bounds.Accelerators, bounds.MemoryGB)
}

// checkGuarantees checks that the guarantees of each node's children add up to no more than the
// node's own guarantee, or than its limit if it has no guarantee.
func (b *builder) checkGuarantees() {
	for i := range b.tree.nodes {
		node := &b.tree.nodes[i]
		var sum Amount
		for _, k := range node.children {
			sum = sum.Add(b.tree.nodes[k].Guaranteed, 1)
		}
		eachResource(func(name string, valueOf func(Amount) int64) {
			bound, boundName := valueOf(node.Guaranteed), "guarantee"
			if bound == 0 {
				bound, boundName = valueOf(node.Limit), "limit"
			}
			if bound > 0 && valueOf(sum) > bound {
				b.addFault(b.tree.Path(i), "its children are guaranteed %g %s, above its %s of %g",
					float64(valueOf(sum))*unit, name, boundName, float64(bound)*unit)
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
