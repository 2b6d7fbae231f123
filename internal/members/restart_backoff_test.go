package members

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

func TestHeldBack(t *testing.T) {
	now := time.UnixMilli(1e12)
	c := RestartBackoff{}
	incarnation := uint64(0)
	after := func(d time.Duration) { now = now.Add(d) }
	back := func() { incarnation++; c.Observe("a", incarnation, now) }
	back()
	if c.Blocked("a", now) {
		t.Error("held at its first start")
	}
	// Each hour it ends once, and is back at once: never held.
	for range 3 {
		after(time.Hour)
		back()
		if c.Blocked("a", now) {
			t.Error("held after a single end")
		}
	}
	// It ends again and again.
	for i, want := range []time.Duration{tuning.RejoinPause, 2 * tuning.RejoinPause, 4 * tuning.RejoinPause} {
		after(300 * time.Millisecond)
		if i == 1 {
			c.Observe("a", 0, now) // its lease ended meanwhile: the same end
		}
		back()
		if got := c.Pause("a"); got != want || !c.Blocked("a", now) || c.Blocked("a", now.Add(want)) {
			t.Errorf("end %d: pause %v, not %v", i+2, got, want)
		}
	}
	after(tuning.RejoinStable)
	back()
	if c.Blocked("a", now) {
		t.Error("held although it had stood")
	}
}

// However a process ends and comes back, it is let in at most twice, and then once more
// for each pause that it has stood.
func TestViewsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.UnixMilli(1e12)
		now, c, in, let := start, RestartBackoff{}, uint64(0), 0
		for incarnation := uint64(1); incarnation <= 40; incarnation++ {
			c.Observe("a", incarnation, now)
			lives := time.Duration(rapid.IntRange(100, 4000).Draw(t, "lives_ms")) * time.Millisecond
			for end := now.Add(lives); now.Before(end); now = now.Add(100 * time.Millisecond) {
				if !c.Blocked("a", now) && in != incarnation {
					in = incarnation
					let++
				}
			}
			now = now.Add(200 * time.Millisecond)
		}
		// Pauses of 0, 0, 1 and 2 s can be stood; 4 s are not.
		if most := 4; let > most {
			t.Fatalf("let in %d times in %v, more than %d", let, now.Sub(start), most)
		}
	})
}
