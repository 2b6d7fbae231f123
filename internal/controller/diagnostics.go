package controller

import (
	"fmt"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// logCounts logs what has been counted, every tuning.AutoscalerStep: the writes to the store by kind
// of key, the calls to it by kind and duration, the outcomes of users' queries, and the stopped tasks
// by reason.
func (c *Controller) logCounts() {
	if c.state.Now.Sub(c.countsLoggedAt) < tuning.AutoscalerStep {
		return
	}
	c.countsLoggedAt = c.state.Now
	c.log.Debug("store writes counted", "writes", fmt.Sprint(c.client.TakeWriteCounts()))
	c.log.Debug("store calls counted",
		"calls", fmt.Sprint(c.client.TakeCallCounts()),
		"mirror_epoch", c.mirror.Epoch)
	c.api.LogCounts()
	if stops := c.committer.TakeStopCounts(); len(stops) > 0 {
		c.log.Debug("stops counted", "reasons", fmt.Sprint(stops))
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
