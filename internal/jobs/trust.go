package jobs

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Trust is what a job's failures say of it. It follows from its tasks' records,
// so that it outlives a change of leader without a change of its own.
type Trust string

// Degrees of trust in a live job.
const (
	Trusted Trust = "trusted"
	Probing Trust = "probing" // failed everywhere so far: one try at a time
)

// TrustOf tells how far to trust a job whose tasks failed on so many different
// machines. proven: one of its tasks is done, or has run for a while.
func TrustOf(failedMachines int, proven bool) Trust {
	if failedMachines >= tuning.ErrorsBlame && !proven {
		return Probing
	}
	return Trusted
}

// Backoff is the pause before a task that has failed so often is tried anew.
func Backoff(failures int) time.Duration {
	pause := tuning.Backoff << min(failures, 10)
	return min(pause, tuning.BackoffMax)
}
