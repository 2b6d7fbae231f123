package pipelines

import (
	"maps"
	"slices"
	"strings"
)

// needs resolves what each step needs, and finds circles.
func (c *compiler) needs(p *Plan, rawSteps []any) {
	index := map[string]int{} // of a name's first group
	for i := range p.Groups {
		if _, twice := index[p.Groups[i].Name]; !twice && p.Groups[i].Name != "" {
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
	c.circles(p)
}

// need adds to a group one that it needs, by name.
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

// searchState is how far the search for circles has come with a group.
type searchState uint8

const (
	unvisited searchState = iota
	onTrail               // its needs are being visited
	visited
)

// search is a depth-first search through the groups' needs.
type search struct {
	compiler *compiler
	plan     *Plan
	states   []searchState
	trail    []int // groups from the first one to the present one
}

// circles reports each circle of needs once, and fills in the ancestors.
func (c *compiler) circles(p *Plan) {
	s := search{compiler: c, plan: p, states: make([]searchState, len(p.Groups))}
	for g := range p.Groups {
		if s.states[g] == unvisited {
			s.descend(g)
		}
	}
}

// descend visits a group and all that it needs.
func (s *search) descend(g int) {
	s.states[g] = onTrail
	s.trail = append(s.trail, g)
	ancestors := map[int]bool{}
	for _, need := range s.plan.Groups[g].Needs {
		switch s.states[need] {
		case onTrail:
			s.reportCircle(g, need)
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
	s.trail = s.trail[:len(s.trail)-1]
	s.states[g] = visited
}

// reportCircle reports that a group needs one that the trail came through.
func (s *search) reportCircle(group, need int) {
	var names []string
	for _, g := range s.trail[slices.Index(s.trail, need):] {
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
