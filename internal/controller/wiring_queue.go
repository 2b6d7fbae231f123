package controller

import (
	"github.com/harrierreel/harrierreel/internal/calendar"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/queue"
)

// newQueue makes the queue, which places what waits.
func (n *Controller) newQueue() *queue.Queue {
	return queue.New(n.State, queue.Env{
		Name:               n.settings.NodeName,
		Objectives:         n.settings.Cluster.Objectives,
		TxnOps:             n.settings.Cluster.State.TxnOps,
		ValueBytes:         n.valueBytes(),
		MaxRangeTasks:      n.maxRangeTasks(),
		WriteRPS:           n.settings.Cluster.State.WriteRPS,
		Log:                n.log,
		Busy:               n.committer.Busy,
		Allows:             n.client.Allows,
		HasSpareWrites:     n.client.HasSpareWrites,
		Commit:             n.committer.Commit,
		UsesBatches:        n.usesBatches,
		Lending:            n.settings.Operator.Lending,
		HasLeftView:        func(name string) bool { return n.view.Incarnation(name) == 0 },
		Ready:              func(m *clusterstate.Machine) bool { return n.shard.Ready(m) },
		CanPlace:           func(t *clusterstate.Task, m *clusterstate.Machine) bool { return n.shard.CanPlace(t, m) },
		Gate:               func(s *jobs.Spec) calendar.Verdict { return n.calendar.Gate(s) },
		ExtraPreconditions: n.calendar.PreconditionCount(),
	})
}
