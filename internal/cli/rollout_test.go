package cli

import (
	"errors"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/rollout"
)

// planForN1 returns a plan that allows n1 to be stopped.
func planForN1(epoch uint64) rollout.Plan {
	return rollout.Plan{Leader: "n0", Epoch: epoch, Order: []string{"n1", "n0"}}
}

// runWaiter runs a waiter for n1 with a fake clock. It returns the elapsed seconds, the number of
// progress messages and the waiter's error.
func runWaiter(planAt func(second int) rollout.Plan) (elapsed, messages int, err error) {
	now := time.Unix(0, 0)
	waiter := rolloutWaiter{
		name:      "n1",
		plan:      func() (rollout.Plan, error) { return planAt(int(now.Unix())), nil },
		stableFor: 10 * time.Second,
		patience:  60 * time.Second,
		now:       func() time.Time { return now },
		sleep:     func(d time.Duration) { now = now.Add(d) },
		progress:  func(string) { messages++ },
	}
	err = waiter.run()
	return int(now.Unix()), messages, err
}

// The waiter returns once there has been no reason against stopping the controller for stableFor,
// within the same view. A change of the view restarts that period. After the maximum time the
// waiter returns an error with the reason.
func TestRolloutWaiterReturnsAfterStableView(t *testing.T) {
	for name, c := range map[string]struct {
		planAt   func(second int) rollout.Plan
		duration int // in seconds; negative if the waiter gives up
		reason   string
	}{
		"stable from the start": {
			planAt:   func(int) rollout.Plan { return planForN1(3) },
			duration: 10,
		},
		"stable after two view changes": {
			planAt:   func(second int) rollout.Plan { return planForN1(uint64(3 + min(second/7, 2))) },
			duration: 24,
		},
		"permanent obstacle": {
			planAt: func(int) rollout.Plan {
				plan := planForN1(3)
				plan.Obstacles = []string{"n2 is called"}
				return plan
			},
			duration: -1,
			reason:   "not yet: n2 is called",
		},
		"view keeps changing": {
			planAt:   func(second int) rollout.Plan { return planForN1(uint64(3 + second/5)) },
			duration: -1,
			reason:   "not yet: the view changes again and again",
		},
		"controller is the leader": {
			planAt: func(int) rollout.Plan {
				plan := planForN1(3)
				plan.Leader = "n1"
				return plan
			},
			duration: -1,
			reason:   "not yet: n1 leads, and goes last",
		},
	} {
		t.Run(name, func(t *testing.T) {
			elapsed, messages, err := runWaiter(c.planAt)
			if c.duration < 0 {
				var exit *ExitError
				if !errors.As(err, &exit) || exit.Code != ExitNotYet || exit.Text != c.reason || messages > 1 {
					t.Errorf("error %v after %d messages, want %q", err, messages, c.reason)
				}
				return
			}
			if err != nil || elapsed != c.duration {
				t.Errorf("error %v after %d s, want none after %d s", err, elapsed, c.duration)
			}
		})
	}
}

func TestRolloutWaiterReturnsPlanError(t *testing.T) {
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
		t.Errorf("error %v, want %v", err, unreadable)
	}
}
