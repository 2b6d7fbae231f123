package pipelines

import (
	"maps"
	"slices"
	"strings"
)

// needs resolves what each step needs, and finds circles.
func (c *compiler) needs(p *Plan, raw []any) {
	index := map[string]int{}
	for i := range p.Groups {
		if _, twice := index[p.Groups[i].Name]; !twice && p.Groups[i].Name != "" {
			index[p.Groups[i].Name] = i
		}
	}
	for i := range p.Groups {
		step, _ := raw[i].(map[string]any)
		path := under(at("steps", i), "needs")
		var wanted []any
		switch v := step["needs"].(type) {
		case string:
			wanted = []any{v}
		case []any:
			wanted = v
		}
		for k, w := range wanted {
			where := path
			if _, isList := step["needs"].([]any); isList {
				where = at(path, k)
			}
			name, _ := w.(string)
			g, ok := index[name]
			switch {
			case !ok:
				c.fail(where, "no step is called %q; expected one of %s", name, some(slices.Sorted(maps.Keys(index))))
			case g == i:
				c.fail(where, "a step can't need itself")
			case !slices.Contains(p.Groups[i].Needs, g):
				p.Groups[i].Needs = append(p.Groups[i].Needs, g)
			}
		}
	}
	c.circles(p)
}

// some lists a few names.
func some(all []string) string {
	if len(all) > 10 {
		return strings.Join(all[:10], ", ") + ", ..."
	}
	return strings.Join(all, ", ")
}

// circles tells each circle of needs once, and fills in the ancestors.
func (c *compiler) circles(p *Plan) {
	const (
		fresh = iota
		open
		closed
	)
	state := make([]int, len(p.Groups))
	var trail []int
	var visit func(g int)
	visit = func(g int) {
		state[g] = open
		trail = append(trail, g)
		above := map[int]bool{}
		for _, need := range p.Groups[g].Needs {
			switch state[need] {
			case open:
				var way []string
				for _, t := range trail[slices.Index(trail, need):] {
					way = append(way, p.Groups[t].Name)
				}
				c.circular = true
				c.fail(
					under(at("steps", g), "needs"),
					"steps need one another in a circle: %s -> %s",
					strings.Join(way, " -> "),
					p.Groups[need].Name,
				)
				continue
			case fresh:
				visit(need)
			}
			above[need] = true
			for _, a := range p.Groups[need].Ancestors {
				above[a] = true
			}
		}
		p.Groups[g].Ancestors = slices.Sorted(maps.Keys(above))
		trail = trail[:len(trail)-1]
		state[g] = closed
	}
	for g := range p.Groups {
		if state[g] == fresh {
			visit(g)
		}
	}
}
