package members

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// MemberHistory is what is known of one member's incarnations.
type MemberHistory struct {
	incarnation uint64    // that of its key, 0 while there is none
	since       time.Time // that key was seen first
	// restarts counts in a row the ends of incarnations none of which had stood for
	// tuning.RejoinStable, the first aside.
	restarts int
}

// RestartBackoff is how members come and go, as one controller sees it. A process that ends
// again and again would cost everybody a view each time, and every machine a baton: it
// is let in at once the first time, and after that once it has stood for a pause that
// doubles. It is kept in memory: a controller that has just started knows nothing
// against anybody, and at worst lets a member in once more.
type RestartBackoff map[string]*MemberHistory

// Observe takes in a member's key, 0 for one that is gone.
func (c RestartBackoff) Observe(name string, incarnation uint64, now time.Time) {
	m := c[name]
	if m == nil {
		m = &MemberHistory{since: now}
		c[name] = m
	}
	if m.incarnation == incarnation {
		return
	}
	if m.incarnation != 0 {
		if now.Sub(m.since) >= tuning.RejoinStable {
			m.restarts = 0
		}
		m.restarts++
	}
	m.incarnation, m.since = incarnation, now
}

// Pause is how long a member must have stood before it is let in.
func (c RestartBackoff) Pause(name string) time.Duration {
	m := c[name]
	if m == nil || m.restarts < 2 {
		return 0
	}
	return min(tuning.RejoinPause<<min(m.restarts-2, 10), tuning.MaxRejoinPause)
}

// Blocked tells that a member is not to be let in yet.
func (c RestartBackoff) Blocked(name string, now time.Time) bool {
	return c[name] != nil && now.Sub(c[name].since) < c.Pause(name)
}
