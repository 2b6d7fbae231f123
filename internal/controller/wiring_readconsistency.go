package controller

import (
	"github.com/harrierreel/harrierreel/internal/readconsistency"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// newAckLog makes the log of the jobs' states that users were answered with. Without peers no other controller answers,
// so no answer is delayed.
func (c *Controller) newAckLog() *readconsistency.AckLog {
	if len(c.settings.Peers) == 0 {
		return readconsistency.NewAckLog(0)
	}
	return readconsistency.NewAckLog(tuning.AckDelay)
}
