package controller

import (
	"strings"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/sharding"
)

// Role returns this controller's role in the last known view.
func (c *Controller) Role() members.Role { return c.role }

// outsideView reports whether this controller is not a member of the known view.
func (c *Controller) outsideView() bool { return c.role == members.Outside }

// viewEpoch returns the epoch of the view in which this controller has its role.
func (c *Controller) viewEpoch() uint64 { return c.roleEpoch }

// memberNames returns the names of the known view's members.
func (c *Controller) memberNames() []string { return c.view.Names() }

// ownerOf returns the controller that owns a machine under the known view, or "" if no view is
// known.
func (c *Controller) ownerOf(machine string) string {
	if c.view == nil {
		return ""
	}
	return sharding.Owner(machine, c.view.Names())
}

// ownsMachine reports whether this controller owns a machine.
func (c *Controller) ownsMachine(machine string) bool {
	if m := c.state.Machines[machine]; m != nil {
		return m.Owner == c.settings.NodeName
	}
	return c.ownerOf(machine) == c.settings.NodeName
}

// updateRole derives the role from the known view. In a view of a new epoch, all agents' sessions
// start over.
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
	if c.view != nil {
		c.log.Info("view in force",
			"epoch", epoch,
			"leader", c.view.Leader,
			"members", strings.Join(c.view.Names(), ","),
			"first_token", epoch*agent.FencingTokenSpan)
	}
	if (role == members.Leader) != (c.role == members.Leader) {
		c.resetLeaderState()
	}
	c.role, c.roleEpoch = role, epoch
	c.updateBudget()
	if role == members.Outside {
		return
	}
	c.shard.ApplyView()
	c.reachability.ResetComplaints()
}

// resetLeaderState discards the state that only a leader keeps. Not even this controller may keep
// it beyond the view in which it led: a machine that it decommissioned may be in use under the
// next leader.
func (c *Controller) resetLeaderState() {
	c.leaderState.reset()
	c.queue.Reset()
	c.calendar.Reset()
	c.provisioner.Reset()
}
