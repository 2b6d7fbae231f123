package api

import (
	"fmt"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/pipelines"
)

// runResources is what the runs' keeper may ask.
type runResources struct{ server *Server }

func (r runResources) Job(jobID string) (pipelines.JobView, bool) {
	s := r.server
	job := s.state.Jobs[jobID]
	if job == nil || job.Record == nil {
		return pipelines.JobView{}, false
	}
	return pipelines.JobView{
		State:   job.Record.State,
		Running: job.PlacedCount,
		Done:    job.DoneCount,
		Probing: s.state.Trust(job, "") == jobs.Probing,
	}, true
}

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

// waits says what a live job's tasks wait for, if they do.
func (s *Server) waitReason(job *clusterstate.Job) string {
	spec := &job.Record.Spec
	waiting := spec.TaskCount - job.PlacedCount - job.DoneCount
	if s.state.Trust(job, "") == jobs.Probing {
		return "its tasks failed on several machines; one is tried at a time"
	}
	if waiting <= 0 {
		return ""
	}
	if full := s.state.Account.Full(s.state.QuotaLeaf(spec), spec.Amount()); full != "" {
		return fmt.Sprintf("%d tasks wait: %s", waiting, full)
	}
	return fmt.Sprintf("%d tasks wait for room on a machine", waiting)
}

func (r runResources) Final(jobID string) (jobs.JobState, bool) {
	final, ok := r.server.finals.Get(jobID)
	return final.State, ok
}

func (r runResources) Judge(spec *jobs.Spec) string {
	if reason := jobs.CanEverRun(spec, r.server.state.Account.Tree(), r.server.state.MachineTypes); reason != "" {
		return reason
	}
	if record, _ := r.server.acceptanceWrite(spec); r.server.exceedsValueLimit(record) {
		return "its description is too long"
	}
	return ""
}
