package jobs

import (
	"fmt"
	"time"
)

// Progress is how far a job's tasks are.
type Progress struct {
	NeverRun int // tasks that never began
	Retrying int // tasks that began, and wait to begin again
	Done     int
}

// DeadlineMissed says why a live job's deadline cannot be met any more, judged by its user's
// estimate of a task's run time; empty while it can be, and for a job without one. It
// leaves out what a task needs besides (room, an image), so what it says is certain as
// far as the estimate is right.
func (r *Record) DeadlineMissed(p Progress, now time.Time) string {
	s := &r.Spec
	if s.DeadlineS == nil || s.Kind == Service || r.State != Live || p.Done >= s.TaskCount {
		return ""
	}
	due := time.UnixMilli(r.AcceptedMs).Add(Seconds(*s.DeadlineS))
	left := s.TaskCount - p.Done
	if !now.Before(due) {
		return fmt.Sprintf("its deadline passed %s ago with %d tasks left", inSeconds(now.Sub(due)), left)
	}
	// A task that began did so after the job was accepted; one that saved may have any
	// part of its run behind it.
	earliest := time.UnixMilli(r.AcceptedMs)
	if p.NeverRun > 0 || p.Retrying > 0 && s.CheckpointIntervalS == 0 {
		earliest = now
	}
	earliest = earliest.Add(Seconds(s.ExpectedDurationS))
	if !earliest.After(due) {
		return ""
	}
	return fmt.Sprintf(
		"its deadline in %s cannot be met: by expect_s it is done in %s at the earliest, with %d tasks left",
		inSeconds(due.Sub(now)),
		inSeconds(earliest.Sub(now)),
		left,
	)
}

func inSeconds(d time.Duration) string { return fmt.Sprintf("%.0f s", d.Seconds()) }
