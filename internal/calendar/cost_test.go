package calendar

import (
	"fmt"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/quota"
)

// emptyCluster is a Cluster without tasks.
type emptyCluster struct{}

func (emptyCluster) Settled() bool                     { return true }
func (emptyCluster) Attempts(func(quota.Key) bool) int { return 0 }

// keeperOf200Windows returns a keeper for a calendar of 50 tracks with four consecutive windows
// each.
func keeperOf200Windows(tb testing.TB) *Keeper {
	tb.Helper()
	document := &Document{Revision: 1, Zone: "Africa/Nairobi"}
	for i := range 50 {
		track := TrackDoc{Name: fmt.Sprint("track", i)}
		for n := range 4 {
			track.Windows = append(track.Windows, WindowDoc{
				Name:    fmt.Sprint("window", n),
				Team:    "shop",
				Classes: []string{fmt.Sprint("class", i, "-", n)},
				Start:   fmt.Sprintf("2026-01-01T%02d:%02d", n*5, i%60),
				Rule:    "FREQ=DAILY",
				Length:  "4h",
			})
		}
		document.Tracks = append(document.Tracks, track)
	}
	plan, faults := Build(document, Known{}, day)
	if len(faults) > 0 {
		tb.Fatal(faults)
	}
	keeper := NewKeeper(plan, testValueBytes)
	if err := keeper.ApplyDocument(EncodeDocument(document)); err != nil {
		tb.Fatal(err)
	}
	return keeper
}

// testNow returns a Now with a clock error of half a second.
func testNow(at time.Time) Now {
	return Now{Ms: at.UnixMilli(), ClockErrorMs: 500, PrepareMs: 60_000}
}

// TestDayOf200WindowsTakesFewChanges checks that a day of 200 windows takes at most 0.2 changes per
// second, and that no record exceeds 4 KiB.
func TestDayOf200WindowsTakesFewChanges(t *testing.T) {
	t.Parallel()
	keeper := keeperOf200Windows(t)
	changes, largest, opened := 0, 0, 0
	at := day
	for ; at.Before(day.Add(24 * time.Hour)); at = at.Add(time.Second) {
		for _, change := range keeper.Reconcile(testNow(at), emptyCluster{}) {
			changes++
			largest = max(largest, len(change.Value))
			for _, transition := range change.Transitions {
				if transition.To == Open {
					opened++
				}
			}
			if err := keeper.ApplyTrack(change.Track, change.Value); err != nil {
				t.Fatal(err)
			}
		}
	}
	rate := float64(changes) / at.Sub(day).Seconds()
	t.Logf("%d openings, %d changes, %.4f changes per second, the largest record %d bytes", opened, changes, rate, largest)
	if rate > 0.2 || largest > 4<<10 || opened < 195 {
		t.Errorf("%d openings, %.3f changes per second, the largest record %d bytes", opened, rate, largest)
	}
}

// settledKeeper returns a keeper that has planned all occurrences, and a time at which nothing is
// due.
func settledKeeper(b *testing.B) (*Keeper, Now) {
	b.Helper()
	keeper := keeperOf200Windows(b)
	now := testNow(day.Add(4*time.Hour + 58*time.Minute))
	for range 3 {
		for _, change := range keeper.Reconcile(now, emptyCluster{}) {
			_ = keeper.ApplyTrack(change.Track, change.Value)
		}
	}
	return keeper, now
}

// BenchmarkReconcileWhenNothingIsDue measures the cost on each pass of the leader.
func BenchmarkReconcileWhenNothingIsDue(b *testing.B) {
	keeper, now := settledKeeper(b)
	for b.Loop() {
		keeper.Reconcile(now, emptyCluster{})
	}
}

// BenchmarkReconcileAllTracks measures a reconciliation of all 50 tracks, as it happens twice a
// minute.
func BenchmarkReconcileAllTracks(b *testing.B) {
	keeper, now := settledKeeper(b)
	for b.Loop() {
		keeper.Touch()
		keeper.Reconcile(now, emptyCluster{})
	}
}

// BenchmarkGate measures the cost of each queued job on each pass.
func BenchmarkGate(b *testing.B) {
	keeper := keeperOf200Windows(b)
	for b.Loop() {
		keeper.Gate(testNow(day), quota.Key{Team: "shop", Class: "class7-2"})
	}
}
