package fleet

import (
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Image is an image that a machine holds or is pulling.
type Image struct {
	Name string
	GB   float64
	// PullTime is how long the pull takes by the rate in the catalogue, if the machine pulls nothing
	// else.
	PullTime time.Duration
	// Since is when the tasks that need the image came to the machine: the machine pulls it from then
	// on, unless it holds it.
	Since time.Time
	// Held is set if the machine is known to hold the image, and not to pull it.
	Held bool
}

// Readiness is when a machine has an image that it pulls alone: the catalogue's rate holds give or take
// a third.
type Readiness struct {
	Earliest, Expected, Latest time.Time // all zero if the machine holds the image
}

// Images holds the images that each machine probably holds or pulls, by machine, the most recently
// used first. Every controller derives them from the task records, and the owner of a machine from
// its heartbeats as well. After a restart a controller knows only the images of tasks that are still
// on machines.
type Images map[string][]Image

// Use records that a task with an image is on a machine. An image that tasks on the machine use
// already keeps its times. The machine keeps the most recently used images that fit into its cache.
func (i Images) Use(machine string, used Image, cacheGB float64) {
	kept := []Image{used}
	freeGB := cacheGB - used.GB
	for _, older := range i[machine] {
		if older.Name == used.Name {
			kept[0].Held = older.Held || used.Held
			if older.Since.Before(used.Since) {
				kept[0].Since = older.Since
			}
			continue
		}
		if freeGB -= older.GB; freeGB < 0 {
			break
		}
		kept = append(kept, older)
	}
	i[machine] = kept
}

// SetPulling records that a machine was still pulling an image at a time when tasks that need it had
// been there since the given time.
func (i Images) SetPulling(machine, name string, since time.Time) {
	if image := i.find(machine, name); image != nil && image.Held {
		image.Held, image.Since = false, since
	}
}

// Release records that no task on a machine needs an image any more. A machine gives up a pull that no
// task waits for, so it holds the image only if it is known to, or if the pull cannot have taken
// longer.
func (i Images) Release(machine, name string, now time.Time) {
	image := i.find(machine, name)
	if image == nil {
		return
	}
	if !image.Held && i.mayPullUntil(machine, image).After(now) {
		i[machine] = slices.DeleteFunc(i[machine], func(other Image) bool { return other.Name == name })
		return
	}
	image.Held = true
}

// Holds reports whether a machine is known to hold an image.
func (i Images) Holds(machine, name string) bool {
	image := i.find(machine, name)
	return image != nil && image.Held
}

// Has reports whether a machine probably holds or is pulling an image.
func (i Images) Has(machine, name string) bool { return i.find(machine, name) != nil }

// Readiness returns when a machine has an image. The zero Readiness is returned for an image that the
// machine neither holds nor pulls, too.
func (i Images) Readiness(machine, name string) Readiness {
	image := i.find(machine, name)
	if image == nil || image.Held {
		return Readiness{}
	}
	return Readiness{
		Earliest: image.Since.Add(scale(image.PullTime, tuning.ShortestPull)),
		Expected: image.Since.Add(image.PullTime),
		Latest:   image.latest(),
	}
}

// latest returns when the image's pull has ended if nothing else is pulled.
func (image *Image) latest() time.Time {
	return image.Since.Add(scale(image.PullTime, tuning.LongestPull))
}

// mayPullUntil returns when the pull of a machine's image has surely ended: pulls that go on at the same
// time may share the rate.
func (i Images) mayPullUntil(machine string, image *Image) time.Time {
	until := image.latest()
	for _, other := range i[machine] {
		overlaps := other.Since.Before(image.latest()) && other.latest().After(image.Since)
		if other.Name != image.Name && overlaps {
			until = until.Add(scale(other.PullTime, tuning.LongestPull))
		}
	}
	return until
}

// find returns an image of a machine, or nil if there is none of that name.
func (i Images) find(machine, name string) *Image {
	images := i[machine]
	at := slices.IndexFunc(images, func(image Image) bool { return image.Name == name })
	if at < 0 {
		return nil
	}
	return &images[at]
}

// scale returns a multiple of a duration.
func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }
