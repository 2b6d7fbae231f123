package queue

import (
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/settings"
)

// A large gang is overdue once the last of its class's objectives for starting has passed, and after
// tuning.GangOverdue in any case; smaller ones never are.
func TestLargeGangIsOverdueAfterItsLastObjective(t *testing.T) {
	d := newTestQueue(t, map[string]quota.Team{"b": {Name: "b"}})
	gang := func(class string, taskCount int) func(*jobs.Spec) {
		return func(s *jobs.Spec) { s.Kind, s.Class, s.TaskCount = jobs.Gang, class, taskCount }
	}
	d.config.Objectives = append(
		d.config.Objectives,
		settings.Objective{Kind: "wait", Class: "soon", WithinS: 90},
		settings.Objective{Kind: "wait", Class: "soon", WithinS: 50},
		settings.Objective{Kind: "wait", Class: "late", WithinS: 150},
		settings.Objective{Kind: "wait", Class: "at-once", WithinS: 10},
	)
	after := map[string]int{"soon": 100, "late": 160, "at-once": 160, "none": 160}
	for class := range after {
		d.job("wk-"+class, "b", "standard", 16, gang(class, 16))
		d.job("wk-small-"+class, "b", "standard", 4, gang(class, 4))
	}
	begin := d.state.Now
	for _, s := range []int{0, 99, 101, 159, 161, 500} {
		d.state.Now = begin.Add(time.Duration(s) * time.Second)
		for class, from := range after {
			if got := d.Overdue(d.state.Jobs["wk-"+class]); got != (s >= from) {
				t.Errorf("%s after %d s: overdue %v", class, s, got)
			}
			if d.Overdue(d.state.Jobs["wk-small-"+class]) {
				t.Errorf("a gang of four is overdue after %d s", s)
			}
		}
	}
}
