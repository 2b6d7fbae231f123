package clusterstate

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
)

func sweep(jobID string) []byte {
	return jobs.Encode(jobs.Record{State: jobs.Live, AcceptedMs: 1, Spec: jobs.Spec{ID: jobID, Class: "c", Team: "t", Kind: jobs.JobArray, Priority: "standard", TaskCount: 9, Cores: 1, MemoryGB: 1, Image: "b"}})
}

// Of a pack that can't be read only its tasks are set aside: those that it held are
// neither placed again nor lost, and their jobs begin no task of which nobody knows
// whether that pack has it. Other jobs go on.
func TestUnreadablePack(t *testing.T) {
	b := New(quota.Flat(nil), func(string) {})
	for _, jobID := range []string{"wk-1", "wk-2", "wk-3"} {
		_ = b.ApplyJob(jobID, sweep(jobID))
	}
	on := jobs.Task{State: jobs.Placed, Machine: "i-1", Attempt: 2}
	good := taskbatch.Encode([]taskbatch.Entry{{JobID: "wk-1", Index: 0, Task: on}, {JobID: "wk-2", Index: 4, Task: on}})
	if jobIDs, err := b.ApplyBatch("pack/1", good, 5); err != nil || len(jobIDs) != 2 || b.MayBeQuarantined("wk-1") {
		t.Fatal(jobIDs, err)
	}
	bad := []byte(`{"v":9,"jobs":"wk-1 wk-2","z":"?"}`)
	if _, err := b.ApplyBatch("pack/1", bad, 6); err == nil {
		t.Fatal("read")
	}
	task := b.Jobs["wk-2"].Tasks[4]
	if task.State != Unreadable || !b.MayBeQuarantined("wk-1") || b.MayBeQuarantined("wk-3") || len(b.Jobs["wk-2"].Active) != 1 || task.Obsolete(9) {
		t.Errorf("%+v", task)
	}
	for _, k := range []jobs.TaskEventKind{jobs.Release, jobs.TakeBack, jobs.Place, jobs.Stop, jobs.Complete, jobs.Lost, jobs.Fail} {
		if _, ok := jobs.NextTask(task.Task, jobs.TaskEvent{Kind: k, Machine: "i-2", Attempt: 9}); ok {
			t.Error("decided on:", k)
		}
	}
	// Met for the first time, its jobs are known; if not even they are, any may be in it.
	_, _ = b.ApplyBatch("pack/2", []byte(`{"v":9,"jobs":"wk-3"}`), 7)
	if !b.MayBeQuarantined("wk-3") {
		t.Error("a job's pack that was never read")
	}
	_ = b.ApplyJob("wk-4", sweep("wk-4"))
	if _, _ = b.ApplyBatch("pack/3", []byte(`[]`), 8); !b.MayBeQuarantined("wk-4") {
		t.Error("a pack that tells nothing")
	}
	// Readable again, or gone, all is as it was.
	_, _ = b.ApplyBatch("pack/1", good, 9)
	_, _ = b.ApplyBatch("pack/2", nil, 10)
	_, _ = b.ApplyBatch("pack/3", nil, 11)
	if b.MayBeQuarantined("wk-1") || b.MayBeQuarantined("wk-3") || b.Jobs["wk-1"].Tasks[0].State != jobs.Placed || len(b.Batches) != 1 || len(b.Audit()) != 0 {
		t.Error(b.Audit())
	}
	// A job whose own record can't be read may be live: what packs say of it stays.
	_, _ = b.ApplyBatch("pack/1", taskbatch.Encode([]taskbatch.Entry{{JobID: "wk-1", Index: 0, Task: jobs.Task{State: jobs.Pending, Attempt: 2}}}), 12)
	_ = b.ApplyJob("wk-1", []byte(`{`))
	if b.Jobs["wk-1"].Tasks[0].Obsolete(99) {
		t.Error("of a job that may be live")
	}
	_ = b.ApplyJob("wk-1", nil)
	if !b.Jobs["wk-1"].Tasks[0].Obsolete(12) || b.Jobs["wk-1"].Tasks[0].Obsolete(11) {
		t.Error("over, once all is known up to its pack")
	}
}

// A task that moves keeps what is known of it besides its record.
func TestMoving(t *testing.T) {
	b := New(quota.Flat(nil), func(string) {})
	_ = b.ApplyJob("wk-1", sweep("wk-1"))
	e := []taskbatch.Entry{{JobID: "wk-1", Index: 0, Task: jobs.Task{State: jobs.Placed, Machine: "i-1", Attempt: 1}}}
	_, _ = b.ApplyBatch("pack/a", taskbatch.Encode(e), 1)
	task := b.Jobs["wk-1"].Tasks[0]
	task.ObservedRunning = true
	_, _ = b.ApplyBatch("pack/b", taskbatch.Encode(e), 2)
	_, _ = b.ApplyBatch("pack/a", nil, 2)
	if now := b.Jobs["wk-1"].Tasks[0]; now != task || !now.ObservedRunning || now.Stored.Key != "pack/b" || len(b.Audit()) != 0 {
		t.Error(b.Audit())
	}
	// Also when the pack that it leaves is read first.
	rest := taskbatch.Entry{JobID: "wk-1", Index: 1, Task: jobs.Task{State: jobs.Pending, Attempt: 1}}
	_, _ = b.ApplyBatch("pack/b", taskbatch.Encode(append(e, rest)), 3)
	_, _ = b.ApplyBatch("pack/b", taskbatch.Encode([]taskbatch.Entry{rest}), 4)
	_, _ = b.ApplyBatch("pack/c", taskbatch.Encode(e), 4)
	if now := b.Jobs["wk-1"].Tasks[0]; now != task || !now.ObservedRunning || now.Stored.Key != "pack/c" || len(b.Audit()) != 0 {
		t.Error("forgotten on the way", b.Audit())
	}
	// But not by a later transaction: then it was gone.
	_, _ = b.ApplyBatch("pack/c", nil, 5)
	_, _ = b.ApplyBatch("pack/b", taskbatch.Encode(e), 6)
	if now := b.Jobs["wk-1"].Tasks[0]; now == task || now.ObservedRunning {
		t.Error("kept although it was gone")
	}
	// An old version of the pack that it left, read late, does not take it back.
	_, _ = b.ApplyBatch("pack/a", taskbatch.Encode(e), 1)
	if now := b.Jobs["wk-1"].Tasks[0]; now.Stored.Key != "pack/b" {
		t.Error("taken back")
	}
}

// BenchmarkRebuild is what a controller that starts takes to read 30,000 live tasks of
// 4,000 jobs, besides what the state service takes to send them; bytes/op is what it
// sends of tasks.
func BenchmarkRebuild(b *testing.B) {
	var es []taskbatch.Entry
	jobID := func(i int) string { return fmt.Sprintf("wk-%06d", i) }
	on := func(i int) jobs.Task {
		return jobs.Task{State: jobs.Placed, Machine: fmt.Sprintf("i-%06d", i%2000), Zone: fmt.Sprint("zone-", i%3), Attempt: 1}
	}
	const live, tasks = 4000, 30000
	for i := range tasks {
		es = append(es, taskbatch.Entry{JobID: jobID(i % live), Index: i / live, Task: on(i)})
	}
	rebuild := func(b *testing.B, items map[string]json.RawMessage) {
		sent := 0
		for _, v := range items {
			sent += len(v)
		}
		b.ReportAllocs()
		for b.Loop() {
			bk := New(quota.Flat(nil), func(string) {})
			for i := range live {
				_ = bk.ApplyJob(jobID(i), sweep(jobID(i)))
			}
			for _, k := range SortedKeys(items) {
				var err error
				if k[:4] == "pack" {
					_, err = bk.ApplyBatch(k, items[k], 1)
				} else {
					_, err = bk.ApplyTaskRange(k, items[k])
				}
				if err != nil {
					b.Fatal(err)
				}
			}
		}
		b.ReportMetric(float64(sent), "sent/op")
		b.ReportMetric(float64(len(items)), "records/op")
	}
	b.Run("slices of 5 tasks", func(b *testing.B) {
		items := map[string]json.RawMessage{}
		for i := 0; i < tasks; i += 5 {
			items[jobs.TaskRangeKey(jobID(i/8), i%8)] = jobs.EncodeTaskRange([]jobs.Task{on(i), on(i + 1), on(i + 2), on(i + 3), on(i + 4)}, 8192)
		}
		rebuild(b, items)
	})
	b.Run("packs of 400", func(b *testing.B) {
		items := map[string]json.RawMessage{}
		for i := 0; i < tasks; i += 400 {
			items[fmt.Sprint("pack/", i)] = taskbatch.Encode(es[i:min(i+400, tasks)])
		}
		rebuild(b, items)
	})
}

// A pack that is back after it was removed, since the transaction that began it was
// carried out once more, takes no task back to an earlier try, and none that is done,
// whichever of the packs is read first.
func TestAPackOnceMore(t *testing.T) {
	was := taskbatch.Encode([]taskbatch.Entry{{JobID: "wk-1", Index: 0, Task: jobs.Task{State: jobs.Placed, Machine: "i-1", Attempt: 1}}, {JobID: "wk-1", Index: 1, Task: jobs.Task{State: jobs.Placed, Machine: "i-1", Attempt: 1}}})
	is := taskbatch.Encode([]taskbatch.Entry{{JobID: "wk-1", Index: 0, Task: jobs.Task{State: jobs.Placed, Machine: "i-2", Attempt: 2}}, {JobID: "wk-1", Index: 1, Task: jobs.Task{State: jobs.Finished, Attempt: 1}}})
	for _, last := range []string{"pack/a", "pack/b"} {
		b := New(quota.Flat(nil), func(string) {})
		_ = b.ApplyJob("wk-1", sweep("wk-1"))
		if last == "pack/a" {
			_, _ = b.ApplyBatch("pack/a", was, 1)
			_, _ = b.ApplyBatch("pack/b", is, 2)
			_, _ = b.ApplyBatch("pack/a", nil, 2)
			_, _ = b.ApplyBatch("pack/a", was, 9)
		} else {
			_, _ = b.ApplyBatch("pack/a", was, 9)
			_, _ = b.ApplyBatch("pack/b", is, 2)
		}
		j := b.Jobs["wk-1"]
		if on, done := j.Tasks[0], j.Tasks[1]; on.Machine != "i-2" || on.Attempt != 2 || done.State != jobs.Finished || j.DoneCount != 1 || len(b.TasksOnMachine["i-1"]) != 0 {
			t.Errorf("read last %s: %+v, %+v", last, on.Task, done.Task)
		}
	}
}
