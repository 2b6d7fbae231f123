// Package pipelines is the slice for pipeline files: the specification of steps
// that depend on one another and its checks, the state machine of a run and of
// its steps, a run's record, and the keeper that moves the runs a controller
// owns. It does no IO and reads no clock: events come in, changes go out.
package pipelines

import (
	"encoding/json"
	"fmt"
	"regexp"
	"slices"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

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
