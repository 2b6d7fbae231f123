package cli

import (
	"strconv"

	"github.com/spf13/cobra"

	"github.com/harrierreel/harrierreel/internal/client"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/pipefile"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// jobStatus is a controller's response about a job.
type jobStatus struct {
	JobID   string `json:"uid"`
	Status  string `json:"status"`
	Done    *int   `json:"done,omitempty"`
	Running *int   `json:"running,omitempty"`
	Late    string `json:"late,omitempty"`
}

// ended reports whether the job has ended, so that none of its tasks will run again.
func (s *jobStatus) ended() bool {
	return s.Status == string(jobs.Done) || s.Status == string(jobs.Cancelled)
}

// requestJob sends a request about a job and returns the job's status.
func requestJob(c *client.Client, method, target, jobID string, body []byte) (*jobStatus, error) {
	response, err := c.Call(method, target, body)
	if err != nil {
		return nil, err
	}
	if !accepted(response) {
		return nil, refusalError(jobID, response)
	}
	return decode[jobStatus](jobID, response)
}

// submitCommand returns the command that submits a job.
func (a *app) submitCommand() *cobra.Command {
	wait := false
	c := a.withClientFlags(&cobra.Command{
		Use:   "submit FILE",
		Short: "Submit a job from a file, YAML or JSON with a submission's fields",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			spec, faults := pipefile.LoadJob(args[0], newJobID)
			if len(faults) > 0 {
				return a.reportFaults(faults)
			}
			c, err := a.clientFromFlags()
			if err != nil {
				return err
			}
			s, err := requestJob(c, "POST", "/work", spec.ID, spec.Submission())
			if err != nil {
				return err
			}
			if !wait {
				a.showJobs([]*jobStatus{s})
				return nil
			}
			return a.waitForJobs(c, []string{s.JobID})
		},
	})
	c.Flags().BoolVar(&wait, "wait", false, "wait for the job's end")
	return c
}

// jobCommand returns a command that calls run with the job IDs of its arguments.
func (a *app) jobCommand(use, short string, run func(c *client.Client, jobIDs []string) error) *cobra.Command {
	return a.withClientFlags(&cobra.Command{
		Use:   use + " UID...",
		Short: short,
		Args:  cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, jobIDs []string) error {
			for _, jobID := range jobIDs {
				if !jobs.ValidID(jobID) {
					return usageError("%q is no job's uid, as in wk-000412", jobID)
				}
			}
			c, err := a.clientFromFlags()
			if err != nil {
				return err
			}
			return run(c, jobIDs)
		},
	})
}

// forEachJob returns a function that sends a request about each job and shows the job statuses.
func (a *app) forEachJob(method, suffix string) func(c *client.Client, jobIDs []string) error {
	return func(c *client.Client, jobIDs []string) error {
		var statuses []*jobStatus
		for _, jobID := range jobIDs {
			s, err := requestJob(c, method, "/work/"+jobID+suffix, jobID, nil)
			if err != nil {
				return err
			}
			statuses = append(statuses, s)
		}
		a.showJobs(statuses)
		return nil
	}
}

func (a *app) statusCommand() *cobra.Command {
	return a.jobCommand("status", "Show jobs", a.forEachJob("GET", ""))
}

func (a *app) cancelCommand() *cobra.Command {
	return a.jobCommand("cancel", "Cancel jobs", a.forEachJob("POST", "/abort"))
}

func (a *app) waitCommand() *cobra.Command {
	return a.jobCommand("wait", "Wait for jobs to end", a.waitForJobs)
}

// waitForJobs waits for jobs to end, one by one, and shows the status of each.
func (a *app) waitForJobs(c *client.Client, jobIDs []string) error {
	cancelled := false
	for _, jobID := range jobIDs {
		for {
			s, err := requestJob(c, "GET", "/work/"+jobID, jobID, nil)
			if err != nil {
				return err
			}
			if s.ended() {
				a.showJobs([]*jobStatus{s})
				cancelled = cancelled || s.Status == string(jobs.Cancelled)
				break
			}
			c.Sleep(tuning.ClientPoll)
		}
	}
	if cancelled {
		return &ExitError{Code: ExitCancelled}
	}
	return nil
}

// showJobs prints a table of jobs, followed by the reasons why jobs are late, or prints JSON lines.
func (a *app) showJobs(statuses []*jobStatus) {
	if a.jsonOutput() {
		for _, s := range statuses {
			a.printJSON(s)
		}
		return
	}
	t := newTable(a.out)
	t.row("JOB\tSTATUS\tDONE\tRUNNING")
	for _, s := range statuses {
		t.row("%s\t%s\t%s\t%s", s.JobID, s.Status, formatCount(s.Done), formatCount(s.Running))
	}
	_ = t.flush() // ignored, as in printf
	for _, s := range statuses {
		if s.Late != "" {
			a.printf("%s: %s\n", s.JobID, s.Late)
		}
	}
}

// formatCount returns a number of tasks as text, or a dash if the controller omitted it.
func formatCount(n *int) string {
	if n == nil {
		return "-"
	}
	return strconv.Itoa(*n)
}
