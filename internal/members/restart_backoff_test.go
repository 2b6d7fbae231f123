package members

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

func TestRestartBackoffDoublesUntilAnIncarnationStands(t *testing.T) {
	now := time.UnixMilli(1e12)
	backoff := RestartBackoff{}
	incarnation := uint64(0)
	pass := func(d time.Duration) { now = now.Add(d) }
	restart := func() {
		incarnation++
		backoff.Observe("a", incarnation, now)
	}
	restart()
	if backoff.Blocked("a", now) {
		t.Error("blocked at its first start")
	}
	// It restarts once an hour: never blocked.
	for range 3 {
		pass(time.Hour)
		restart()
		if backoff.Blocked("a", now) {
			t.Error("blocked after a single restart")
		}
	}
	// It restarts again and again.
	for i, want := range []time.Duration{tuning.RejoinPause, 2 * tuning.RejoinPause, 4 * tuning.RejoinPause} {
		pass(300 * time.Millisecond)
		if i == 1 {
			backoff.Observe("a", 0, now) // its lease expired meanwhile: the same restart
		}
		restart()
		got := backoff.Pause("a")
		if got != want || !backoff.Blocked("a", now) || backoff.Blocked("a", now.Add(want)) {
			t.Errorf("restart %d: pause %v, not %v", i+2, got, want)
		}
	}
	pass(tuning.RejoinStable)
	restart()
	if backoff.Blocked("a", now) {
		t.Error("blocked although it had stood")
	}
}

// However a process ends and restarts, it is admitted at most twice, and then once more for each
// pause that it has stood.
func TestRestartsCauseABoundedNumberOfViews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.UnixMilli(1e12)
		now, backoff := start, RestartBackoff{}
		admittedIncarnation, admissions := uint64(0), 0
		for incarnation := uint64(1); incarnation <= 40; incarnation++ {
			backoff.Observe("a", incarnation, now)
			lifetime := time.Duration(rapid.IntRange(100, 4000).Draw(t, "lifetime_ms")) * time.Millisecond
			for end := now.Add(lifetime); now.Before(end); now = now.Add(100 * time.Millisecond) {
				if !backoff.Blocked("a", now) && admittedIncarnation != incarnation {
					admittedIncarnation = incarnation
					admissions++
				}
			}
			now = now.Add(200 * time.Millisecond)
		}
		// Pauses of 0, 0, 1 and 2 s can be stood; 4 s are not.
		if limit := 4; admissions > limit {
			t.Fatalf("admitted %d times in %v, more than %d", admissions, now.Sub(start), limit)
		}
	})
}
