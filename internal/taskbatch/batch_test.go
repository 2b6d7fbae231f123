package taskbatch

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/testseed"
)

func TestMain(m *testing.M) { os.Exit(testseed.Main(m)) }

func placed(machine string) jobs.Task {
	return jobs.Task{State: jobs.Placed, Machine: machine, Zone: "a", Attempt: 1}
}

// drawEntries draws the entries of a batch record, without duplicate tasks.
func drawEntries(t *rapid.T) []Entry {
	drawn := map[string]bool{}
	var entries []Entry
	for range rapid.IntRange(1, 40).Draw(t, "tasks") {
		entry := Entry{
			JobID: fmt.Sprintf("wk-%06d", rapid.IntRange(1, 6).Draw(t, "job")),
			Index: rapid.IntRange(0, jobs.MaxTasks-1).Draw(t, "index"),
		}
		taskID := jobs.TaskID(entry.JobID, entry.Index)
		if drawn[taskID] {
			continue
		}
		drawn[taskID] = true
		entry.Task = drawTask(t)
		entries = append(entries, entry)
	}
	return entries
}

func drawTask(t *rapid.T) jobs.Task {
	machine := rapid.SampledFrom([]string{"i-1", "i-2", "i-000003"})
	task := jobs.Task{
		State:   rapid.SampledFrom(states).Draw(t, "state"),
		Attempt: rapid.Uint64Range(1, 1<<40).Draw(t, "attempt"),
	}
	switch task.State {
	case jobs.Placed, jobs.Stopping:
		task.Machine = machine.Draw(t, "machine")
		task.Zone = "a"
		task.Reason = rapid.SampledFrom([]string{"", "makes room"}).Draw(t, "reason")
	case jobs.Assigned:
		task.Controller = "n1"
		task.PreferredMachine = machine.Draw(t, "preferred machine")
	case jobs.Pending:
		task.Failures = rapid.IntRange(0, 99).Draw(t, "failures")
		task.NotBeforeMs = rapid.Int64Range(0, 1<<42).Draw(t, "not before")
		task.FailedOn = rapid.SliceOfN(machine, 0, 4).Draw(t, "failed on")
		if len(task.FailedOn) == 0 {
			task.FailedOn = nil // as Decode returns it
		}
	case jobs.Finished:
		// A finished task has no other fields.
	}
	return task
}

func TestDecodeInvertsEncode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := drawEntries(t)
		value := Encode(entries)
		decoded, err := Decode(value)
		Sort(entries)
		if err != nil || !reflect.DeepEqual(decoded, entries) {
			t.Fatalf("error %v, got %+v, want %+v", err, decoded, entries)
		}
		jobIDs, ok := JobIDs(value)
		for _, entry := range entries {
			if !ok || !slices.Contains(jobIDs, entry.JobID) {
				t.Fatalf("job IDs %v lack %s", jobIDs, entry.JobID)
			}
		}
	})
}

// Regardless of the size limit, every task ends up in exactly one of the batch records.
func TestSplitKeepsEveryTaskOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := drawEntries(t)
		Sort(entries)
		var restored []Entry
		for _, value := range Split(entries, rapid.IntRange(80, 900).Draw(t, "limit")) {
			decoded, err := Decode(value)
			if err != nil {
				t.Fatal(err)
			}
			restored = append(restored, decoded...)
		}
		if len(restored) != len(entries) {
			t.Fatalf("%d tasks after a split, want %d", len(restored), len(entries))
		}
		for i, want := range entries {
			got := restored[i]
			if compare(got, want) != 0 || got.Task.State != want.Task.State || got.Task.Attempt != want.Task.Attempt {
				t.Fatalf("got %+v, want %+v", got, want)
			}
		}
	})
}

// If a bit of the compressed tasks flips, decoding fails or still yields every task, and the job
// IDs remain readable.
func TestJobIDsOfDamagedRecordAreReadable(t *testing.T) {
	var entries []Entry
	for i := range 50 {
		entries = append(entries, Entry{JobID: fmt.Sprint("wk-", i%5), Index: i, Task: placed(fmt.Sprint("i-", i))})
	}
	s := decodeStored(t, Encode(entries))
	compressed, err := base64.StdEncoding.DecodeString(s.Tasks)
	if err != nil {
		t.Fatal(err)
	}
	for i := range compressed {
		for bit := range 8 {
			compressed[i] ^= 1 << bit
			damaged := jobs.Encode(stored{
				Version: s.Version,
				Jobs:    s.Jobs,
				Tasks:   base64.StdEncoding.EncodeToString(compressed),
			})
			compressed[i] ^= 1 << bit
			if decoded, err := Decode(damaged); err == nil && len(decoded) != len(entries) {
				t.Fatalf("byte %d, bit %d flipped: decoded %d tasks without an error", i, bit, len(decoded))
			}
			if jobIDs, ok := JobIDs(damaged); !ok || len(jobIDs) != 5 {
				t.Fatal(jobIDs)
			}
		}
	}
}

func TestDecodeRejectsMalformedRecords(t *testing.T) {
	tests := []struct {
		name  string
		value string
	}{
		{"no jobs", `{"v":1,"z":""}`},
		{"no tasks", `{"v":1,"jobs":"wk-1","z":""}`},
		{"not base64", `{"v":1,"jobs":"wk-1","z":"?"}`},
		{"not compressed", `{"v":1,"jobs":"wk-1","z":"AAAA"}`},
		{"malformed job ID", `{"v":1,"jobs":"../x","z":""}`},
		{"not JSON", `{`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if _, err := Decode(json.RawMessage(test.value)); !errors.Is(err, ErrMalformed) {
				t.Errorf("got %v, want %v", err, ErrMalformed)
			}
		})
	}
	t.Run("another version", func(t *testing.T) {
		var version *VersionError
		_, err := Decode(json.RawMessage(`{"v":2,"jobs":"wk-1","z":""}`))
		if !errors.As(err, &version) || version.Version != 2 {
			t.Errorf("got %v, want a VersionError of 2", err)
		}
	})
}

// A placed task takes at most 22 bytes in a batch record. The counts in docs/notes/records.md rely
// on this size.
func TestPlacedTaskTakesFewBytes(t *testing.T) {
	const tasks, maxBytesPerTask = 400, 22
	var entries []Entry
	for i := range tasks {
		entries = append(entries, Entry{
			JobID: fmt.Sprintf("wk-%018d", i/8*7919),
			Index: i % 8,
			Task: jobs.Task{
				State:   jobs.Placed,
				Machine: fmt.Sprintf("i-%06d", i*31%997),
				Zone:    fmt.Sprint("zone-", i%3),
				Attempt: uint64(1 + i%3),
			},
		})
	}
	value := Encode(entries)
	t.Logf("%d bytes for %d placed tasks of 50 jobs", len(value), tasks)
	if len(value) > tasks*maxBytesPerTask {
		t.Errorf("%d bytes for %d placed tasks of 50 jobs exceed the limit per task", len(value), tasks)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(Encode([]Entry{
		{JobID: "wk-1", Index: 3, Task: jobs.Task{State: jobs.Placed, Machine: "i-1", Zone: "a", Attempt: 2}},
		{JobID: "wk-2", Index: 0, Task: jobs.Task{
			State:       jobs.Pending,
			Attempt:     1,
			Failures:    1,
			FailedOn:    []string{"i-1"},
			NotBeforeMs: 9,
		}},
	})))
	f.Add([]byte(`{"v":1,"jobs":"wk-1","z":""}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		entries, err := Decode(value)
		if err != nil {
			return
		}
		again, err := Decode(Encode(entries))
		if err != nil || !reflect.DeepEqual(again, entries) {
			t.Fatalf("error %v, got %+v, want %+v", err, again, entries)
		}
	})
}

func BenchmarkEncode(b *testing.B) {
	var entries []Entry
	for i := range 300 {
		entries = append(entries, Entry{
			JobID: fmt.Sprintf("wk-%06d", i/8),
			Index: i % 8,
			Task:  placed(fmt.Sprintf("i-%06d", i)),
		})
	}
	value := Encode(entries)
	b.Run("write", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			Encode(entries)
		}
	})
	b.Run("read", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := Decode(value); err != nil {
				b.Fatal(err)
			}
		}
	})
}
