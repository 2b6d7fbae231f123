package members

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// restartHistory is what is known of one member's incarnations.
type restartHistory struct {
	incarnation uint64    // of its member key, 0 while there is none
	since       time.Time // when that key was first seen
	// restarts counts the ends in a row of incarnations that stood for less than
	// tuning.RejoinStable; the first end counts in any case.
	restarts int
}

// RestartBackoff is how often the members restart, as one controller sees it, by member name.
// A process that crashes again and again would cost everybody a view each time, and every
// machine a fencing token: it is admitted at once the first time, and after that once it has
// stood for a pause that doubles. It is kept in memory: a controller that has just started
// knows of no restarts, and at worst admits a member once more. Only the event loop uses it.
type RestartBackoff map[string]*restartHistory

// Observe records the incarnation of a member's key, 0 if the key is gone.
func (b RestartBackoff) Observe(name string, incarnation uint64, now time.Time) {
	history := b[name]
	if history == nil {
		history = &restartHistory{since: now}
		b[name] = history
	}
	if history.incarnation == incarnation {
		return
	}
	if history.incarnation != 0 {
		if now.Sub(history.since) >= tuning.RejoinStable {
			history.restarts = 0
		}
		history.restarts++
	}
	history.incarnation, history.since = incarnation, now
}

// Pause returns how long a member must have stood before it is admitted to the view.
func (b RestartBackoff) Pause(name string) time.Duration {
	history := b[name]
	if history == nil || history.restarts < 2 {
		return 0
	}
	return min(tuning.RejoinPause<<min(history.restarts-2, 10), tuning.MaxRejoinPause)
}

// Blocked reports whether a member must not be admitted yet.
func (b RestartBackoff) Blocked(name string, now time.Time) bool {
	return b[name] != nil && now.Sub(b[name].since) < b.Pause(name)
}
