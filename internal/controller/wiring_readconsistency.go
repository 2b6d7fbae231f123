package controller

import (
	"github.com/harrierreel/harrierreel/internal/readconsistency"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// newAckLog returns the log of the job states that were reported to users. Without peers no other
// controller can give a conflicting answer, so answers are not delayed.
func (c *Controller) newAckLog() *readconsistency.AckLog {
	if len(c.settings.Peers) == 0 {
		return readconsistency.NewAckLog(0)
	}
	return readconsistency.NewAckLog(tuning.AckDelay)
}
