package cli

import (
	"strconv"

	"github.com/spf13/cobra"

	"github.com/harrierreel/harrierreel/internal/client"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/pipefile"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// jobStatus is what a controller answers about a job.
type jobStatus struct {
	JobID   string `json:"uid"`
	Status  string `json:"status"`
	Done    *int   `json:"done,omitempty"`
	Running *int   `json:"running,omitempty"`
	Late    string `json:"late,omitempty"`
}

// ended tells whether nothing of the job will run any more.
func (s *jobStatus) ended() bool {
	return s.Status == string(jobs.Done) || s.Status == string(jobs.Cancelled)
}

// requestJob sends a request about a job.
func requestJob(c *client.Client, method, target, jobID string, body []byte) (*jobStatus, error) {
	answer, err := c.Call(method, target, body)
	if err != nil {
		return nil, err
	}
	if !accepted(answer) {
		return nil, refused(jobID, answer)
	}
	return decode[jobStatus](jobID, answer)
}

func (a *app) submit() *cobra.Command {
	wait := false
	c := a.online(&cobra.Command{
		Use:   "submit FILE",
		Short: "Submit a job from a file, YAML or JSON with a submission's fields",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			spec, faults := pipefile.LoadJob(args[0], newJobID)
			if len(faults) > 0 {
				return a.faults(faults)
			}
			c, err := a.client()
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
			return a.await(c, []string{s.JobID})
		},
	})
	c.Flags().BoolVar(&wait, "wait", false, "wait for the job's end")
	return c
}

// jobVerb is a verb on jobs.
func (a *app) jobVerb(use, short string, do func(c *client.Client, jobIDs []string) error) *cobra.Command {
	return a.online(&cobra.Command{
		Use:   use + " UID...",
		Short: short,
		Args:  cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, jobIDs []string) error {
			for _, jobID := range jobIDs {
				if !jobs.ValidID(jobID) {
					return usage("%q is no job's uid, as in wk-000412", jobID)
				}
			}
			c, err := a.client()
			if err != nil {
				return err
			}
			return do(c, jobIDs)
		},
	})
}

// forEachJob sends a request about every job and shows the answers.
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

func (a *app) status() *cobra.Command {
	return a.jobVerb("status", "Show jobs", a.forEachJob("GET", ""))
}

func (a *app) cancel() *cobra.Command {
	return a.jobVerb("cancel", "Cancel jobs", a.forEachJob("POST", "/abort"))
}

func (a *app) wait() *cobra.Command {
	return a.jobVerb("wait", "Wait for jobs to end", a.await)
}

// await waits until all jobs have ended, one after the other.
func (a *app) await(c *client.Client, jobIDs []string) error {
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
		return &Exit{Code: ExitCancelled}
	}
	return nil
}

// showJobs prints a table with what is late below it, or a line of JSON for each job.
func (a *app) showJobs(statuses []*jobStatus) {
	if a.json() {
		for _, s := range statuses {
			a.line(s)
		}
		return
	}
	t := newTable(a.out)
	t.row("JOB\tSTATUS\tDONE\tRUNNING")
	for _, s := range statuses {
		t.row("%s\t%s\t%s\t%s", s.JobID, s.Status, count(s.Done), count(s.Running))
	}
	_ = t.flush() // dropped as in printf
	for _, s := range statuses {
		if s.Late != "" {
			a.printf("%s: %s\n", s.JobID, s.Late)
		}
	}
}

// count is a number of tasks, or a dash where a controller left it out.
func count(n *int) string {
	if n == nil {
		return "-"
	}
	return strconv.Itoa(*n)
}
