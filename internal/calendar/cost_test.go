package calendar

import (
	"fmt"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/quota"
)

// emptyCluster is a world without tasks.
type emptyCluster struct{}

func (emptyCluster) Settled() bool                     { return true }
func (emptyCluster) Attempts(func(quota.Key) bool) int { return 0 }

// keeperOf200Windows is a calendar of 200 windows, four on each track, one after the other.
func keeperOf200Windows(t testing.TB) *Keeper {
	d := &Document{Revision: 1, Zone: "Africa/Nairobi"}
	for i := range 50 {
		track := TrackDoc{Name: fmt.Sprint("track", i)}
		for n := range 4 {
			track.Windows = append(track.Windows, WindowDoc{
				Name: fmt.Sprint("window", n), Team: "shop", Classes: []string{fmt.Sprint("class", i, "-", n)},
				Start: fmt.Sprintf("2026-01-01T%02d:%02d", n*5, i%60), Rule: "FREQ=DAILY", Length: "4h",
			})
		}
		d.Tracks = append(d.Tracks, track)
	}
	p, faults := Build(d, Known{}, day)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	k := NewKeeper(p, 8<<10)
	if err := k.ApplyDocument(EncodeDocument(d)); err != nil {
		t.Fatal(err)
	}
	return k
}

// TestCostOfTwoHundredWindows: a day of 200 windows takes under 0.2 changes a second, and
// no record more than a value.
func TestCostOfTwoHundredWindows(t *testing.T) {
	t.Parallel()
	k := keeperOf200Windows(t)
	changes, largest, opened := 0, 0, 0
	at := day
	for ; at.Before(day.Add(24 * time.Hour)); at = at.Add(time.Second) {
		for _, c := range k.Reconcile(Now{at.UnixMilli(), 500, 60_000}, emptyCluster{}) {
			changes++
			largest = max(largest, len(c.Value))
			for _, m := range c.Moves {
				if m.To == Open {
					opened++
				}
			}
			if err := k.ApplyTrack(c.Track, c.Value); err != nil {
				t.Fatal(err)
			}
		}
	}
	rate := float64(changes) / at.Sub(day).Seconds()
	t.Logf("%d openings, %d changes, %.4f a second, the largest record %d bytes", opened, changes, rate, largest)
	if rate > 0.2 || largest > 4<<10 || opened < 195 {
		t.Errorf("%d openings, %.3f changes a second, %d bytes", opened, rate, largest)
	}
}

// BenchmarkLookWhenNothingIsDue is what each pass of the leader pays.
func BenchmarkLookWhenNothingIsDue(b *testing.B) {
	k := keeperOf200Windows(b)
	n := Now{day.Add(4*time.Hour + 58*time.Minute).UnixMilli(), 500, 60_000}
	for range 3 {
		for _, c := range k.Reconcile(n, emptyCluster{}) {
			_ = k.ApplyTrack(c.Track, c.Value)
		}
	}
	for b.Loop() {
		k.Reconcile(n, emptyCluster{})
	}
}

// BenchmarkLookAtAll is what a look at all 50 tracks costs, as twice a minute.
func BenchmarkLookAtAll(b *testing.B) {
	k := keeperOf200Windows(b)
	n := Now{day.Add(4*time.Hour + 58*time.Minute).UnixMilli(), 500, 60_000}
	for range 3 {
		for _, c := range k.Reconcile(n, emptyCluster{}) {
			_ = k.ApplyTrack(c.Track, c.Value)
		}
	}
	for b.Loop() {
		k.Touch()
		k.Reconcile(n, emptyCluster{})
	}
}

// BenchmarkGate is what a job in the queue costs at each look.
func BenchmarkGate(b *testing.B) {
	k := keeperOf200Windows(b)
	n := Now{day.UnixMilli(), 500, 60_000}
	for b.Loop() {
		k.Gate(n, quota.Key{Team: "shop", Class: "class7-2"})
	}
}
