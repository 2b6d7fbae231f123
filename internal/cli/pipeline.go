package cli

import (
	"encoding/json"

	"github.com/spf13/cobra"

	"github.com/harrierreel/harrierreel/internal/client"
	"github.com/harrierreel/harrierreel/internal/pipefile"
	"github.com/harrierreel/harrierreel/internal/pipelines"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// pipelineCommand returns the command group for pipelines.
func (a *app) pipelineCommand() *cobra.Command {
	return commandGroup(
		"pipeline",
		"Run pipeline files",
		a.pipelineCheckCommand(),
		a.pipelineRunCommand(),
		a.pipelineStatusCommand(),
		a.pipelineCancelCommand(),
		a.pipelineExplainCommand(),
	)
}

func (a *app) pipelineCheckCommand() *cobra.Command {
	return a.withOutputFlag(&cobra.Command{
		Use:   "check FILE",
		Short: "Check a pipeline file; tells every fault with its line",
		Args:  cobra.ExactArgs(1),
		RunE:  func(_ *cobra.Command, args []string) error { return a.checkPipeline(args[0]) },
	})
}

// checkPipeline checks a pipeline file and prints its size.
func (a *app) checkPipeline(name string) error {
	file, faults := pipefile.Load(name)
	if len(faults) > 0 {
		return a.reportFaults(faults)
	}
	size := pipelines.NewRecord(file.Plan, file.Submission(""), "", 0).MaxBytes()
	if a.jsonOutput() {
		a.printJSON(map[string]any{
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

func (a *app) pipelineRunCommand() *cobra.Command {
	id, detach := "", false
	c := a.withClientFlags(&cobra.Command{
		Use:   "run FILE",
		Short: "Run a pipeline file and wait for its end",
		Args:  cobra.ExactArgs(1),
		RunE:  func(_ *cobra.Command, args []string) error { return a.runPipelineFile(args[0], id, detach) },
	})
	c.Flags().StringVar(&id, "id", "",
		"the run's id, run- and up to 40 letters, digits or dashes; by chance unless given. "+
			"The same id and file are one run, however often they are handed in")
	c.Flags().BoolVar(&detach, "detach", false, "don't wait for the end")
	return c
}

// runPipelineFile runs a pipeline file. If id is empty, the run gets a random ID.
func (a *app) runPipelineFile(name, id string, detach bool) error {
	file, faults := pipefile.Load(name)
	if len(faults) > 0 {
		return a.reportFaults(faults)
	}
	if id == "" {
		id = newRunID()
	}
	return a.runPipeline(file, id, detach)
}

// runPipeline submits a pipeline as the run with the given ID and, unless detach is set, waits for
// its end. The request is idempotent: submitting the same ID and file again starts no second run.
func (a *app) runPipeline(file *pipefile.File, id string, detach bool) error {
	if !pipelines.ValidID(id) {
		return usageError("--id: must be run- and 1 to 40 lower case letters, digits or dashes")
	}
	c, err := a.clientFromFlags()
	if err != nil {
		return err
	}
	status, err := a.submitRun(c, file, id)
	if err != nil || detach {
		return err
	}
	return a.followRun(c, status)
}

// submitRun submits a run and prints a message when it is accepted.
func (a *app) submitRun(c *client.Client, file *pipefile.File, id string) (*pipelines.Status, error) {
	body := file.Submission(id)
	if len(body) > tuning.MaxRequestBody {
		return nil, usageError("%s: a request holds at most %d bytes, the run takes %d",
			file.Name, tuning.MaxRequestBody, len(body))
	}
	response, err := c.Call("POST", "/pipelines", body)
	if err != nil {
		return nil, err
	}
	if !accepted(response) {
		return nil, a.reportRefusedRun(id, file, response)
	}
	status, err := decode[pipelines.Status](id, response)
	if err != nil {
		return nil, err
	}
	if a.jsonOutput() {
		a.printJSON(map[string]any{
			"event":  "accepted",
			"run":    id,
			"name":   status.Name,
			"steps":  len(status.Steps),
			"server": response.Server,
		})
	} else {
		a.printf("%s accepted as %s (%d steps)\n", status.Name, id, len(status.Steps))
	}
	return status, nil
}

// reportRefusedRun prints the faults of a refused run with their positions in the file, and returns
// an error.
func (a *app) reportRefusedRun(id string, file *pipefile.File, response *client.Response) error {
	var refusal pipelines.Refusal
	if json.Unmarshal(response.Body, &refusal) == nil && len(refusal.Faults) > 0 {
		return a.reportFaults(file.Place(refusal.Faults))
	}
	return refusalError(id, response)
}

// requestRun sends a request about an existing run and returns the run's status.
func requestRun(c *client.Client, method, target, id string) (*pipelines.Status, error) {
	response, err := c.Call(method, target, nil)
	if err != nil {
		return nil, err
	}
	if !accepted(response) {
		return nil, refusalError(id, response)
	}
	return decode[pipelines.Status](id, response)
}

// runCommand returns a command that sends a request about a run and passes the status to show.
func (a *app) runCommand(
	use, short, method, suffix string,
	show func(c *client.Client, status *pipelines.Status) error,
) *cobra.Command {
	return a.withClientFlags(&cobra.Command{
		Use:   use + " ID",
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			id := args[0]
			if !pipelines.ValidID(id) {
				return usageError("%q is no run's id: run- and 1 to 40 lower case letters, digits or dashes", id)
			}
			c, err := a.clientFromFlags()
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

func (a *app) pipelineStatusCommand() *cobra.Command {
	wait := false
	show := func(c *client.Client, status *pipelines.Status) error {
		if wait {
			return a.followRun(c, status)
		}
		return a.showRun(c, status)
	}
	c := a.runCommand("status", "Show a run and its steps", "GET", "", show)
	c.Flags().BoolVar(&wait, "wait", false, "wait for the run's end; the exit code tells how it ended")
	return c
}

func (a *app) pipelineCancelCommand() *cobra.Command {
	return a.runCommand(
		"cancel",
		"Cancel a run: nothing of it starts any more, and what runs is stopped",
		"POST",
		"/abort",
		a.showRun,
	)
}

func (a *app) pipelineExplainCommand() *cobra.Command {
	return a.runCommand(
		"explain",
		"Say of each step why it is where it is",
		"GET",
		"/explain",
		a.showExplanation,
	)
}
