package fleet

import (
	"testing"
	"time"
)

func TestImagesKeepTheMostRecentThatFit(t *testing.T) {
	i := Images{}
	for _, b := range []string{"a", "b", "a", "c"} {
		i.Add("i-1", Image{Name: b, GB: 4}, 10)
	}
	if !i.Has("i-1", "c") || !i.Has("i-1", "a") || i.Has("i-1", "b") || i.Has("i-2", "a") {
		t.Errorf("kept %v", i["i-1"])
	}
}

// A machine does not hold an image whose fetch was given up, but for one that was as good
// as there, and seeing it again does not begin the fetch anew.
func TestImagesGivenUp(t *testing.T) {
	t0 := time.Unix(1000, 0)
	for _, c := range []struct {
		after time.Duration
		has   bool
	}{{10 * time.Second, false}, {35 * time.Second, true}} {
		i := Images{}
		i.Add("i-1", Image{Name: "a", GB: 20, Since: t0, Ready: t0.Add(40 * time.Second)}, 100)
		i.Add("i-1", Image{Name: "a", GB: 20, Since: t0.Add(9 * time.Second), Ready: t0.Add(49 * time.Second)}, 100)
		if got := i.Ready("i-1", "a"); !got.Equal(t0.Add(40 * time.Second)) {
			t.Errorf("ready at %v", got)
		}
		i.Release("i-1", "a", t0.Add(c.after))
		if i.Has("i-1", "a") != c.has {
			t.Errorf("after %v: %v", c.after, i["i-1"])
		}
	}
}
