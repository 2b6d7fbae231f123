package controller

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/membership"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/standby"
)

// newMembership returns this controller's membership: its lease, its part in changing the view and
// its readiness to lead.
func (c *Controller) newMembership() *membership.Membership {
	adapter := membershipAdapter{controller: c}
	return membership.New(c.state,
		membership.Config{
			Name:          c.settings.NodeName,
			LeaseTTL:      jobs.Seconds(c.settings.Operator.MemberTTLS),
			MaxTxnWrites:  c.settings.Cluster.State.TxnOps,
			AnswersProbes: c.settings.Operator.Failover == settings.FailoverOnProbes,
			Zones:         c.settings.Zones(),
			Log:           c.log,
		},
		membership.Collaborators{
			Client:  c.client,
			Mirror:  c.mirror,
			Cluster: adapter,
			Fitness: adapter,
			Loop:    adapter,
		},
	)
}

// membershipAdapter adapts the controller to the membership's collaborators. Components of the
// controller are looked up at each call, since some are created after the membership.
type membershipAdapter struct{ controller *Controller }

// View returns the newest known view, or nil if none is known.
func (a membershipAdapter) View() *members.View { return a.controller.view }

// MirrorLive reports whether the mirror follows the store.
func (a membershipAdapter) MirrorLive() bool { return a.controller.mirrorLive() }

// Unreachable returns the members that agents cannot reach.
func (a membershipAdapter) Unreachable() map[string]bool {
	return a.controller.reachability.Unreachable()
}

// Lag returns how far the controller is behind, in its loop or in following the store.
func (a membershipAdapter) Lag() time.Duration { return a.controller.lag() }

// PendingChecks returns the checks that the controller has yet to pass as the leader.
func (a membershipAdapter) PendingChecks() []standby.Check { return a.controller.pendingChecks() }

// Wake schedules a reconciliation.
func (a membershipAdapter) Wake() { a.controller.wake() }

// WatchNow opens the watch of the store if none is open.
func (a membershipAdapter) WatchNow() { a.controller.watchNow() }
