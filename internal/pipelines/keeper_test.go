package pipelines

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
)

// TestTimeoutUsesMonotonicClock checks that a jump of the wall clock by an hour does not end a step
// with a timeout of 30 s, but that 30 s on the monotonic clock do.
func TestTimeoutUsesMonotonicClock(t *testing.T) {
	c, _ := newController(t, timedDocument)
	c.advance(t)
	c.advance(t)
	c.nowMs += 3600_000
	for range 20 {
		c.advance(t)
	}
	if step := c.step(t, 0); !step.State.HasJob() {
		t.Fatalf("after a jump of the wall clock the step is %+v", step)
	}
	c.nowMs -= 7200_000
	ended := false
	for range 15 {
		for _, change := range c.advance(t) {
			ended = ended || change.Ended
		}
	}
	if !ended {
		t.Fatal("the run has not ended after the step's timeout")
	}
}

// TestRetryIsANewJob checks that a step that exceeds its timeout is retried with a new job, as
// often as its document allows.
func TestRetryIsANewJob(t *testing.T) {
	const doc = `{"name":"p","owner":"t","steps":[{"name":"a","timeout_s":30,"repeats":1,` + step + `}]}`
	c, p := newController(t, doc)
	var last Change
	for seconds := 0; seconds < 100 && !last.Ended; seconds++ {
		if changes := c.advance(t); len(changes) > 0 {
			last = changes[0]
		}
	}
	for attempt := range 2 {
		if jobID := JobID("run-1", "salt", p.Steps[0].Name, attempt); c.jobs[jobID] != jobs.Cancelled {
			t.Errorf("the job of attempt %d is %q, want it cancelled", attempt, c.jobs[jobID])
		}
	}
	record, err := Decode(last.Record)
	if err != nil || len(c.jobs) != 2 {
		t.Fatalf("%d jobs, %v", len(c.jobs), err)
	}
	if s := record.Steps[0]; s.State != Failed || s.Attempt != 1 || s.Cause != TimedOut {
		t.Errorf("got step %+v, want it failed after one retry", s)
	}
}

// TestTimeoutsContinueWhileTheRunIsBusy checks that reconciling a run with a pending transaction
// does not reset its start times: they would be computed anew from the wall clock, which may have
// jumped.
func TestTimeoutsContinueWhileTheRunIsBusy(t *testing.T) {
	c, _ := newController(t, timedDocument)
	c.advance(t)
	c.advance(t)
	c.nowMs += 3600_000
	c.keeper.Touch("run-1")
	if changes, _ := c.keeper.Reconcile(c.now, c.nowMs, yes, yes, unlimitedBudget, c); len(changes) > 0 {
		t.Fatalf("changes of a run with a pending transaction: %+v", changes)
	}
	for range 20 {
		c.advance(t)
	}
	if step := c.step(t, 0); !step.State.HasJob() {
		t.Fatalf("after a jump of the wall clock the step is %+v", step)
	}
}

// TestNewOwnerCountsElapsedTime checks that a new owner of a run counts the time before it took
// over, and counts it as zero, not as negative, if its own wall clock is behind.
func TestNewOwnerCountsElapsedTime(t *testing.T) {
	previous, _ := newController(t, timedDocument)
	previous.advance(t)
	record, _ := previous.keeper.Known("run-1")
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
				keeper: NewKeeper(previous.keeper.limits),
				jobs:   maps.Clone(previous.jobs),
				now:    time.Unix(5, 0),
				nowMs:  previous.nowMs + 20_000 - 3*test.behindMs,
			}
			owner.keeper.SetRate(owner.now, 1000)
			if err := owner.keeper.Changed("run-1", record.Encode()); err != nil {
				t.Fatal(err)
			}
			seconds := 0
			for ; seconds < 100; seconds++ {
				if changes := owner.advance(t); len(changes) > 0 && changes[0].Ended {
					break
				}
			}
			if seconds < test.seconds || seconds > test.seconds+2 {
				t.Errorf("ended after %d s, want %d", seconds, test.seconds)
			}
		})
	}
}

// TestStepFailsIfItsJobIsMissingOrItsIDIsTaken checks that a step fails if its job has no record,
// on condition that there is still none at commit, or if another job has its job's ID.
func TestStepFailsIfItsJobIsMissingOrItsIDIsTaken(t *testing.T) {
	c, p := newController(t, plainDocument)
	jobID := JobID("run-1", "salt", p.Steps[0].Name, 0)
	t.Run("job in no record", func(t *testing.T) {
		c.advance(t)
		delete(c.jobs, jobID)
		c.keeper.JobChanged(jobID)
		if _, reads := c.pass(); !slices.Equal(reads, []string{jobID}) {
			t.Fatalf("got reads of %v, want only the unknown job", reads)
		}
		c.keeper.JobMissing(jobID)
		changes := c.advance(t)
		if len(changes) != 1 || !changes[0].Ended || !slices.Equal(changes[0].RequireAbsent, []string{jobID}) {
			t.Fatalf("got changes %+v, want one that ends the run and requires the job to be absent", changes)
		}
	})
	t.Run("ID of another job", func(t *testing.T) {
		c, _ := newController(t, plainDocument)
		c.jobs[jobID] = jobs.Live
		changes := c.advance(t)
		record, err := Decode(changes[0].Record)
		if err != nil || record.Steps[0].Cause != JobIDTaken || len(changes[0].Submit) > 0 {
			t.Fatalf("got changes %+v, want the step to fail because its job's ID is taken: %v", changes, err)
		}
	})
}

// TestUserCancellationPrecedesSubmissions checks that the owner submits no jobs while a user's
// cancellation is pending, because the submission would make the cancellation fail.
func TestUserCancellationPrecedesSubmissions(t *testing.T) {
	c, _ := newController(t, wideDocument)
	c.advance(t)
	change := c.keeper.CancelRun("run-1", c.now, c.nowMs, c)
	if change == nil || !change.Urgent || len(change.Submit) > 0 {
		t.Fatalf("got change %+v, want an urgent one without submissions", change)
	}
	// The commit was refused because of another change, and the user is expected to retry.
	if changes := c.advance(t); len(changes) > 0 {
		t.Fatalf("changes while the user's cancellation is pending: %+v", changes)
	}
	for range 4 {
		c.advance(t)
	}
	if len(c.jobs) < 20 {
		t.Errorf("%d jobs after the cancellation was not retried", len(c.jobs))
	}
}

// TestChangesBeyondTheRateAreDelayed checks that changes beyond the rate limit are delayed and not
// lost.
func TestChangesBeyondTheRateAreDelayed(t *testing.T) {
	c, p := newController(t, wideDocument)
	c.keeper.SetRate(c.now, 5)
	seconds := 0
	for ; len(c.jobs) < len(p.Steps) && seconds < 100; seconds++ {
		c.advance(t)
	}
	if seconds < 10 || seconds > 20 {
		t.Errorf("64 jobs were submitted in %d s at 5 changes per second", seconds)
	}
}
