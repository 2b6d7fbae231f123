package cli

import (
	"errors"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/rollout"
)

// allowsEnd is a plan under which n1 may be ended.
func allowsEnd(epoch uint64) rollout.Plan {
	return rollout.Plan{Leader: "n0", Epoch: epoch, Order: []string{"n1", "n0"}}
}

// waitOnPlans waits for n1 on a clock that does not wait, and gives the seconds it took and
// how many reasons were reported.
func waitOnPlans(planAt func(second int) rollout.Plan) (elapsed, notes int, err error) {
	now := time.Unix(0, 0)
	waiter := rolloutWaiter{
		name:      "n1",
		plan:      func() (rollout.Plan, error) { return planAt(int(now.Unix())), nil },
		stableFor: 10 * time.Second,
		patience:  60 * time.Second,
		now:       func() time.Time { return now },
		sleep:     func(d time.Duration) { now = now.Add(d) },
		progress:  func(string) { notes++ },
	}
	err = waiter.run()
	return int(now.Unix()), notes, err
}

// A wait ends once nothing has stood against it for long enough under one view; a view
// that changes begins it anew, and without an end it says why.
func TestRolloutWaitEndsAfterStableView(t *testing.T) {
	for name, c := range map[string]struct {
		planAt   func(second int) rollout.Plan
		duration int // seconds, below 0 for a wait in vain
		reason   string
	}{
		"stable from the start": {
			planAt:   func(int) rollout.Plan { return allowsEnd(3) },
			duration: 10,
		},
		"stable after two changes of view": {
			planAt:   func(second int) rollout.Plan { return allowsEnd(uint64(3 + min(second/7, 2))) },
			duration: 24,
		},
		"reason against it never goes": {
			planAt: func(int) rollout.Plan {
				plan := allowsEnd(3)
				plan.Obstacles = []string{"n2 is called"}
				return plan
			},
			duration: -1,
			reason:   "not yet: n2 is called",
		},
		"view changes again and again": {
			planAt:   func(second int) rollout.Plan { return allowsEnd(uint64(3 + second/5)) },
			duration: -1,
			reason:   "not yet: the view changes again and again",
		},
		"controller leads": {
			planAt: func(int) rollout.Plan {
				plan := allowsEnd(3)
				plan.Leader = "n1"
				return plan
			},
			duration: -1,
			reason:   "not yet: n1 leads, and goes last",
		},
	} {
		t.Run(name, func(t *testing.T) {
			elapsed, notes, err := waitOnPlans(c.planAt)
			if c.duration < 0 {
				var exit *Exit
				if !errors.As(err, &exit) || exit.Code != ExitNotYet || exit.Text != c.reason || notes > 1 {
					t.Errorf("ends with %v after %d notes, want %q", err, notes, c.reason)
				}
				return
			}
			if err != nil || elapsed != c.duration {
				t.Errorf("ends with %v after %d s, want %d s", err, elapsed, c.duration)
			}
		})
	}
}

func TestRolloutWaitReturnsErrorOfPlan(t *testing.T) {
	unreadable := errors.New("gone")
	waiter := rolloutWaiter{
		name:     "n1",
		plan:     func() (rollout.Plan, error) { return rollout.Plan{}, unreadable },
		patience: time.Second,
		now:      time.Now,
		sleep:    func(time.Duration) {},
		progress: func(string) {},
	}
	if err := waiter.run(); !errors.Is(err, unreadable) {
		t.Errorf("ends with %v, want %v", err, unreadable)
	}
}
