package controller

import (
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/completion"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/store"
)

// closeJobs closes the jobs whose tasks are all done and removes the records of closed jobs.
func (c *Controller) closeJobs() {
	for _, jobID := range clusterstate.SortedKeys(c.state.Complete) {
		c.closeJob(c.state.Complete[jobID])
	}
	c.clearClosedJobs()
}

// closeJob writes the final state of a job whose tasks are all done, unless a write is in progress.
func (c *Controller) closeJob(job *clusterstate.Job) {
	if c.leaderState.closing[job.ID] || c.committer.Busy(jobs.JobPrefix+job.ID) {
		return
	}
	state, ok := jobs.NextJob(job.Record.State, jobs.TasksAllDone)
	if !ok {
		return
	}
	txnOps := c.settings.Cluster.State.TxnOps
	if decision, ok := completion.InOneTransaction(job, state, txnOps, c.committer.Busy); ok {
		c.committer.Commit([]decide.Decision{decision})
		return
	}
	c.leaderState.closing[job.ID] = true
	c.api.CloseJob(job, state, store.PriorityDecision, func(bool) { delete(c.leaderState.closing, job.ID) })
}

// clearClosedJobs removes the records of closed jobs. It uses only spare writes, so that it does
// not delay urgent decisions.
func (c *Controller) clearClosedJobs() {
	txnOps := c.settings.Cluster.State.TxnOps
	var decisions []decide.Decision
	for _, jobID := range clusterstate.SortedKeys(c.state.Closed) {
		if len(decisions) >= txnOps || !c.client.HasSpareWrites() {
			break
		}
		decisions = append(decisions, completion.ClearRecords(c.state.Closed[jobID], txnOps, c.committer.Busy)...)
	}
	c.committer.Commit(decisions)
}
