package jobs

import (
	"fmt"
	"time"
)

// Progress counts a job's tasks by their progress. Running tasks are in no count.
type Progress struct {
	NeverRun int // never started
	Retrying int // started before, and wait to be started again
	Done     int // completed
}

// DeadlineMissed returns a message for the user that explains why a live job can no longer meet
// its deadline, based on the user's estimate of a task's run time. It returns "" while the
// deadline can be met, and for a job without one. Waiting for capacity and pulling the image are
// not counted, so a deadline reported as missed cannot be met unless the estimate is too high.
func (r *Record) DeadlineMissed(progress Progress, now time.Time) string {
	spec := &r.Spec
	if spec.DeadlineS == nil || spec.Kind == Service || r.State != Live || progress.Done >= spec.TaskCount {
		return ""
	}
	deadline := time.UnixMilli(r.AcceptedMs).Add(Seconds(*spec.DeadlineS))
	remaining := spec.TaskCount - progress.Done
	if !now.Before(deadline) {
		return fmt.Sprintf("its deadline passed %s ago with %d tasks left", formatSeconds(now.Sub(deadline)), remaining)
	}
	// A task that has started did so after the job was accepted. A retrying task that writes
	// checkpoints may already have completed any part of its run.
	earliest := time.UnixMilli(r.AcceptedMs)
	if progress.NeverRun > 0 || progress.Retrying > 0 && spec.CheckpointIntervalS == 0 {
		earliest = now
	}
	earliest = earliest.Add(Seconds(spec.ExpectedDurationS))
	if !earliest.After(deadline) {
		return ""
	}
	return fmt.Sprintf(
		"its deadline in %s cannot be met: by expect_s it is done in %s at the earliest, with %d tasks left",
		formatSeconds(deadline.Sub(now)),
		formatSeconds(earliest.Sub(now)),
		remaining,
	)
}

// formatSeconds formats a duration in whole seconds.
func formatSeconds(d time.Duration) string { return fmt.Sprintf("%.0f s", d.Seconds()) }
