package cli

import (
	"fmt"
	"strings"

	"github.com/harrierreel/harrierreel/internal/client"
	"github.com/harrierreel/harrierreel/internal/pipelines"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// linesBesidesSteps are the lines of a terminal that the steps don't get: the heading, the
// count of steps left out, the summary, and the line of the cursor.
const linesBesidesSteps = 4

// summaryOrder is the order in which a run's summary counts its steps' states.
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

// follow shows a run until it has ended: on a terminal as a table that is drawn over
// itself, elsewhere as a line for each change.
func (a *app) follow(c *client.Client, status *pipelines.Status) error {
	shown := map[string]string{}
	height, drawn := a.height(), 0
	for {
		if a.json() || height == 0 {
			a.printChanges(status, shown)
		} else {
			drawn = a.redraw(status, drawn, height)
		}
		if status.Status.Over() {
			return a.runEnded(status)
		}
		c.Sleep(tuning.ClientPoll)
		id := status.ID
		answer, err := c.Call("GET", "/pipelines/"+id, nil)
		if err != nil {
			a.notef("harrierreel: %s goes on without this client; see harrierreel pipeline status %s\n", id, id)
			return err
		}
		if !accepted(answer) {
			return refused(id, answer)
		}
		if status, err = decode[pipelines.Status](id, answer); err != nil {
			return err
		}
	}
}

// printChanges prints a line for each step that is not as it was last shown. shown holds
// the state and the repeat of each step by its name.
func (a *app) printChanges(status *pipelines.Status, shown map[string]string) {
	for _, step := range status.Steps {
		now := fmt.Sprintf("%s %d", step.Status, step.Repeat)
		if now == shown[step.Name] || step.Status == pipelines.Waiting && shown[step.Name] == "" {
			continue
		}
		shown[step.Name] = now
		if a.json() {
			a.line(struct {
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

// redraw shows the steps in place of the lines that were drawn before, and returns how
// many lines it drew.
func (a *app) redraw(status *pipelines.Status, drawn, height int) int {
	erase := ""
	if drawn > 0 {
		erase = fmt.Sprintf("\x1b[%dA\x1b[J", drawn)
	}
	text := runTable(status, max(height-linesBesidesSteps, 1))
	a.printf("%s%s", erase, text) // in one write, so that the table does not flicker
	return strings.Count(text, "\n")
}

// runTable is the steps of a run, at most limit of them, and a summary of all. Where there
// are more, those under way come first.
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

// activeFirst is the steps with those that have a job or failed first; otherwise in order.
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

func stepDuration(step pipelines.StepStatus) string {
	if step.DurationS > 0 {
		return fmt.Sprintf("%.1f s", step.DurationS)
	}
	return "-"
}

// stepJob is the ID of a step's job, or a dash where none was or will be submitted.
func stepJob(step pipelines.StepStatus) string {
	if step.Status == pipelines.Waiting || step.Status == pipelines.Skipped {
		return "-"
	}
	return step.JobID
}

func stepNote(step pipelines.StepStatus) string {
	note := string(step.Why)
	if step.Repeat > 0 {
		note = strings.TrimSpace(fmt.Sprintf("repeat %d %s", step.Repeat, note))
	}
	return note
}

// runSummary is the line below the steps.
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

// runEnded says how a run ended, in words and by the exit code.
func (a *app) runEnded(status *pipelines.Status) error {
	if a.json() {
		a.line(map[string]any{
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
		return &Exit{Code: ExitFailed}
	case pipelines.RunCancelled:
		return &Exit{Code: ExitCancelled}
	case pipelines.RunSucceeded, pipelines.RunLive, pipelines.RunCancelling:
		return nil
	}
	return nil
}

// showRun prints a run's status with all its steps.
func (a *app) showRun(_ *client.Client, status *pipelines.Status) error {
	if a.json() {
		a.line(status)
	} else {
		a.printf("%s", runTable(status, len(status.Steps)))
	}
	return nil
}

// showExplanation prints of each step why it is where it is.
func (a *app) showExplanation(_ *client.Client, status *pipelines.Status) error {
	if a.json() {
		a.line(status)
		return nil
	}
	t := newTable(a.out)
	for _, step := range status.Steps {
		t.row("%s\t%s\t%s", step.Name, step.Status, step.Explain)
	}
	return t.flush()
}
