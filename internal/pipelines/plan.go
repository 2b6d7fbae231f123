// Package pipelines runs pipelines: graphs of steps, each of which is a job. It contains the
// validation of pipeline documents, the state machines of a run and of its steps, a run's record,
// and the Keeper, which advances the runs that a controller owns. It does no I/O and reads no
// clock: it receives events and returns changes to commit.
package pipelines

import (
	"encoding/json"
	"fmt"
	"regexp"
	"slices"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Step is one step of a plan. A step with a matrix in the file expands to several of them.
type Step struct {
	Name         string         // unique: the name in the file plus the values of the matrix
	Group        int            // index of the step in Plan.Groups
	Matrix       map[string]any // this step's values of the matrix, nil without one
	When         *Condition     // nil: success()
	AllowFailure bool
	MaxRetries   int       // maximum number of retries
	TimeoutS     float64   // seconds from its job's acceptance, 0 for no timeout
	DoubtS       float64   // seconds that its job may keep failing on every machine
	Spec         jobs.Spec // the job's spec, without an ID
	path         string    // path in the document
}

// Group is a step as written in the file, before its matrix is expanded.
type Group struct {
	Name      string
	Needs     []int // indices of the groups that it depends on, in the file's order
	Steps     []int // indices in Plan.Steps
	Ancestors []int // indices of all groups that it depends on, directly or indirectly
}

// Plan is a validated document. Its groups are in topological order: each comes after the groups
// that it depends on, which advanceSteps relies on.
type Plan struct {
	Name, Owner string
	Groups      []Group
	Steps       []Step
}

var namePattern = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9_-]{0,63}$`)

const wantName = "expected letters, digits, - and _, a letter first, 64 at most"

// compiler collects the faults of a document, each once: a matrix would repeat them.
type compiler struct {
	faults    []Fault
	reported  map[Fault]bool
	stepNames map[string]bool
	// circular says that the dependencies contain a cycle, so that the ancestors of steps are not
	// known.
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

// Compile validates a document, as decoded from YAML or JSON, and returns its plan. If the document
// is invalid, the plan is nil and up to tuning.MaxFaults faults are returned.
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

// groups adds a group for each step and checks the steps' names.
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

// sort puts the groups into topological order, staying close to the file's order.
func (p *Plan) sort() {
	order := p.topologicalOrder()
	position := make([]int, len(p.Groups)) // new index by old index
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

// topologicalOrder returns the indices of the groups in topological order: each comes after the
// groups that it depends on. The dependencies must not contain a cycle.
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
