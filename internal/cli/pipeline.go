package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/harrierreel/harrierreel/internal/client"
	"github.com/harrierreel/harrierreel/internal/pipefile"
	"github.com/harrierreel/harrierreel/internal/pipelines"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

func (a *app) check() *cobra.Command {
	return a.printed(&cobra.Command{
		Use: "check FILE", Short: "Check a pipeline file; tells every fault with its line", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			f, faults := pipefile.Load(args[0])
			if len(faults) > 0 {
				return a.faults(faults)
			}
			size := pipelines.NewRecord(f.Plan, f.Submission(""), "", 0).MaxBytes()
			if a.json() {
				a.line(
					map[string]any{
						"event":        "checked",
						"file":         f.Name,
						"name":         f.Plan.Name,
						"steps":        len(f.Plan.Steps),
						"record_bytes": size,
					},
				)
				return nil
			}
			fmt.Fprintf(
				a.out,
				"%s: %s has %d steps and takes up to %d bytes of the state service\n",
				f.Name,
				f.Plan.Name,
				len(f.Plan.Steps),
				size,
			)
			return nil
		},
	})
}

func (a *app) run() *cobra.Command {
	id, detach := "", false
	c := a.online(&cobra.Command{
		Use: "run FILE", Short: "Run a pipeline file and wait for its end", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error { return a.runFile(args[0], id, detach) },
	})
	c.Flags().
		StringVar(&id, "id", "", "the run's id, run- and up to 40 letters, digits or dashes; by chance unless given. The same id and file are one run, however often they are handed in")
	c.Flags().BoolVar(&detach, "detach", false, "don't wait for the end")
	return c
}

func (a *app) runFile(name, id string, detach bool) error {
	f, faults := pipefile.Load(name)
	if len(faults) > 0 {
		return a.faults(faults)
	}
	if id == "" {
		id = newRunID()
	}
	return a.runParsed(f, id, detach)
}

// runParsed hands a file in under an id and waits for its run's end.
func (a *app) runParsed(f *pipefile.File, id string, detach bool) error {
	if !pipelines.ValidID(id) {
		return usage("--id: must be run- and 1 to 40 lower case letters, digits or dashes")
	}
	c, err := a.client()
	if err != nil {
		return err
	}
	body := f.Submission(id)
	if len(body) > tuning.MaxRequestBody {
		return usage("%s: a request holds at most %d bytes, the run takes %d", f.Name, tuning.MaxRequestBody, len(body))
	}
	ans, err := c.Call("POST", "/pipelines", body)
	if err != nil {
		return err
	}
	if ans.Status != 200 && ans.Status != 201 {
		return a.refusedRun(id, f, ans)
	}
	s, err := status(id, ans)
	if err != nil {
		return err
	}
	if a.json() {
		a.line(map[string]any{"event": "accepted", "run": id, "name": s.Name, "steps": len(s.Steps), "server": ans.Server})
	} else {
		fmt.Fprintf(a.out, "%s accepted as %s (%d steps)\n", s.Name, id, len(s.Steps))
	}
	if detach {
		return nil
	}
	return a.follow(c, s)
}

// refusedRun shows a refusal's faults where they stand in the file.
func (a *app) refusedRun(id string, f *pipefile.File, ans *client.Answer) error {
	var r pipelines.Refusal
	if json.Unmarshal(ans.Body, &r) == nil && len(r.Faults) > 0 {
		return a.faults(f.Place(r.Faults))
	}
	return refused(id, ans)
}

func status(id string, ans *client.Answer) (*pipelines.Status, error) {
	if ans.Status != 200 && ans.Status != 201 {
		return nil, refused(id, ans)
	}
	var s pipelines.Status
	if err := json.Unmarshal(ans.Body, &s); err != nil {
		return nil, usage("%s: %s gave an answer that can't be read: %v", id, ans.Server, err)
	}
	return &s, nil
}

// follow shows a run until it is over.
func (a *app) follow(c *client.Client, s *pipelines.Status) error {
	shown := map[string]string{}
	height, drawn := a.height(), 0
	for {
		switch {
		case a.json() || height == 0:
			a.changes(s, shown)
		default:
			drawn = a.redraw(s, drawn, height)
		}
		if s.Status.Over() {
			return a.ended(s)
		}
		c.Sleep(tuning.ClientPoll)
		ans, err := c.Call("GET", "/pipelines/"+s.ID, nil)
		if err != nil {
			fmt.Fprintf(a.note, "harrierreel: %s goes on without this client; see harrierreel pipeline status %s\n", s.ID, s.ID)
			return err
		}
		if s, err = status(s.ID, ans); err != nil {
			return err
		}
	}
}

// changes prints a line for each step that is not as it was last shown.
func (a *app) changes(s *pipelines.Status, shown map[string]string) {
	for _, step := range s.Steps {
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
			}{"step", s.ID, step})
			continue
		}
		text := fmt.Sprintf("%7.1f s  %-10s %s", s.TookS, step.Status, step.Name)
		if step.Why != "" {
			text += ": " + string(step.Why)
		}
		fmt.Fprintln(a.out, text)
	}
}

// redraw shows the steps in place of what was drawn before. Where they are more
// than the terminal has lines, those under way come first.
func (a *app) redraw(s *pipelines.Status, drawn, height int) int {
	var b strings.Builder
	if drawn > 0 {
		fmt.Fprintf(&b, "\x1b[%dA\x1b[J", drawn)
	}
	table := a.table(s, max(height-4, 1))
	b.WriteString(table)
	_, _ = io.WriteString(a.out, b.String())
	return strings.Count(table, "\n")
}

// table is the steps of a run, at most so many of them.
func (a *app) table(s *pipelines.Status, most int) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "STEP\tSTATUS\tTASKS\tTOOK\tJOB\tNOTE")
	counts := map[pipelines.StepState]int{}
	left := 0
	steps := s.Steps
	if len(steps) > most {
		var first, rest []pipelines.StepStatus
		for _, step := range steps {
			if step.Status.HasJob() || step.Status == pipelines.Failed {
				first = append(first, step)
			} else {
				rest = append(rest, step)
			}
		}
		steps = append(first, rest...)
	}
	for i, step := range steps {
		counts[step.Status]++
		if i >= most {
			left++
			continue
		}
		note := string(step.Why)
		if step.Repeat > 0 {
			note = strings.TrimSpace(fmt.Sprintf("repeat %d %s", step.Repeat, note))
		}
		took := "-"
		if step.TookS > 0 {
			took = fmt.Sprintf("%.1f s", step.TookS)
		}
		job := step.Job
		if step.Status == pipelines.Waiting || step.Status == pipelines.Skipped {
			job = "-"
		}
		fmt.Fprintf(w, "%s\t%s\t%d/%d\t%s\t%s\t%s\n", step.Name, step.Status, step.Done, step.Tasks, took, job, note)
	}
	_ = w.Flush()
	if left > 0 {
		fmt.Fprintf(&b, "... and %d more\n", left)
	}
	fmt.Fprintf(&b, "%s %s: %s after %.1f s", s.Name, s.ID, s.Status, s.TookS)
	for _, state := range []pipelines.StepState{pipelines.Succeeded, pipelines.Running, pipelines.Submitted, pipelines.Ready, pipelines.Waiting, pipelines.Failed, pipelines.Skipped, pipelines.Cancelled} {
		if counts[state] > 0 {
			fmt.Fprintf(&b, ", %d %s", counts[state], state)
		}
	}
	b.WriteString("\n")
	return b.String()
}

// ended says how a run ended, in words and by the exit code.
func (a *app) ended(s *pipelines.Status) error {
	if a.json() {
		a.line(map[string]any{"event": "ended", "run": s.ID, "status": s.Status, "took_s": s.TookS})
	} else if a.height() == 0 {
		fmt.Fprintf(a.out, "%s %s after %.1f s\n", s.ID, s.Status, s.TookS)
	}
	switch s.Status {
	case pipelines.RunFailed:
		return &Exit{Code: ExitFailed}
	case pipelines.RunCancelled:
		return &Exit{Code: ExitCancelled}
	}
	return nil
}

// ask is a verb on a run.
func (a *app) ask(
	use, short, method, suffix string,
	show func(c *client.Client, s *pipelines.Status) error,
) *cobra.Command {
	return a.online(&cobra.Command{
		Use: use + " ID", Short: short, Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if !pipelines.ValidID(args[0]) {
				return usage("%q is no run's id: run- and 1 to 40 lower case letters, digits or dashes", args[0])
			}
			c, err := a.client()
			if err != nil {
				return err
			}
			ans, err := c.Call(method, "/pipelines/"+args[0]+suffix, nil)
			if err != nil {
				return err
			}
			s, err := status(args[0], ans)
			if err != nil {
				return err
			}
			return show(c, s)
		},
	})
}

// shown prints a run's status whole.
func (a *app) shown(_ *client.Client, s *pipelines.Status) error {
	if a.json() {
		a.line(s)
	} else {
		fmt.Fprint(a.out, a.table(s, len(s.Steps)))
	}
	return nil
}

func (a *app) runStatus() *cobra.Command {
	wait := false
	c := a.ask("status", "Show a run and its steps", "GET", "", func(c *client.Client, s *pipelines.Status) error {
		if wait {
			return a.follow(c, s)
		}
		return a.shown(c, s)
	})
	c.Flags().BoolVar(&wait, "wait", false, "wait for the run's end; the exit code tells how it ended")
	return c
}

func (a *app) runCancel() *cobra.Command {
	return a.ask(
		"cancel",
		"Cancel a run: nothing of it starts any more, and what runs is stopped",
		"POST",
		"/abort",
		a.shown,
	)
}

func (a *app) runExplain() *cobra.Command {
	return a.ask(
		"explain",
		"Say of each step why it is where it is",
		"GET",
		"/explain",
		func(_ *client.Client, s *pipelines.Status) error {
			if a.json() {
				a.line(s)
				return nil
			}
			w := tabwriter.NewWriter(a.out, 0, 4, 2, ' ', 0)
			for _, step := range s.Steps {
				fmt.Fprintf(w, "%s\t%s\t%s\n", step.Name, step.Status, step.Explain)
			}
			return w.Flush()
		},
	)
}
