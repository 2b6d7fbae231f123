package api

import (
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
)

// status is the body of a response about a job.
type status struct {
	JobID   string `json:"uid"`
	Status  string `json:"status"`
	Done    *int   `json:"done,omitempty"`
	Running *int   `json:"running,omitempty"`
	Late    string `json:"late,omitempty"` // why its deadline cannot be met
}

// statusOf returns the body of a response about a job. withCounts adds the counts of tasks, which
// are for display only: those of a live job come from memory and may be out of date.
func (s *Server) statusOf(jobID string, found jobs.StoredState, withCounts bool) []byte {
	response := status{JobID: jobID, Status: string(found.State)}
	done, running := found.DoneCount, 0
	if found.State == jobs.Live {
		if job := s.state.Jobs[jobID]; job != nil {
			done, running = job.DoneCount, job.PlacedCount
			if withCounts {
				response.Late = s.missedDeadline(job)
			}
		}
		response.Status = "pending"
		if running > 0 {
			response.Status = "running"
		}
	}
	if withCounts {
		response.Done, response.Running = &done, &running
	}
	return jobs.Encode(response)
}

// missedDeadline returns the reason why a job's deadline can no longer be met. It returns "" if it
// still can, or if the job has no deadline.
func (s *Server) missedDeadline(job *clusterstate.Job) string {
	if job.Record == nil || job.Record.Spec.DeadlineS == nil {
		return ""
	}
	progress := jobs.Progress{Retrying: len(job.Retrying), Done: job.DoneCount}
	if !job.TasksUnreadable { // otherwise tasks without a readable record may have started
		progress.NeverRun = job.Record.Spec.TaskCount - len(job.Tasks)
	}
	return job.Record.DeadlineMissed(progress, s.state.Now)
}
