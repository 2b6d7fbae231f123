package controller

import (
	"github.com/harrierreel/harrierreel/internal/readconsistency"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// newAckLog makes the log of what users were told of jobs. Without peers nobody else answers, so nothing waits.
func (n *Controller) newAckLog() *readconsistency.AckLog {
	if len(n.settings.Peers) == 0 {
		return readconsistency.NewAckLog(0)
	}
	return readconsistency.NewAckLog(tuning.AckDelay)
}
