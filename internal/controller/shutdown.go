package controller

import (
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Shutdown has this node give its place away, in order: users are sent elsewhere first,
// then the lead passes on, and the place in the view with it.
func (c *Controller) Shutdown() {
	if c.shuttingDownSince.IsZero() {
		c.shuttingDownSince = c.Now
		c.log.Info("leaving")
	}
}

// continueShutdown gives the place away once the load balancer sends nobody here any more.
func (c *Controller) continueShutdown() {
	if !c.shuttingDownSince.IsZero() && c.Now.Sub(c.shuttingDownSince) >= tuning.LeaveUsers {
		c.membership.Resign()
	}
}

// HasShutDown tells whether this node may end: nothing hangs on it any more, or it has tried for
// long enough.
func (c *Controller) HasShutDown() bool {
	if c.shuttingDownSince.IsZero() {
		return false
	}
	alone := c.view != nil && len(c.view.Members) == 1
	return c.role == members.Outside || alone || c.Now.Sub(c.shuttingDownSince) >= tuning.LeaveUsers+tuning.LeaveWithin
}
