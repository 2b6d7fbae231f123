package controller

import (
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/sharding"
)

// Role is this controller's role under the last view it knows.
func (c *Controller) Role() members.Role { return c.role }

// outsideView tells whether the known view does not name this controller.
func (c *Controller) outsideView() bool { return c.role == members.Outside }

// viewEpoch is the epoch of the view that this controller's role is from.
func (c *Controller) viewEpoch() uint64 { return c.roleEpoch }

// memberNames lists the members of the known view.
func (c *Controller) memberNames() []string { return c.view.Names() }

// ownerOf is the controller that a machine belongs to under the known view, "" without one.
func (c *Controller) ownerOf(machine string) string {
	if c.view == nil {
		return ""
	}
	return sharding.Owner(machine, c.view.Names())
}

// ownsMachine tells whether a machine belongs to this controller.
func (c *Controller) ownsMachine(machine string) bool {
	if m := c.state.Machines[machine]; m != nil {
		return m.Owner == c.settings.NodeName
	}
	return c.ownerOf(machine) == c.settings.NodeName
}

// updateRole follows the view: with a new epoch, every agent's session begins anew.
func (c *Controller) updateRole() {
	role := members.RoleOf(c.view, c.settings.NodeName, c.membership.LeaseID())
	epoch := uint64(0)
	if c.view != nil {
		epoch = c.view.Epoch
	}
	if role == c.role && epoch == c.roleEpoch {
		return
	}
	if role != c.role {
		c.log.Info("role changed", "role", string(role), "epoch", epoch)
	}
	if (role == members.Leader) != (c.role == members.Leader) {
		c.resetLeaderState()
	}
	c.role, c.roleEpoch = role, epoch
	c.updateBudget()
	if role == members.Outside {
		return
	}
	c.shard.NewView()
	c.reachability.ResetComplaints()
}

// resetLeaderState drops what only a leader keeps. It must not outlive the view in which it
// led, here either: a machine that it decommissioned may be in use under the next leader.
func (c *Controller) resetLeaderState() {
	c.leaderState.reset()
	c.queue.Reset()
	c.calendar.Reset()
	c.provisioner.Reset()
}
