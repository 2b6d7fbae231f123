package fleet

// Image is one that a machine has, or is fetching.
type Image struct {
	Bundle string
	GB     float64
}

// Images is which images machines probably hold, the most recently used first.
// Every node follows this from the tasks' records; after a restart it knows only
// the images of tasks still there.
type Images map[string][]Image

// Saw notes that a task with an image is on a machine, which keeps the most
// recently used ones that fit its cache.
func (i Images) Saw(host string, used Image, cacheGB float64) {
	list := []Image{used}
	left := cacheGB - used.GB
	for _, old := range i[host] {
		if old.Bundle != used.Bundle {
			if left -= old.GB; left < 0 {
				break
			}
			list = append(list, old)
		}
	}
	i[host] = list
}

// Has tells whether a machine probably holds an image.
func (i Images) Has(host, bundle string) bool {
	for _, image := range i[host] {
		if image.Bundle == bundle {
			return true
		}
	}
	return false
}
