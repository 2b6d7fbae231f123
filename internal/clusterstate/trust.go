package clusterstate

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Trust tells how far to trust a job by its tasks' records, and by a failure on
// one more machine that is not recorded yet.
func (b *State) Trust(j *Job, machine string) jobs.Trust {
	if j.DoneCount > 0 || len(j.Retrying) == 0 && machine == "" {
		return jobs.Trusted
	}
	bad := map[string]bool{}
	if machine != "" {
		bad[machine] = true
	}
	proven := false
	for _, some := range []map[int]*Task{j.Active, j.Retrying} {
		for _, t := range some {
			for _, b := range t.FailedOn {
				bad[b] = true
			}
			proven = proven || t.State == jobs.Placed && b.Now.Sub(t.Since) > b.provenAfter(t)
		}
	}
	return jobs.TrustOf(len(bad), proven)
}

// provenAfter is how long a task must have been on its machine to speak for its
// job: broken ones fail soon after their image has come.
func (b *State) provenAfter(t *Task) time.Duration {
	pull := 0.0
	if m := b.Machines[t.Machine]; m != nil && b.MachineTypes[m.MachineType] != nil && b.MachineTypes[m.MachineType].ImageGBPerS > 0 {
		pull = t.Job.Record.Spec.ImageGB / b.MachineTypes[m.MachineType].ImageGBPerS
	}
	return tuning.ProvenAfter + time.Duration(tuning.ProvenPulls*pull*float64(time.Second))
}
