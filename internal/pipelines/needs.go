package pipelines

import (
	"maps"
	"slices"
	"strings"
)

// needs resolves the dependencies in each step's field needs, and reports cycles.
func (c *compiler) needs(p *Plan, rawSteps []any) {
	index := map[string]int{} // index of the first group of each name
	for i := range p.Groups {
		if _, exists := index[p.Groups[i].Name]; !exists && p.Groups[i].Name != "" {
			index[p.Groups[i].Name] = i
		}
	}
	for i := range p.Groups {
		rawStep, _ := rawSteps[i].(map[string]any)
		path := fieldPath(indexPath("steps", i), "needs")
		switch needs := rawStep["needs"].(type) {
		case string:
			c.need(p, i, path, needs, index)
		case []any:
			for k, need := range needs {
				name, _ := need.(string)
				c.need(p, i, indexPath(path, k), name, index)
			}
		}
	}
	c.findCycles(p)
}

// need adds the group with the given name to the dependencies of a group.
func (c *compiler) need(p *Plan, group int, path, name string, index map[string]int) {
	needed, ok := index[name]
	switch {
	case !ok:
		known := someNames(slices.Sorted(maps.Keys(index)))
		c.fail(path, "no step is called %q; expected one of %s", name, known)
	case needed == group:
		c.fail(path, "a step can't need itself")
	case !slices.Contains(p.Groups[group].Needs, needed):
		p.Groups[group].Needs = append(p.Groups[group].Needs, needed)
	}
}

// searchState is the state of a group in the search for cycles.
type searchState uint8

const (
	unvisited searchState = iota
	onPath                // on the current path: its dependencies are being visited
	visited
)

// search is a depth-first search for cycles in the groups' dependencies.
type search struct {
	compiler *compiler
	plan     *Plan
	states   []searchState
	path     []int // groups from the start of the search to the current one
}

// findCycles reports each dependency cycle once, and sets the groups' ancestors.
func (c *compiler) findCycles(p *Plan) {
	s := search{compiler: c, plan: p, states: make([]searchState, len(p.Groups))}
	for g := range p.Groups {
		if s.states[g] == unvisited {
			s.descend(g)
		}
	}
}

// descend visits a group and all groups that it depends on, directly or indirectly.
func (s *search) descend(g int) {
	s.states[g] = onPath
	s.path = append(s.path, g)
	ancestors := map[int]bool{}
	for _, need := range s.plan.Groups[g].Needs {
		switch s.states[need] {
		case onPath:
			s.reportCycle(g, need)
			continue
		case unvisited:
			s.descend(need)
		case visited:
		}
		ancestors[need] = true
		for _, a := range s.plan.Groups[need].Ancestors {
			ancestors[a] = true
		}
	}
	s.plan.Groups[g].Ancestors = slices.Sorted(maps.Keys(ancestors))
	s.path = s.path[:len(s.path)-1]
	s.states[g] = visited
}

// reportCycle reports that a group depends on one that is on the current path.
func (s *search) reportCycle(group, need int) {
	var names []string
	for _, g := range s.path[slices.Index(s.path, need):] {
		names = append(names, s.plan.Groups[g].Name)
	}
	s.compiler.circular = true
	s.compiler.fail(
		fieldPath(indexPath("steps", group), "needs"),
		"steps need one another in a circle: %s -> %s",
		strings.Join(names, " -> "),
		s.plan.Groups[need].Name,
	)
}
