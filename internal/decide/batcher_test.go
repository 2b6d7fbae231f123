package decide

import (
	"fmt"
	"strings"
	"testing"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/store"
)

// sliced is a book with jobs of three tasks on a machine each, in one slice.
func sliced(t *testing.T, count int) (*clusterstate.State, []*clusterstate.Task) {
	t.Helper()
	b := clusterstate.New(quota.Flat(nil), func(string) {})
	var out []*clusterstate.Task
	for i := range count {
		jobID := fmt.Sprintf("wk-%d", i)
		spec := jobs.Spec{ID: jobID, Class: "c", Team: "t", Kind: jobs.JobArray, Priority: "standard", TaskCount: 3, Cores: 1, MemoryGB: 1, Image: "b"}
		if err := b.ApplyJob(jobID, jobs.Encode(jobs.Record{State: jobs.Live, Spec: spec})); err != nil {
			t.Fatal(err)
		}
		on := jobs.Task{State: jobs.Placed, Machine: "i-1", Attempt: 1}
		if _, err := b.ApplyTaskRange(jobs.TaskRangeKey(jobID, 0), jobs.EncodeTaskRange([]jobs.Task{on, on, on}, 8192)); err != nil {
			t.Fatal(err)
		}
		for k := range 3 {
			out = append(out, b.Jobs[jobID].Tasks[k])
		}
	}
	return b, out
}

func packer(ops int, budget int) *Batcher {
	return &Batcher{
		TxnContext: formOf(ops), Busy: func(string) bool { return false }, Allows: func(spent, writes int) bool { return spent+writes <= budget },
		RecordBytes: func(string) int { return 100 }, Quarantine: func(d *Decision, why string) { panic(d.String() + ": " + why) },
	}
}

// formOf is the limits of a state service that takes so many changes at once.
func formOf(ops int) TxnContext {
	return TxnContext{Limits: store.Limits{Ops: ops, Preconditions: 4 * ops, BodyBytes: 64 << 10, ValueBytes: 8192}, Preconditions: []string{"view", "fence/n0"}, Revision: func(string) uint64 { return 1 }}
}

func end(t *clusterstate.Task) Decision {
	next, _ := jobs.NextTask(t.Task, jobs.TaskEvent{Kind: jobs.Complete})
	return Decision{Changes: TransitionTask(t, next)}
}

// All that is decided about a slice is one write.
func TestOneWriteForASlice(t *testing.T) {
	_, tasks := sliced(t, 4)
	var ds []Decision
	for _, x := range tasks {
		ds = append(ds, end(x))
	}
	batches := packer(16, 100).Build(ds)
	if len(batches) != 1 || len(batches[0].Txn.Writes) != 4 || len(batches[0].Decisions) != 12 {
		t.Fatalf("%d batches", len(batches))
	}
	w := batches[0].Txn.Writes[0]
	if records, err := jobs.DecodeTaskRange(w.Value); err != nil || records[0].State != jobs.Finished || records[2].State != jobs.Finished {
		t.Errorf("%s %v", w.Value, err)
	}
	// A task is decided on once; a slice of a job that is over and on no machine goes.
	twice := packer(16, 100).Build([]Decision{end(tasks[0]), end(tasks[0])})
	if len(twice[0].Decisions) != 1 {
		t.Error("one task was decided on twice")
	}
	tasks[0].Job.Record.State = jobs.Cancelled
	if w := packer(16, 100).Build(ds[:3])[0].Txn.Writes; len(w) != 1 || w[0].Remove == "" {
		t.Errorf("%+v", w)
	}
}

// No transaction passes a limit of the state service, whatever is packed.
func TestLimits(t *testing.T) {
	_, tasks := sliced(t, 40)
	var ds []Decision
	for i, x := range tasks {
		d := end(x)
		for k := range i % 5 {
			d.ReadSet = append(d.ReadSet, fmt.Sprintf("host/i-%d-%d", i, k))
		}
		ds = append(ds, d)
	}
	ds = append(ds, Decision{Writes: nil}) // decides nothing
	for i := range 30 {
		ds = append(ds, Decision{Writes: []store.Write{Put(fmt.Sprint("host/x", i), strings.Repeat("x", 3000)), Remove(fmt.Sprint("host/y", i))}})
	}
	p := packer(8, 1000)
	taken := 0
	for _, b := range p.Build(ds) {
		taken += len(b.Decisions)
		if why := p.Limits.Fault(&b.Txn); why != "" {
			t.Error(why)
		}
	}
	if taken < 120 {
		t.Errorf("%d of %d decisions were taken", taken, len(ds))
	}
}

// What the budget does not allow is told so at once, to be decided again; what is
// urgent goes, but ends only as many as about one transaction holds.
func TestBudget(t *testing.T) {
	dropped := 0
	write := func(i int, urgent, ends bool) Decision {
		return Decision{Writes: []store.Write{Put(fmt.Sprint("k/", i), 1)}, Urgent: urgent, CompletesJob: ends, OnSettled: func(ok bool) {
			if !ok {
				dropped++
			}
		}}
	}
	var ds []Decision
	for i := range 20 {
		ds = append(ds, write(i, i >= 15, false))
	}
	p := packer(16, 6)
	if p.Build(ds); dropped != 9 {
		t.Errorf("%d of 15 were dropped with a budget of 6", dropped)
	}
	dropped = 0
	var ends []Decision
	for i := range 40 {
		ends = append(ends, write(i, true, true))
	}
	p = packer(16, 0)
	p.CompletionWrites = 4
	if p.Build(ends); p.CompletionWrites != 16 || dropped != 28 {
		t.Errorf("%d ends under way, %d dropped", p.CompletionWrites, dropped)
	}
	dropped = 0
	p = packer(16, 100)
	p.Busy = func(key string) bool { return key == "k/3" }
	if p.Build([]Decision{write(3, true, false), write(4, false, false), write(4, false, false)}); dropped != 2 {
		t.Errorf("%d dropped: one under a transaction, one written already", dropped)
	}
}
