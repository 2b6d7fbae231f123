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
	adapter := calendarAdapter{controller: c}
	return calendar.New(c.state, c.settings.Operator.Calendar,
		calendar.Config{
			ClockOffMs:   c.settings.Cluster.ClockOffMs,
			ValueBytes:   c.valueBytes(),
			MaxTxnWrites: c.settings.Cluster.State.TxnOps,
			ScalerStepS:  c.settings.Operator.StepS,
			FreshSteps:   c.settings.Operator.FreshSteps,
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

// calendarAdapter is the controller as its calendar sees it. What the controller is made of is
// looked up at each call, since some of it is made after the calendar.
type calendarAdapter struct{ controller *Controller }

// WallMs returns the time of day in ms, that of the event under way if the transport has none.
func (a calendarAdapter) WallMs() int64 {
	if a.controller.transport.WallClockMs == nil {
		return a.controller.state.NowMs()
	}
	return a.controller.transport.WallClockMs()
}

// Busy reports whether a record is under a transaction.
func (a calendarAdapter) Busy(key string) bool { return a.controller.committer.Busy(key) }

// Commit has decisions committed.
func (a calendarAdapter) Commit(decisions []decide.Decision) {
	a.controller.committer.Commit(decisions)
}

// UnresponsiveSince returns since when a machine has not answered, false if it does.
func (a calendarAdapter) UnresponsiveSince(machine *clusterstate.Machine) (time.Time, bool) {
	return a.controller.shard.UnresponsiveSince(machine)
}

// TransitionMachine returns the decision that an event changes a machine's record.
func (a calendarAdapter) TransitionMachine(machine string, event fleet.Event, reason string) []decide.Decision {
	return a.controller.shard.TransitionMachine(machine, event, reason)
}
