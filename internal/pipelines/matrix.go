package pipelines

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// expand adds the steps of a group to the plan: one, or one for each combination of its matrix.
func (c *compiler) expand(p *Plan, group int, written, defaults map[string]any) {
	path := indexPath("steps", group)
	merged := maps.Clone(defaults)
	if merged == nil {
		merged = map[string]any{}
	}
	maps.Copy(merged, written)
	for _, values := range c.combinations(fieldPath(path, "matrix"), written["matrix"]) {
		if len(p.Steps) > tuning.MaxSteps {
			return
		}
		filled, faulty := map[string]any{}, map[string]bool{}
		for _, name := range slices.Sorted(maps.Keys(merged)) {
			if _, own := ownFields[name]; own {
				continue
			}
			at := fieldPath(path, name)
			if _, set := written[name]; !set {
				at = fieldPath("defaults", name)
			}
			value := c.fill(at, merged[name], substitution{values, p.Name, p.Groups[group].Name})
			if want, ok := defaultFields[name]; ok && !isKind(want, value) {
				c.fail(at, "expected %s, found %s", want, describe(value))
				faulty[name] = true
				continue
			}
			if value != nil {
				filled[name] = value
			}
		}
		c.step(p, group, rawStep{path: path, fields: filled, matrix: values, faulty: faulty})
	}
}

// combinations returns the combinations of a matrix's values, varying the last name fastest.
// Without a matrix it returns one empty combination.
func (c *compiler) combinations(path string, rawMatrix any) []map[string]any {
	matrix, _ := rawMatrix.(map[string]any)
	out := []map[string]any{nil}
	for _, name := range slices.Sorted(maps.Keys(matrix)) {
		at := fieldPath(path, name)
		if !namePattern.MatchString(name) {
			c.fail(at, "expected letters, digits, - and _ in a name")
		}
		values, ok := matrix[name].([]any)
		if !ok || len(values) == 0 {
			c.fail(at, "expected a list of at least one value")
			continue
		}
		var next []map[string]any
		for _, combination := range out {
			for i, value := range values {
				if !c.matrixValue(indexPath(at, i), value) {
					continue
				}
				row := map[string]any{name: value}
				maps.Copy(row, combination)
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

// matrixValue checks one value of a matrix and reports whether it is valid.
func (c *compiler) matrixValue(path string, value any) bool {
	switch value.(type) {
	case map[string]any, []any, nil:
		c.fail(path, "expected a text, a number, true or false")
		return false
	}
	if len(fmt.Sprint(value)) > tuning.MaxMatrixText {
		c.fail(path, "expected at most %d bytes", tuning.MaxMatrixText)
		return false
	}
	return true
}

var placeholder = regexp.MustCompile(`\$\{\{\s*([^}]*?)\s*\}\}`)

// substitution contains the values for the placeholders of a step.
type substitution struct {
	matrix         map[string]any
	pipeline, step string
}

// value returns the value of a placeholder's name, or false if the name is unknown.
func (s substitution) value(name string) (any, bool) {
	switch key, isMatrix := strings.CutPrefix(name, "matrix."); {
	case name == "pipeline.name":
		return s.pipeline, true
	case name == "step.name":
		return s.step, true
	case isMatrix && s.matrix[key] != nil:
		return s.matrix[key], true
	}
	return "", false
}

// fill replaces placeholders such as ${{ matrix.NAME }} in a value. A text that consists of a
// single placeholder is replaced by the value with its own type, so that a number such as cores can
// come from a matrix.
func (c *compiler) fill(path string, value any, s substitution) any {
	switch v := value.(type) {
	case []any:
		out := make([]any, len(v))
		for i := range v {
			out[i] = c.fill(indexPath(path, i), v[i], s)
		}
		return out
	case string:
		if m := placeholder.FindStringSubmatch(v); m != nil && m[0] == v {
			return c.substitute(path, m[1], s)
		}
		return placeholder.ReplaceAllStringFunc(v, func(match string) string {
			return fmt.Sprint(c.substitute(path, placeholder.FindStringSubmatch(match)[1], s))
		})
	}
	return value
}

func (c *compiler) substitute(path, name string, s substitution) any {
	value, ok := s.value(name)
	if !ok {
		c.fail(
			path,
			"${{ %s }} is unknown; expected pipeline.name, step.name or matrix. with a name of this step's matrix",
			name,
		)
	}
	return value
}
