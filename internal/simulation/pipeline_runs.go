package simulation

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/pipelines"
	"github.com/harrierreel/harrierreel/internal/sharding"
)

// Run is a pipeline run as its user knows it from answers.
type Run struct {
	ID, State       string
	Status          pipelines.Status // latest status that the user received
	Body            []byte
	Answer          int // HTTP status of the last answer to the submission
	Accepted        bool
	CancelRequested bool
	steps           map[string]*Job // jobs of its steps, by job ID
}

// SubmitRun submits a run, repeating until it is accepted or rejected, and polls an accepted run
// until it is over.
func (sim *Simulator) SubmitRun(r *Run) {
	sim.Runs[r.ID] = r
	r.steps = map[string]*Job{}
	var submit func()
	submit = func() {
		sim.request("POST", "/pipelines", r.Body, func(status int, b []byte, err error) {
			if err != nil || status == 429 || status == 503 {
				sim.After(time.Second, submit)
				return
			}
			r.Answer = status
			if status == 200 || status == 201 {
				r.Accepted = true
				sim.checkRunStatus(r, b)
				sim.pollRun(r)
			}
		})
	}
	submit()
}

// ResubmitRun repeats a run's submission with a body that may differ from the original.
func (sim *Simulator) ResubmitRun(r *Run, body []byte) {
	sim.request("POST", "/pipelines", body, func(status int, b []byte, err error) {
		if err != nil {
			return
		}
		if r.Answer = status; status == 201 {
			sim.ReportViolation("run accepted twice: %s", r.ID)
		}
		if status == 200 {
			sim.checkRunStatus(r, b)
		}
	})
}

// pollRun requests a run's status every 2 s until it is over.
func (sim *Simulator) pollRun(r *Run) {
	sim.request("GET", "/pipelines/"+r.ID, nil, func(status int, b []byte, err error) {
		if err == nil && status == 404 {
			sim.ReportViolation("forgotten: %s gets 404", r.ID)
		}
		if err == nil && status == 200 {
			sim.checkRunStatus(r, b)
		}
		if !pipelines.RunState(r.State).Ended() {
			sim.After(2*time.Second, func() { sim.pollRun(r) })
		}
	})
}

// CancelRun requests the cancellation of a run, repeating until the answer is 200.
func (sim *Simulator) CancelRun(r *Run) {
	r.CancelRequested = true
	sim.request("POST", "/pipelines/"+r.ID+"/abort", nil, func(status int, b []byte, err error) {
		if err != nil || status != 200 {
			sim.After(time.Second, func() { sim.CancelRun(r) })
			return
		}
		sim.checkRunStatus(r, b)
	})
}

// checkRunStatus checks an answer about a run against earlier answers and against what the agents
// did, and records its status.
func (sim *Simulator) checkRunStatus(r *Run, body []byte) {
	var s pipelines.Status
	for _, line := range strings.Split(string(body), "\n") {
		if len(line) > 64<<10 {
			sim.ReportViolation("a line of %d bytes", len(line))
		}
	}
	if json.Unmarshal(body, &s) != nil || s.ID != r.ID {
		sim.ReportViolation("unreadable answer %s", body)
		return
	}
	if pipelines.RunState(r.State).Ended() && string(s.Status) != r.State {
		sim.ReportViolation("went_back: %s was %s, is %s", r.ID, r.State, s.Status)
	}
	if s.Status == pipelines.RunCancelled && !r.CancelRequested {
		sim.ReportViolation("went_back: %s is cancelled by nobody", r.ID)
	}
	sim.checkRunSteps(r, &s)
	sim.checkRunOrder(r, &s)
	r.Status, r.State = s, string(s.Status)
	if s.Status == pipelines.RunCancelled {
		sim.recordRunCancelled(r)
	}
}

// checkRunSteps checks the steps in an answer about a run against earlier answers and against what
// the agents did.
func (sim *Simulator) checkRunSteps(r *Run, s *pipelines.Status) {
	for i, step := range s.Steps {
		if i < len(r.Status.Steps) {
			was := r.Status.Steps[i]
			if was.Status.Ended() && was.Status != step.Status {
				sim.ReportViolation("went_back: %s of %s was %s, is %s", step.Name, r.ID, was.Status, step.Status)
			}
		}
		j := sim.Jobs[step.JobID]
		if j != nil {
			r.steps[step.JobID] = j
		}
		switch {
		case step.Status != pipelines.Succeeded:
		case j == nil:
			sim.ReportViolation("not_done: %s of %s never ran", step.Name, r.ID)
		case len(j.Done) < j.TaskCount:
			sim.ReportViolation("not_done: %s of %s has %d of %d", step.Name, r.ID, len(j.Done), j.TaskCount)
		}
	}
}

// checkRunOrder checks that no step started before all steps that it needs had ended.
func (sim *Simulator) checkRunOrder(r *Run, s *pipelines.Status) {
	ends := map[string]time.Time{}
	for _, step := range s.Steps {
		j := sim.Jobs[step.JobID]
		name, _, _ := strings.Cut(step.Name, "[")
		if j != nil && step.Status.Ended() && j.LastDone.After(ends[name]) {
			ends[name] = j.LastDone
		}
	}
	for _, step := range s.Steps {
		j := sim.Jobs[step.JobID]
		for _, need := range step.Needs {
			if j != nil && !j.FirstStart.IsZero() && j.FirstStart.Before(ends[need]) {
				sim.ReportViolation("out of order: %s of %s started before %s had ended", step.Name, r.ID, need)
			}
		}
	}
}

// recordRunCancelled records the cancellation of the run's jobs, and checks after cancel_s that
// none of their tasks is on a machine.
func (sim *Simulator) recordRunCancelled(r *Run) {
	for _, step := range r.Status.Steps {
		if j := sim.Jobs[step.JobID]; j != nil && !j.Cancelled && step.Status == pipelines.Cancelled {
			sim.recordCancelled(j)
		}
	}
}

// OwnerOf returns the controller that owns a run or a machine according to the view in the store, ""
// if there is no view.
func (sim *Simulator) OwnerOf(id string) string {
	v, ok := members.Decode(sim.Store.Value(members.ViewKey))
	if !ok {
		return ""
	}
	return sharding.Owner(id, v.Names())
}

// RunID returns the ID of the n-th run.
func RunID(n int) string { return fmt.Sprintf("run-%06d", n) }
