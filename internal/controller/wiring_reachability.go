package controller

import (
	"github.com/harrierreel/harrierreel/internal/reachability"
)

// newReachability makes the tracker of who reaches whom.
func (n *Controller) newReachability() *reachability.Tracker {
	return reachability.New(n.State, reachability.Env{
		Log:              n.log,
		Rand:             n.rand,
		Call:             n.transport.Worker,
		OwnerOf:          n.ownerOf,
		Incarnation:      func(name string) uint64 { return n.membership.Incarnation(name) },
		OutsideView:      n.outsideView,
		MirrorLive:       n.mirrorLive,
		StoreUnavailable: n.client.Unavailable,
	})
}
