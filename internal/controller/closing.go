package controller

import (
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/completion"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/store"
)

// closeJobs ends jobs whose tasks are done and clears the records of closed
// ones.
func (c *Controller) closeJobs() {
	for _, jobID := range clusterstate.SortedKeys(c.Complete) {
		j := c.Complete[jobID]
		if c.leaderState.closing[jobID] || c.committer.Busy(jobs.JobPrefix+jobID) {
			continue
		}
		next, ok := jobs.NextJob(j.Record.State, jobs.TasksAllDone)
		if !ok {
			continue
		}
		if d, whole := completion.InOneTransaction(j, next, c.settings.Cluster.State.TxnOps, c.committer.Busy); whole {
			c.committer.Commit([]decide.Decision{d})
			continue
		}
		c.leaderState.closing[jobID] = true
		c.api.Close(j, next, store.PriorityDecision, func(bool) { delete(c.leaderState.closing, jobID) })
	}
	// Clearing is in no hurry and must not hold up decisions that are.
	var ds []decide.Decision
	for _, jobID := range clusterstate.SortedKeys(c.Closed) {
		if len(ds) >= c.settings.Cluster.State.TxnOps || !c.client.HasSpareWrites() {
			break
		}
		ds = append(ds, completion.ClearRecords(c.Closed[jobID], c.settings.Cluster.State.TxnOps, c.committer.Busy)...)
	}
	c.committer.Commit(ds)
}
