package pipelines

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
)

// A jump of the time of day by an hour must not end a step that may take 30 s;
// 30 s by the monotonic clock must.
func TestTimeoutCountsByTheMonotonicClock(t *testing.T) {
	c, _ := newController(t, timedDocument)
	c.advance(t)
	c.advance(t)
	c.nowMs += 3600_000
	for range 20 {
		c.advance(t)
	}
	if step := c.step(t, 0); !step.State.HasJob() {
		t.Fatalf("after a jump it is %+v", step)
	}
	c.nowMs -= 7200_000
	ended := false
	for range 15 {
		for _, change := range c.advance(t) {
			ended = ended || change.Over
		}
	}
	if !ended {
		t.Fatal("not ended after its time")
	}
}

// A step that took too long is repeated with a job of its own, as often as its file
// allows.
func TestRepeatIsANewJob(t *testing.T) {
	const doc = `{"name":"p","owner":"t","steps":[{"name":"a","timeout_s":30,"repeats":1,` + step + `}]}`
	c, p := newController(t, doc)
	var last Change
	for seconds := 0; seconds < 100 && !last.Over; seconds++ {
		if changes := c.advance(t); len(changes) > 0 {
			last = changes[0]
		}
	}
	for repeat := range 2 {
		if jobID := JobID("run-1", "salt", p.Steps[0].Name, repeat); c.jobs[jobID] != jobs.Cancelled {
			t.Errorf("the job of repeat %d is %q", repeat, c.jobs[jobID])
		}
	}
	record, err := Decode(last.Record)
	if err != nil || len(c.jobs) != 2 {
		t.Fatalf("%d jobs, %v", len(c.jobs), err)
	}
	if s := record.Steps[0]; s.State != Failed || s.Repeat != 1 || s.Cause != TimedOut {
		t.Errorf("%+v", s)
	}
}

// A look at a run that is under a transaction must not restart its clocks: the time
// of day, which the next would then count from, may have jumped.
func TestClocksGoOnWhileTheRunIsUnderATransaction(t *testing.T) {
	c, _ := newController(t, timedDocument)
	c.advance(t)
	c.advance(t)
	c.nowMs += 3600_000
	c.keeper.Touch("run-1")
	if changes, _ := c.keeper.Reconcile(c.now, c.nowMs, yes, yes, enoughRoom, c); len(changes) > 0 {
		t.Fatalf("decided on a run under a transaction: %+v", changes)
	}
	for range 20 {
		c.advance(t)
	}
	if step := c.step(t, 0); !step.State.HasJob() {
		t.Fatalf("after a jump it is %+v", step)
	}
}

// Whoever takes a run over counts what went before, but never less than nothing
// if its own clock is behind.
func TestNewOwnerCountsTheTimeBefore(t *testing.T) {
	former, _ := newController(t, timedDocument)
	former.advance(t)
	record, _ := former.keeper.Known("run-1")
	for _, test := range []struct {
		name     string
		behindMs int64
		seconds  int // until the step has ended
	}{
		{"clocks agree", 0, 9},
		{"clock of the new owner is behind", 10_000, 30},
	} {
		t.Run(test.name, func(t *testing.T) {
			owner := &testController{
				keeper: NewKeeper(former.keeper.limits),
				jobs:   maps.Clone(former.jobs),
				now:    time.Unix(5, 0),
				nowMs:  former.nowMs + 20_000 - 3*test.behindMs,
			}
			owner.keeper.SetRate(owner.now, 1000)
			if err := owner.keeper.Changed("run-1", record.Encode()); err != nil {
				t.Fatal(err)
			}
			seconds := 0
			for ; seconds < 100; seconds++ {
				if changes := owner.advance(t); len(changes) > 0 && changes[0].Over {
					break
				}
			}
			if seconds < test.seconds || seconds > test.seconds+2 {
				t.Errorf("ended after %d s, not %d", seconds, test.seconds)
			}
		})
	}
}

// A job that is in no record fails its step, on the condition that it still is
// in none; an ID that another job has is not taken.
func TestMissingAndForeignJobsFailTheirStep(t *testing.T) {
	c, p := newController(t, plainDocument)
	jobID := JobID("run-1", "salt", p.Steps[0].Name, 0)
	t.Run("job in no record", func(t *testing.T) {
		c.advance(t)
		delete(c.jobs, jobID)
		c.keeper.JobChanged(jobID)
		if _, reads := c.pass(); !slices.Equal(reads, []string{jobID}) {
			t.Fatalf("reads %v", reads)
		}
		c.keeper.JobMissing(jobID)
		changes := c.advance(t)
		if len(changes) != 1 || !changes[0].Over || !slices.Equal(changes[0].Absent, []string{jobID}) {
			t.Fatalf("%+v", changes)
		}
	})
	t.Run("ID of another job", func(t *testing.T) {
		c, _ := newController(t, plainDocument)
		c.jobs[jobID] = jobs.Live
		changes := c.advance(t)
		record, err := Decode(changes[0].Record)
		if err != nil || record.Steps[0].Cause != JobIDTaken || len(changes[0].Submit) > 0 {
			t.Fatalf("%+v %v", changes, err)
		}
	})
}

// While a user's cancellation is under way, the owner submits nothing that
// would make it fail.
func TestUsersCancellationGoesBeforeSubmissions(t *testing.T) {
	c, _ := newController(t, wideDocument)
	c.advance(t)
	change := c.keeper.CancelRun("run-1", c.now, c.nowMs, c)
	if change == nil || !change.Urgent || len(change.Submit) > 0 {
		t.Fatalf("%+v", change)
	}
	// It was refused, since another change came between; the user repeats it.
	if changes := c.advance(t); len(changes) > 0 {
		t.Fatalf("%+v", changes)
	}
	for range 4 {
		c.advance(t)
	}
	if len(c.jobs) < 20 {
		t.Errorf("%d jobs after the user never came back", len(c.jobs))
	}
}

// Changes beyond the runs' share wait, and none is lost.
func TestChangesBeyondTheRateWait(t *testing.T) {
	c, p := newController(t, wideDocument)
	c.keeper.SetRate(c.now, 5)
	seconds := 0
	for ; len(c.jobs) < len(p.Steps) && seconds < 100; seconds++ {
		c.advance(t)
	}
	if seconds < 10 || seconds > 20 {
		t.Errorf("64 jobs went out in %d s at 5 changes a second", seconds)
	}
}
