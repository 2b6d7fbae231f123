package pipelines

import (
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
	Text    string
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

// facts is what a condition may ask about.
type facts struct {
	success, failure bool
	outcomes         map[string]outcome // of its ancestors
	matrix           map[string]any
}

func (f facts) env() map[string]any {
	steps := map[string]any{}
	for name, o := range f.outcomes {
		steps[name] = map[string]any{"outcome": string(o)}
	}
	m := f.matrix
	if m == nil {
		m = map[string]any{}
	}
	return map[string]any{
		"success": func() bool { return f.success },
		"failure": func() bool { return f.failure },
		"always":  func() bool { return true },
		"steps":   steps,
		"matrix":  m,
	}
}

// holds evaluates a condition. One that fails to evaluate does not hold; its
// step is skipped and the error says why.
func (w *Condition) holds(f facts) (bool, error) {
	if w == nil {
		return f.success, nil
	}
	v, err := expr.Run(w.program, f.env())
	if err != nil {
		return false, fmt.Errorf("when: %v", err)
	}
	ok, _ := v.(bool)
	return ok, nil
}

// mentions gathers the steps that a condition speaks of, and what is wrong with
// how it does.
type mentions struct {
	steps []string
	bare  int // uses of `steps` other than steps.NAME
	wrong string
}

func (m *mentions) Visit(node *ast.Node) {
	switch n := (*node).(type) {
	case *ast.IdentifierNode:
		if n.Value == "steps" {
			m.bare++
		}
	case *ast.MemberNode:
		if id, ok := n.Node.(*ast.IdentifierNode); ok && id.Value == "steps" {
			m.bare--
			name, ok := n.Property.(*ast.StringNode)
			if !ok {
				m.wrong = "expected steps.NAME.outcome with a step's name written out"
				return
			}
			m.steps = append(m.steps, name.Value)
		}
		if inner, ok := n.Node.(*ast.MemberNode); ok {
			if id, ok := inner.Node.(*ast.IdentifierNode); ok && id.Value == "steps" {
				if what, ok := n.Property.(*ast.StringNode); !ok || what.Value != "outcome" {
					m.wrong = "a step has only .outcome: succeeded, failed, skipped or cancelled"
				}
			}
		}
	}
}

// compileWhen reads a condition of a step whose ancestors are named.
func compileWhen(text string, ancestors []string) (*Condition, string) {
	if len(text) > tuning.MaxWhen {
		return nil, fmt.Sprintf("expected at most %d bytes", tuning.MaxWhen)
	}
	tree, err := parser.Parse(text)
	if err != nil {
		return nil, "expected an expression: " + firstLine(err)
	}
	var m mentions
	ast.Walk(&tree.Node, &m)
	switch {
	case m.wrong != "":
		return nil, m.wrong
	case m.bare > 0:
		return nil, "expected steps.NAME.outcome"
	}
	sample := facts{outcomes: map[string]outcome{}}
	for _, s := range m.steps {
		if !slices.Contains(ancestors, s) {
			return nil, fmt.Sprintf(
				"speaks of the step %q, which this step does not need, so that it may not have ended; expected one of: %s",
				s,
				someNames(ancestors),
			)
		}
		sample.outcomes[s] = succeeded
	}
	program, err := expr.Compile(
		text,
		expr.Env(sample.env()),
		expr.AsBool(),
		expr.DisableAllBuiltins(),
		expr.MaxNodes(tuning.MaxWhenNodes),
	)
	if err != nil {
		return nil, "expected true or false from success(), failure(), always(), steps.NAME.outcome and matrix.NAME: " + firstLine(
			err,
		)
	}
	return &Condition{text, program}, ""
}

func firstLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}

// conditions compiles every `when` and refuses those that can never hold.
func (c *compiler) conditions(p *Plan, raw []any) {
	for i := range p.Groups {
		step, _ := raw[i].(map[string]any)
		text, ok := step["when"].(string)
		if !ok || c.circular ||
			slices.ContainsFunc(
				c.faults,
				func(f Fault) bool { return strings.HasPrefix(f.Path, fieldPath(indexPath("steps", i), "needs")) },
			) {
			continue
		}
		path := fieldPath(indexPath("steps", i), "when")
		above := c.above(p, i)
		w, fault := compileWhen(text, above)
		if fault != "" {
			c.fail(path, "%s", fault)
			continue
		}
		ever := len(p.Groups[i].Steps) == 0 // faulty otherwise
		for _, s := range p.Groups[i].Steps {
			p.Steps[s].When = w
			ever = ever || p.canHold(i, &p.Steps[s])
		}
		if !ever {
			c.fail(
				path,
				"can never hold, so that the step can never run; expected a condition that some outcome of %s fulfils",
				orNothing(above),
			)
		}
	}
}

// above names the steps that a group needs, and those that these need.
func (c *compiler) above(p *Plan, i int) []string {
	var out []string
	for _, a := range p.Groups[i].Ancestors {
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

// canHold tries a condition on every outcome of the steps above, as long as
// they are few; more are believed.
func (p *Plan) canHold(g int, s *Step) bool {
	above := p.Groups[g].Ancestors
	if len(above) > tuning.OutcomeCombinations {
		return true
	}
	all := []outcome{succeeded, failed, skipped, cancelled}
	count := 1
	for range above {
		count *= len(all)
	}
	for n := range count {
		f := facts{success: true, outcomes: map[string]outcome{}, matrix: s.Matrix}
		for k, rest := 0, n; k < len(above); k, rest = k+1, rest/len(all) {
			o := all[rest%len(all)]
			f.outcomes[p.Groups[above[k]].Name] = o
			f.failure = f.failure || o == failed
			if slices.Contains(p.Groups[g].Needs, above[k]) {
				f.success = f.success && o == succeeded
			}
		}
		if ok, err := s.When.holds(f); ok && err == nil {
			return true
		}
	}
	return false
}
