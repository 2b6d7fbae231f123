package jobs

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/harrierreel/harrierreel/internal/quota"
)

const validSubmission = `{"uid":"wk-000412","jobclass":"train","owner":"vision","shape":"ensemble","rank":"urgent","pieces":16,
 "cores":8.0,"accelerators":1.0,"memory_gb":64.0,"bundle":"img-07","pull_gb":6.2,"builds":["g8"],"site":null,
 "same_place":true,"scatter":false,"loaner":true,"expect_s":240.0,"snapshot_s":30.0,"stash_s":4.0,"due_s":900.0,"new":{"x":1}}`

func TestParseSpec(t *testing.T) {
	s, err := ParseSpec([]byte(validSubmission))
	if err != nil || s.TaskCount != 16 || s.ID != "wk-000412" || *s.DeadlineS != 900 || !s.SameZone || s.Zone != "" {
		t.Fatalf("%+v %v", s, err)
	}
	for field, change := range map[string][2]string{
		"uid":       {`"wk-000412"`, `"job-1"`},
		"pieces":    {`"pieces":16`, `"pieces":0`},
		"pieces ":   {`"pieces":16`, `"pieces":1.5`},
		"pieces  ":  {`"pieces":16`, `"pieces":100001`},
		"shape":     {`"ensemble"`, `"heap"`},
		"rank":      {`"urgent"`, `"highest"`},
		"cores":     {`8.0`, `-1`},
		"memory_gb": {`"memory_gb":64.0,`, ``},
		"owner":     {`"vision"`, `""`},
		"bundle":    {`"bundle":"img-07",`, ``},
		"builds":    {`["g8"]`, `[]`},
	} {
		body := strings.Replace(validSubmission, change[0], change[1], 1)
		if _, err := ParseSpec([]byte(body)); err == nil || !strings.HasPrefix(err.Error(), strings.TrimSpace(field)) {
			t.Errorf("%s: %v", field, err)
		}
	}
	for _, body := range []string{"", "null", "[]", `"x"`, "{", `{"uid":5}`} {
		if _, err := ParseSpec([]byte(body)); err == nil {
			t.Errorf("%q was taken", body)
		}
	}
}

// A field that may not be null may not be missing, whatever its value would mean; a record
// leaves out what is zero, a submission made of it doesn't.
func TestMissingFieldsAreNamed(t *testing.T) {
	fields := map[string]any{}
	if err := json.Unmarshal([]byte(validSubmission), &fields); err != nil {
		t.Fatal(err)
	}
	for f, v := range fields {
		for _, null := range []bool{false, true} {
			if delete(fields, f); null {
				fields[f] = nil
			}
			want := f + ": is missing"
			if f == "builds" || f == "site" || f == "due_s" || f == "new" {
				want = "<nil>"
			}
			if _, err := ParseSpec(Encode(fields)); fmt.Sprint(err) != want {
				t.Errorf("%s, null %v: %v", f, null, err)
			}
		}
		fields[f] = v
	}
	minimal := &Spec{
		ID:        "wk-1",
		Class:     "c",
		Team:      "t",
		Kind:      JobArray,
		Priority:  "idle",
		TaskCount: 1,
		Cores:     1,
		MemoryGB:  1,
		Image:     "b",
	}
	if s, err := ParseSpec(minimal.Submission()); err != nil || !reflect.DeepEqual(s, minimal) {
		t.Errorf("%s: %+v %v", minimal.Submission(), s, err)
	}
	if s, err := ParseSpec([]byte(validSubmission)); err != nil {
		t.Error(err)
	} else if again, err := ParseSpec(s.Submission()); err != nil || !reflect.DeepEqual(s, again) {
		t.Errorf("%s: %+v %v", s.Submission(), again, err)
	}
}

func TestCanEverRun(t *testing.T) {
	machineTypes := map[string]*MachineType{"g4": {Name: "g4", Cores: 8, Accelerators: 4, MemoryGB: 64, Zones: []string{"a"}}}
	tree := quota.Flat(map[string]quota.Team{"t": {Name: "t", Max: quota.Of(0, 4, 0)}})
	base := Spec{Team: "t", Kind: JobArray, TaskCount: 9, Cores: 1, Accelerators: 1, MemoryGB: 1}
	for name, c := range map[string]struct {
		change func(*Spec)
		ok     bool
	}{
		"array counts one task":   {func(*Spec) {}, true},
		"gang counts all":         {func(s *Spec) { s.Kind = Gang }, false},
		"service counts all":      {func(s *Spec) { s.Kind, s.TaskCount = Service, 4 }, true},
		"unknown team":            {func(s *Spec) { s.Team = "x" }, false},
		"unknown type":            {func(s *Spec) { s.MachineTypes = []string{"g9"} }, false},
		"type not in that zone":   {func(s *Spec) { s.Zone = "b" }, false},
		"too big for any machine": {func(s *Spec) { s.Accelerators = 5 }, false},
	} {
		s := base
		c.change(&s)
		if why := CanEverRun(&s, tree, machineTypes); (why == "") != c.ok {
			t.Errorf("%s: %q", name, why)
		}
	}
}

func TestNextTask(t *testing.T) {
	step := func(x Task, e TaskEvent) Task {
		t.Helper()
		next, ok := NextTask(x, e)
		if !ok {
			t.Fatalf("%s not possible from %s", e.Kind, x.State)
		}
		return next
	}
	x := step(Task{}, TaskEvent{Kind: Release, Controller: "n1", Zone: "a"})
	if !x.Charged() || x.OnMachine() {
		t.Error("released is charged and on no machine")
	}
	x = step(x, TaskEvent{Kind: Place, Machine: "i-1", Attempt: 1})
	if _, ok := NextTask(x, TaskEvent{Kind: Place, Machine: "i-2", Attempt: 2}); ok {
		t.Error("placed twice")
	}
	if _, ok := NextTask(x, TaskEvent{Kind: PlaceAgain, Attempt: 1}); ok {
		t.Error("an attempt number was used again on the same machine")
	}
	if again := step(
		x,
		TaskEvent{Kind: PlaceAgain, Attempt: 2},
	); again.Attempt != 2 || again.Machine != "i-1" ||
		again.State != Placed {
		t.Errorf("%+v", again)
	}
	x = step(x, TaskEvent{Kind: Stop, Reason: "room"})
	if _, ok := NextTask(x, TaskEvent{Kind: PlaceAgain, Attempt: 9}); ok {
		t.Error("what is to be stopped was placed once more")
	}
	x = step(x, TaskEvent{Kind: Fail, NotBeforeMs: 5})
	if x.Failures != 1 || len(x.FailedOn) != 1 || x.Charged() || x.Attempt != 1 {
		t.Errorf("%+v", x)
	}
	if _, ok := NextTask(x, TaskEvent{Kind: Place, Machine: "i-2", Attempt: 1}); ok {
		t.Error("an attempt number was used again")
	}
	x = step(x, TaskEvent{Kind: Place, Machine: "i-2", Attempt: 2})
	x = step(x, TaskEvent{Kind: Complete})
	for _, e := range []TaskEventKind{Release, Place, PlaceAgain, Stop, Lost, Fail, TakeBack, Complete} {
		if _, ok := NextTask(x, TaskEvent{Kind: e, Attempt: 9}); ok {
			t.Errorf("%s after done", e)
		}
	}
}

func TestNextJob(t *testing.T) {
	for _, s := range []JobState{Done, Cancelled} {
		for _, e := range []JobEvent{UserCancels, TasksAllDone} {
			if _, ok := NextJob(s, e); ok {
				t.Errorf("%s changed on %s", s, e)
			}
		}
	}
}

func TestSplitTaskID(t *testing.T) {
	if jobID, n, ok := SplitTaskID("wk-000412/3"); !ok || jobID != "wk-000412" || n != 3 {
		t.Error(jobID, n, ok)
	}
	for _, bad := range []string{"", "wk-1", "wk-1/", "wk-1/-1", "wk-1/03", "x/1", "wk-1/100000", "wk-1/1/2"} {
		if _, _, ok := SplitTaskID(bad); ok {
			t.Errorf("%q was taken", bad)
		}
	}
}

func FuzzRecords(f *testing.F) {
	f.Add([]byte(`{"s":"live","at":1,"spec":{"uid":"wk-1","pieces":1,"rank":"prod"}}`))
	f.Add([]byte(`{"s":"placed","host":"i-1","try":1}`))
	f.Add([]byte(validSubmission))
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, err := DecodeRecord("wk-1", b); err == nil && r.Spec.ID != "wk-1" {
			t.Error("another job's record")
		}
		if x, err := DecodeTask(b); err == nil && x.OnMachine() && x.Machine == "" {
			t.Error("on no machine")
		}
		_, _ = ParseSpec(b)
	})
}

func TestTaskRanges(t *testing.T) {
	in := []Task{
		{State: Placed, Machine: "i-1", Attempt: 1},
		{State: Pending, Attempt: 2, FailedOn: []string{"i-000001", "i-000002"}},
		{State: Finished, Attempt: 1},
	}
	out, err := DecodeTaskRange(EncodeTaskRange(in, 8192))
	if err != nil || len(out) != 3 {
		t.Fatal(out, err)
	}
	for i := range in {
		if !in[i].Same(&out[i]) {
			t.Errorf("task %d: %+v", i, out[i])
		}
	}
	lean, err := DecodeTaskRange(EncodeTaskRange(in, 100))
	if err != nil || lean[1].FailedOn != nil || lean[1].Attempt != 2 || lean[0].Machine != "i-1" {
		t.Errorf("what does not fit is left out, and nothing else: %+v %v", lean, err)
	}
	// The first form held one task.
	if old, err := DecodeTaskRange(
		[]byte(`{"s":"placed","host":"i-7","try":3}`),
	); err != nil || len(old) != 1 ||
		old[0].Machine != "i-7" {
		t.Error(old, err)
	}
	for _, bad := range []string{`{"s":"placed"}`, `{"v":2,"t":[{"s":"pending"}]}`, `{"v":1,"t":[]}`, `{"v":1,"t":[{"s":"placed"}]}`, `[]`, `null`, `{}`} {
		if _, err := DecodeTaskRange([]byte(bad)); err == nil {
			t.Errorf("%s was taken", bad)
		}
	}
}

func TestTrustOf(t *testing.T) {
	for _, c := range []struct {
		machines int
		proven   bool
		want     Trust
	}{{0, false, Trusted}, {2, false, Trusted}, {3, false, Probing}, {9, false, Probing}, {9, true, Trusted}} {
		if got := TrustOf(c.machines, c.proven); got != c.want {
			t.Errorf("%d machines, proven %v: %s, not %s", c.machines, c.proven, got, c.want)
		}
	}
}

func TestFinalCacheIsBounded(t *testing.T) {
	c := NewFinalCache(2)
	c.Put("wk-1", Final{State: Live})
	c.Put("wk-2", Final{State: Done, DoneCount: 3})
	c.Put("wk-2", Final{State: Cancelled}) // a final state never changes
	c.Put("wk-3", Final{State: Cancelled})
	if f, ok := c.Get("wk-2"); !ok || f.State != Done || f.DoneCount != 3 {
		t.Errorf("wk-2: %v %v", f, ok)
	}
	if _, ok := c.Get("wk-1"); ok {
		t.Error("a live state is kept")
	}
	c.Put("wk-4", Final{State: Done})
	if _, ok := c.Get("wk-2"); ok || len(c.order) != 2 {
		t.Errorf("kept %v", c.order)
	}
}
