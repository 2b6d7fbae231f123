package gangs

import "time"

// LaunchAt returns the time at which a task of a gang should be launched, or the zero time if it
// should be launched at once. A task gives up if the gang is not complete within wait after the
// task's image is ready. Without a delay, every attempt failed if one machine had the image cached
// and another needed longer than wait to pull it (docs/incidents/largest-last.md).
//
// imageReady is the time at which this task's machine is expected to have the image, and allReady
// lists that time for each machine of the gang. Half of wait is left as a margin for pulls that
// take longer than expected.
func LaunchAt(imageReady time.Time, allReady []time.Time, wait time.Duration) time.Time {
	last := imageReady
	for _, ready := range allReady {
		if ready.After(last) {
			last = ready
		}
	}
	launchAt := last.Add(-wait / 2)
	if !imageReady.Before(launchAt) {
		return time.Time{} // its own pull takes until then
	}
	return launchAt
}
