package controller

import (
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Shutdown has this controller leave the view in order: users are sent elsewhere first, then
// leadership passes on, and the shard with it. Calls after the first change nothing.
func (c *Controller) Shutdown() {
	if c.shuttingDownSince.IsZero() {
		c.shuttingDownSince = c.state.Now
		c.log.Info("shutdown started")
	}
}

// continueShutdown resigns from the view once the load balancer sends no more users here.
func (c *Controller) continueShutdown() {
	if !c.shuttingDownSince.IsZero() && c.state.Now.Sub(c.shuttingDownSince) >= tuning.LeaveUsers {
		c.membership.Resign()
	}
}

// HasShutDown tells whether the process may end: nothing depends on it any more, or it has
// tried for tuning.LeaveWithin.
func (c *Controller) HasShutDown() bool {
	if c.shuttingDownSince.IsZero() {
		return false
	}
	alone := c.view != nil && len(c.view.Members) == 1
	timedOut := c.state.Now.Sub(c.shuttingDownSince) >= tuning.LeaveUsers+tuning.LeaveWithin
	return c.role == members.Outside || alone || timedOut
}
