package fleet

import (
	"slices"
	"time"
)

// Image is one that a machine has, or is fetching.
type Image struct {
	Name string
	GB   float64
	// Since is when it was first seen there, Ready when its fetch should have ended by the
	// catalogue's rate.
	Since, Ready time.Time
}

// Images is which images machines probably hold, the most recently used first.
// Every node follows this from the tasks' records; after a restart it knows only
// the images of tasks still there.
type Images map[string][]Image

// Add notes that a task with an image is on a machine, which keeps the most
// recently used ones that fit its cache. One that it had keeps its times.
func (i Images) Add(machine string, used Image, cacheGB float64) {
	list := []Image{used}
	left := cacheGB - used.GB
	for _, old := range i[machine] {
		if old.Name == used.Name {
			list[0].Since, list[0].Ready = old.Since, old.Ready
		} else {
			if left -= old.GB; left < 0 {
				break
			}
			list = append(list, old)
		}
	}
	i[machine] = list
}

// Has tells whether a machine probably holds an image.
func (i Images) Has(machine, bundle string) bool {
	for _, image := range i[machine] {
		if image.Name == bundle {
			return true
		}
	}
	return false
}

// Ready is when a machine should have an image, zero if it is not known to fetch it.
func (i Images) Ready(machine, bundle string) time.Time {
	for _, image := range i[machine] {
		if image.Name == bundle {
			return image.Ready
		}
	}
	return time.Time{}
}

// Release notes that no task on a machine waits for an image any more. A fetch that was far
// from its end was given up, so the machine does not hold it: to have counted on it sent
// gangs to the same machines again and again, for as long as the fetch took too long.
func (i Images) Release(machine, bundle string, now time.Time) {
	i[machine] = slices.DeleteFunc(i[machine], func(image Image) bool {
		return image.Name == bundle && now.Sub(image.Since) < image.Ready.Sub(image.Since)*2/3
	})
}
