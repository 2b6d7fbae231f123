package cli

import (
	"fmt"
	"strings"

	"github.com/harrierreel/harrierreel/internal/client"
	"github.com/harrierreel/harrierreel/internal/pipelines"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// reservedLines is the number of terminal lines that are not available for steps: the header, the
// count of omitted steps, the summary and the cursor's line.
const reservedLines = 4

// summaryOrder is the order of step states in the summary of a run.
var summaryOrder = []pipelines.StepState{
	pipelines.Succeeded,
	pipelines.Running,
	pipelines.Submitted,
	pipelines.Ready,
	pipelines.Waiting,
	pipelines.Failed,
	pipelines.Skipped,
	pipelines.Cancelled,
}

// followRun shows a run until it ends: on a terminal as a table that is redrawn in place, otherwise
// as a line for each change.
func (a *app) followRun(c *client.Client, status *pipelines.Status) error {
	shown := map[string]string{}
	height, drawn := a.height(), 0
	for {
		if a.jsonOutput() || height == 0 {
			a.printChanges(status, shown)
		} else {
			drawn = a.redraw(status, drawn, height)
		}
		if status.Status.Ended() {
			return a.reportRunEnd(status)
		}
		c.Sleep(tuning.ClientPoll)
		id := status.ID
		response, err := c.Call("GET", "/pipelines/"+id, nil)
		if err != nil {
			a.printErrf("harrierreel: %s goes on without this client; see harrierreel pipeline status %s\n", id, id)
			return err
		}
		if !accepted(response) {
			return refusalError(id, response)
		}
		if status, err = decode[pipelines.Status](id, response); err != nil {
			return err
		}
	}
}

// printChanges prints a line for each step that changed since it was last shown. shown holds, by
// step name, the state and the repeat that were last shown.
func (a *app) printChanges(status *pipelines.Status, shown map[string]string) {
	for _, step := range status.Steps {
		now := fmt.Sprintf("%s %d", step.Status, step.Attempt)
		if now == shown[step.Name] || step.Status == pipelines.Waiting && shown[step.Name] == "" {
			continue
		}
		shown[step.Name] = now
		if a.jsonOutput() {
			a.printJSON(struct {
				Event string `json:"event"`
				Run   string `json:"run"`
				pipelines.StepStatus
			}{"step", status.ID, step})
			continue
		}
		text := fmt.Sprintf("%7.1f s  %-10s %s", status.DurationS, step.Status, step.Name)
		if step.Why != "" {
			text += ": " + string(step.Why)
		}
		a.printf("%s\n", text)
	}
}

// redraw replaces the previously drawn lines by the current steps, and returns the number of lines
// that it drew.
func (a *app) redraw(status *pipelines.Status, drawn, height int) int {
	erase := ""
	if drawn > 0 {
		erase = fmt.Sprintf("\x1b[%dA\x1b[J", drawn)
	}
	text := runTable(status, max(height-reservedLines, 1))
	a.printf("%s%s", erase, text) // in one write, to avoid flicker
	return strings.Count(text, "\n")
}

// runTable returns a table of at most limit steps of a run, and a summary of all steps. If there
// are more steps than limit, active steps come first.
func runTable(status *pipelines.Status, limit int) string {
	steps := status.Steps
	if len(steps) > limit {
		steps = activeFirst(steps)
	}
	var b strings.Builder
	t := newTable(&b)
	t.row("STEP\tSTATUS\tTASKS\tTOOK\tJOB\tNOTE")
	for _, step := range steps[:min(limit, len(steps))] {
		t.row(
			"%s\t%s\t%d/%d\t%s\t%s\t%s",
			step.Name,
			step.Status,
			step.Done,
			step.Tasks,
			stepDuration(step),
			stepJob(step),
			stepNote(step),
		)
	}
	_ = t.flush() // a strings.Builder returns no errors
	if omitted := len(steps) - limit; omitted > 0 {
		fmt.Fprintf(&b, "... and %d more\n", omitted)
	}
	b.WriteString(runSummary(status))
	return b.String()
}

// activeFirst returns the steps with those that have a job or have failed first. The order is
// otherwise unchanged.
func activeFirst(steps []pipelines.StepStatus) []pipelines.StepStatus {
	var active, rest []pipelines.StepStatus
	for _, step := range steps {
		if step.Status.HasJob() || step.Status == pipelines.Failed {
			active = append(active, step)
		} else {
			rest = append(rest, step)
		}
	}
	return append(active, rest...)
}

// stepDuration returns how long a step took so far, or a dash if it has no duration.
func stepDuration(step pipelines.StepStatus) string {
	if step.DurationS > 0 {
		return fmt.Sprintf("%.1f s", step.DurationS)
	}
	return "-"
}

// stepJob returns the ID of a step's job, or a dash if the step is waiting or skipped.
func stepJob(step pipelines.StepStatus) string {
	if step.Status == pipelines.Waiting || step.Status == pipelines.Skipped {
		return "-"
	}
	return step.JobID
}

// stepNote returns the number of a step's repeat, if any, and the reason for its state.
func stepNote(step pipelines.StepStatus) string {
	note := string(step.Why)
	if step.Attempt > 0 {
		note = strings.TrimSpace(fmt.Sprintf("repeat %d %s", step.Attempt, note))
	}
	return note
}

// runSummary returns the line below the steps, with the number of steps in each state.
func runSummary(status *pipelines.Status) string {
	counts := map[pipelines.StepState]int{}
	for _, step := range status.Steps {
		counts[step.Status]++
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s: %s after %.1f s", status.Name, status.ID, status.Status, status.DurationS)
	for _, state := range summaryOrder {
		if counts[state] > 0 {
			fmt.Fprintf(&b, ", %d %s", counts[state], state)
		}
	}
	b.WriteString("\n")
	return b.String()
}

// reportRunEnd prints how a run ended and returns an error with the exit code for it.
func (a *app) reportRunEnd(status *pipelines.Status) error {
	if a.jsonOutput() {
		a.printJSON(map[string]any{
			"event":  "ended",
			"run":    status.ID,
			"status": status.Status,
			"took_s": status.DurationS,
		})
	} else if a.height() == 0 {
		a.printf("%s %s after %.1f s\n", status.ID, status.Status, status.DurationS)
	}
	switch status.Status {
	case pipelines.RunFailed:
		return &ExitError{Code: ExitFailed}
	case pipelines.RunCancelled:
		return &ExitError{Code: ExitCancelled}
	case pipelines.RunSucceeded, pipelines.RunLive, pipelines.RunCancelling:
		return nil
	}
	return nil
}

// showRun prints the status of a run with all its steps.
func (a *app) showRun(_ *client.Client, status *pipelines.Status) error {
	if a.jsonOutput() {
		a.printJSON(status)
	} else {
		a.printf("%s", runTable(status, len(status.Steps)))
	}
	return nil
}

// showExplanation prints for each step why it is in its current state.
func (a *app) showExplanation(_ *client.Client, status *pipelines.Status) error {
	if a.jsonOutput() {
		a.printJSON(status)
		return nil
	}
	t := newTable(a.out)
	for _, step := range status.Steps {
		t.row("%s\t%s\t%s", step.Name, step.Status, step.Explain)
	}
	return t.flush()
}
