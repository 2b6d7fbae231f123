package controller

import (
	"fmt"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// logWriteCounts logs what the changes of the state service were spent on.
func (c *Controller) logWriteCounts() {
	if c.Now.Sub(c.changesLoggedAt) >= tuning.Step {
		c.changesLoggedAt = c.Now
		c.log.Debug("changes", "sent", fmt.Sprint(c.client.TakeWriteCounts()))
	}
}

// logCallErrors logs which calls were refused, once a minute.
func (c *Controller) logCallErrors() {
	wrong, load := c.callErrors.Due(c.Now)
	if wrong != "" {
		c.log.Error("calls refused that should not have been made", "calls", wrong)
	}
	if load != "" {
		c.log.Info("calls refused", "calls", load)
	}
}

// ProtocolErrors counts the calls and decisions so far that a correct program never makes.
func (c *Controller) ProtocolErrors() int { return c.callErrors.Unexpected + c.committer.Quarantined() }
