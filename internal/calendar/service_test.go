package calendar

import (
	"encoding/json"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
)

// newTestService is a service with jobs of two classes, one of which has windows.
func newTestService(t *testing.T) *Service {
	t.Helper()
	b := clusterstate.New(quota.Flat(nil), func(string) {})
	b.Now = time.UnixMilli(2000)
	for jobID, class := range map[string]string{"wk-1": "export", "wk-2": "match"} {
		spec := jobs.Spec{ID: jobID, Class: class, Team: "shop", TaskCount: 9, Priority: "standard", Kind: jobs.JobArray}
		if err := b.ApplyJob(jobID, jobs.Encode(jobs.Record{State: jobs.Live, Spec: spec})); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := b.ApplyTaskRange(
		"task/wk-1/0",
		jobs.EncodeTaskRange([]jobs.Task{{State: jobs.Released, Controller: "n1"}}, 8<<10),
	); err != nil {
		t.Fatal(err)
	}
	return New(
		b,
		parseDocument(t, goodDocument),
		Env{
			Limit:  8 << 10,
			Log:    slog.New(slog.DiscardHandler),
			Mirror: store.NewMirror(func(string, json.RawMessage, uint64) {}),
			Commit: func([]decide.Decision) {},
			Busy:   func(string) bool { return false },
		},
	)
}

// TestGuard: whatever way work is to begin by, it is dropped while its window is shut,
// and carries the track's key while it is open; work without windows passes as it is.
func TestGuard(t *testing.T) {
	s := newTestService(t)
	released := s.Released["wk-1/0"]
	placed, _ := jobs.NextTask(released.Task, jobs.TaskEvent{Kind: jobs.Place, Machine: "i-1", Attempt: 1})
	back, _ := jobs.NextTask(released.Task, jobs.TaskEvent{Kind: jobs.TakeBack})
	on := &clusterstate.Task{Task: placed, ID: "wk-1/0", Job: released.Job, Stored: released.Stored}
	again, _ := jobs.NextTask(placed, jobs.TaskEvent{Kind: jobs.PlaceAgain, Attempt: 2})
	dropped := 0
	begins := []decide.Decision{
		{Changes: decide.TransitionTask(released, placed)},
		{Changes: decide.TransitionTask(on, again)},
		{
			BatchEntries: []decide.BatchEntry{
				{Controller: "n1", Entry: taskbatch.Entry{JobID: "wk-1", Index: 3, Task: jobs.Task{State: jobs.Released}}},
			},
		},
		{Writes: []store.Write{{Put: jobs.TaskRangeKey("wk-1", 4), Value: jobs.EncodeTaskRange([]jobs.Task{placed}, 8<<10)}}},
	}
	for i := range begins {
		begins[i].OnSettled = func(bool) { dropped++ }
	}
	others := []decide.Decision{
		{Changes: decide.TransitionTask(released, back)},
		{Writes: []store.Write{{Put: jobs.TaskRangeKey("wk-2", 0), Value: jobs.EncodeTaskRange([]jobs.Task{placed}, 8<<10)}}},
		{Writes: []store.Write{{Remove: jobs.TaskRangeKey("wk-1", 4)}}},
	}
	out := s.Guard(slices.Concat(begins, others))
	if len(out) != len(others) || dropped != len(begins) {
		t.Errorf("%d decisions pass, %d are dropped", len(out), dropped)
	}
	rec := Record{
		Occurrences: []Occurrence{
			{Window: "export", Begin: 1000, End: 9000, Opened: 1500, State: Open, Team: "shop", Classes: []string{"export"}},
		},
	}
	s.Changed(TrackKey("markets"), rec.encode(8<<10))
	out = s.Guard(slices.Concat(begins, others))
	for i, d := range out {
		if carries := slices.Contains(d.ReadSet, TrackKey("markets")); carries != (i < len(begins)) {
			t.Errorf("%s carries the track's key: %v", d.String(), carries)
		}
	}
	if len(out) != len(begins)+len(others) {
		t.Error(len(out))
	}
}
