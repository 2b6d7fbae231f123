package pipelines

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// expand makes the steps of a group: one, or one for each combination of its
// matrix.
func (c *compiler) expand(p *Plan, group int, raw, defaults map[string]any) {
	path := at("steps", group)
	merged := maps.Clone(defaults)
	if merged == nil {
		merged = map[string]any{}
	}
	maps.Copy(merged, raw)
	for _, values := range c.combinations(under(path, "matrix"), raw["matrix"]) {
		if len(p.Steps) > tuning.MaxSteps {
			return
		}
		filled, faulty := map[string]any{}, map[string]bool{}
		for _, k := range slices.Sorted(maps.Keys(merged)) {
			where := under(path, k)
			if _, own := raw[k]; !own {
				where = under("defaults", k)
			}
			if k == "name" || k == "needs" || k == "when" || k == "matrix" {
				continue
			}
			v := c.fill(where, merged[k], values, p.Name, p.Groups[group].Name)
			if want, ok := defFields[k]; ok && !is(want, v) {
				c.fail(where, "expected %s, found %s", want, describe(v))
				faulty[k] = true
				continue
			}
			if v != nil {
				filled[k] = v
			}
		}
		c.step(p, group, path, filled, values, faulty)
	}
}

// combinations lists a matrix' combinations, the last name turning fastest; one
// empty combination without a matrix.
func (c *compiler) combinations(path string, v any) []map[string]any {
	m, _ := v.(map[string]any)
	out := []map[string]any{nil}
	for _, k := range slices.Sorted(maps.Keys(m)) {
		if !nameForm.MatchString(k) {
			c.fail(under(path, k), "expected letters, digits, - and _ in a name")
		}
		values, ok := m[k].([]any)
		if !ok || len(values) == 0 {
			c.fail(under(path, k), "expected a list of at least one value")
			continue
		}
		var next []map[string]any
		for _, have := range out {
			for i, val := range values {
				switch val.(type) {
				case map[string]any, []any, nil:
					c.fail(at(under(path, k), i), "expected a text, a number, true or false")
					continue
				}
				if len(fmt.Sprint(val)) > tuning.MaxMatrixText {
					c.fail(at(under(path, k), i), "expected at most %d bytes", tuning.MaxMatrixText)
					continue
				}
				row := map[string]any{k: val}
				maps.Copy(row, have)
				next = append(next, row)
			}
		}
		if len(next) > tuning.MaxSteps {
			c.fail(path, "expected at most %d combinations", tuning.MaxSteps)
			return nil
		}
		out = next
	}
	return out
}

var hole = regexp.MustCompile(`\$\{\{\s*([^}]*?)\s*\}\}`)

// fill puts the matrix' values into ${{ matrix.NAME }}. A text that is nothing
// but one hole takes the value's own kind, so that cores may come from a matrix.
func (c *compiler) fill(path string, v any, values map[string]any, pipeline, step string) any {
	switch v := v.(type) {
	case []any:
		out := make([]any, len(v))
		for i := range v {
			out[i] = c.fill(at(path, i), v[i], values, pipeline, step)
		}
		return out
	case string:
		value := func(name string) any {
			switch key, isMatrix := strings.CutPrefix(name, "matrix."); {
			case name == "pipeline.name":
				return pipeline
			case name == "step.name":
				return step
			case isMatrix && values[key] != nil:
				return values[key]
			}
			c.fail(
				path,
				"${{ %s }} is unknown; expected pipeline.name, step.name or matrix. with a name of this step's matrix",
				name,
			)
			return ""
		}
		if m := hole.FindStringSubmatch(v); m != nil && m[0] == v {
			return value(m[1])
		}
		return hole.ReplaceAllStringFunc(v, func(h string) string {
			return fmt.Sprint(value(hole.FindStringSubmatch(h)[1]))
		})
	}
	return v
}
