package pipelines

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/harrierreel/harrierreel/internal/jobs"
)

// eventPlay is one run with two controllers that both believe to own it.
type eventPlay struct {
	store       *storeModel
	controllers []*testController
	plan        *Plan
	limits      Limits
}

func newEventPlay(t *rapid.T) *eventPlay {
	doc := []byte(documents[rapid.IntRange(0, len(documents)-1).Draw(t, "document")])
	plan, faults := CompileJSON(doc)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	start := time.Unix(1_900_000_000, 0)
	e := &eventPlay{
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

// restart starts a controller anew, with nothing in memory.
func (e *eventPlay) restart(t *rapid.T, c *testController) {
	c.keeper = NewKeeper(e.limits)
	c.revision = 0
	c.keeper.SetRate(c.now, 1000)
	c.sync(t, e.store)
}

// anyController draws one of the controllers.
func (e *eventPlay) anyController(t *rapid.T) *testController {
	return e.controllers[rapid.IntRange(0, 1).Draw(t, "controller")]
}

// anyLiveJob draws one of the live jobs, or skips the event without one.
func (e *eventPlay) anyLiveJob(t *rapid.T) string {
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

// answer lets a controller know of its change, or loses the answer.
func (e *eventPlay) answer(t *rapid.T, c *testController, change *Change, applied bool) {
	if applied && rapid.IntRange(0, 3).Draw(t, "answer") > 0 {
		c.sync(t, e.store)
		return
	}
	c.keeper.Touch(change.ID) // lost, refused, or without answer
}

// pass lets a controller decide; its changes may all be lost.
func (e *eventPlay) pass(t *rapid.T, c *testController, lose bool) {
	changes, _ := c.pass()
	for i := range changes {
		e.answer(t, c, &changes[i], !lose && e.store.commit(t, c, &changes[i], e.plan))
	}
}

// cancelRun has a user cancel the run, now and then.
func (e *eventPlay) cancelRun(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "rare") > 0 {
		return
	}
	c := e.anyController(t)
	if change := c.keeper.CancelRun("run-1", c.now, c.nowMs, c); change != nil {
		e.answer(t, c, change, e.store.commit(t, c, change, e.plan))
	}
}

// events are what may happen, in any order.
func (e *eventPlay) events() map[string]func(*rapid.T) {
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

// expectEnd lets all jobs end; the run must end then.
func (e *eventPlay) expectEnd(t *rapid.T) {
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

// Events come in any order at two controllers that both believe to own the run: late
// copies, changes that are lost or whose answers are, ends, restarts, jumps of the time
// of day, jobs that fail or are cancelled.
func TestRunKeepsItsRulesUnderEventsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := newEventPlay(t)
		t.Repeat(e.events())
		e.expectEnd(t)
	})
}
