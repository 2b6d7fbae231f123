package controller

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/calendar"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
)

// newCalendar returns the release calendar, or nil if the operators have not configured one.
func (c *Controller) newCalendar() *calendar.Service {
	adapter := calendarAdapter{controller: c}
	return calendar.New(c.state, c.settings.Operator.Calendar,
		calendar.Config{
			ClockErrorMs: c.settings.Cluster.ClockOffMs,
			ValueBytes:   c.valueBytes(),
			MaxTxnWrites: c.settings.Cluster.State.TxnOps,
			ScalerStepS:  c.settings.Operator.StepS,
			FreshSteps:   c.settings.Operator.NewLeaderSteps,
			Log:          c.log,
		},
		calendar.Collaborators{
			Mirror:   c.mirror,
			Clock:    adapter,
			Commits:  adapter,
			Machines: adapter,
		},
	)
}

// calendarAdapter adapts the controller to the calendar's collaborators. Components of the
// controller are looked up at each call, since some are created after the calendar.
type calendarAdapter struct{ controller *Controller }

// WallMs returns the time of day in ms, or the time of the current event if the transport has no
// wall clock.
func (a calendarAdapter) WallMs() int64 {
	if a.controller.transport.WallClockMs == nil {
		return a.controller.state.NowMs()
	}
	return a.controller.transport.WallClockMs()
}

// Busy reports whether a transaction on a record is in flight.
func (a calendarAdapter) Busy(key string) bool { return a.controller.committer.Busy(key) }

// Commit commits decisions to the store.
func (a calendarAdapter) Commit(decisions []decide.Decision) {
	a.controller.committer.Commit(decisions)
}

// UnresponsiveSince returns since when a machine has been unresponsive, or false if it is
// responsive.
func (a calendarAdapter) UnresponsiveSince(machine *clusterstate.Machine) (time.Time, bool) {
	return a.controller.shard.UnresponsiveSince(machine)
}

// TransitionMachine returns the decisions that apply an event to a machine's record.
func (a calendarAdapter) TransitionMachine(machine string, event fleet.Event, reason string) []decide.Decision {
	return a.controller.shard.TransitionMachine(machine, event, reason)
}
