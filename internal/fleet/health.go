package fleet

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Health is what an owner remembers of a machine's failures. It is lost with
// the owner, which costs a few more failures and nothing else.
type Health struct {
	restUntil time.Time
	blamed    map[string]bool // jobs whose tasks failed here since the last success
	failures  int
}

// Rest keeps new tasks from the machine until then.
func (h *Health) Rest(until time.Time) { h.restUntil = until }

// Rests tells whether the machine takes no new task now.
func (h *Health) Rests(now time.Time) bool { return h != nil && now.Before(h.restUntil) }

// Succeeded notes that a task was done here.
func (h *Health) Succeeded() { h.blamed, h.failures = nil, 0 }

// Failed notes a failed task of a job that is not in doubt, and tells whether the
// machine is faulty: tasks of several jobs fail on it, or many of one job of which
// others are done elsewhere. What blameless says to be in doubt by now, because
// it fails everywhere, speaks against no machine.
func (h *Health) Failed(job string, now time.Time, othersDone bool, blameless func(job string) bool) bool {
	if h.blamed == nil {
		h.blamed = map[string]bool{}
	}
	h.blamed[job] = true
	h.failures++
	h.Rest(now.Add(tuning.ErrorRest))
	jobs := 0
	for j := range h.blamed {
		if blameless(j) {
			jobs++
		}
	}
	return jobs >= tuning.ErrorsFaulty || h.failures >= tuning.ErrorsBlame && othersDone
}
