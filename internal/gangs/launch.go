package gangs

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// LaunchAt returns the time at which a task of a gang should be launched, or the zero time if it
// should be launched at once. A task gives up if the gang is not complete within wait after the
// task's image is ready. Without a delay, every attempt failed if one machine had the image cached
// and another needed longer than wait to pull it (docs/incidents/largest-last.md).
//
// own is when this task's machine is ready, and gang lists that for each machine of the gang. Half of
// wait is left as a margin for a pull that takes longer than expected, more where it may take longer
// still (docs/incidents/given-up-pulls.md).
func LaunchAt(own fleet.Readiness, gang []fleet.Readiness, wait time.Duration) time.Time {
	last := own
	for _, other := range gang {
		if other.Expected.After(last.Expected) {
			last = other
		}
	}
	launchAt := last.Expected.Add(-wait / 2)
	if latest := last.Latest.Add(tuning.GangLaunchMargin - wait); latest.After(launchAt) {
		// If no time suits both the quickest and the slowest pull, it is the one in the middle.
		middle := last.Earliest.Add(last.Latest.Sub(last.Earliest) / 2)
		launchAt = earlier(latest, middle)
	}
	if !own.Expected.Before(launchAt) {
		return time.Time{} // its own pull takes until then
	}
	return launchAt
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
