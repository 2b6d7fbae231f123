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

// Images is which images the machines probably hold, by machine, the most recently used
// first. Every controller derives it from the tasks' records; after a restart it knows
// only the images of tasks that are still there.
type Images map[string][]Image

// Add notes that a task with an image is on a machine, which keeps the most recently used
// ones that fit its cache. An image that the machine had keeps its times.
func (i Images) Add(machine string, used Image, cacheGB float64) {
	kept := []Image{used}
	freeGB := cacheGB - used.GB
	for _, older := range i[machine] {
		if older.Name == used.Name {
			kept[0].Since, kept[0].Ready = older.Since, older.Ready
			continue
		}
		if freeGB -= older.GB; freeGB < 0 {
			break
		}
		kept = append(kept, older)
	}
	i[machine] = kept
}

// Has tells whether a machine probably holds an image.
func (i Images) Has(machine, name string) bool {
	return slices.ContainsFunc(i[machine], func(image Image) bool { return image.Name == name })
}

// Ready is when a machine should have an image, the zero time if it is not known to fetch it.
func (i Images) Ready(machine, name string) time.Time {
	for _, image := range i[machine] {
		if image.Name == name {
			return image.Ready
		}
	}
	return time.Time{}
}

// Release notes that no task on a machine waits for an image any more. A fetch that was far
// from its end was given up, so the machine does not hold the image: counting on it sent
// gangs to the same machines again and again, for as long as the fetch took too long.
func (i Images) Release(machine, name string, now time.Time) {
	i[machine] = slices.DeleteFunc(i[machine], func(image Image) bool {
		return image.Name == name && now.Sub(image.Since) < image.Ready.Sub(image.Since)*2/3
	})
}
