package controller

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/calendar"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
)

// newCalendar makes the release calendar, nil where operators have none.
func (c *Controller) newCalendar() *calendar.Service {
	return calendar.New(c.state, c.settings.Operator.Calendar, calendar.Env{
		OffMs:  c.settings.Cluster.ClockOffMs,
		Limit:  c.valueBytes(),
		TxnOps: c.settings.Cluster.State.TxnOps,
		StepS:  c.settings.Operator.StepS,
		Fresh:  c.settings.Operator.FreshSteps,
		Log:    c.log,
		Mirror: c.mirror,
		WallMs: c.transport.WallClockMs,
		Busy:   c.committer.Busy,
		Commit: c.committer.Commit,
		UnresponsiveSince: func(m *clusterstate.Machine) (time.Time, bool) {
			return c.shard.UnresponsiveSince(m)
		},
		TransitionMachine: func(machine string, e fleet.Event, why string) []decide.Decision {
			return c.shard.TransitionMachine(machine, e, why)
		},
	})
}
