package jobs

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Trust is what a job's failures say of it. It is derived from its tasks' records alone, so
// that a new leader comes to the same result and nothing has to be stored for it.
type Trust string

// Degrees of trust in a live job.
const (
	Trusted Trust = "trusted"
	Probing Trust = "probing" // failed everywhere so far: one attempt at a time
)

// TrustOf tells how far to trust a job whose tasks failed on failedMachines different
// machines. proven: one of its tasks is done, or has run for a while.
func TrustOf(failedMachines int, proven bool) Trust {
	if failedMachines >= tuning.ErrorsBlame && !proven {
		return Probing
	}
	return Trusted
}

// maxBackoffDoublings keeps the doubled pause from overflowing; tuning.BackoffMax is reached
// before it.
const maxBackoffDoublings = 10

// Backoff is the pause before a task that has failed so often is placed again: it doubles
// with each failure, up to tuning.BackoffMax.
func Backoff(failures int) time.Duration {
	pause := tuning.Backoff << min(failures, maxBackoffDoublings)
	return min(pause, tuning.BackoffMax)
}
