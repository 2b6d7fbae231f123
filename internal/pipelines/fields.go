package pipelines

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// kind is the kind of value that a field takes. Users see these texts.
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

// jobFields are passed to the job unchanged. Their names are those of a job submission.
var jobFields = map[string]kind{
	"jobclass":     text,
	"shape":        text,
	"rank":         text,
	"pieces":       whole,
	"cores":        number,
	"accelerators": number,
	"memory_gb":    number,
	"bundle":       text,
	"pull_gb":      number,
	"builds":       texts,
	"site":         text,
	"same_place":   boolean,
	"scatter":      boolean,
	"loaner":       boolean,
	"expect_s":     number,
	"snapshot_s":   number,
	"stash_s":      number,
	"due_s":        number,
}

var (
	runFields = map[string]kind{
		"allow_failure": boolean,
		"repeats":       whole,
		"timeout_s":     number,
		"doubt_s":       number,
	}
	// ownFields are the fields that can't have defaults.
	ownFields = map[string]kind{
		"name":   text,
		"needs":  names,
		"when":   text,
		"matrix": matrix,
	}
	topFields = map[string]kind{
		"name":     text,
		"owner":    text,
		"defaults": table,
		"steps":    list,
	}
	stepFields    = join(jobFields, runFields, ownFields)
	defaultFields = join(jobFields, runFields)
)

func join(tables ...map[string]kind) map[string]kind {
	out := map[string]kind{}
	for _, t := range tables {
		maps.Copy(out, t)
	}
	return out
}

// fields checks that a mapping has only known fields with values of the right kind. Texts that
// contain ${{ }} may become any value and are checked after the replacement.
func (c *compiler) fields(path string, fields map[string]any, known map[string]kind) {
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		at := fieldPath(path, name)
		want, ok := known[name]
		if !ok {
			expected := strings.Join(slices.Sorted(maps.Keys(known)), ", ")
			c.add(Fault{Path: at, Want: "is no field here; expected one of " + expected, AtName: true})
			continue
		}
		if s, isText := fields[name].(string); isText && want != names && strings.Contains(s, "${{") {
			continue
		}
		if !isKind(want, fields[name]) {
			c.fail(at, "expected %s, found %s", want, describe(fields[name]))
		}
	}
}

func fieldPath(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}

func indexPath(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }

func (c *compiler) required(path string, value any) string {
	s, _ := value.(string)
	if value == nil || value == "" {
		c.fail(path, "is missing; expected a text")
	}
	return s
}

// isKind reports whether a value is of a kind. null counts as an absent field.
func isKind(want kind, value any) bool {
	if value == nil {
		return true
	}
	ok := false
	switch want {
	case text:
		ok = isText(value)
	case number:
		f, finite := toNumber(value)
		ok = finite && f >= 0
	case whole:
		f, finite := toNumber(value)
		ok = finite && f >= 0 && f == math.Trunc(f)
	case boolean:
		_, ok = value.(bool)
	case names:
		ok = isText(value) || isKind(texts, value)
	case texts:
		values, isList := value.([]any)
		ok = isList && !slices.ContainsFunc(values, func(v any) bool { return !isText(v) })
	case matrix, table:
		_, ok = value.(map[string]any)
	case list:
		_, ok = value.([]any)
	}
	return ok
}

func isText(value any) bool {
	_, ok := value.(string)
	return ok
}

// toNumber converts any of the number types that the parsers return. It returns false for other
// values, NaN and infinities.
func toNumber(value any) (float64, bool) {
	switch n := value.(type) {
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

// describe returns a value's description for a fault.
func describe(value any) string {
	switch v := value.(type) {
	case string:
		if len(v) > maxDescribed {
			v = v[:maxDescribed] + "..."
		}
		return fmt.Sprintf("the text %q", v)
	case map[string]any:
		return "fields"
	case []any:
		return "a list"
	}
	return fmt.Sprint(value)
}

// maxDescribed is how many bytes of a text a fault quotes: enough to find it.
const maxDescribed = 40

// someNames joins at most maxListed names, to keep faults readable.
func someNames(all []string) string {
	if len(all) > maxListed {
		return strings.Join(all[:maxListed], ", ") + ", ..."
	}
	return strings.Join(all, ", ")
}

// maxListed is the maximum number of names in a fault.
const maxListed = 10
