package controller

import (
	"github.com/harrierreel/harrierreel/internal/api"
)

// newAPI makes the server of users', operators' and agents' requests.
func (n *Controller) newAPI() *api.Server {
	return api.New(n.State, api.Env{
		Settings:                n.settings,
		Client:                  n.client,
		Mirror:                  n.mirror,
		Log:                     n.log,
		Rand:                    n.rand,
		MayDecide:               n.mayDecide,
		Healthy:                 n.healthy,
		MirrorLive:              n.mirrorLive,
		OutsideView:             n.outsideView,
		Fencing:                 n.committer.Fencing,
		Members:                 n.memberNames,
		Busy:                    n.committer.Busy,
		Commit:                  n.committer.Commit,
		Wake:                    n.wake,
		WatchNow:                n.watchNow,
		Heartbeat:               n.shard.Heartbeat,
		Acks:                    n.acks,
		HearsAllMembers:         n.hearsAllMembers,
		AcknowledgeCancellation: n.cancellations.Acknowledge,
		Cancelled:               n.cancellations.Cancelled,
	})
}
