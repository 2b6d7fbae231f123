package controller

import (
	"github.com/harrierreel/harrierreel/internal/shard"
)

// newShard makes what this controller does for the machines of its shard.
func (n *Controller) newShard() *shard.Shard {
	return shard.New(n.State, shard.Env{
		Name:            n.settings.NodeName,
		Cluster:         n.settings.Cluster,
		ValueBytes:      n.valueBytes(),
		Log:             n.log,
		Queue:           n.queue,
		Rental:          n.provisioner,
		Call:            n.transport.Worker,
		Wake:            n.wake,
		MayAnswerAgents: func() bool { return !n.outsideView() && n.caughtUp() && !n.membership.Uncertain() },
		OutsideView:     n.outsideView,
		Epoch:           n.viewEpoch,
		KnownEpoch:      n.knownEpoch,
		Members:         n.memberNames,
		OwnerOf:         n.ownerOf,
		Complain:        n.reachability.Complain,
		Busy:            n.committer.Busy,
		Allows:          n.client.Allows,
		HasSpareWrites:  n.client.HasSpareWrites,
		Commit:          n.committer.Commit,
		Cancelled:       n.cancellations.Cancelled,
		MayRenewLeases:  func() bool { return n.cancellations.MayRenewLeases(n.Now) },
		MayLaunch:       func() bool { return n.cancellations.MayLaunch(n.Now) },
		LeaseWithheld:   func() { n.cancellations.LeasesWithheld++ },
	})
}
