package gangs

import "time"

// LaunchAt is when a task of a gang should be launched, so that it does not wait in vain, the zero time for at once. A
// task gives up when the gang is not whole within wait of its own image being there; so where one machine has the image
// and another fetches it for longer than that, every attempt failed (docs/incidents/largest-last.md).
//
// imageReady is when this task's machine should have the image, allReady when each of the gang's machines should. Half
// of wait is left for fetches that take longer.
func LaunchAt(imageReady time.Time, allReady []time.Time, wait time.Duration) time.Time {
	last := imageReady
	for _, ready := range allReady {
		if ready.After(last) {
			last = ready
		}
	}
	launchAt := last.Add(-wait / 2)
	if !imageReady.Before(launchAt) {
		return time.Time{} // its own fetch takes as long
	}
	return launchAt
}
