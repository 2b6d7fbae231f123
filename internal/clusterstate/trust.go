package clusterstate

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Trust returns the trust level of a job, derived from its tasks' records and from a failure on
// one more machine that is not recorded yet. machine is empty if there is no such failure.
func (s *State) Trust(j *Job, machine string) jobs.Trust {
	if j.DoneCount > 0 || len(j.Retrying) == 0 && machine == "" {
		return jobs.Trusted
	}
	failedOn := map[string]bool{}
	if machine != "" {
		failedOn[machine] = true
	}
	proven := false
	for _, tasks := range []map[int]*Task{j.Active, j.Retrying} {
		for _, t := range tasks {
			for _, name := range t.FailedOn {
				failedOn[name] = true
			}
			proven = proven || t.State == jobs.Placed && s.Now.Sub(t.StateSince) > s.provenAfter(t)
		}
	}
	return jobs.TrustOf(len(failedOn), proven)
}

// provenAfter returns how long a task must have been on its machine to prove that its job can
// run: tasks of broken jobs fail soon after their image has been pulled.
func (s *State) provenAfter(t *Task) time.Duration {
	pull := time.Duration(0)
	if m := s.Machines[t.Machine]; m != nil {
		pull = s.pullTime(t.Job.Record.Spec.ImageGB, m)
	}
	return tuning.ProvenAfter + time.Duration(tuning.ProvenPulls*float64(pull))
}
