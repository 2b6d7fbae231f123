package pipelines

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/parser"
	"github.com/expr-lang/expr/vm"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Condition is a compiled `when`. It is a value: nothing in it changes.
type Condition struct {
	Text    string // as written
	program *vm.Program
}

// outcome of a group of steps, as `when` sees it.
type outcome string

const (
	succeeded outcome = "succeeded"
	failed    outcome = "failed"
	skipped   outcome = "skipped"
	cancelled outcome = "cancelled"
)

// facts is what a condition may depend on.
type facts struct {
	success  bool               // all that the step needs succeeded
	failure  bool               // one of its ancestors failed
	outcomes map[string]outcome // of its ancestors
	matrix   map[string]any
}

// environment is what the names in a condition stand for.
func (f facts) environment() map[string]any {
	steps := map[string]any{}
	for name, o := range f.outcomes {
		steps[name] = map[string]any{"outcome": string(o)}
	}
	values := f.matrix
	if values == nil {
		values = map[string]any{}
	}
	return map[string]any{
		"success": func() bool { return f.success },
		"failure": func() bool { return f.failure },
		"always":  func() bool { return true },
		"steps":   steps,
		"matrix":  values,
	}
}

// holds evaluates a condition. One that fails to evaluate does not hold; its
// step is skipped and the error says why. Without a condition, success() counts.
func (w *Condition) holds(f facts) (bool, error) {
	if w == nil {
		return f.success, nil
	}
	value, err := expr.Run(w.program, f.environment())
	if err != nil {
		return false, fmt.Errorf("when: %w", err)
	}
	ok, _ := value.(bool)
	return ok, nil
}

// mentions gathers the steps that a condition speaks of, and what is wrong with
// how it does.
type mentions struct {
	steps []string
	bare  int // uses of `steps` other than steps.NAME
	wrong string
}

// Visit is called by ast.Walk for each node, the inner ones first.
func (m *mentions) Visit(node *ast.Node) {
	switch n := (*node).(type) {
	case *ast.IdentifierNode:
		if isSteps(n) {
			m.bare++
		}
	case *ast.MemberNode:
		if isSteps(n.Node) {
			m.bare--
			name, ok := n.Property.(*ast.StringNode)
			if !ok {
				m.wrong = "expected steps.NAME.outcome with a step's name written out"
				return
			}
			m.steps = append(m.steps, name.Value)
		}
		if inner, ok := n.Node.(*ast.MemberNode); ok && isSteps(inner.Node) {
			if member, ok := n.Property.(*ast.StringNode); !ok || member.Value != "outcome" {
				m.wrong = "a step has only .outcome: succeeded, failed, skipped or cancelled"
			}
		}
	}
}

// isSteps tells whether a node is the name `steps`.
func isSteps(n ast.Node) bool {
	id, ok := n.(*ast.IdentifierNode)
	return ok && id.Value == "steps"
}

// compileWhen reads a condition of a step whose ancestors are named. The error is the
// text of a fault, which users get as it stands.
func compileWhen(text string, ancestors []string) (*Condition, error) {
	if len(text) > tuning.MaxWhen {
		return nil, fmt.Errorf("expected at most %d bytes", tuning.MaxWhen)
	}
	tree, err := parser.Parse(text)
	if err != nil {
		return nil, errors.New("expected an expression: " + firstLine(err))
	}
	var m mentions
	ast.Walk(&tree.Node, &m)
	switch {
	case m.wrong != "":
		return nil, errors.New(m.wrong)
	case m.bare > 0:
		return nil, errors.New("expected steps.NAME.outcome")
	}
	sample := facts{outcomes: map[string]outcome{}}
	for _, name := range m.steps {
		if !slices.Contains(ancestors, name) {
			return nil, fmt.Errorf(
				"speaks of the step %q, which this step does not need, so that it may not have ended; expected one of: %s",
				name,
				someNames(ancestors),
			)
		}
		sample.outcomes[name] = succeeded
	}
	program, err := expr.Compile(
		text,
		expr.Env(sample.environment()),
		expr.AsBool(),
		expr.DisableAllBuiltins(),
		expr.MaxNodes(tuning.MaxWhenNodes),
	)
	if err != nil {
		const want = "expected true or false from success(), failure(), always(), steps.NAME.outcome and matrix.NAME: "
		return nil, errors.New(want + firstLine(err))
	}
	return &Condition{Text: text, program: program}, nil
}

func firstLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}

// conditions compiles every `when` and refuses those that can never hold.
func (c *compiler) conditions(p *Plan, rawSteps []any) {
	for i := range p.Groups {
		rawStep, _ := rawSteps[i].(map[string]any)
		text, ok := rawStep["when"].(string)
		if !ok || c.circular || c.needsFaulty(i) {
			continue
		}
		path := fieldPath(indexPath("steps", i), "when")
		ancestors := p.ancestorNames(i)
		condition, err := compileWhen(text, ancestors)
		if err != nil {
			c.fail(path, "%s", err)
			continue
		}
		satisfiable := len(p.Groups[i].Steps) == 0 // such a group is faulty otherwise
		for _, s := range p.Groups[i].Steps {
			p.Steps[s].When = condition
			satisfiable = satisfiable || p.canHold(i, &p.Steps[s])
		}
		if !satisfiable {
			c.fail(
				path,
				"can never hold, so that the step can never run; expected a condition that some outcome of %s fulfils",
				orNothing(ancestors),
			)
		}
	}
}

// needsFaulty tells whether a fault was found in what a group needs, so that its
// ancestors are not known.
func (c *compiler) needsFaulty(group int) bool {
	path := fieldPath(indexPath("steps", group), "needs")
	return slices.ContainsFunc(c.faults, func(f Fault) bool { return strings.HasPrefix(f.Path, path) })
}

// ancestorNames names the steps that a group needs, and those that these need.
func (p *Plan) ancestorNames(group int) []string {
	var out []string
	for _, a := range p.Groups[group].Ancestors {
		out = append(out, p.Groups[a].Name)
	}
	slices.Sort(out)
	return out
}

func orNothing(names []string) string {
	if len(names) == 0 {
		return "no step (it needs none)"
	}
	return someNames(names)
}

var allOutcomes = []outcome{succeeded, failed, skipped, cancelled}

// canHold tries a condition on every combination of its ancestors' outcomes, as long
// as they are few; with more it is taken to hold for some.
func (p *Plan) canHold(group int, s *Step) bool {
	ancestors := p.Groups[group].Ancestors
	if len(ancestors) > tuning.OutcomeCombinations {
		return true
	}
	combinations := 1
	for range ancestors {
		combinations *= len(allOutcomes)
	}
	for n := range combinations {
		f := p.factsOfCombination(group, n)
		f.matrix = s.Matrix
		if ok, err := s.When.holds(f); ok && err == nil {
			return true
		}
	}
	return false
}

// factsOfCombination is the n-th combination of outcomes of a group's ancestors.
func (p *Plan) factsOfCombination(group, n int) facts {
	f := facts{success: true, outcomes: map[string]outcome{}}
	for _, ancestor := range p.Groups[group].Ancestors {
		o := allOutcomes[n%len(allOutcomes)]
		n /= len(allOutcomes)
		f.outcomes[p.Groups[ancestor].Name] = o
		f.failure = f.failure || o == failed
		if slices.Contains(p.Groups[group].Needs, ancestor) {
			f.success = f.success && o == succeeded
		}
	}
	return f
}
