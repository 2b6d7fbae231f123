package fleet

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Health is what an owner remembers of a machine's failures. It is kept in memory only:
// losing it with the owner costs a few more failures and nothing else.
type Health struct {
	backoffUntil time.Time
	failedJobs   map[string]bool // jobs whose tasks failed here since the last success
	failures     int             // failed tasks since the last success
}

// BackOffUntil keeps new tasks from the machine until then.
func (h *Health) BackOffUntil(until time.Time) { h.backoffUntil = until }

// BackingOff tells whether the machine takes no new task now. It may be called on nil, which
// is a machine without a failure.
func (h *Health) BackingOff(now time.Time) bool { return h != nil && now.Before(h.backoffUntil) }

// Succeeded notes that a task succeeded here.
func (h *Health) Succeeded() { h.failedJobs, h.failures = nil, 0 }

// Failed notes a failed task of a job, and tells whether the machine is faulty: tasks of
// several jobs fail on it, or many of one job of which others succeed elsewhere.
// blameless tells whether a job is free of suspicion itself; one that fails everywhere
// is not, and counts against no machine, also if it failed here before that was known.
func (h *Health) Failed(jobID string, now time.Time, succeedsElsewhere bool, blameless func(jobID string) bool) bool {
	if h.failedJobs == nil {
		h.failedJobs = map[string]bool{}
	}
	h.failedJobs[jobID] = true
	h.failures++
	h.BackOffUntil(now.Add(tuning.ErrorRest))
	blamelessJobs := 0
	for failed := range h.failedJobs {
		if blameless(failed) {
			blamelessJobs++
		}
	}
	return blamelessJobs >= tuning.ErrorsFaulty || h.failures >= tuning.ErrorsBlame && succeedsElsewhere
}
