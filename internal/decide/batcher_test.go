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

// stateWithTaskRanges is a book with jobs of three tasks on a machine each, in one slice.
func stateWithTaskRanges(t *testing.T, count int) (*clusterstate.State, []*clusterstate.Task) {
	t.Helper()
	state := clusterstate.New(quota.Flat(nil), func(string) {})
	var out []*clusterstate.Task
	for i := range count {
		jobID := fmt.Sprintf("wk-%d", i)
		spec := jobs.Spec{ID: jobID, Class: "c", Team: "t", Kind: jobs.JobArray, Priority: "standard", TaskCount: 3, Cores: 1, MemoryGB: 1, Image: "b"}
		if err := state.ApplyJob(jobID, jobs.Encode(jobs.Record{State: jobs.Live, Spec: spec})); err != nil {
			t.Fatal(err)
		}
		on := jobs.Task{State: jobs.Placed, Machine: "i-1", Attempt: 1}
		if _, err := state.ApplyTaskRange(jobs.TaskRangeKey(jobID, 0), jobs.EncodeTaskRange([]jobs.Task{on, on, on}, 8192)); err != nil {
			t.Fatal(err)
		}
		for k := range 3 {
			out = append(out, state.Jobs[jobID].Tasks[k])
		}
	}
	return state, out
}

func complete(t *clusterstate.Task) Decision {
	next, _ := jobs.NextTask(t.Task, jobs.TaskEvent{Kind: jobs.Complete})
	return Decision{Changes: TransitionTask(t, next)}
}

// All that is decided about a slice is one write.
func TestDecisionsOnOneTaskRangeShareOneWrite(t *testing.T) {
	_, tasks := stateWithTaskRanges(t, 4)
	var decisions []Decision
	for _, x := range tasks {
		decisions = append(decisions, complete(x))
	}
	batches := testBatcher(16, 100).Build(decisions)
	if len(batches) != 1 || len(batches[0].Txn.Writes) != 4 || len(batches[0].Decisions) != 12 {
		t.Fatalf("%d batches", len(batches))
	}
	w := batches[0].Txn.Writes[0]
	if records, err := jobs.DecodeTaskRange(w.Value); err != nil || records[0].State != jobs.Finished || records[2].State != jobs.Finished {
		t.Errorf("%s %v", w.Value, err)
	}
	// A task is decided on once; a slice of a job that is over and on no machine goes.
	twice := testBatcher(16, 100).Build([]Decision{complete(tasks[0]), complete(tasks[0])})
	if len(twice[0].Decisions) != 1 {
		t.Error("one task was decided on twice")
	}
	tasks[0].Job.Record.State = jobs.Cancelled
	if w := testBatcher(16, 100).Build(decisions[:3])[0].Txn.Writes; len(w) != 1 || w[0].Remove == "" {
		t.Errorf("%+v", w)
	}
}

// No transaction passes a limit of the state service, whatever is packed.
func TestTransactionsKeepStoreLimits(t *testing.T) {
	_, tasks := stateWithTaskRanges(t, 40)
	var decisions []Decision
	for i, x := range tasks {
		d := complete(x)
		for k := range i % 5 {
			d.ReadSet = append(d.ReadSet, fmt.Sprintf("host/i-%d-%d", i, k))
		}
		decisions = append(decisions, d)
	}
	decisions = append(decisions, Decision{Writes: nil}) // decides nothing
	for i := range 30 {
		decisions = append(decisions, Decision{Writes: []store.Write{Put(fmt.Sprint("host/x", i), strings.Repeat("x", 3000)), Remove(fmt.Sprint("host/y", i))}})
	}
	batcher := testBatcher(8, 1000)
	taken := 0
	for _, b := range batcher.Build(decisions) {
		taken += len(b.Decisions)
		if why := batcher.Context.Limits.Fault(&b.Txn); why != "" {
			t.Error(why)
		}
	}
	if taken < 120 {
		t.Errorf("%d of %d decisions were taken", taken, len(decisions))
	}
}

// What the budget does not allow is told so at once, to be decided again; what is
// urgent goes, but ends only as many as about one transaction holds.
func TestBudgetDropsAllButUrgentDecisions(t *testing.T) {
	dropped := 0
	write := func(i int, urgent, ends bool) Decision {
		return Decision{Writes: []store.Write{Put(fmt.Sprint("k/", i), 1)}, Urgent: urgent, CompletesJob: ends, OnSettled: func(ok bool) {
			if !ok {
				dropped++
			}
		}}
	}
	var decisions []Decision
	for i := range 20 {
		decisions = append(decisions, write(i, i >= 15, false))
	}
	batcher := testBatcher(16, 6)
	if batcher.Build(decisions); dropped != 9 {
		t.Errorf("%d of 15 were dropped with a budget of 6", dropped)
	}
	dropped = 0
	var ends []Decision
	for i := range 40 {
		ends = append(ends, write(i, true, true))
	}
	batcher = testBatcher(16, 0)
	batcher.CompletionWrites = 4
	if batcher.Build(ends); batcher.CompletionWrites != 16 || dropped != 28 {
		t.Errorf("%d ends under way, %d dropped", batcher.CompletionWrites, dropped)
	}
	dropped = 0
	batcher = testBatcher(16, 100)
	batcher.InFlight = busyFunc(func(key string) bool { return key == "k/3" })
	if batcher.Build([]Decision{write(3, true, false), write(4, false, false), write(4, false, false)}); dropped != 2 {
		t.Errorf("%d dropped: one under a transaction, one written already", dropped)
	}
}
