package clusterstate

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
)

func encodeArray(jobID string) []byte {
	return jobs.Encode(jobs.Record{
		State:      jobs.Live,
		AcceptedMs: 1,
		Spec: jobs.Spec{
			ID:        jobID,
			Class:     "c",
			Team:      "t",
			Kind:      jobs.JobArray,
			Priority:  "standard",
			TaskCount: 9,
			Cores:     1,
			MemoryGB:  1,
			Image:     "b",
		},
	})
}

// stateOfArrays is a state of live job arrays without tasks.
func stateOfArrays(t *testing.T, jobIDs ...string) *State {
	t.Helper()
	s := New(quota.Flat(nil), func(string) {})
	for _, jobID := range jobIDs {
		if err := s.ApplyJob(jobID, encodeArray(jobID)); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

func entry(jobID string, index int, task jobs.Task) taskbatch.Entry {
	return taskbatch.Entry{JobID: jobID, Index: index, Task: task}
}

func placed(machine string, attempt uint64) jobs.Task {
	return jobs.Task{State: jobs.Placed, Machine: machine, Attempt: attempt}
}

// applyBatch applies a batch record of entries, or its removal if there are none.
func applyBatch(t *testing.T, s *State, key string, revision uint64, entries ...taskbatch.Entry) {
	t.Helper()
	var value json.RawMessage
	if len(entries) > 0 {
		value = taskbatch.Encode(entries)
	}
	if _, err := s.ApplyBatch(key, value, revision); err != nil {
		t.Fatal(err)
	}
}

func auditClean(t *testing.T, s *State) {
	t.Helper()
	for _, finding := range s.Audit() {
		t.Error(finding)
	}
}

// quarantinedState is a state whose batch record pack/1 of wk-1 and wk-2 was readable first.
func quarantinedState(t *testing.T) (*State, json.RawMessage) {
	t.Helper()
	s := stateOfArrays(t, "wk-1", "wk-2", "wk-3")
	readable := taskbatch.Encode([]taskbatch.Entry{
		entry("wk-1", 0, placed("i-1", 2)),
		entry("wk-2", 4, placed("i-1", 2)),
	})
	if jobIDs, err := s.ApplyBatch("pack/1", readable, 5); err != nil || len(jobIDs) != 2 || s.MayBeQuarantined("wk-1") {
		t.Fatal(jobIDs, err)
	}
	if _, err := s.ApplyBatch("pack/1", []byte(`{"v":9,"jobs":"wk-1 wk-2","z":"?"}`), 6); err == nil {
		t.Fatal("an unreadable batch record was read")
	}
	return s, readable
}

// Of a batch record that can't be read only its tasks are quarantined: those that it held are
// neither placed again nor lost, and their jobs begin no task of which nobody knows whether
// that record has it. Other jobs go on.
func TestUnreadableBatchIsQuarantined(t *testing.T) {
	s, _ := quarantinedState(t)
	task := s.Jobs["wk-2"].Tasks[4]
	if task.State != Unreadable || len(s.Jobs["wk-2"].Active) != 1 || task.Obsolete(9) {
		t.Errorf("%+v", task)
	}
	if !s.MayBeQuarantined("wk-1") || s.MayBeQuarantined("wk-3") {
		t.Error("not the jobs that the record holds are quarantined")
	}
	for _, kind := range []jobs.TaskEventKind{
		jobs.Assign,
		jobs.Unassign,
		jobs.Place,
		jobs.Stop,
		jobs.Complete,
		jobs.Lost,
		jobs.Fail,
	} {
		if _, ok := jobs.NextTask(task.Task, jobs.TaskEvent{Kind: kind, Machine: "i-2", Attempt: 9}); ok {
			t.Error("decided on:", kind)
		}
	}
}

// The jobs of a batch record that was never readable are known; if not even they are, any job's
// tasks may be in it. Readable again, or gone, all is as it was.
func TestQuarantineOfBatchNeverRead(t *testing.T) {
	s, readable := quarantinedState(t)
	_, _ = s.ApplyBatch("pack/2", []byte(`{"v":9,"jobs":"wk-3"}`), 7)
	if !s.MayBeQuarantined("wk-3") {
		t.Error("a job's batch record that was never read")
	}
	_ = s.ApplyJob("wk-4", encodeArray("wk-4"))
	if _, _ = s.ApplyBatch("pack/3", []byte(`[]`), 8); !s.MayBeQuarantined("wk-4") {
		t.Error("a batch record that names no jobs")
	}
	_, _ = s.ApplyBatch("pack/1", readable, 9)
	_, _ = s.ApplyBatch("pack/2", nil, 10)
	_, _ = s.ApplyBatch("pack/3", nil, 11)
	if s.MayBeQuarantined("wk-1") || s.MayBeQuarantined("wk-3") || len(s.Batches) != 1 {
		t.Error("still quarantined")
	}
	if state := s.Jobs["wk-1"].Tasks[0].State; state != jobs.Placed {
		t.Error(state)
	}
	auditClean(t, s)
}

// A job whose own record can't be read may be live: what batch records say of it stays.
func TestTaskOfUnreadableJobIsNotObsolete(t *testing.T) {
	s, _ := quarantinedState(t)
	applyBatch(t, s, "pack/1", 12, entry("wk-1", 0, jobs.Task{State: jobs.Pending, Attempt: 2}))
	_ = s.ApplyJob("wk-1", []byte(`{`))
	if s.Jobs["wk-1"].Tasks[0].Obsolete(99) {
		t.Error("of a job that may be live")
	}
	_ = s.ApplyJob("wk-1", nil)
	if !s.Jobs["wk-1"].Tasks[0].Obsolete(12) || s.Jobs["wk-1"].Tasks[0].Obsolete(11) {
		t.Error("over exactly once all is known up to its batch record")
	}
}

// A task that moves to another batch record keeps what is known of it besides its record.
func TestMovedTaskKeepsObservations(t *testing.T) {
	s := stateOfArrays(t, "wk-1")
	moving := entry("wk-1", 0, placed("i-1", 1))
	rest := entry("wk-1", 1, jobs.Task{State: jobs.Pending, Attempt: 1})
	applyBatch(t, s, "pack/a", 1, moving)
	task := s.Jobs["wk-1"].Tasks[0]
	task.ObservedRunning = true
	checkKept := func(key string) {
		t.Helper()
		if now := s.Jobs["wk-1"].Tasks[0]; now != task || !now.ObservedRunning || now.StoredIn.Key != key {
			t.Errorf("forgotten on the way to %s", key)
		}
		auditClean(t, s)
	}
	applyBatch(t, s, "pack/b", 2, moving)
	applyBatch(t, s, "pack/a", 2)
	checkKept("pack/b")

	// Also when the batch record that it leaves is read first.
	applyBatch(t, s, "pack/b", 3, moving, rest)
	applyBatch(t, s, "pack/b", 4, rest)
	applyBatch(t, s, "pack/c", 4, moving)
	checkKept("pack/c")

	// But not by a later transaction: then it was gone.
	applyBatch(t, s, "pack/c", 5)
	applyBatch(t, s, "pack/b", 6, moving)
	if now := s.Jobs["wk-1"].Tasks[0]; now == task || now.ObservedRunning {
		t.Error("kept although it was gone")
	}
	// An old version of the batch record that it left, read late, does not take it back.
	applyBatch(t, s, "pack/a", 1, moving)
	if now := s.Jobs["wk-1"].Tasks[0]; now.StoredIn.Key != "pack/b" {
		t.Error("taken back by an outdated record")
	}
}

// A batch record that is back after it was removed, since the transaction that began it was
// carried out once more, takes no task back to an earlier attempt, and none that is done,
// whichever of the records is read first.
func TestRepeatedTransactionDoesNotRevertTasks(t *testing.T) {
	outdated := []taskbatch.Entry{entry("wk-1", 0, placed("i-1", 1)), entry("wk-1", 1, placed("i-1", 1))}
	current := []taskbatch.Entry{
		entry("wk-1", 0, placed("i-2", 2)),
		entry("wk-1", 1, jobs.Task{State: jobs.Finished, Attempt: 1}),
	}
	tests := []struct {
		name  string
		apply func(t *testing.T, s *State)
	}{
		{"outdated record read last", func(t *testing.T, s *State) {
			t.Helper()
			applyBatch(t, s, "pack/a", 1, outdated...)
			applyBatch(t, s, "pack/b", 2, current...)
			applyBatch(t, s, "pack/a", 2)
			applyBatch(t, s, "pack/a", 9, outdated...)
		}},
		{"current record read last", func(t *testing.T, s *State) {
			t.Helper()
			applyBatch(t, s, "pack/a", 9, outdated...)
			applyBatch(t, s, "pack/b", 2, current...)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := stateOfArrays(t, "wk-1")
			test.apply(t, s)
			j := s.Jobs["wk-1"]
			if task := j.Tasks[0]; task.Machine != "i-2" || task.Attempt != 2 {
				t.Errorf("placed task reverted: %+v", task.Task)
			}
			if task := j.Tasks[1]; task.State != jobs.Finished || j.DoneCount != 1 {
				t.Errorf("finished task reverted: %+v, %d done", task.Task, j.DoneCount)
			}
			if on := s.TasksOnMachine["i-1"]; len(on) != 0 {
				t.Errorf("%d tasks on the former machine", len(on))
			}
		})
	}
}

// BenchmarkRebuild is what a controller that starts takes to read 30,000 live tasks of 4,000
// jobs, besides what the state service takes to send them; sent/op is the bytes that it sends
// of tasks.
func BenchmarkRebuild(b *testing.B) {
	const jobCount, taskCount = 4000, 30000
	jobID := func(i int) string { return fmt.Sprintf("wk-%06d", i) }
	placedTask := func(i int) jobs.Task {
		return jobs.Task{
			State:   jobs.Placed,
			Machine: fmt.Sprintf("i-%06d", i%2000),
			Zone:    fmt.Sprint("zone-", i%3),
			Attempt: 1,
		}
	}
	rebuild := func(b *testing.B, items map[string]json.RawMessage) {
		b.Helper()
		sent := 0
		for _, v := range items {
			sent += len(v)
		}
		b.ReportAllocs()
		for b.Loop() {
			s := New(quota.Flat(nil), func(string) {})
			for i := range jobCount {
				_ = s.ApplyJob(jobID(i), encodeArray(jobID(i)))
			}
			for _, key := range SortedKeys(items) {
				var err error
				if key[:4] == "pack" {
					_, err = s.ApplyBatch(key, items[key], 1)
				} else {
					_, err = s.ApplyTaskRange(key, items[key])
				}
				if err != nil {
					b.Fatal(err)
				}
			}
		}
		b.ReportMetric(float64(sent), "sent/op")
		b.ReportMetric(float64(len(items)), "records/op")
	}
	b.Run("task ranges of 5 tasks", func(b *testing.B) {
		items := map[string]json.RawMessage{}
		for i := 0; i < taskCount; i += 5 {
			var tasks []jobs.Task
			for k := range 5 {
				tasks = append(tasks, placedTask(i+k))
			}
			items[jobs.TaskRangeKey(jobID(i/8), i%8)] = jobs.EncodeTaskRange(tasks, maxValueBytes)
		}
		rebuild(b, items)
	})
	b.Run("batch records of 400 tasks", func(b *testing.B) {
		var entries []taskbatch.Entry
		for i := range taskCount {
			entries = append(entries, entry(jobID(i%jobCount), i/jobCount, placedTask(i)))
		}
		items := map[string]json.RawMessage{}
		for i := 0; i < taskCount; i += 400 {
			items[fmt.Sprint("pack/", i)] = taskbatch.Encode(entries[i:min(i+400, taskCount)])
		}
		rebuild(b, items)
	})
}
