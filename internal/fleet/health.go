package fleet

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Health tracks the failures on a machine, as seen by its owner. It is kept in memory only: if the
// owner loses it, the only cost is a few more failed tasks.
type Health struct {
	backoffUntil time.Time
	failedJobs   map[string]bool // jobs whose tasks failed on it since the last success
	failures     int             // number of failed tasks since the last success
}

// BackOffUntil prevents new tasks from being placed on the machine until the given time.
func (h *Health) BackOffUntil(until time.Time) { h.backoffUntil = until }

// BackingOff reports whether no new task may be placed on the machine now. A nil Health is that of
// a machine without failures.
func (h *Health) BackingOff(now time.Time) bool { return h != nil && now.Before(h.backoffUntil) }

// Succeeded records that a task succeeded on the machine.
func (h *Health) Succeeded() { h.failedJobs, h.failures = nil, 0 }

// Failed records that a task of a job failed on the machine, and reports whether the machine is
// faulty: tasks of several trusted jobs fail on it, or many tasks of a job whose tasks succeed on
// other machines. isTrusted reports whether a job is trusted. A job that fails on every machine is
// not, and does not count against a machine even if it failed there before that was known.
func (h *Health) Failed(jobID string, now time.Time, succeedsElsewhere bool, isTrusted func(jobID string) bool) bool {
	if h.failedJobs == nil {
		h.failedJobs = map[string]bool{}
	}
	h.failedJobs[jobID] = true
	h.failures++
	h.BackOffUntil(now.Add(tuning.ErrorBackoff))
	trustedJobs := 0
	for failed := range h.failedJobs {
		if isTrusted(failed) {
			trustedJobs++
		}
	}
	return trustedJobs >= tuning.FailedJobsForFaulty || h.failures >= tuning.FailuresForUntrusted && succeedsElsewhere
}
