package jobs

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Trust is how far a job is trusted not to cause the failures of its tasks itself. It is derived
// from the tasks' records alone, so a new leader comes to the same result and nothing more has
// to be stored.
type Trust string

// Levels of trust in a live job.
const (
	Trusted Trust = "trusted"
	Probing Trust = "probing" // its tasks failed on every machine so far: one attempt at a time
)

// TrustOf returns the trust in a job whose tasks failed on failedMachines different machines.
// proven is whether one of its tasks is done or has run for a while.
func TrustOf(failedMachines int, proven bool) Trust {
	if failedMachines >= tuning.FailuresForUntrusted && !proven {
		return Probing
	}
	return Trusted
}

// maxBackoffDoublings prevents the backoff from overflowing. tuning.BackoffMax is reached with
// fewer doublings.
const maxBackoffDoublings = 10

// Backoff returns the delay before a task with that many failures is placed again. It doubles
// with each failure, up to tuning.BackoffMax.
func Backoff(failures int) time.Duration {
	delay := tuning.Backoff << min(failures, maxBackoffDoublings)
	return min(delay, tuning.BackoffMax)
}
