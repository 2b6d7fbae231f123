package jobs

import (
	"fmt"
	"time"
)

// Progress counts a job's tasks by how far they are.
type Progress struct {
	NeverRun int // never began
	Retrying int // began, and wait to begin again
	Done     int // completed
}

// DeadlineMissed tells the user why a live job's deadline cannot be met any more, judged by the
// user's estimate of a task's run time; "" while it can be, and for a job without one. It
// leaves out what a task needs besides (free capacity, an image), so that its answer is certain
// as far as the estimate is right.
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
	// A task that began did so after the job was accepted; one that made checkpoints may
	// have any part of its run behind it.
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

// formatSeconds gives a duration in whole seconds.
func formatSeconds(d time.Duration) string { return fmt.Sprintf("%.0f s", d.Seconds()) }
