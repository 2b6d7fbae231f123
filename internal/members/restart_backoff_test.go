package members

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

func TestRestartBackoffDoublesUntilAnIncarnationIsStable(t *testing.T) {
	now := time.UnixMilli(1e12)
	backoff := RestartBackoff{}
	incarnation := uint64(0)
	advance := func(d time.Duration) { now = now.Add(d) }
	restart := func() {
		incarnation++
		backoff.Observe("a", incarnation, now)
	}
	restart()
	if backoff.Blocked("a", now) {
		t.Error("blocked at its first start")
	}
	// A restart once an hour is never blocked.
	for range 3 {
		advance(time.Hour)
		restart()
		if backoff.Blocked("a", now) {
			t.Error("blocked after a single restart")
		}
	}
	// Restarts in quick succession.
	for i, want := range []time.Duration{tuning.RejoinPause, 2 * tuning.RejoinPause, 4 * tuning.RejoinPause} {
		advance(300 * time.Millisecond)
		if i == 1 {
			backoff.Observe("a", 0, now) // the lease expired in between: still a single restart
		}
		restart()
		got := backoff.Pause("a")
		if got != want || !backoff.Blocked("a", now) || backoff.Blocked("a", now.Add(want)) {
			t.Errorf("restart %d: pause %v, want %v", i+2, got, want)
		}
	}
	advance(tuning.RejoinStable)
	restart()
	if backoff.Blocked("a", now) {
		t.Error("blocked although the previous incarnation was stable")
	}
}

// A process that keeps restarting is admitted at most twice without a pause, and after that once
// for each pause that one of its incarnations outlives.
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
		// Incarnations can outlive pauses of 0, 0, 1 and 2 s, but not one of 4 s.
		if limit := 4; admissions > limit {
			t.Fatalf("admitted %d times in %v, more than %d", admissions, now.Sub(start), limit)
		}
	})
}
