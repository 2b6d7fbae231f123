package pipelines

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/harrierreel/harrierreel/internal/jobs"
)

// simulation simulates one run with two controllers that both believe they own it.
type simulation struct {
	store       *storeModel
	controllers []*testController
	plan        *Plan
	limits      Limits
}

func newSimulation(t *rapid.T) *simulation {
	doc := []byte(documents[rapid.IntRange(0, len(documents)-1).Draw(t, "document")])
	plan, faults := CompileJSON(doc)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	start := time.Unix(1_900_000_000, 0)
	s := &simulation{
		store: &storeModel{
			run:         NewRecord(plan, doc, "salt", 1e12).Encode(),
			revision:    1,
			jobs:        map[string]jobs.JobState{},
			submissions: map[string]int{},
		},
		controllers: []*testController{
			{now: start, nowMs: 1e12, doubted: map[string]bool{}},
			{now: start, nowMs: 1e12, doubted: map[string]bool{}},
		},
		plan: plan,
		limits: Limits{
			Runs:       10,
			Steps:      1000,
			ValueBytes: 8 << 10,
			TxnOps:     rapid.IntRange(4, 16).Draw(t, "ops"),
		},
	}
	for _, c := range s.controllers {
		s.restart(t, c)
	}
	return s
}

// restart restarts a controller with empty memory.
func (s *simulation) restart(t *rapid.T, c *testController) {
	c.keeper = NewKeeper(s.limits)
	c.revision = 0
	c.keeper.SetRate(c.now, 1000)
	c.sync(t, s.store)
}

// anyController draws one of the controllers.
func (s *simulation) anyController(t *rapid.T) *testController {
	return s.controllers[rapid.IntRange(0, 1).Draw(t, "controller")]
}

// anyLiveJob draws one of the live jobs. It skips the event if there is none.
func (s *simulation) anyLiveJob(t *rapid.T) string {
	var live []string
	for _, jobID := range slices.Sorted(maps.Keys(s.store.jobs)) {
		if s.store.jobs[jobID] == jobs.Live {
			live = append(live, jobID)
		}
	}
	if len(live) == 0 {
		t.Skip("no live job")
	}
	return rapid.SampledFrom(live).Draw(t, "job")
}

// answer delivers the response to a controller's change, or loses it.
func (s *simulation) answer(t *rapid.T, c *testController, change *Change, applied bool) {
	if applied && rapid.IntRange(0, 3).Draw(t, "answer") > 0 {
		c.sync(t, s.store)
		return
	}
	c.keeper.Touch(change.ID) // the change was lost or refused, or its response was lost
}

// pass makes a controller reconcile and commit its changes. If lose is set, all changes are lost.
func (s *simulation) pass(t *rapid.T, c *testController, lose bool) {
	changes, _ := c.pass()
	for i := range changes {
		s.answer(t, c, &changes[i], !lose && s.store.commit(t, c, &changes[i], s.plan))
	}
}

// cancelRun makes a user cancel the run in one of ten calls.
func (s *simulation) cancelRun(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "rare") > 0 {
		return
	}
	c := s.anyController(t)
	if change := c.keeper.CancelRun("run-1", c.now, c.nowMs, c); change != nil {
		s.answer(t, c, change, s.store.commit(t, c, change, s.plan))
	}
}

// events returns the events, which may happen in any order.
func (s *simulation) events() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"pass":         func(t *rapid.T) { s.pass(t, s.anyController(t), false) },
		"changes lost": func(t *rapid.T) { s.pass(t, s.anyController(t), true) },
		"sync":         func(t *rapid.T) { s.anyController(t).sync(t, s.store) },
		"job done":     func(t *rapid.T) { s.store.jobs[s.anyLiveJob(t)] = jobs.Done },
		"job cancelled by a user": func(t *rapid.T) {
			if rapid.IntRange(0, 5).Draw(t, "rare") == 0 {
				s.store.jobs[s.anyLiveJob(t)] = jobs.Cancelled
			}
		},
		"job doubted or trusted": func(t *rapid.T) {
			c, jobID := s.anyController(t), s.anyLiveJob(t)
			c.doubted[jobID] = !c.doubted[jobID]
		},
		"time passes": func(t *rapid.T) {
			seconds := rapid.IntRange(1, 100).Draw(t, "seconds")
			for _, c := range s.controllers {
				c.wait(time.Duration(seconds) * time.Second)
			}
		},
		"time of day jumps": func(t *rapid.T) {
			s.anyController(t).nowMs += int64(rapid.IntRange(-5000, 5000).Draw(t, "ms"))
		},
		"restart":       func(t *rapid.T) { s.restart(t, s.anyController(t)) },
		"run cancelled": s.cancelRun,
	}
}

// expectEnd finishes all jobs, and fails if the run does not end.
func (s *simulation) expectEnd(t *rapid.T) {
	for range 200 {
		if s.store.ended {
			return
		}
		for jobID, state := range s.store.jobs {
			if state == jobs.Live {
				s.store.jobs[jobID] = jobs.Done
			}
		}
		c := s.controllers[0]
		c.wait(time.Second)
		c.sync(t, s.store)
		s.pass(t, c, false)
	}
	t.Fatalf("the run has not ended: %s", s.store.run)
}

// TestRunInvariantsUnderEventsInAnyOrder checks the invariants of a run while events happen in any
// order at two controllers that both believe they own it: lagging mirrors, lost changes and
// responses, restarts, jumps of the wall clock, and jobs that finish, fail or are cancelled.
func TestRunInvariantsUnderEventsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		t.Repeat(s.events())
		s.expectEnd(t)
	})
}
