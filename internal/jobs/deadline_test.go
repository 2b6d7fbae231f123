package jobs

import (
	"testing"
	"time"
)

// A deadline is called missed only once the estimate rules it out, and never for what has
// none, has ended or saves its progress.
func TestUnmetDeadline(t *testing.T) {
	due := func(s float64) *float64 { return &s }
	const passed = "its deadline passed 20 s ago with 3 tasks left"
	const cannot = "its deadline in 40 s cannot be met: by expect_s it is done in 50 s at the earliest, with 3 tasks left"
	for name, c := range map[string]struct {
		state JobState
		spec  Spec
		p     Progress
		after float64 // seconds since its acceptance
		says  string
	}{
		"no deadline":                  {Live, Spec{Kind: JobArray, TaskCount: 4, ExpectedDurationS: 50}, Progress{NeverRun: 3, Done: 1}, 1000, ""},
		"a service":                    {Live, Spec{Kind: Service, TaskCount: 4, DeadlineS: due(10)}, Progress{NeverRun: 3, Done: 1}, 1000, ""},
		"cancelled":                    {Cancelled, Spec{Kind: JobArray, TaskCount: 4, ExpectedDurationS: 50, DeadlineS: due(100)}, Progress{NeverRun: 3, Done: 1}, 120, ""},
		"its last task done":           {Live, Spec{Kind: JobArray, TaskCount: 4, ExpectedDurationS: 50, DeadlineS: due(100)}, Progress{Done: 4}, 120, ""},
		"passed":                       {Live, Spec{Kind: JobArray, TaskCount: 4, ExpectedDurationS: 50, DeadlineS: due(100)}, Progress{Done: 1}, 120, passed},
		"a task that never began":      {Live, Spec{Kind: JobArray, TaskCount: 4, ExpectedDurationS: 50, DeadlineS: due(100)}, Progress{NeverRun: 1, Done: 1}, 60, cannot},
		"just in time":                 {Live, Spec{Kind: JobArray, TaskCount: 4, ExpectedDurationS: 50, DeadlineS: due(100)}, Progress{NeverRun: 3, Done: 1}, 50, ""},
		"all run":                      {Live, Spec{Kind: Gang, TaskCount: 4, ExpectedDurationS: 50, DeadlineS: due(100)}, Progress{Done: 1}, 60, ""},
		"begins again, lost":           {Live, Spec{Kind: JobArray, TaskCount: 4, ExpectedDurationS: 50, DeadlineS: due(100)}, Progress{Retrying: 1, Done: 1}, 60, cannot},
		"begins again, saved":          {Live, Spec{Kind: JobArray, TaskCount: 4, ExpectedDurationS: 50, CheckpointIntervalS: 10, DeadlineS: due(100)}, Progress{Retrying: 1, Done: 1}, 60, ""},
		"one begins again, one didn't": {Live, Spec{Kind: JobArray, TaskCount: 4, ExpectedDurationS: 50, CheckpointIntervalS: 10, DeadlineS: due(100)}, Progress{Retrying: 1, NeverRun: 1, Done: 1}, 60, cannot},
		"never possible":               {Live, Spec{Kind: JobArray, TaskCount: 3, ExpectedDurationS: 60, DeadlineS: due(50)}, Progress{}, 10, "its deadline in 40 s cannot be met: by expect_s it is done in 50 s at the earliest, with 3 tasks left"},
	} {
		r := Record{State: c.state, AcceptedMs: 1e12, Spec: c.spec}
		if says := r.DeadlineMissed(c.p, time.UnixMilli(1e12).Add(Seconds(c.after))); says != c.says {
			t.Errorf("%s: %q, not %q", name, says, c.says)
		}
	}
}
