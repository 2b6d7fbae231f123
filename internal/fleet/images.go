package fleet

import (
	"slices"
	"time"
)

// Image is an image that a machine holds or is fetching.
type Image struct {
	Name string
	GB   float64
	// Since is when the image was first seen on the machine. Ready is when its fetch is expected to
	// end, according to the pull rate in the catalogue.
	Since, Ready time.Time
}

// Images holds the images that each machine probably has in its cache, by machine, the most
// recently used first. Every controller derives them from the task records. After a restart it
// knows only the images of tasks that are still on the machine.
type Images map[string][]Image

// Add records that a task with the given image is on a machine. The machine keeps the most
// recently used images that fit into its cache. An image that it already holds keeps its times.
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

// Has reports whether a machine probably holds an image.
func (i Images) Has(machine, name string) bool {
	return slices.ContainsFunc(i[machine], func(image Image) bool { return image.Name == name })
}

// Ready returns when the fetch of an image on a machine is expected to end, or the zero time if the
// machine is not known to fetch or hold the image.
func (i Images) Ready(machine, name string) time.Time {
	for _, image := range i[machine] {
		if image.Name == name {
			return image.Ready
		}
	}
	return time.Time{}
}

// Release records that no task on a machine waits for an image any more. If less than two thirds of
// its fetch time have passed, the fetch was abandoned and the machine does not hold the image.
// Counting such images as cached sent gangs to the same machines again and again while the fetch
// took too long.
func (i Images) Release(machine, name string, now time.Time) {
	i[machine] = slices.DeleteFunc(i[machine], func(image Image) bool {
		return image.Name == name && now.Sub(image.Since) < image.Ready.Sub(image.Since)*2/3
	})
}
