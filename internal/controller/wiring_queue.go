package controller

import (
	"github.com/harrierreel/harrierreel/internal/calendar"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/queue"
)

// newQueue returns the queue, which schedules the waiting tasks.
func (c *Controller) newQueue() *queue.Queue {
	adapter := queueAdapter{controller: c}
	return queue.New(c.state,
		queue.Config{
			Name:               c.settings.NodeName,
			Objectives:         c.settings.Cluster.Objectives,
			MaxTxnWrites:       c.settings.Cluster.State.TxnOps,
			MaxValueBytes:      c.valueBytes(),
			MaxRangeTasks:      c.maxRangeTasks(),
			MaxWritesPerS:      c.settings.Cluster.State.WriteRPS,
			ExtraPreconditions: c.calendar.PreconditionCount(),
			Lending:            c.settings.Operator.Lending,
			Log:                c.log,
		},
		queue.Collaborators{
			Budget:   c.client,
			Commits:  c.committer,
			Machines: adapter,
			Cluster:  adapter,
			Calendar: adapter,
		},
	)
}

// queueAdapter adapts the controller to the queue's collaborators. Components of the controller are
// looked up at each call, since some are created after the queue.
type queueAdapter struct{ controller *Controller }

// Ready reports whether a machine accepts new tasks, according to its record.
func (a queueAdapter) Ready(m *clusterstate.Machine) bool { return a.controller.shard.Ready(m) }

// CanPlace reports whether a task may be placed now on a machine of this controller's shard.
func (a queueAdapter) CanPlace(task *clusterstate.Task, m *clusterstate.Machine) bool {
	return a.controller.shard.CanPlace(task, m)
}

// HasLeftView reports whether a controller is not in the view.
func (a queueAdapter) HasLeftView(controller string) bool {
	return a.controller.view.Incarnation(controller) == 0
}

// UsesBatches reports whether tasks are placed in batch records.
func (a queueAdapter) UsesBatches() bool { return a.controller.usesBatches() }

// Gate returns the calendar's verdict on whether a job may start.
func (a queueAdapter) Gate(spec *jobs.Spec) calendar.Verdict { return a.controller.calendar.Gate(spec) }
