package controller

import (
	"github.com/harrierreel/harrierreel/internal/standby"
)

// PeerDisconnected takes in that the connection to a peer ended or was refused.
func (c *Controller) PeerDisconnected(name string) { c.membership.PeerDisconnected(name) }

// Standby is the state of this node's readiness, and how many calls were answered.
func (c *Controller) Standby() (standby.State, int) { return c.membership.Standby() }

// SuccessionOrder is this node's place among those that are to follow the leader, -1 if none.
func (c *Controller) SuccessionOrder() int { return c.membership.SuccessionOrder() }

// followCloud reads along with the cloud while this node is among the first to lead.
func (c *Controller) followCloud() {
	if state, _ := c.membership.Standby(); state == standby.Warm && c.settings.Operator.FollowCloud {
		c.provisioner.FollowCloud(c.membership.SuccessionOrder())
	}
}
