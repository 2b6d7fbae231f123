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

// Condition is a compiled `when` expression. It is immutable.
type Condition struct {
	Text    string // as written
	program *vm.Program
}

// outcome is the outcome of a group of steps, as seen by `when` expressions.
type outcome string

const (
	succeeded outcome = "succeeded"
	failed    outcome = "failed"
	skipped   outcome = "skipped"
	cancelled outcome = "cancelled"
)

// facts contains the inputs of a condition.
type facts struct {
	success  bool               // all steps that the step depends on have succeeded
	failure  bool               // at least one of its ancestors has failed
	outcomes map[string]outcome // outcomes of its ancestors, by name
	matrix   map[string]any
}

// environment returns the names that are defined in a condition.
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

// holds evaluates a condition. If the evaluation fails, the condition does not hold and an error is
// returned. A nil condition stands for success().
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

// stepReferences collects the steps that a condition refers to, and whether a reference is
// malformed.
type stepReferences struct {
	steps []string
	bare  int    // uses of `steps` other than steps.NAME
	fault string // of a malformed reference
}

// Visit is called by ast.Walk for each node, the inner ones first.
func (m *stepReferences) Visit(node *ast.Node) {
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
				m.fault = "expected steps.NAME.outcome with a step's name written out"
				return
			}
			m.steps = append(m.steps, name.Value)
		}
		if inner, ok := n.Node.(*ast.MemberNode); ok && isSteps(inner.Node) {
			if member, ok := n.Property.(*ast.StringNode); !ok || member.Value != "outcome" {
				m.fault = "a step has only .outcome: succeeded, failed, skipped or cancelled"
			}
		}
	}
}

// isSteps reports whether a node is the identifier `steps`.
func isSteps(n ast.Node) bool {
	id, ok := n.(*ast.IdentifierNode)
	return ok && id.Value == "steps"
}

// compileWhen compiles a condition that may refer to the named ancestors. The error's text is shown
// to users as a fault.
func compileWhen(text string, ancestors []string) (*Condition, error) {
	if len(text) > tuning.MaxWhen {
		return nil, fmt.Errorf("expected at most %d bytes", tuning.MaxWhen)
	}
	tree, err := parser.Parse(text)
	if err != nil {
		return nil, errors.New("expected an expression: " + firstLine(err))
	}
	var references stepReferences
	ast.Walk(&tree.Node, &references)
	switch {
	case references.fault != "":
		return nil, errors.New(references.fault)
	case references.bare > 0:
		return nil, errors.New("expected steps.NAME.outcome")
	}
	sample := facts{outcomes: map[string]outcome{}}
	for _, name := range references.steps {
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

// conditions compiles all `when` expressions and reports those that can never hold.
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
		satisfiable := len(p.Groups[i].Steps) == 0 // a group without steps has other faults
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

// needsFaulty reports whether a fault was found in the dependencies of a group, so that its
// ancestors are not known.
func (c *compiler) needsFaulty(group int) bool {
	path := fieldPath(indexPath("steps", group), "needs")
	return slices.ContainsFunc(c.faults, func(f Fault) bool { return strings.HasPrefix(f.Path, path) })
}

// ancestorNames returns the sorted names of the steps that a group depends on, directly or
// indirectly.
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

// canHold reports whether a step's condition holds for some combination of its ancestors' outcomes.
// With more than tuning.OutcomeCombinations ancestors it returns true without trying.
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

// factsOfCombination returns the facts for the n-th combination of the outcomes of a group's
// ancestors.
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
