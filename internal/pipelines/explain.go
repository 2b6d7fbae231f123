package pipelines

import (
	"fmt"
	"strings"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// explain returns a description of a step's state for users. waitsFor describes what the step's job
// waits for, or is "".
func (p *Plan) explain(i int, record *Record, status *StepStatus, waitsFor string) string {
	run, step := record.Steps[i], &p.Steps[i]
	var parts []string
	switch status.Status {
	case Waiting:
		parts = append(parts, p.explainWaiting(step, record))
	case Ready:
		parts = append(parts, "may start; its job is submitted as soon as the controllers' changes allow")
	case Submitted, Running:
		parts = explainLive(run, step, status, waitsFor)
	case Succeeded:
		parts = append(parts, fmt.Sprintf("job %s is done", status.JobID))
	case Failed:
		parts = append(parts, fmt.Sprintf("job %s failed: %s", status.JobID, run.Cause))
		if step.AllowFailure {
			parts = append(parts, "the run goes on (allow_failure)")
		}
	case Skipped:
		parts = append(parts, fmt.Sprintf("%s: %s", run.Cause, step.condition()))
	case Cancelling:
		parts = append(parts, fmt.Sprintf("job %s is being cancelled", status.JobID))
	case Cancelled:
		parts = append(parts, string(run.Cause))
	}
	if run.Attempt > 0 {
		parts = append(parts, fmt.Sprintf("repeat %d of at most %d", run.Attempt, step.MaxRetries))
	}
	return strings.Join(parts, "; ")
}

// condition returns the step's condition as written in the file, success() by default.
func (s *Step) condition() string {
	if s.When == nil {
		return "success()"
	}
	return s.When.Text
}

// explainWaiting describes a waiting step, with the steps that it depends on and that have not
// ended.
func (p *Plan) explainWaiting(step *Step, record *Record) string {
	var unfinished []string
	for _, need := range p.Groups[step.Group].Needs {
		if _, ended := groupOutcome(p, need, record.Steps); !ended {
			unfinished = append(unfinished, p.Groups[need].Name)
		}
	}
	if more := len(unfinished) - tuning.MaxNamedSteps; more > 0 {
		// A status has one line for each step, and no line may exceed 64 KiB.
		unfinished = append(unfinished[:tuning.MaxNamedSteps], fmt.Sprintf("%d more", more))
	}
	if len(unfinished) == 0 {
		return fmt.Sprintf("all it needs has ended; its condition %s is looked at next", step.condition())
	}
	return fmt.Sprintf("waits for %s to end; runs then when %s", strings.Join(unfinished, ", "), step.condition())
}

// explainLive describes the progress of a live job and the limits that may end it.
func explainLive(run StepRun, step *Step, status *StepStatus, waitsFor string) []string {
	parts := []string{fmt.Sprintf(
		"job %s: %d of %d tasks on machines, %d done",
		status.JobID,
		status.Running,
		status.Tasks,
		status.Done,
	)}
	if waitsFor != "" {
		parts = append(parts, waitsFor)
	}
	if run.DoubtedSinceMs != 0 {
		parts = append(parts, fmt.Sprintf("failing everywhere; called failed after %g s of that", step.DoubtS))
	}
	if step.TimeoutS > 0 {
		parts = append(parts, fmt.Sprintf("called failed %g s after its acceptance", step.TimeoutS))
	}
	return parts
}
