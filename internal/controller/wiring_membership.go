package controller

import (
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/membership"
	"github.com/harrierreel/harrierreel/internal/settings"
)

// newMembership makes this controller's membership: its lease, its vote on the view and its standby.
func (n *Controller) newMembership() *membership.Membership {
	return membership.New(n.State, membership.Env{
		Name:          n.settings.NodeName,
		LeaseTTL:      jobs.Seconds(n.settings.Operator.MemberTTLS),
		Client:        n.client,
		Mirror:        n.mirror,
		Log:           n.log,
		MirrorLive:    n.mirrorLive,
		View:          func() *members.View { return n.view },
		Unreachable:   n.reachability.Unreachable,
		Wake:          n.wake,
		WatchNow:      n.watchNow,
		MaxTxnWrites:  n.settings.Cluster.State.TxnOps,
		AnswersProbes: n.settings.Operator.TakeOver == settings.TakeOverCalls,
		Zones:         n.settings.Zones(),
		Lag:           n.lag,
		PendingChecks: n.pendingChecks,
	})
}
