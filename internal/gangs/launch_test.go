package gangs

import (
	"testing"
	"time"
)

func TestLaunchWaitsForSlowFetchesOfTheGang(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	for name, c := range map[string]struct {
		imageReady float64
		allReady   []float64
		want       float64 // 0: at once
	}{
		"others are ready within half of the wait":        {0, []float64{0, 10}, 0},
		"has the image: half of the wait before the last": {0, []float64{0, 45}, 30},
		"fetches, and would still give up too soon":       {28, []float64{28, 45}, 30},
		"fetches for almost as long":                      {31, []float64{31, 45}, 0},
		"fetches for longest":                             {45, []float64{0, 45}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var allReady []time.Time
			for _, s := range c.allReady {
				allReady = append(allReady, at(s))
			}
			got := LaunchAt(at(c.imageReady), allReady, 30*time.Second)
			if c.want == 0 && !got.IsZero() || c.want != 0 && !got.Equal(at(c.want)) {
				t.Errorf("%+v: %v", c, got)
			}
		})
	}
}
