package api

import (
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
)

type status struct {
	JobID   string `json:"uid"`
	Status  string `json:"status"`
	Done    *int   `json:"done,omitempty"`
	Running *int   `json:"running,omitempty"`
	Late    string `json:"late,omitempty"` // why its deadline cannot be met
}

// statusOf is the answer about a job. The counts are for display; those of a
// live job come from memory.
func (s *Server) statusOf(jobID string, final jobs.Final, counts bool) []byte {
	out := status{JobID: jobID, Status: string(final.State)}
	done, on := final.DoneCount, 0
	if final.State == jobs.Live {
		if job := s.state.Jobs[jobID]; job != nil {
			done, on = job.DoneCount, job.PlacedCount
			if counts {
				out.Late = s.missedDeadline(job)
			}
		}
		out.Status = "pending"
		if on > 0 {
			out.Status = "running"
		}
	}
	if counts {
		out.Done, out.Running = &done, &on
	}
	return jobs.Encode(out)
}

// unmet says why a job's deadline cannot be met any more, if it can't.
func (s *Server) missedDeadline(job *clusterstate.Job) string {
	if job.Record == nil || job.Record.Spec.DeadlineS == nil {
		return ""
	}
	p := jobs.Progress{Retrying: len(job.Retrying), Done: job.DoneCount}
	if !job.TasksUnreadable { // else tasks without a record that is known may have begun
		p.NeverRun = job.Record.Spec.TaskCount - len(job.Tasks)
	}
	return job.Record.DeadlineMissed(p, s.state.Now)
}
