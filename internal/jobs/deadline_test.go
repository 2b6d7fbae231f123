package jobs

import (
	"testing"
	"time"
)

const (
	passedMessage      = "its deadline passed 20 s ago with 3 tasks left"
	unreachableMessage = "its deadline in 40 s cannot be met: " +
		"by expect_s it is done in 50 s at the earliest, with 3 tasks left"
)

func seconds(s float64) *float64 { return &s }

// arrayWithDeadline returns a job array of four tasks of 50 s with a deadline of 100 s.
func arrayWithDeadline() Spec {
	return Spec{Kind: JobArray, TaskCount: 4, ExpectedDurationS: 50, DeadlineS: seconds(100)}
}

// gangWithDeadline returns the same job as a gang.
func gangWithDeadline() Spec {
	spec := arrayWithDeadline()
	spec.Kind = Gang
	return spec
}

// arrayWithCheckpoints returns the same job array with checkpoints.
func arrayWithCheckpoints() Spec {
	spec := arrayWithDeadline()
	spec.CheckpointIntervalS = 10
	return spec
}

// deadlineTests are jobs in all states, with the message expected for their deadlines; "" for none.
var deadlineTests = map[string]struct {
	state    JobState
	spec     Spec
	progress Progress
	afterS   float64 // seconds since its acceptance
	want     string
}{
	"no deadline": {
		state:    Live,
		spec:     Spec{Kind: JobArray, TaskCount: 4, ExpectedDurationS: 50},
		progress: Progress{NeverRun: 3, Done: 1},
		afterS:   1000,
	},
	"service": {
		state:    Live,
		spec:     Spec{Kind: Service, TaskCount: 4, DeadlineS: seconds(10)},
		progress: Progress{NeverRun: 3, Done: 1},
		afterS:   1000,
	},
	"cancelled": {
		state:    Cancelled,
		spec:     arrayWithDeadline(),
		progress: Progress{NeverRun: 3, Done: 1},
		afterS:   120,
	},
	"all tasks done": {
		state:    Live,
		spec:     arrayWithDeadline(),
		progress: Progress{Done: 4},
		afterS:   120,
	},
	"passed": {
		state:    Live,
		spec:     arrayWithDeadline(),
		progress: Progress{Done: 1},
		afterS:   120,
		want:     passedMessage,
	},
	"a task never started": {
		state:    Live,
		spec:     arrayWithDeadline(),
		progress: Progress{NeverRun: 1, Done: 1},
		afterS:   60,
		want:     unreachableMessage,
	},
	"just in time": {
		state:    Live,
		spec:     arrayWithDeadline(),
		progress: Progress{NeverRun: 3, Done: 1},
		afterS:   50,
	},
	"all are running": {
		state:    Live,
		spec:     gangWithDeadline(),
		progress: Progress{Done: 1},
		afterS:   60,
	},
	"one task retries without checkpoints": {
		state:    Live,
		spec:     arrayWithDeadline(),
		progress: Progress{Retrying: 1, Done: 1},
		afterS:   60,
		want:     unreachableMessage,
	},
	"one task retries from a checkpoint": {
		state:    Live,
		spec:     arrayWithCheckpoints(),
		progress: Progress{Retrying: 1, Done: 1},
		afterS:   60,
	},
	"one task retries from a checkpoint, one never started": {
		state:    Live,
		spec:     arrayWithCheckpoints(),
		progress: Progress{Retrying: 1, NeverRun: 1, Done: 1},
		afterS:   60,
		want:     unreachableMessage,
	},
	"estimate above the deadline from the start": {
		state:  Live,
		spec:   Spec{Kind: JobArray, TaskCount: 3, ExpectedDurationS: 60, DeadlineS: seconds(50)},
		afterS: 10,
		want:   unreachableMessage,
	},
}

// A deadline is reported as missed only once the estimate rules it out, and never for a job that
// has no deadline or has ended. Retries from a checkpoint do not rule it out.
func TestDeadlineMissed(t *testing.T) {
	for name, c := range deadlineTests {
		t.Run(name, func(t *testing.T) {
			r := Record{State: c.state, AcceptedMs: 1e12, Spec: c.spec}
			got := r.DeadlineMissed(c.progress, time.UnixMilli(1e12).Add(Seconds(c.afterS)))
			if got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}
