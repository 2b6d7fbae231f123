package gangs

import (
	"testing"
	"time"
)

func TestLaunchAtWaitsForSlowImagePulls(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	for name, c := range map[string]struct {
		imageReady float64
		allReady   []float64
		want       float64 // 0: at once
	}{
		"other machine is ready within half of wait": {0, []float64{0, 10}, 0},
		"image cached: half of wait before the last": {0, []float64{0, 45}, 30},
		"short pull: would give up too early":        {28, []float64{28, 45}, 30},
		"pull takes almost as long as the longest":   {31, []float64{31, 45}, 0},
		"own pull takes the longest":                 {45, []float64{0, 45}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var allReady []time.Time
			for _, s := range c.allReady {
				allReady = append(allReady, at(s))
			}
			got := LaunchAt(at(c.imageReady), allReady, 30*time.Second)
			if c.want == 0 && !got.IsZero() || c.want != 0 && !got.Equal(at(c.want)) {
				t.Errorf("%+v: got %v", c, got)
			}
		})
	}
}
