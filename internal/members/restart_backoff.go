package members

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// restartHistory tracks the incarnations of one member.
type restartHistory struct {
	incarnation uint64    // in its member key, 0 if there is no key
	since       time.Time // when this incarnation was first observed
	// restarts counts consecutive incarnations that ended within tuning.RejoinStable of their
	// start. The end of an incarnation that lasted longer sets it to 1.
	restarts int
}

// RestartBackoff delays the admission of members that restart repeatedly, as observed by one
// controller, by member name. Each restart of a crash-looping process would otherwise cost a change
// of the view, and a new fencing token for every machine. A member is admitted at once after its
// first restart, and after further ones only when it has been up for a pause that doubles each
// time. The state is kept in memory only: a controller that has just started knows of no restarts,
// its own included, and therefore leaves the replacement of a lost leader to live members of the
// view for a while (ViewInputs.RecentlyStarted). Not safe for concurrent use; only the event loop
// uses it.
type RestartBackoff map[string]*restartHistory

// Observe records the incarnation in a member's key, 0 if the key was deleted.
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

// Uptime returns how long the incarnation in a member's key has been known, 0 for an unknown member.
func (b RestartBackoff) Uptime(name string, now time.Time) time.Duration {
	history := b[name]
	if history == nil {
		return 0
	}
	return now.Sub(history.since)
}

// Pause returns how long a member must have been up before it is admitted to the view.
func (b RestartBackoff) Pause(name string) time.Duration {
	history := b[name]
	if history == nil || history.restarts < 2 {
		return 0
	}
	return min(tuning.RejoinPause<<min(history.restarts-2, 10), tuning.MaxRejoinPause)
}

// Blocked reports whether a member must not be admitted yet.
func (b RestartBackoff) Blocked(name string, now time.Time) bool {
	return b.Uptime(name, now) < b.Pause(name)
}
