package controller

import (
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// moveReplicas empties draining machines of replicas, which would otherwise
// keep them for ever: one is stopped where another machine has room for it and
// holds its image, so that it is away for a moment only. A few at a time.
func (c *Controller) moveReplicas() {
	if c.Now.Sub(c.leaderState.movedAt) < tuning.MoveEvery {
		return
	}
	c.leaderState.movedAt = c.Now
	most := max(1, int(tuning.MovesShare*float64(len(c.Machines))))
	var ds []decide.Decision
	for _, h := range clusterstate.SortedKeys(c.provisioner.Summary.Drain) {
		for _, taskID := range clusterstate.SortedKeys(c.TasksOnMachine[h]) {
			t := c.TasksOnMachine[h][taskID]
			if t.Job.Record == nil || t.State != jobs.Placed || !t.ObservedRunning && c.ownerOf(h) == c.settings.NodeName || t.Job.Record.Spec.Kind != jobs.Service ||
				c.Now.Sub(t.Since) < tuning.MoveAfter || len(ds) >= most {
				continue
			}
			zones := c.TasksByZone(t.Job)
			if m := c.Machines[h]; m != nil {
				zones[m.Zone]--
			}
			to := c.queue.FindMachine(t.WithoutPreference(), zones)
			if to == "" || !c.HasImage(to, t.Job.Record.Spec.Image) {
				continue
			}
			next, ok := jobs.NextTask(t.Task, jobs.TaskEvent{Kind: jobs.Stop, Reason: "moved off a draining machine"})
			if ok {
				ds = append(ds, decide.Decision{Changes: decide.TransitionTask(t, next)})
			}
		}
	}
	c.committer.Commit(ds)
}
