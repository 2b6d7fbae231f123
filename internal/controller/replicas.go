package controller

import (
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// moveReplicas evicts replicas from draining machines, which they would otherwise keep for
// ever: one is stopped where another machine has room for it and holds its image, so that it
// is away for a moment only. A few at a time.
func (c *Controller) moveReplicas() {
	if c.state.Now.Sub(c.leaderState.replicasMovedAt) < tuning.MoveEvery {
		return
	}
	c.leaderState.replicasMovedAt = c.state.Now
	limit := max(1, int(tuning.MovesShare*float64(len(c.state.Machines))))
	c.committer.Commit(c.replicaMoves(limit))
}

// replicaMoves is at most so many decisions that stop a replica on a draining machine.
func (c *Controller) replicaMoves(limit int) []decide.Decision {
	event := jobs.TaskEvent{Kind: jobs.Stop, Reason: "moved off a draining machine"}
	var decisions []decide.Decision
	for _, machine := range clusterstate.SortedKeys(c.provisioner.Summary.Draining) {
		for _, taskID := range clusterstate.SortedKeys(c.state.TasksOnMachine[machine]) {
			if len(decisions) >= limit {
				return decisions
			}
			task := c.state.TasksOnMachine[machine][taskID]
			if !c.isMovable(task, machine) || !c.hasRoomElsewhere(task, machine) {
				continue
			}
			if next, ok := jobs.NextTask(task.Task, event); ok {
				decisions = append(decisions, decide.Decision{Changes: decide.TransitionTask(task, next)})
			}
		}
	}
	return decisions
}

// isMovable tells whether a task is a replica that has been on its machine for long enough. One
// of this controller's own machines must have been observed there.
func (c *Controller) isMovable(task *clusterstate.Task, machine string) bool {
	if task.Job.Record == nil || task.State != jobs.Placed {
		return false
	}
	if !task.ObservedRunning && c.ownerOf(machine) == c.settings.NodeName {
		return false
	}
	return task.Job.Record.Spec.Kind == jobs.Service && c.state.Now.Sub(task.StateSince) >= tuning.MoveAfter
}

// hasRoomElsewhere tells whether a machine that holds a replica's image has room for it.
func (c *Controller) hasRoomElsewhere(task *clusterstate.Task, machine string) bool {
	zones := c.state.TasksByZone(task.Job)
	if m := c.state.Machines[machine]; m != nil {
		zones[m.Zone]--
	}
	target := c.queue.FindMachine(task.WithoutPreference(), zones)
	return target != "" && c.state.HasImage(target, task.Job.Record.Spec.Image)
}
