package controller

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/calendar"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
)

// newCalendar makes the release calendar, nil where operators have none.
func (n *Controller) newCalendar() *calendar.Service {
	return calendar.New(n.State, n.settings.Operator.Calendar, calendar.Env{
		OffMs:  n.settings.Cluster.ClockOffMs,
		Limit:  n.valueBytes(),
		TxnOps: n.settings.Cluster.State.TxnOps,
		StepS:  n.settings.Operator.StepS,
		Fresh:  n.settings.Operator.FreshSteps,
		Log:    n.log,
		Mirror: n.mirror,
		WallMs: n.transport.WallClockMs,
		Busy:   n.committer.Busy,
		Commit: n.committer.Commit,
		UnresponsiveSince: func(m *clusterstate.Machine) (time.Time, bool) {
			return n.shard.UnresponsiveSince(m)
		},
		TransitionMachine: func(machine string, e fleet.Event, why string) []decide.Decision {
			return n.shard.TransitionMachine(machine, e, why)
		},
	})
}
