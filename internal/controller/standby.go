package controller

import (
	"github.com/harrierreel/harrierreel/internal/standby"
)

// PeerDisconnected takes in that the connection to a peer ended or was refused.
func (c *Controller) PeerDisconnected(name string) { c.membership.PeerDisconnected(name) }

// Standby is how ready this controller is to lead, and how many probes were answered.
func (c *Controller) Standby() (standby.State, int) { return c.membership.Standby() }

// SuccessionOrder is this controller's place among those that are to follow the leader, -1 if none.
func (c *Controller) SuccessionOrder() int { return c.membership.SuccessionOrder() }

// followCloud reads the cloud's list while this controller is among the first to lead, so that
// it need not wait for the list when it does.
func (c *Controller) followCloud() {
	if state, _ := c.membership.Standby(); state == standby.Warm && c.settings.Operator.FollowCloud {
		c.provisioner.FollowCloud(c.membership.SuccessionOrder())
	}
}
