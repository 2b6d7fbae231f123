package calendar

import (
	"encoding/json"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/book"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/records"
	"github.com/harrierreel/harrierreel/internal/store"
)

// service is a service with jobs of two classes, one of which has windows.
func service(t *testing.T) *Service {
	t.Helper()
	b := book.New(quota.Flat(nil), func(string) {})
	b.Now = time.UnixMilli(2000)
	for uid, class := range map[string]string{"wk-1": "export", "wk-2": "match"} {
		spec := jobs.Spec{UID: uid, Class: class, Owner: "shop", Pieces: 9, Rank: "standard", Shape: jobs.Sweep}
		if err := b.JobChanged(uid, jobs.Encode(jobs.Record{State: jobs.Live, Spec: spec})); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := b.SliceChanged("task/wk-1/0", jobs.EncodeSlice([]jobs.Task{{State: jobs.Released, Part: "n1"}}, 8<<10)); err != nil {
		t.Fatal(err)
	}
	return New(b, parse(t, good), Env{Limit: 8 << 10, Log: slog.New(slog.DiscardHandler), Mirror: store.NewMirror(func(string, json.RawMessage, uint64) {}), Commit: func([]decide.Decision) {}, Busy: func(string) bool { return false }})
}

// TestGuard: whatever way work is to begin by, it is dropped while its window is shut,
// and carries the track's key while it is open; work without windows passes as it is.
func TestGuard(t *testing.T) {
	s := service(t)
	released := s.Released["wk-1/0"]
	placed, _ := jobs.NextTask(released.Task, jobs.TaskEvent{Kind: jobs.Place, Host: "i-1", Try: 1})
	back, _ := jobs.NextTask(released.Task, jobs.TaskEvent{Kind: jobs.TakeBack})
	on := &book.Task{Task: placed, Piece: "wk-1/0", Job: released.Job, Slice: released.Slice}
	again, _ := jobs.NextTask(placed, jobs.TaskEvent{Kind: jobs.Anew, Try: 2})
	dropped := 0
	begins := []decide.Decision{
		{Changes: decide.Become(released, placed)},
		{Changes: decide.Become(on, again)},
		{Fresh: []decide.Fresh{{Part: "n1", Entry: records.Entry{UID: "wk-1", N: 3, Task: jobs.Task{State: jobs.Released}}}}},
		{Writes: []store.Write{{Put: jobs.SliceKey("wk-1", 4), Value: jobs.EncodeSlice([]jobs.Task{placed}, 8<<10)}}},
	}
	for i := range begins {
		begins[i].Done = func(bool) { dropped++ }
	}
	others := []decide.Decision{
		{Changes: decide.Become(released, back)},
		{Writes: []store.Write{{Put: jobs.SliceKey("wk-2", 0), Value: jobs.EncodeSlice([]jobs.Task{placed}, 8<<10)}}},
		{Writes: []store.Write{{Remove: jobs.SliceKey("wk-1", 4)}}},
	}
	out := s.Guard(slices.Concat(begins, others))
	if len(out) != len(others) || dropped != len(begins) {
		t.Errorf("%d decisions pass, %d are dropped", len(out), dropped)
	}
	rec := Record{Occurrences: []Occurrence{{Window: "export", Begin: 1000, End: 9000, Opened: 1500, State: Open, Team: "shop", Classes: []string{"export"}}}}
	s.Changed(TrackKey("markets"), rec.encode(8<<10))
	out = s.Guard(slices.Concat(begins, others))
	for i, d := range out {
		if carries := slices.Contains(d.Seen, TrackKey("markets")); carries != (i < len(begins)) {
			t.Errorf("%s carries the track's key: %v", d.String(), carries)
		}
	}
	if len(out) != len(begins)+len(others) {
		t.Error(len(out))
	}
}
