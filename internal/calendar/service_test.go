package calendar

import (
	"encoding/json"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
)

// testValueBytes is the size limit of a value in the tests.
const testValueBytes = 8 << 10

// idleController discards all commits, and all its machines respond.
type idleController struct{ state *clusterstate.State }

func (c idleController) WallMs() int64            { return c.state.NowMs() }
func (c idleController) Busy(string) bool         { return false }
func (c idleController) Commit([]decide.Decision) {}

func (c idleController) UnresponsiveSince(*clusterstate.Machine) (time.Time, bool) {
	return time.Time{}, false
}

func (c idleController) TransitionMachine(string, fleet.Event, string) []decide.Decision {
	return nil
}

// newTestService returns a service with jobs of two classes, one of which has windows.
func newTestService(t *testing.T) *Service {
	t.Helper()
	state := clusterstate.New(quota.Flat(nil), func(string) {})
	state.Now = time.UnixMilli(2000)
	for jobID, class := range map[string]string{"wk-1": "export", "wk-2": "match"} {
		spec := jobs.Spec{
			ID:        jobID,
			Class:     class,
			Team:      "shop",
			TaskCount: 9,
			Priority:  "standard",
			Kind:      jobs.JobArray,
		}
		if err := state.ApplyJob(jobID, jobs.Encode(jobs.Record{State: jobs.Live, Spec: spec})); err != nil {
			t.Fatal(err)
		}
	}
	released := jobs.Task{State: jobs.Assigned, Controller: "n1"}
	if _, err := state.ApplyTaskRange("task/wk-1/0", encodeTask(released)); err != nil {
		t.Fatal(err)
	}
	controller := idleController{state: state}
	return New(state, parseDocument(t, goodDocument),
		Config{
			ValueBytes: testValueBytes,
			Log:        slog.New(slog.DiscardHandler),
		},
		Collaborators{
			Mirror:   store.NewMirror(func(string, json.RawMessage, uint64) {}),
			Clock:    controller,
			Commits:  controller,
			Machines: controller,
		},
	)
}

func encodeTask(task jobs.Task) json.RawMessage {
	return jobs.EncodeTaskRange([]jobs.Task{task}, testValueBytes)
}

// exportOpen returns a record of the track "markets" in which the window "export" is open.
func exportOpen() *Record {
	return &Record{Occurrences: []Occurrence{{
		Window:   "export",
		BeginMs:  1000,
		EndMs:    9000,
		OpenedMs: 1500,
		State:    Open,
		Team:     "shop",
		Classes:  []string{"export"},
	}}}
}

// TestGuardDropsStartsOutsideWindows checks that every kind of decision that starts a task is
// dropped while the task's window is closed, and is conditional on the track's key while the window
// is open. Other decisions and tasks without windows must pass unchanged.
func TestGuardDropsStartsOutsideWindows(t *testing.T) {
	service := newTestService(t)
	released := service.state.Assigned["wk-1/0"]
	placed, _ := jobs.NextTask(released.Task, jobs.TaskEvent{Kind: jobs.Place, Machine: "i-1", Attempt: 1})
	unassigned, _ := jobs.NextTask(released.Task, jobs.TaskEvent{Kind: jobs.Unassign})
	onMachine := &clusterstate.Task{Task: placed, ID: "wk-1/0", Job: released.Job, StoredIn: released.StoredIn}
	placedAgain, _ := jobs.NextTask(placed, jobs.TaskEvent{Kind: jobs.PlaceAgain, Attempt: 2})
	batched := taskbatch.Entry{JobID: "wk-1", Index: 3, Task: jobs.Task{State: jobs.Assigned}}
	starts := []decide.Decision{
		{Changes: decide.TransitionTask(released, placed)},
		{Changes: decide.TransitionTask(onMachine, placedAgain)},
		{BatchEntries: []decide.BatchEntry{{Controller: "n1", Entry: batched}}},
		{Writes: []store.Write{{Put: jobs.TaskRangeKey("wk-1", 4), Value: encodeTask(placed)}}},
	}
	dropped := 0
	for i := range starts {
		starts[i].OnSettled = func(bool) { dropped++ }
	}
	others := []decide.Decision{
		{Changes: decide.TransitionTask(released, unassigned)},
		{Writes: []store.Write{{Put: jobs.TaskRangeKey("wk-2", 0), Value: encodeTask(placed)}}},
		{Writes: []store.Write{{Remove: jobs.TaskRangeKey("wk-1", 4)}}},
	}
	admitted := service.Guard(slices.Concat(starts, others))
	if len(admitted) != len(others) || dropped != len(starts) {
		t.Errorf("%d decisions admitted, %d dropped", len(admitted), dropped)
	}
	service.Changed(TrackKey("markets"), exportOpen().encode(testValueBytes))
	admitted = service.Guard(slices.Concat(starts, others))
	for i, decision := range admitted {
		conditional := slices.Contains(decision.ReadSet, TrackKey("markets"))
		if conditional != (i < len(starts)) {
			t.Errorf("%s is conditional on the track's key: %v", decision.String(), conditional)
		}
	}
	if len(admitted) != len(starts)+len(others) {
		t.Error(len(admitted))
	}
}
