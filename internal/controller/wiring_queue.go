package controller

import (
	"github.com/harrierreel/harrierreel/internal/calendar"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/queue"
)

// newQueue makes the queue, which places what waits.
func (c *Controller) newQueue() *queue.Queue {
	return queue.New(c.State, queue.Env{
		Name:               c.settings.NodeName,
		Objectives:         c.settings.Cluster.Objectives,
		TxnOps:             c.settings.Cluster.State.TxnOps,
		ValueBytes:         c.valueBytes(),
		MaxRangeTasks:      c.maxRangeTasks(),
		WriteRPS:           c.settings.Cluster.State.WriteRPS,
		Log:                c.log,
		Busy:               c.committer.Busy,
		Allows:             c.client.Allows,
		HasSpareWrites:     c.client.HasSpareWrites,
		Commit:             c.committer.Commit,
		UsesBatches:        c.usesBatches,
		Lending:            c.settings.Operator.Lending,
		HasLeftView:        func(name string) bool { return c.view.Incarnation(name) == 0 },
		Ready:              func(m *clusterstate.Machine) bool { return c.shard.Ready(m) },
		CanPlace:           func(t *clusterstate.Task, m *clusterstate.Machine) bool { return c.shard.CanPlace(t, m) },
		Gate:               func(s *jobs.Spec) calendar.Verdict { return c.calendar.Gate(s) },
		ExtraPreconditions: c.calendar.PreconditionCount(),
	})
}
