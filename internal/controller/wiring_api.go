package controller

import (
	"github.com/harrierreel/harrierreel/internal/api"
)

// newAPI makes the server of users', operators' and agents' requests.
func (c *Controller) newAPI() *api.Server {
	return api.New(c.State, api.Env{
		Settings:                c.settings,
		Client:                  c.client,
		Mirror:                  c.mirror,
		Log:                     c.log,
		Rand:                    c.rand,
		MayDecide:               c.mayDecide,
		Healthy:                 c.healthy,
		MirrorLive:              c.mirrorLive,
		OutsideView:             c.outsideView,
		Fencing:                 c.committer.Fencing,
		Members:                 c.memberNames,
		Busy:                    c.committer.Busy,
		Commit:                  c.committer.Commit,
		Wake:                    c.wake,
		WatchNow:                c.watchNow,
		Heartbeat:               c.shard.Heartbeat,
		Acks:                    c.acks,
		HearsAllMembers:         c.hearsAllMembers,
		AcknowledgeCancellation: c.cancellations.Acknowledge,
		Cancelled:               c.cancellations.Cancelled,
	})
}
