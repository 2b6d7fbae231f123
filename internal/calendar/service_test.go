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

// idleController commits nothing, and hears every machine.
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

// newTestService is a service with jobs of two classes, one of which has windows.
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

// exportOpen is a record of the track "markets" with the window "export" open.
func exportOpen() *Record {
	return &Record{Occurrences: []Occurrence{{
		Window:  "export",
		Begin:   1000,
		End:     9000,
		Opened:  1500,
		State:   Open,
		Team:    "shop",
		Classes: []string{"export"},
	}}}
}

// TestGuardDropsTasksOfShutWindows: whatever way a task is to begin by, it is dropped while its
// window is shut, and its decision carries the track's key while it is open; tasks without
// windows pass as they are.
func TestGuardDropsTasksOfShutWindows(t *testing.T) {
	service := newTestService(t)
	released := service.state.Assigned["wk-1/0"]
	placed, _ := jobs.NextTask(released.Task, jobs.TaskEvent{Kind: jobs.Place, Machine: "i-1", Attempt: 1})
	takenBack, _ := jobs.NextTask(released.Task, jobs.TaskEvent{Kind: jobs.Unassign})
	onMachine := &clusterstate.Task{Task: placed, ID: "wk-1/0", Job: released.Job, StoredIn: released.StoredIn}
	placedAgain, _ := jobs.NextTask(placed, jobs.TaskEvent{Kind: jobs.PlaceAgain, Attempt: 2})
	batched := taskbatch.Entry{JobID: "wk-1", Index: 3, Task: jobs.Task{State: jobs.Assigned}}
	begins := []decide.Decision{
		{Changes: decide.TransitionTask(released, placed)},
		{Changes: decide.TransitionTask(onMachine, placedAgain)},
		{BatchEntries: []decide.BatchEntry{{Controller: "n1", Entry: batched}}},
		{Writes: []store.Write{{Put: jobs.TaskRangeKey("wk-1", 4), Value: encodeTask(placed)}}},
	}
	dropped := 0
	for i := range begins {
		begins[i].OnSettled = func(bool) { dropped++ }
	}
	others := []decide.Decision{
		{Changes: decide.TransitionTask(released, takenBack)},
		{Writes: []store.Write{{Put: jobs.TaskRangeKey("wk-2", 0), Value: encodeTask(placed)}}},
		{Writes: []store.Write{{Remove: jobs.TaskRangeKey("wk-1", 4)}}},
	}
	admitted := service.Guard(slices.Concat(begins, others))
	if len(admitted) != len(others) || dropped != len(begins) {
		t.Errorf("%d decisions pass, %d are dropped", len(admitted), dropped)
	}
	service.Changed(TrackKey("markets"), exportOpen().encode(testValueBytes))
	admitted = service.Guard(slices.Concat(begins, others))
	for i, decision := range admitted {
		carries := slices.Contains(decision.ReadSet, TrackKey("markets"))
		if carries != (i < len(begins)) {
			t.Errorf("%s carries the track's key: %v", decision.String(), carries)
		}
	}
	if len(admitted) != len(begins)+len(others) {
		t.Error(len(admitted))
	}
}
