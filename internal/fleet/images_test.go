package fleet

import (
	"testing"
	"time"
)

func TestImagesKeepTheMostRecentThatFit(t *testing.T) {
	images := Images{}
	for _, name := range []string{"a", "b", "a", "c"} {
		images.Add("i-1", Image{Name: name, GB: 4}, 10)
	}
	if !images.Has("i-1", "c") || !images.Has("i-1", "a") || images.Has("i-1", "b") || images.Has("i-2", "a") {
		t.Errorf("cached images: %v", images["i-1"])
	}
}

// A machine does not hold an image whose fetch was abandoned, unless the fetch was nearly complete.
// A second task with the image does not restart the fetch.
func TestImagesForgetAbandonedFetch(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		name  string
		after time.Duration
		has   bool
	}{
		{"abandoned early", 10 * time.Second, false},
		{"abandoned near its end", 35 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			image := func(since time.Duration) Image {
				return Image{
					Name:  "a",
					GB:    20,
					Since: start.Add(since),
					Ready: start.Add(since + 40*time.Second),
				}
			}
			images := Images{}
			images.Add("i-1", image(0), 100)
			images.Add("i-1", image(9*time.Second), 100)
			if got := images.Ready("i-1", "a"); !got.Equal(start.Add(40 * time.Second)) {
				t.Errorf("ready at %v", got)
			}
			images.Release("i-1", "a", start.Add(c.after))
			if images.Has("i-1", "a") != c.has {
				t.Errorf("after %v: %v", c.after, images["i-1"])
			}
		})
	}
}
