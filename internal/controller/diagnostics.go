package controller

import (
	"fmt"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// logWriteCounts logs the number of writes to the store by kind of key, every
// tuning.AutoscalerStep.
func (c *Controller) logWriteCounts() {
	if c.state.Now.Sub(c.writesLoggedAt) >= tuning.AutoscalerStep {
		c.writesLoggedAt = c.state.Now
		c.log.Debug("store writes counted", "writes", fmt.Sprint(c.client.TakeWriteCounts()))
	}
}

// logCallErrors logs which calls were refused, every tuning.CallErrorsLogEvery.
func (c *Controller) logCallErrors() {
	unexpected, load := c.callErrors.Report(c.state.Now)
	if unexpected != "" {
		c.log.Error("calls refused that should not have been made", "calls", unexpected)
	}
	if load != "" {
		c.log.Info("calls refused", "calls", load)
	}
}

// ProtocolErrors returns the number of calls and decisions so far that a correct program never
// makes.
func (c *Controller) ProtocolErrors() int { return c.callErrors.Unexpected + c.committer.Quarantined() }
