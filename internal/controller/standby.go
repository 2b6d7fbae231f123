package controller

import (
	"github.com/harrierreel/harrierreel/internal/standby"
)

// PeerDisconnected handles the loss or refusal of the connection to a peer.
func (c *Controller) PeerDisconnected(name string) { c.membership.PeerDisconnected(name) }

// Standby returns how ready this controller is to lead, and how many of its probes of suspected
// leaders were answered.
func (c *Controller) Standby() (standby.State, int) { return c.membership.Standby() }

// SuccessionOrder returns this controller's place in the order of succession to the leader, or -1
// if it has none.
func (c *Controller) SuccessionOrder() int { return c.membership.SuccessionOrder() }

// followCloud keeps reading the cloud's list while this controller is a warm standby, so that it
// does not have to wait for the list when it becomes the leader.
func (c *Controller) followCloud() {
	if state, _ := c.membership.Standby(); state == standby.Warm && c.settings.Operator.FollowCloud {
		c.provisioner.FollowCloud(c.membership.SuccessionOrder())
	}
}
