package api

import (
	"fmt"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/pipelines"
)

// runResources is the cluster as the keeper of runs sees it.
type runResources struct{ server *Server }

// Job is what is known of a live job.
func (r runResources) Job(jobID string) (pipelines.JobView, bool) {
	state := r.server.state
	job := state.Jobs[jobID]
	if job == nil || job.Record == nil {
		return pipelines.JobView{}, false
	}
	return pipelines.JobView{
		State:   job.Record.State,
		Running: job.PlacedCount,
		Done:    job.DoneCount,
		Probing: state.Trust(job, "") == jobs.Probing,
	}, true
}

// Why says what a live job waits for, and why its deadline cannot be met.
func (r runResources) Why(jobID string) string {
	job := r.server.state.Jobs[jobID]
	if job == nil || job.Record == nil {
		return ""
	}
	reason, late := r.server.waitReason(job), r.server.missedDeadline(job)
	if reason != "" && late != "" {
		return reason + "; " + late
	}
	return reason + late
}

// Final is a job's final state, if it is in memory.
func (r runResources) Final(jobID string) (jobs.JobState, bool) {
	final, ok := r.server.finals.Get(jobID)
	return final.State, ok
}

// Infeasible says why a job can never run; empty if it can.
func (r runResources) Infeasible(spec *jobs.Spec) string {
	state := r.server.state
	if reason := jobs.CanEverRun(spec, state.Account.Tree(), state.MachineTypes); reason != "" {
		return reason
	}
	if write, _ := r.server.acceptanceWrite(spec); r.server.exceedsValueLimit(write) {
		return "its description is too long"
	}
	return ""
}

// waitReason says what a live job's tasks wait for; empty if none waits.
func (s *Server) waitReason(job *clusterstate.Job) string {
	if s.state.Trust(job, "") == jobs.Probing {
		return "its tasks failed on several machines; one is tried at a time"
	}
	spec := &job.Record.Spec
	waiting := spec.TaskCount - job.PlacedCount - job.DoneCount
	if waiting <= 0 {
		return ""
	}
	if full := s.state.Account.LimitReached(s.state.QuotaLeaf(spec), spec.Amount()); full != "" {
		return fmt.Sprintf("%d tasks wait: %s", waiting, full)
	}
	return fmt.Sprintf("%d tasks wait for room on a machine", waiting)
}
