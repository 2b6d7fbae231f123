package cli

import (
	"encoding/json"

	"github.com/spf13/cobra"

	"github.com/harrierreel/harrierreel/internal/client"
	"github.com/harrierreel/harrierreel/internal/pipefile"
	"github.com/harrierreel/harrierreel/internal/pipelines"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

func (a *app) pipeline() *cobra.Command {
	return group(
		"pipeline",
		"Run pipeline files",
		a.pipelineCheck(),
		a.pipelineRun(),
		a.pipelineStatus(),
		a.pipelineCancel(),
		a.pipelineExplain(),
	)
}

func (a *app) pipelineCheck() *cobra.Command {
	return a.printed(&cobra.Command{
		Use:   "check FILE",
		Short: "Check a pipeline file; tells every fault with its line",
		Args:  cobra.ExactArgs(1),
		RunE:  func(_ *cobra.Command, args []string) error { return a.checkPipeline(args[0]) },
	})
}

func (a *app) checkPipeline(name string) error {
	file, faults := pipefile.Load(name)
	if len(faults) > 0 {
		return a.faults(faults)
	}
	size := pipelines.NewRecord(file.Plan, file.Submission(""), "", 0).MaxBytes()
	if a.json() {
		a.line(map[string]any{
			"event":        "checked",
			"file":         file.Name,
			"name":         file.Plan.Name,
			"steps":        len(file.Plan.Steps),
			"record_bytes": size,
		})
		return nil
	}
	a.printf(
		"%s: %s has %d steps and takes up to %d bytes of the state service\n",
		file.Name,
		file.Plan.Name,
		len(file.Plan.Steps),
		size,
	)
	return nil
}

func (a *app) pipelineRun() *cobra.Command {
	id, detach := "", false
	c := a.online(&cobra.Command{
		Use:   "run FILE",
		Short: "Run a pipeline file and wait for its end",
		Args:  cobra.ExactArgs(1),
		RunE:  func(_ *cobra.Command, args []string) error { return a.runFile(args[0], id, detach) },
	})
	c.Flags().StringVar(&id, "id", "",
		"the run's id, run- and up to 40 letters, digits or dashes; by chance unless given. "+
			"The same id and file are one run, however often they are handed in")
	c.Flags().BoolVar(&detach, "detach", false, "don't wait for the end")
	return c
}

func (a *app) runFile(name, id string, detach bool) error {
	file, faults := pipefile.Load(name)
	if len(faults) > 0 {
		return a.faults(faults)
	}
	if id == "" {
		id = newRunID()
	}
	return a.runParsed(file, id, detach)
}

// runParsed submits a pipeline as the run with an id and, unless detached, waits for its
// end. The request is idempotent: the same id and file are one run.
func (a *app) runParsed(file *pipefile.File, id string, detach bool) error {
	if !pipelines.ValidID(id) {
		return usage("--id: must be run- and 1 to 40 lower case letters, digits or dashes")
	}
	c, err := a.client()
	if err != nil {
		return err
	}
	status, err := a.submitRun(c, file, id)
	if err != nil || detach {
		return err
	}
	return a.follow(c, status)
}

// submitRun submits a run and prints that it is accepted.
func (a *app) submitRun(c *client.Client, file *pipefile.File, id string) (*pipelines.Status, error) {
	body := file.Submission(id)
	if len(body) > tuning.MaxRequestBody {
		return nil, usage("%s: a request holds at most %d bytes, the run takes %d",
			file.Name, tuning.MaxRequestBody, len(body))
	}
	answer, err := c.Call("POST", "/pipelines", body)
	if err != nil {
		return nil, err
	}
	if !accepted(answer) {
		return nil, a.refusedRun(id, file, answer)
	}
	status, err := decode[pipelines.Status](id, answer)
	if err != nil {
		return nil, err
	}
	if a.json() {
		a.line(map[string]any{
			"event":  "accepted",
			"run":    id,
			"name":   status.Name,
			"steps":  len(status.Steps),
			"server": answer.Server,
		})
	} else {
		a.printf("%s accepted as %s (%d steps)\n", status.Name, id, len(status.Steps))
	}
	return status, nil
}

// refusedRun shows a refusal's faults where they stand in the file.
func (a *app) refusedRun(id string, file *pipefile.File, answer *client.Answer) error {
	var refusal pipelines.Refusal
	if json.Unmarshal(answer.Body, &refusal) == nil && len(refusal.Faults) > 0 {
		return a.faults(file.Place(refusal.Faults))
	}
	return refused(id, answer)
}

// requestRun sends a request about a run that a controller should know.
func requestRun(c *client.Client, method, target, id string) (*pipelines.Status, error) {
	answer, err := c.Call(method, target, nil)
	if err != nil {
		return nil, err
	}
	if !accepted(answer) {
		return nil, refused(id, answer)
	}
	return decode[pipelines.Status](id, answer)
}

// runVerb is a verb on a run: one request, and show for its answer.
func (a *app) runVerb(
	use, short, method, suffix string,
	show func(c *client.Client, status *pipelines.Status) error,
) *cobra.Command {
	return a.online(&cobra.Command{
		Use:   use + " ID",
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			id := args[0]
			if !pipelines.ValidID(id) {
				return usage("%q is no run's id: run- and 1 to 40 lower case letters, digits or dashes", id)
			}
			c, err := a.client()
			if err != nil {
				return err
			}
			status, err := requestRun(c, method, "/pipelines/"+id+suffix, id)
			if err != nil {
				return err
			}
			return show(c, status)
		},
	})
}

func (a *app) pipelineStatus() *cobra.Command {
	wait := false
	show := func(c *client.Client, status *pipelines.Status) error {
		if wait {
			return a.follow(c, status)
		}
		return a.showRun(c, status)
	}
	c := a.runVerb("status", "Show a run and its steps", "GET", "", show)
	c.Flags().BoolVar(&wait, "wait", false, "wait for the run's end; the exit code tells how it ended")
	return c
}

func (a *app) pipelineCancel() *cobra.Command {
	return a.runVerb(
		"cancel",
		"Cancel a run: nothing of it starts any more, and what runs is stopped",
		"POST",
		"/abort",
		a.showRun,
	)
}

func (a *app) pipelineExplain() *cobra.Command {
	return a.runVerb(
		"explain",
		"Say of each step why it is where it is",
		"GET",
		"/explain",
		a.showExplanation,
	)
}
