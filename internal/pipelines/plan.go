// Package pipelines runs pipeline files: the specification of steps that depend on
// one another and its checks, the state machine of a run and of its steps, a run's
// record, and the keeper that moves the runs a controller owns. It does no IO and
// reads no clock: events come in, changes go out.
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
	Name         string         // unique: the file's name, with the matrix' values behind it
	Group        int            // index of the step in Plan.Groups
	Matrix       map[string]any // its values of the matrix, nil without one
	When         *Condition     // nil: success()
	AllowFailure bool
	Repeats      int       // times that it may be retried
	TimeoutS     float64   // seconds from its job's acceptance, 0: none
	DoubtS       float64   // seconds that its job may fail everywhere
	Spec         jobs.Spec // of its job, without an ID
	path         string    // where it stands in the document
}

// Group is a step as written in the file.
type Group struct {
	Name      string
	Needs     []int // groups, in the file's order
	Steps     []int // of the plan
	Ancestors []int // all groups that it needs, and that those need
}

// Plan is a checked document. Groups stand in an order in which none needs a
// later one; unfold relies on that.
type Plan struct {
	Name, Owner string
	Groups      []Group
	Steps       []Step
}

var namePattern = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9_-]{0,63}$`)

const wantName = "expected letters, digits, - and _, a letter first, 64 at most"

// compiler gathers faults, each once: a matrix would repeat them.
type compiler struct {
	faults    []Fault
	reported  map[Fault]bool
	stepNames map[string]bool
	// circular: some steps need one another, so that it is not known which come
	// before a step.
	circular bool
}

func (c *compiler) fail(path, format string, args ...any) {
	c.add(Fault{Path: path, Want: fmt.Sprintf(format, args...)})
}

func (c *compiler) add(f Fault) {
	if !c.reported[f] && len(c.faults) < tuning.MaxFaults {
		c.reported[f] = true
		c.faults = append(c.faults, f)
	}
}

// Compile checks a document, as read from YAML or JSON, and makes its plan. The
// plan is nil if there is any fault; every fault is reported.
func Compile(doc any) (*Plan, []Fault) {
	c := &compiler{reported: map[Fault]bool{}, stepNames: map[string]bool{}}
	top, ok := doc.(map[string]any)
	if !ok {
		return nil, []Fault{{Want: "expected a pipeline: fields name, owner and steps"}}
	}
	c.fields("", top, topFields)
	p := &Plan{}
	p.Name = c.required("name", top["name"])
	p.Owner = c.required("owner", top["owner"])
	if p.Name != "" && !namePattern.MatchString(p.Name) {
		c.fail("name", wantName)
	}
	defaults, _ := top["defaults"].(map[string]any)
	c.fields("defaults", defaults, defaultFields)
	rawSteps, _ := top["steps"].([]any)
	if len(rawSteps) == 0 {
		c.fail("steps", "expected a list of at least one step")
	}
	c.groups(p, rawSteps)
	for i := range p.Groups {
		if rawStep, ok := rawSteps[i].(map[string]any); ok {
			c.expand(p, i, rawStep, defaults)
		}
	}
	if len(p.Steps) > tuning.MaxSteps {
		c.fail("steps", "expected at most %d steps, the matrices make %d", tuning.MaxSteps, len(p.Steps))
	}
	c.needs(p, rawSteps)
	c.conditions(p, rawSteps)
	if len(c.faults) > 0 {
		return nil, c.faults
	}
	p.sort()
	return p, nil
}

// CompileJSON is Compile for a document's JSON form.
func CompileJSON(b []byte) (*Plan, []Fault) {
	var doc any
	if err := json.Unmarshal(b, &doc); err != nil {
		return nil, []Fault{{Want: "expected JSON: " + err.Error()}}
	}
	return Compile(doc)
}

// groups reads the steps' names.
func (c *compiler) groups(p *Plan, rawSteps []any) {
	taken := map[string]bool{}
	for i, raw := range rawSteps {
		path := indexPath("steps", i)
		rawStep, ok := raw.(map[string]any)
		if !ok {
			c.fail(path, "expected a step: fields name, bundle, cores, memory_gb and so on")
			p.Groups = append(p.Groups, Group{})
			continue
		}
		c.fields(path, rawStep, stepFields)
		namePath := fieldPath(path, "name")
		name := c.required(namePath, rawStep["name"])
		switch {
		case name == "":
		case !namePattern.MatchString(name):
			c.fail(namePath, wantName)
		case taken[name]:
			c.fail(namePath, "%q names an earlier step already", name)
		}
		taken[name] = true
		p.Groups = append(p.Groups, Group{Name: name})
	}
}

// sort brings the groups into an order in which none needs a later one, as
// near to the file's as that allows.
func (p *Plan) sort() {
	order := p.topologicalOrder()
	position := make([]int, len(p.Groups)) // new index by old one
	for i, g := range order {
		position[g] = i
	}
	var groups []Group
	var steps []Step
	for _, g := range order {
		old := p.Groups[g]
		group := Group{Name: old.Name}
		for _, need := range old.Needs {
			group.Needs = append(group.Needs, position[need])
		}
		for _, ancestor := range old.Ancestors {
			group.Ancestors = append(group.Ancestors, position[ancestor])
		}
		for _, i := range old.Steps {
			step := p.Steps[i]
			step.Group = len(groups)
			group.Steps = append(group.Steps, len(steps))
			steps = append(steps, step)
		}
		groups = append(groups, group)
	}
	p.Groups, p.Steps = groups, steps
}

// topologicalOrder lists the groups so that none needs a later one. Their needs
// must hold no circle.
func (p *Plan) topologicalOrder() []int {
	listed := make([]bool, len(p.Groups))
	unlisted := func(g int) bool { return !listed[g] }
	var order []int
	for len(order) < len(p.Groups) {
		for g := range p.Groups {
			if !listed[g] && !slices.ContainsFunc(p.Groups[g].Needs, unlisted) {
				listed[g] = true
				order = append(order, g)
				break
			}
		}
	}
	return order
}
