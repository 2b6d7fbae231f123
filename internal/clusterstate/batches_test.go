package clusterstate

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
)

// encodeArray returns the encoded record of a live job array of nine tasks.
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

// stateOfArrays returns a state with live job arrays that have no task records.
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

// applyBatch applies a batch record with the given entries, or its removal if there are none.
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

// checkAudit fails the test for each finding of Audit.
func checkAudit(t *testing.T, s *State) {
	t.Helper()
	for _, finding := range s.Audit() {
		t.Error(finding)
	}
}

// quarantinedState returns a state in which the batch record pack/1, with tasks of wk-1 and wk-2,
// was readable at first and then became unreadable. It also returns the readable value.
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
		t.Fatal("an unreadable batch record was accepted")
	}
	return s, readable
}

// An unreadable batch record quarantines only its own tasks and jobs. The tasks that it held are
// neither placed again nor lost, and no further task of their jobs is released, because the record
// may hold it. Other jobs are not affected.
func TestUnreadableBatchIsQuarantined(t *testing.T) {
	s, _ := quarantinedState(t)
	task := s.Jobs["wk-2"].Tasks[4]
	if task.State != Unreadable || len(s.Jobs["wk-2"].Active) != 1 || task.Obsolete(9) {
		t.Errorf("got task %+v, want one that is unreadable, active and not obsolete", task)
	}
	if !s.MayBeQuarantined("wk-1") || s.MayBeQuarantined("wk-3") {
		t.Error("want exactly the jobs of the unreadable record to be quarantined")
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
			t.Error("an unreadable task accepts the event", kind)
		}
	}
}

// A batch record that was never readable quarantines the jobs that it names, or every job if it
// names none. The quarantine ends when the record becomes readable or is removed.
func TestQuarantineOfBatchNeverRead(t *testing.T) {
	s, readable := quarantinedState(t)
	_, _ = s.ApplyBatch("pack/2", []byte(`{"v":9,"jobs":"wk-3"}`), 7)
	if !s.MayBeQuarantined("wk-3") {
		t.Error("the job named by an unreadable batch record is not quarantined")
	}
	_ = s.ApplyJob("wk-4", encodeArray("wk-4"))
	if _, _ = s.ApplyBatch("pack/3", []byte(`[]`), 8); !s.MayBeQuarantined("wk-4") {
		t.Error("an unreadable batch record that names no jobs does not quarantine every job")
	}
	_, _ = s.ApplyBatch("pack/1", readable, 9)
	_, _ = s.ApplyBatch("pack/2", nil, 10)
	_, _ = s.ApplyBatch("pack/3", nil, 11)
	if s.MayBeQuarantined("wk-1") || s.MayBeQuarantined("wk-3") || len(s.Batches) != 1 {
		t.Error("jobs are still quarantined after the records became readable or were removed")
	}
	if state := s.Jobs["wk-1"].Tasks[0].State; state != jobs.Placed {
		t.Error(state)
	}
	checkAudit(t, s)
}

// A job whose record is unreadable may be live, so its tasks in batch records are not obsolete.
func TestTaskOfUnreadableJobIsNotObsolete(t *testing.T) {
	s, _ := quarantinedState(t)
	applyBatch(t, s, "pack/1", 12, entry("wk-1", 0, jobs.Task{State: jobs.Pending, Attempt: 2}))
	_ = s.ApplyJob("wk-1", []byte(`{`))
	if s.Jobs["wk-1"].Tasks[0].Obsolete(99) {
		t.Error("a task of a job that may be live is obsolete")
	}
	_ = s.ApplyJob("wk-1", nil)
	if !s.Jobs["wk-1"].Tasks[0].Obsolete(12) || s.Jobs["wk-1"].Tasks[0].Obsolete(11) {
		t.Error("want the task to be obsolete only if all records up to its batch record's revision are known")
	}
}

// A task that moves to another batch record keeps the state that is not part of its record.
func TestMovedTaskKeepsObservations(t *testing.T) {
	s := stateOfArrays(t, "wk-1")
	moving := entry("wk-1", 0, placed("i-1", 1))
	staying := entry("wk-1", 1, jobs.Task{State: jobs.Pending, Attempt: 1})
	applyBatch(t, s, "pack/a", 1, moving)
	task := s.Jobs["wk-1"].Tasks[0]
	task.ObservedRunning = true
	checkKept := func(key string) {
		t.Helper()
		if now := s.Jobs["wk-1"].Tasks[0]; now != task || !now.ObservedRunning || now.StoredIn.Key != key {
			t.Errorf("observations were lost when the task moved to %s", key)
		}
		checkAudit(t, s)
	}
	applyBatch(t, s, "pack/b", 2, moving)
	applyBatch(t, s, "pack/a", 2)
	checkKept("pack/b")

	// The state is also kept if the batch record that the task leaves is read first.
	applyBatch(t, s, "pack/b", 3, moving, staying)
	applyBatch(t, s, "pack/b", 4, staying)
	applyBatch(t, s, "pack/c", 4, moving)
	checkKept("pack/c")

	// It is not kept if a later transaction adds the task: in between, the task was removed.
	applyBatch(t, s, "pack/c", 5)
	applyBatch(t, s, "pack/b", 6, moving)
	if now := s.Jobs["wk-1"].Tasks[0]; now == task || now.ObservedRunning {
		t.Error("observations were kept although the task was removed in between")
	}
	// An old version of the task's former batch record that is read late does not take it back.
	applyBatch(t, s, "pack/a", 1, moving)
	if now := s.Jobs["wk-1"].Tasks[0]; now.StoredIn.Key != "pack/b" {
		t.Error("an outdated batch record took the task back")
	}
}

// If the transaction that created a batch record is executed again after the record was removed,
// the record reappears with outdated contents. It must not revert a task to an earlier attempt or
// from finished, whichever record is read first.
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
			if tasks := s.TasksOnMachine["i-1"]; len(tasks) != 0 {
				t.Errorf("%d tasks are still on the former machine", len(tasks))
			}
		})
	}
}

// BenchmarkRebuild measures how long a starting controller takes to apply the records of 30,000
// live tasks of 4,000 jobs, without the time that the state service needs to send them. sent/op
// is the size of the task records in bytes.
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
