package controller

import (
	"math/rand/v2"

	"github.com/harrierreel/harrierreel/internal/readconsistency"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// newAckLog returns the log of the job states that were reported to users. Without peers no other
// controller can give a conflicting answer, so answers are not delayed.
func (c *Controller) newAckLog() *readconsistency.AckLog {
	delay := tuning.AckDelay
	if len(c.settings.Peers) == 0 {
		delay = 0
	}
	log := readconsistency.NewAckLog(delay)
	// The number is not from c.rand, so as not to change what a seed stands for.
	log.RequireConfirmations(c.settings.PeerNames(), tuning.AckHold, rand.Uint64())
	return log
}
