package members

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Coming is what is known of one member's incarnations.
type Coming struct {
	inc   uint64    // that of its key, 0 while there is none
	since time.Time // that key was seen first
	// ends counts in a row the ends of incarnations none of which had stood for
	// tuning.ComeStood, the first aside.
	ends int
}

// Comings is how members come and go, as one controller sees it. A process that ends
// again and again would cost everybody a view each time, and every machine a baton: it
// is let in at once the first time, and after that once it has stood for a pause that
// doubles. It is kept in memory: a controller that has just started knows nothing
// against anybody, and at worst lets a member in once more.
type Comings map[string]*Coming

// Saw takes in a member's key, 0 for one that is gone.
func (c Comings) Saw(name string, inc uint64, now time.Time) {
	m := c[name]
	if m == nil {
		m = &Coming{since: now}
		c[name] = m
	}
	if m.inc == inc {
		return
	}
	if m.inc != 0 {
		if now.Sub(m.since) >= tuning.ComeStood {
			m.ends = 0
		}
		m.ends++
	}
	m.inc, m.since = inc, now
}

// Pause is how long a member must have stood before it is let in.
func (c Comings) Pause(name string) time.Duration {
	m := c[name]
	if m == nil || m.ends < 2 {
		return 0
	}
	return min(tuning.ComePause<<min(m.ends-2, 10), tuning.ComePauseMost)
}

// Held tells that a member is not to be let in yet.
func (c Comings) Held(name string, now time.Time) bool {
	return c[name] != nil && now.Sub(c[name].since) < c.Pause(name)
}
