package pipelines

import (
	"fmt"
	"strings"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// explain says in words why a step is where it is.
func (p *Plan) explain(i int, rec *Record, v *StepStatus, waits string) string {
	s, plan := rec.Steps[i], &p.Steps[i]
	condition := "success()"
	if plan.When != nil {
		condition = plan.When.Text
	}
	var parts []string
	say := func(format string, args ...any) { parts = append(parts, fmt.Sprintf(format, args...)) }
	switch v.Status {
	case Waiting:
		var open []string
		for _, need := range p.Groups[plan.Group].Needs {
			if _, over := groupOutcome(p, need, rec.Steps); !over {
				open = append(open, p.Groups[need].Name)
			}
		}
		if more := len(open) - tuning.MaxNamedSteps; more > 0 {
			// A status has a line for each step, and no line may be above 64 KiB.
			open = append(open[:tuning.MaxNamedSteps], fmt.Sprintf("%d more", more))
		}
		if len(open) > 0 {
			say("waits for %s to end; runs then when %s", strings.Join(open, ", "), condition)
		} else {
			say("all it needs has ended; its condition %s is looked at next", condition)
		}
	case Ready:
		say("may start; its job is submitted as soon as the controllers' changes allow")
	case Submitted, Running:
		say("job %s: %d of %d tasks on machines, %d done", v.Job, v.Running, v.Tasks, v.Done)
		if waits != "" {
			say("%s", waits)
		}
		if s.DoubtMs != 0 {
			say("failing everywhere; called failed after %g s of that", plan.DoubtS)
		}
		if plan.TimeoutS > 0 {
			say("called failed %g s after its acceptance", plan.TimeoutS)
		}
	case Succeeded:
		say("job %s is done", v.Job)
	case Failed:
		say("job %s failed: %s", v.Job, s.Why)
		if plan.AllowFailure {
			say("the run goes on (allow_failure)")
		}
	case Skipped:
		say("%s: %s", s.Why, condition)
	case Cancelling:
		say("job %s is being cancelled", v.Job)
	case Cancelled:
		say("%s", s.Why)
	}
	if s.Repeat > 0 {
		say("repeat %d of at most %d", s.Repeat, plan.Repeats)
	}
	return strings.Join(parts, "; ")
}
