// Package pipelines is the slice for pipeline files: the specification of steps
// that depend on one another and its checks, the state machine of a run and of
// its steps, a run's record, and the keeper that moves the runs a controller
// owns. It does no IO and reads no clock: events come in, changes go out.
package pipelines

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"regexp"
	"slices"
	"strings"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Fault is one thing that is wrong with a document. Path leads to it, as in
// steps[2].needs[0]; Want says what was expected there.
type Fault struct {
	Path string `json:"path"`
	Want string `json:"want"`
	// AtName: the field's name is meant, not its value.
	AtName bool `json:"at_name,omitempty"`
}

func (f Fault) Error() string {
	if f.Path == "" {
		return f.Want
	}
	return f.Path + ": " + f.Want
}

// Step is one step of a plan; a step with a matrix in the file stands for
// several of them.
type Step struct {
	Name         string // unique: the file's name, with the matrix' values behind it
	Group        int    // index of the step in the file
	Matrix       map[string]any
	When         *Condition // nil: success()
	AllowFailure bool
	Repeats      int     // times that it may be tried anew
	TimeoutS     float64 // seconds from its job's acceptance, 0: none
	DoubtS       float64 // seconds that its job may fail everywhere
	Spec         jobs.Spec
	path         string // where it stands in the document
}

// Group is a step as written in the file.
type Group struct {
	Name      string
	Needs     []int // groups, in the file's order
	Steps     []int // of the plan
	Ancestors []int // all groups that it needs, and that those need
}

// Plan is a checked document. Groups stand in an order in which none needs a
// later one.
type Plan struct {
	Name, Owner string
	Groups      []Group
	Steps       []Step
}

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

var nameForm = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9_-]{0,63}$`)

// compiler gathers faults, each once: a matrix would repeat them.
type compiler struct {
	faults []Fault
	seen   map[Fault]bool
	names  map[string]bool // of steps
	// circular: some steps need one another, so that it is not known which come
	// before a step.
	circular bool
}

func (c *compiler) fail(path, format string, args ...any) {
	c.tell(Fault{Path: path, Want: fmt.Sprintf(format, args...)})
}

func (c *compiler) tell(f Fault) {
	if !c.seen[f] && len(c.faults) < tuning.MaxFaults {
		c.seen[f] = true
		c.faults = append(c.faults, f)
	}
}

// Compile checks a document, as read from YAML or JSON, and makes its plan. The
// plan is nil if there is any fault; every fault is told.
func Compile(doc any) (*Plan, []Fault) {
	c := &compiler{seen: map[Fault]bool{}, names: map[string]bool{}}
	top, ok := doc.(map[string]any)
	if !ok {
		return nil, []Fault{{Want: "expected a pipeline: fields name, owner and steps"}}
	}
	c.fields("", top, topFields)
	p := &Plan{}
	p.Name, p.Owner = c.required("name", top["name"]), c.required("owner", top["owner"])
	if p.Name != "" && !nameForm.MatchString(p.Name) {
		c.fail("name", "expected letters, digits, - and _, a letter first, 64 at most")
	}
	defaults, _ := top["defaults"].(map[string]any)
	c.fields("defaults", defaults, defFields)
	raw, _ := top["steps"].([]any)
	if len(raw) == 0 {
		c.fail("steps", "expected a list of at least one step")
	}
	c.groups(p, raw)
	for i := range p.Groups {
		if step, ok := raw[i].(map[string]any); ok {
			c.expand(p, i, step, defaults)
		}
	}
	if len(p.Steps) > tuning.MaxSteps {
		c.fail("steps", "expected at most %d steps, the matrices make %d", tuning.MaxSteps, len(p.Steps))
	}
	c.needs(p, raw)
	c.conditions(p, raw)
	if len(c.faults) > 0 {
		return nil, c.faults
	}
	p.sort()
	return p, nil
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

// groups reads the steps' names.
func (c *compiler) groups(p *Plan, raw []any) {
	seen := map[string]bool{}
	for i, r := range raw {
		path := at("steps", i)
		step, ok := r.(map[string]any)
		if !ok {
			c.fail(path, "expected a step: fields name, bundle, cores, memory_gb and so on")
			p.Groups = append(p.Groups, Group{})
			continue
		}
		c.fields(path, step, stepFields)
		name := c.required(under(path, "name"), step["name"])
		switch {
		case name == "":
		case !nameForm.MatchString(name):
			c.fail(under(path, "name"), "expected letters, digits, - and _, a letter first, 64 at most")
		case seen[name]:
			c.fail(under(path, "name"), "%q names an earlier step already", name)
		}
		seen[name] = true
		p.Groups = append(p.Groups, Group{Name: name})
	}
}

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

// step checks one step's job as a submission is checked.
func (c *compiler) step(p *Plan, group int, path string, fields, values map[string]any, faulty map[string]bool) {
	s := Step{Name: p.Groups[group].Name, Group: group, Matrix: values, DoubtS: tuning.StepDoubt.Seconds(), path: path}
	if len(values) > 0 {
		var parts []string
		for _, k := range slices.Sorted(maps.Keys(values)) {
			parts = append(parts, fmt.Sprintf("%s=%v", k, values[k]))
		}
		s.Name += "[" + strings.Join(parts, ",") + "]"
	}
	// Names are what uids are derived from: values that read the same would make
	// two steps with one job.
	if c.names[s.Name] && len(values) > 0 {
		c.fail(under(path, "matrix"), "expected values that read differently, %s comes twice", s.Name)
		return
	}
	c.names[s.Name] = true
	s.AllowFailure, _ = fields["allow_failure"].(bool)
	if v, ok := amount(fields["repeats"]); ok {
		if s.Repeats = int(v); v > tuning.MaxRepeats {
			c.fail(under(path, "repeats"), "expected at most %d", tuning.MaxRepeats)
		}
	}
	for _, f := range []struct {
		name string
		to   *float64
	}{{"timeout_s", &s.TimeoutS}, {"doubt_s", &s.DoubtS}} {
		if v, ok := amount(fields[f.name]); ok {
			if *f.to = v; v < 1 {
				c.fail(under(path, f.name), "expected at least 1 second")
			}
		}
	}
	job := map[string]any{
		"uid":      "wk-0",
		"jobclass": p.Name,
		"owner":    p.Owner,
		"shape":    jobs.JobArray,
		"rank":     "standard",
		"pieces":   1,
	}
	for k := range jobFields {
		if v, ok := fields[k]; ok {
			job[k] = v
		}
	}
	jobs.FillDefaults(job)
	if job["shape"] == jobs.Service {
		c.fail(under(path, "shape"), "expected sweep or ensemble: a standing job never ends, so no step after it could start")
		return
	}
	spec, faults := jobs.CheckSpec(jobs.Encode(job))
	for _, f := range faults {
		// What is wrong with the pipeline's name or owner, or with the field's
		// kind, was told already.
		if job[f.Field] != "" && !faulty[f.Field] {
			c.fail(under(path, f.Field), "%s", f.Reason)
		}
	}
	if spec == nil {
		return
	}
	spec.ID = ""
	s.Spec = *spec
	p.Groups[group].Steps = append(p.Groups[group].Steps, len(p.Steps))
	p.Steps = append(p.Steps, s)
}

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

// sort brings the groups into an order in which none needs a later one, as
// near to the file's as that allows.
func (p *Plan) sort() {
	place := make([]int, len(p.Groups))
	done := make([]bool, len(p.Groups))
	var order []int
	for len(order) < len(p.Groups) {
		for g := range p.Groups {
			if !done[g] && !slices.ContainsFunc(p.Groups[g].Needs, func(n int) bool { return !done[n] }) {
				done[g], place[g] = true, len(order)
				order = append(order, g)
				break
			}
		}
	}
	var groups []Group
	var steps []Step
	for _, g := range order {
		was := p.Groups[g]
		now := Group{Name: was.Name}
		for _, n := range was.Needs {
			now.Needs = append(now.Needs, place[n])
		}
		for _, a := range was.Ancestors {
			now.Ancestors = append(now.Ancestors, place[a])
		}
		for _, s := range was.Steps {
			step := p.Steps[s]
			step.Group = len(groups)
			now.Steps = append(now.Steps, len(steps))
			steps = append(steps, step)
		}
		groups = append(groups, now)
	}
	p.Groups, p.Steps = groups, steps
}

// CompileJSON is Compile for a document's JSON form.
func CompileJSON(b []byte) (*Plan, []Fault) {
	var doc any
	if err := json.Unmarshal(b, &doc); err != nil {
		return nil, []Fault{{Want: "expected JSON: " + err.Error()}}
	}
	return Compile(doc)
}
