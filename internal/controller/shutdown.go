package controller

import (
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Shutdown starts a graceful exit from the view: first users are directed elsewhere, then
// leadership and the shard are handed over. Calls after the first have no effect.
func (c *Controller) Shutdown() {
	if c.shuttingDownSince.IsZero() {
		c.shuttingDownSince = c.state.Now
		c.log.Info("shutdown started")
	}
}

// continueShutdown resigns from the view once the load balancer has stopped sending users here.
func (c *Controller) continueShutdown() {
	if !c.shuttingDownSince.IsZero() && c.state.Now.Sub(c.shuttingDownSince) >= tuning.DrainUsersFor {
		c.membership.Resign()
	}
}

// HasShutDown reports whether the process may exit: because nothing depends on it any more, or
// because tuning.ShutdownTimeout has passed since it began to resign.
func (c *Controller) HasShutDown() bool {
	if c.shuttingDownSince.IsZero() {
		return false
	}
	alone := c.view != nil && len(c.view.Members) == 1
	timedOut := c.state.Now.Sub(c.shuttingDownSince) >= tuning.DrainUsersFor+tuning.ShutdownTimeout
	return c.role == members.Outside || alone || timedOut
}
