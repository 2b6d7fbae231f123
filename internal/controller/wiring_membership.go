package controller

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/membership"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/standby"
)

// newMembership makes this controller's membership: its lease, its vote on the view and its readiness
// to lead.
func (c *Controller) newMembership() *membership.Membership {
	adapter := membershipAdapter{controller: c}
	return membership.New(c.state,
		membership.Config{
			Name:          c.settings.NodeName,
			LeaseTTL:      jobs.Seconds(c.settings.Operator.MemberTTLS),
			MaxTxnWrites:  c.settings.Cluster.State.TxnOps,
			AnswersProbes: c.settings.Operator.Failover == settings.FailoverOnCalls,
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

// membershipAdapter is the controller as its membership sees it. What the controller is made of is
// looked up at each call, since some of it is made after the membership.
type membershipAdapter struct{ controller *Controller }

// View returns the newest view that is known, nil while there is none.
func (a membershipAdapter) View() *members.View { return a.controller.view }

// MirrorLive reports whether the mirror follows the store.
func (a membershipAdapter) MirrorLive() bool { return a.controller.mirrorLive() }

// Unreachable returns the members that agents cannot reach.
func (a membershipAdapter) Unreachable() map[string]bool {
	return a.controller.reachability.Unreachable()
}

// Lag returns how far the controller is behind, with its loop or with its watch.
func (a membershipAdapter) Lag() time.Duration { return a.controller.lag() }

// PendingChecks lists what the controller has still to check as a leader.
func (a membershipAdapter) PendingChecks() []standby.Check { return a.controller.pendingChecks() }

// Wake has the loop look for decisions to take.
func (a membershipAdapter) Wake() { a.controller.wake() }

// WatchNow has the loop open the watch of the store.
func (a membershipAdapter) WatchNow() { a.controller.watchNow() }
