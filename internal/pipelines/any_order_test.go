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
	e := &simulation{
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
	for _, c := range e.controllers {
		e.restart(t, c)
	}
	return e
}

// restart restarts a controller with empty memory.
func (e *simulation) restart(t *rapid.T, c *testController) {
	c.keeper = NewKeeper(e.limits)
	c.revision = 0
	c.keeper.SetRate(c.now, 1000)
	c.sync(t, e.store)
}

// anyController draws one of the controllers.
func (e *simulation) anyController(t *rapid.T) *testController {
	return e.controllers[rapid.IntRange(0, 1).Draw(t, "controller")]
}

// anyLiveJob draws one of the live jobs. It skips the event if there is none.
func (e *simulation) anyLiveJob(t *rapid.T) string {
	var live []string
	for _, jobID := range slices.Sorted(maps.Keys(e.store.jobs)) {
		if e.store.jobs[jobID] == jobs.Live {
			live = append(live, jobID)
		}
	}
	if len(live) == 0 {
		t.Skip("no live job")
	}
	return rapid.SampledFrom(live).Draw(t, "job")
}

// answer delivers the answer to a controller's change, or loses it.
func (e *simulation) answer(t *rapid.T, c *testController, change *Change, applied bool) {
	if applied && rapid.IntRange(0, 3).Draw(t, "answer") > 0 {
		c.sync(t, e.store)
		return
	}
	c.keeper.Touch(change.ID) // the change was lost or refused, or its answer was lost
}

// pass makes a controller reconcile and commit its changes. If lose is set, all changes are lost.
func (e *simulation) pass(t *rapid.T, c *testController, lose bool) {
	changes, _ := c.pass()
	for i := range changes {
		e.answer(t, c, &changes[i], !lose && e.store.commit(t, c, &changes[i], e.plan))
	}
}

// cancelRun makes a user cancel the run in one of ten calls.
func (e *simulation) cancelRun(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "rare") > 0 {
		return
	}
	c := e.anyController(t)
	if change := c.keeper.CancelRun("run-1", c.now, c.nowMs, c); change != nil {
		e.answer(t, c, change, e.store.commit(t, c, change, e.plan))
	}
}

// events returns the events, which may happen in any order.
func (e *simulation) events() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"pass":         func(t *rapid.T) { e.pass(t, e.anyController(t), false) },
		"changes lost": func(t *rapid.T) { e.pass(t, e.anyController(t), true) },
		"sync":         func(t *rapid.T) { e.anyController(t).sync(t, e.store) },
		"job done":     func(t *rapid.T) { e.store.jobs[e.anyLiveJob(t)] = jobs.Done },
		"job cancelled by a user": func(t *rapid.T) {
			if rapid.IntRange(0, 5).Draw(t, "rare") == 0 {
				e.store.jobs[e.anyLiveJob(t)] = jobs.Cancelled
			}
		},
		"job doubted or trusted": func(t *rapid.T) {
			c, jobID := e.anyController(t), e.anyLiveJob(t)
			c.doubted[jobID] = !c.doubted[jobID]
		},
		"time passes": func(t *rapid.T) {
			seconds := rapid.IntRange(1, 100).Draw(t, "seconds")
			for _, c := range e.controllers {
				c.wait(time.Duration(seconds) * time.Second)
			}
		},
		"time of day jumps": func(t *rapid.T) {
			e.anyController(t).nowMs += int64(rapid.IntRange(-5000, 5000).Draw(t, "ms"))
		},
		"restart":       func(t *rapid.T) { e.restart(t, e.anyController(t)) },
		"run cancelled": e.cancelRun,
	}
}

// expectEnd finishes all jobs, and fails if the run does not end.
func (e *simulation) expectEnd(t *rapid.T) {
	for range 200 {
		if e.store.over {
			return
		}
		for jobID, state := range e.store.jobs {
			if state == jobs.Live {
				e.store.jobs[jobID] = jobs.Done
			}
		}
		c := e.controllers[0]
		c.wait(time.Second)
		c.sync(t, e.store)
		e.pass(t, c, false)
	}
	t.Fatalf("the run never ends: %s", e.store.run)
}

// TestRunInvariantsUnderEventsInAnyOrder checks the invariants of a run while events happen in any order
// at two controllers that both believe they own it: lagging mirrors, lost changes and answers,
// restarts, jumps of the wall clock, and jobs that finish, fail or are cancelled.
func TestRunInvariantsUnderEventsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := newSimulation(t)
		t.Repeat(e.events())
		e.expectEnd(t)
	})
}
