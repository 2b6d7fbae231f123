package cli

import (
	"encoding/json"
	"fmt"
	"strconv"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/harrierreel/harrierreel/internal/client"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/pipefile"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// jobStatus is what a controller tells of a job.
type jobStatus struct {
	JobID   string `json:"uid"`
	Status  string `json:"status"`
	Done    *int   `json:"done,omitempty"`
	Running *int   `json:"running,omitempty"`
	Late    string `json:"late,omitempty"`
}

func (s *jobStatus) over() bool {
	return s.Status == string(jobs.Done) || s.Status == string(jobs.Cancelled)
}

// askJob sends a request about a job.
func askJob(c *client.Client, method, target, uid string, body []byte) (*jobStatus, error) {
	ans, err := c.Call(method, target, body)
	if err != nil {
		return nil, err
	}
	if ans.Status != 200 && ans.Status != 201 {
		return nil, refused(uid, ans)
	}
	var s jobStatus
	if err := json.Unmarshal(ans.Body, &s); err != nil {
		return nil, usage("%s: %s gave an answer that can't be read: %v", uid, ans.Server, err)
	}
	return &s, nil
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
			s, err := askJob(c, "POST", "/work", spec.ID, spec.Submission())
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

// verb is a verb on jobs.
func (a *app) verb(use, short string, do func(c *client.Client, uids []string) error) *cobra.Command {
	return a.online(&cobra.Command{
		Use: use + " UID...", Short: short, Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, uids []string) error {
			for _, uid := range uids {
				if !jobs.ValidID(uid) {
					return usage("%q is no job's uid, as in wk-000412", uid)
				}
			}
			c, err := a.client()
			if err != nil {
				return err
			}
			return do(c, uids)
		},
	})
}

// each asks about jobs and shows the answers.
func (a *app) each(method, suffix string) func(c *client.Client, uids []string) error {
	return func(c *client.Client, uids []string) error {
		var all []*jobStatus
		for _, uid := range uids {
			s, err := askJob(c, method, "/work/"+uid+suffix, uid, nil)
			if err != nil {
				return err
			}
			all = append(all, s)
		}
		a.showJobs(all)
		return nil
	}
}

func (a *app) status() *cobra.Command {
	return a.verb("status", "Show jobs", a.each("GET", ""))
}

func (a *app) cancel() *cobra.Command {
	return a.verb("cancel", "Cancel jobs", a.each("POST", "/abort"))
}

func (a *app) wait() *cobra.Command {
	return a.verb("wait", "Wait for jobs to end", a.await)
}

// await waits until all jobs are over.
func (a *app) await(c *client.Client, uids []string) error {
	cancelled := false
	for _, uid := range uids {
		for {
			s, err := askJob(c, "GET", "/work/"+uid, uid, nil)
			if err != nil {
				return err
			}
			if s.over() {
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

func (a *app) showJobs(all []*jobStatus) {
	if a.json() {
		for _, s := range all {
			a.line(s)
		}
		return
	}
	w := tabwriter.NewWriter(a.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "JOB\tSTATUS\tDONE\tRUNNING")
	for _, s := range all {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", s.JobID, s.Status, count(s.Done), count(s.Running))
	}
	_ = w.Flush()
	for _, s := range all {
		if s.Late != "" {
			fmt.Fprintf(a.out, "%s: %s\n", s.JobID, s.Late)
		}
	}
}

func count(n *int) string {
	if n == nil {
		return "-"
	}
	return strconv.Itoa(*n)
}
