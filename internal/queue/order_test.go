package queue

import (
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/settings"
)

// A large gang is overdue tuning.GangOverdueMargin after the last of its class's objectives for
// starting, and after tuning.GangOverdueAfter at the latest. Smaller gangs are never overdue.
func TestLargeGangIsOverdueAfterItsLastObjective(t *testing.T) {
	q := newTestQueue(t, map[string]quota.Team{"b": {Name: "b"}})
	gang := func(class string, taskCount int) func(*jobs.Spec) {
		return func(s *jobs.Spec) { s.Kind, s.Class, s.TaskCount = jobs.Gang, class, taskCount }
	}
	q.config.Objectives = append(
		q.config.Objectives,
		settings.Objective{Kind: "wait", Class: "soon", WithinS: 90},
		settings.Objective{Kind: "wait", Class: "soon", WithinS: 50},
		settings.Objective{Kind: "wait", Class: "late", WithinS: 150},
		settings.Objective{Kind: "wait", Class: "at-once", WithinS: 10},
	)
	overdueAfterS := map[string]int{"soon": 100, "late": 160, "at-once": 160, "none": 160}
	for class := range overdueAfterS {
		q.addJob("wk-"+class, "b", "standard", 16, gang(class, 16))
		q.addJob("wk-small-"+class, "b", "standard", 4, gang(class, 4))
	}
	start := q.state.Now
	for _, s := range []int{0, 99, 101, 159, 161, 500} {
		q.state.Now = start.Add(time.Duration(s) * time.Second)
		for class, from := range overdueAfterS {
			if got := q.Overdue(q.state.Jobs["wk-"+class]); got != (s >= from) {
				t.Errorf("class %s after %d s: overdue = %v", class, s, got)
			}
			if q.Overdue(q.state.Jobs["wk-small-"+class]) {
				t.Errorf("gang of 4 tasks is overdue after %d s", s)
			}
		}
	}
}
