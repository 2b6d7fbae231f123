package api

import (
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
)

// status is the body of an answer about a job.
type status struct {
	JobID   string `json:"uid"`
	Status  string `json:"status"`
	Done    *int   `json:"done,omitempty"`
	Running *int   `json:"running,omitempty"`
	Late    string `json:"late,omitempty"` // why its deadline cannot be met
}

// statusOf is the body of the answer about a job. Counts of tasks are for display: those of a
// live job come from memory and may be behind.
func (s *Server) statusOf(jobID string, final jobs.Final, counts bool) []byte {
	answer := status{JobID: jobID, Status: string(final.State)}
	done, running := final.DoneCount, 0
	if final.State == jobs.Live {
		if job := s.state.Jobs[jobID]; job != nil {
			done, running = job.DoneCount, job.PlacedCount
			if counts {
				answer.Late = s.missedDeadline(job)
			}
		}
		answer.Status = "pending"
		if running > 0 {
			answer.Status = "running"
		}
	}
	if counts {
		answer.Done, answer.Running = &done, &running
	}
	return jobs.Encode(answer)
}

// missedDeadline says why a job's deadline cannot be met any more; empty if it can, or if the
// job has none.
func (s *Server) missedDeadline(job *clusterstate.Job) string {
	if job.Record == nil || job.Record.Spec.DeadlineS == nil {
		return ""
	}
	progress := jobs.Progress{Retrying: len(job.Retrying), Done: job.DoneCount}
	if !job.TasksUnreadable { // otherwise tasks that no known record names may have begun
		progress.NeverRun = job.Record.Spec.TaskCount - len(job.Tasks)
	}
	return job.Record.DeadlineMissed(progress, s.state.Now)
}
