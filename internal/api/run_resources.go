package api

import (
	"fmt"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/pipelines"
)

// runResources implements pipelines.Cluster: it gives pipelines.Keeper, which advances the pipeline
// runs, information about jobs and capacity from the server's state.
type runResources struct{ server *Server }

// Job returns the state of a live job, and whether the job is known.
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

// Why returns what a live job waits for and why its deadline cannot be met, as far as either
// applies.
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

// Final returns a job's final state, if it is in memory.
func (r runResources) Final(jobID string) (jobs.JobState, bool) {
	final, ok := r.server.finals.Get(jobID)
	return final.State, ok
}

// Infeasible returns the reason why a job can never run, or "" if it can.
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

// waitReason returns what a live job's tasks wait for, or "" if none waits.
func (s *Server) waitReason(job *clusterstate.Job) string {
	if s.state.Trust(job, "") == jobs.Probing {
		return "its tasks failed on several machines; one is tried at a time"
	}
	spec := &job.Record.Spec
	waiting := spec.TaskCount - job.PlacedCount - job.DoneCount
	if waiting <= 0 {
		return ""
	}
	if limit := s.state.Account.LimitReached(s.state.QuotaLeaf(spec), spec.Amount()); limit != "" {
		return fmt.Sprintf("%d tasks wait: %s", waiting, limit)
	}
	return fmt.Sprintf("%d tasks wait for room on a machine", waiting)
}
