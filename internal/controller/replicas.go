package controller

import (
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// moveReplicas evicts replicas, a few at a time, from draining machines, which they would otherwise
// never leave. A replica is stopped only if another machine has capacity for it and has its image
// cached, so that its downtime is short.
func (c *Controller) moveReplicas() {
	if c.state.Now.Sub(c.leaderState.replicasMovedAt) < tuning.MoveEvery {
		return
	}
	c.leaderState.replicasMovedAt = c.state.Now
	limit := max(1, int(tuning.MovesShare*float64(len(c.state.Machines))))
	c.committer.Commit(c.replicaMoves(limit))
}

// replicaMoves returns at most limit decisions, each of which stops a replica on a draining
// machine.
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

// isMovable reports whether a task is a replica that was placed on its machine long enough ago. On
// one of this controller's own machines it must also have been observed running.
func (c *Controller) isMovable(task *clusterstate.Task, machine string) bool {
	if task.Job.Record == nil || task.State != jobs.Placed {
		return false
	}
	if !task.ObservedRunning && c.ownerOf(machine) == c.settings.NodeName {
		return false
	}
	return task.Job.Record.Spec.Kind == jobs.Service && c.state.Now.Sub(task.StateSince) >= tuning.MinReplicaAge
}

// hasRoomElsewhere reports whether a replica fits on another machine that has its image cached.
func (c *Controller) hasRoomElsewhere(task *clusterstate.Task, machine string) bool {
	zones := c.state.TasksByZone(task.Job)
	if m := c.state.Machines[machine]; m != nil {
		zones[m.Zone]--
	}
	target := c.queue.FindMachine(task.WithoutPreference(), zones)
	return target != "" && c.state.HasImage(target, task.Job.Record.Spec.Image)
}
