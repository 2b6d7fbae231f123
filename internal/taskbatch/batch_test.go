package taskbatch

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/testseed"
)

func TestMain(m *testing.M) { os.Exit(testseed.Main(m)) }

// drawn is any entries of a pack, each task once.
func drawn(t *rapid.T) []Entry {
	machine := rapid.SampledFrom([]string{"i-1", "i-2", "i-000003"})
	have := map[string]bool{}
	var out []Entry
	for range rapid.IntRange(1, 40).Draw(t, "tasks") {
		e := Entry{JobID: fmt.Sprintf("wk-%06d", rapid.IntRange(1, 6).Draw(t, "job")), Index: rapid.IntRange(0, jobs.MaxTasks-1).Draw(t, "n")}
		if taskID := jobs.TaskID(e.JobID, e.Index); have[taskID] {
			continue
		} else {
			have[taskID] = true
		}
		e.Task = jobs.Task{State: rapid.SampledFrom(states).Draw(t, "state"), Attempt: rapid.Uint64Range(1, 1<<40).Draw(t, "try")}
		switch e.Task.State {
		case jobs.Placed, jobs.Stopping:
			e.Task.Machine, e.Task.Zone, e.Task.Reason = machine.Draw(t, "host"), "a", rapid.SampledFrom([]string{"", "makes room"}).Draw(t, "why")
		case jobs.Released:
			e.Task.Controller, e.Task.PreferredMachine = "n1", machine.Draw(t, "want")
		case jobs.Pending:
			e.Task.Failures, e.Task.NotBeforeMs = rapid.IntRange(0, 99).Draw(t, "fails"), rapid.Int64Range(0, 1<<42).Draw(t, "after")
			e.Task.FailedOn = rapid.SliceOfN(machine, 0, 4).Draw(t, "bad")
		}
		if len(e.Task.FailedOn) == 0 {
			e.Task.FailedOn = nil
		}
		out = append(out, e)
	}
	return out
}

func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		es := drawn(t)
		v := Encode(es)
		got, err := Decode(v)
		Sort(es)
		if err != nil || !reflect.DeepEqual(got, es) {
			t.Fatalf("%v: %+v, not %+v", err, got, es)
		}
		jobIDs, ok := JobIDs(v)
		for _, e := range es {
			if !ok || !strings.Contains(strings.Join(jobIDs, " "), e.JobID) {
				t.Fatalf("%v does not name %s", jobIDs, e.JobID)
			}
		}
		// However small a value may be, every task is in one of the packs once.
		var all []Entry
		for _, part := range Split(es, rapid.IntRange(80, 900).Draw(t, "limit")) {
			some, err := Decode(part)
			if err != nil {
				t.Fatal(err)
			}
			all = append(all, some...)
		}
		if len(all) != len(es) {
			t.Fatalf("%d tasks of %d after a split", len(all), len(es))
		}
		for i := range es {
			if all[i].JobID != es[i].JobID || all[i].Index != es[i].Index || all[i].Task.State != es[i].Task.State || all[i].Task.Attempt != es[i].Task.Attempt {
				t.Fatalf("%+v, not %+v", all[i], es[i])
			}
		}
	})
}

// A flipped bit is seen, and whose tasks they were is still known.
func TestDamage(t *testing.T) {
	var es []Entry
	for i := range 50 {
		es = append(es, Entry{fmt.Sprint("wk-", i%5), i, jobs.Task{State: jobs.Placed, Machine: fmt.Sprint("i-", i), Zone: "a", Attempt: 1}})
	}
	var s stored
	if err := json.Unmarshal(Encode(es), &s); err != nil {
		t.Fatal(err)
	}
	z, _ := base64.StdEncoding.DecodeString(s.Tasks)
	for i := range z {
		for bit := range 8 {
			z[i] ^= 1 << bit
			bad := jobs.Encode(stored{s.Version, s.Jobs, base64.StdEncoding.EncodeToString(z)})
			if got, err := Decode(bad); err == nil && len(got) != len(es) {
				t.Fatalf("byte %d, bit %d: %d tasks", i, bit, len(got))
			}
			if jobIDs, ok := JobIDs(bad); !ok || len(jobIDs) != 5 {
				t.Fatal(jobIDs)
			}
			z[i] ^= 1 << bit
		}
	}
	for name, v := range map[string]string{
		"another version": `{"v":2,"jobs":"wk-1","z":""}`, "no jobs": `{"v":1,"z":""}`, "no tasks": `{"v":1,"jobs":"wk-1","z":""}`,
		"not base64": `{"v":1,"jobs":"wk-1","z":"?"}`, "a strange job": `{"v":1,"jobs":"../x","z":""}`, "not JSON": `{`,
	} {
		if _, err := Decode([]byte(v)); err == nil {
			t.Error(name)
		}
	}
}

// What a task takes of a value, for the counts in docs/notes/records.md.
func TestSize(t *testing.T) {
	var es []Entry
	for i := range 400 {
		es = append(es, Entry{fmt.Sprintf("wk-%018d", i/8*7919), i % 8, jobs.Task{State: jobs.Placed, Machine: fmt.Sprintf("i-%06d", i*31%997), Zone: fmt.Sprint("zone-", i%3), Attempt: uint64(1 + i%3)}})
	}
	if v := Encode(es); len(v) > 400*22 {
		t.Errorf("%d bytes for 400 placed tasks of 50 jobs on as many machines", len(v))
	} else {
		t.Logf("%d bytes for 400 placed tasks of 50 jobs", len(v))
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(Encode([]Entry{{"wk-1", 3, jobs.Task{State: jobs.Placed, Machine: "i-1", Zone: "a", Attempt: 2}}, {"wk-2", 0, jobs.Task{State: jobs.Pending, Attempt: 1, Failures: 1, FailedOn: []string{"i-1"}, NotBeforeMs: 9}}})))
	f.Add([]byte(`{"v":1,"jobs":"wk-1","z":""}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		es, err := Decode(b)
		if err != nil {
			return
		}
		again, err := Decode(Encode(es))
		if err != nil || !reflect.DeepEqual(again, es) {
			t.Fatalf("%v: %+v, not %+v", err, again, es)
		}
	})
}

func BenchmarkEncode(b *testing.B) {
	var es []Entry
	for i := range 300 {
		es = append(es, Entry{fmt.Sprintf("wk-%06d", i/8), i % 8, jobs.Task{State: jobs.Placed, Machine: fmt.Sprintf("i-%06d", i), Zone: "a", Attempt: 1}})
	}
	v := Encode(es)
	b.Run("write", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			Encode(es)
		}
	})
	b.Run("read", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := Decode(v); err != nil {
				b.Fatal(err)
			}
		}
	})
}
