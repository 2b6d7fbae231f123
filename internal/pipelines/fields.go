package pipelines

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// kind is what a field holds.
type kind string

const (
	text    kind = "a text"
	number  kind = "a number that is not negative"
	whole   kind = "a whole number that is not negative"
	boolean kind = "true or false"
	texts   kind = "a list of texts"
	names   kind = "a step's name or a list of them"
	matrix  kind = "values by name, each a list"
	table   kind = "fields by name"
	list    kind = "a list"
)

// jobFields are handed to the job as they stand.
var jobFields = map[string]kind{
	"jobclass": text, "shape": text, "rank": text, "pieces": whole, "cores": number, "accelerators": number,
	"memory_gb": number, "bundle": text, "pull_gb": number, "builds": texts, "site": text, "same_place": boolean,
	"scatter": boolean, "loaner": boolean, "expect_s": number, "snapshot_s": number, "stash_s": number, "due_s": number,
}

var (
	runFields  = map[string]kind{"allow_failure": boolean, "repeats": whole, "timeout_s": number, "doubt_s": number}
	stepFields = join(jobFields, runFields, map[string]kind{"name": text, "needs": names, "when": text, "matrix": matrix})
	topFields  = map[string]kind{"name": text, "owner": text, "defaults": table, "steps": list}
	defFields  = join(jobFields, runFields)
)

func join(ms ...map[string]kind) map[string]kind {
	out := map[string]kind{}
	for _, m := range ms {
		maps.Copy(out, m)
	}
	return out
}

// fields checks that a table has only known fields, each of its kind. Texts
// that hold ${{ }} may become anything and are checked once they are filled in.
func (c *compiler) fields(path string, t map[string]any, known map[string]kind) {
	for _, k := range slices.Sorted(maps.Keys(t)) {
		at := under(path, k)
		want, ok := known[k]
		if !ok {
			c.tell(Fault{at, "is no field here; expected one of " + strings.Join(slices.Sorted(maps.Keys(known)), ", "), true})
			continue
		}
		if s, isText := t[k].(string); isText && want != names && strings.Contains(s, "${{") {
			continue
		}
		if !is(want, t[k]) {
			c.fail(at, "expected %s, found %s", want, describe(t[k]))
		}
	}
}

func under(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}

func at(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }

func (c *compiler) required(path string, v any) string {
	s, _ := v.(string)
	if v == nil || v == "" {
		c.fail(path, "is missing; expected a text")
	}
	return s
}

// is tells whether a value is of a kind. A null stands for an absent field.
func is(want kind, v any) bool {
	if v == nil {
		return true
	}
	switch want {
	case text:
		_, ok := v.(string)
		return ok
	case number, whole:
		f, ok := amount(v)
		return ok && f >= 0 && (want == number || f == math.Trunc(f))
	case boolean:
		_, ok := v.(bool)
		return ok
	case names:
		if _, ok := v.(string); ok {
			return true
		}
		return is(texts, v)
	case texts:
		l, ok := v.([]any)
		return ok && !slices.ContainsFunc(l, func(e any) bool { _, isText := e.(string); return !isText })
	case matrix, table:
		_, ok := v.(map[string]any)
		return ok
	case list:
		_, ok := v.([]any)
		return ok
	}
	return false
}

// amount reads a number in any of the forms that the parsers give.
func amount(v any) (float64, bool) {
	switch n := v.(type) {
	case float64:
		return n, !math.IsNaN(n) && !math.IsInf(n, 0)
	case int64:
		return float64(n), true
	case uint64:
		return float64(n), true
	case int:
		return float64(n), true
	}
	return 0, false
}

func describe(v any) string {
	switch v := v.(type) {
	case string:
		if len(v) > 40 {
			v = v[:40] + "..."
		}
		return fmt.Sprintf("the text %q", v)
	case map[string]any:
		return "fields"
	case []any:
		return "a list"
	}
	return fmt.Sprint(v)
}
