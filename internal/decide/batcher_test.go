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

// placedTasks returns the tasks of jobCount jobs. Each job has three tasks in one task range, all
// placed on the same machine.
func placedTasks(t *testing.T, jobCount int) []*clusterstate.Task {
	t.Helper()
	state := clusterstate.New(quota.Flat(nil), func(string) {})
	var tasks []*clusterstate.Task
	for i := range jobCount {
		jobID := fmt.Sprintf("wk-%d", i)
		record := liveJob(jobID)
		record.Spec.TaskCount = 3
		if err := state.ApplyJob(jobID, jobs.Encode(record)); err != nil {
			t.Fatal(err)
		}
		placed := jobs.Task{State: jobs.Placed, Machine: "i-1", Attempt: 1}
		value := jobs.EncodeTaskRange([]jobs.Task{placed, placed, placed}, 8192)
		if _, err := state.ApplyTaskRange(jobs.TaskRangeKey(jobID, 0), value); err != nil {
			t.Fatal(err)
		}
		for index := range 3 {
			tasks = append(tasks, state.Jobs[jobID].Tasks[index])
		}
	}
	return tasks
}

func complete(task *clusterstate.Task) Decision {
	next, _ := jobs.NextTask(task.Task, jobs.TaskEvent{Kind: jobs.Complete})
	return Decision{Changes: TransitionTask(task, next)}
}

func completeAll(tasks []*clusterstate.Task) []Decision {
	var decisions []Decision
	for _, task := range tasks {
		decisions = append(decisions, complete(task))
	}
	return decisions
}

// All decisions about the same task range share one write of it.
func TestDecisionsOnOneTaskRangeShareOneWrite(t *testing.T) {
	tasks := placedTasks(t, 4)
	decisions := completeAll(tasks)
	built := testBatcher(16, 100).Build(decisions)
	if len(built) != 1 || len(built[0].Txn.Writes) != 4 || len(built[0].Decisions) != 12 {
		t.Fatalf("got %d transactions, want one with 4 writes and 12 decisions", len(built))
	}
	write := built[0].Txn.Writes[0]
	records, err := jobs.DecodeTaskRange(write.Value)
	if err != nil || records[0].State != jobs.Finished || records[2].State != jobs.Finished {
		t.Errorf("task range %s, error %v: first and last task are not finished", write.Value, err)
	}
}

func TestSecondChangeOfTaskIsDropped(t *testing.T) {
	tasks := placedTasks(t, 4)
	built := testBatcher(16, 100).Build([]Decision{complete(tasks[0]), complete(tasks[0])})
	if len(built[0].Decisions) != 1 {
		t.Error("two decisions changed the same task")
	}
}

// The task range of a job that has ended is removed once none of its tasks is on a machine.
func TestTaskRangeOfFinishedJobIsRemoved(t *testing.T) {
	tasks := placedTasks(t, 4)
	decisions := completeAll(tasks)
	tasks[0].Job.Record.State = jobs.Cancelled
	writes := testBatcher(16, 100).Build(decisions[:3])[0].Txn.Writes
	if len(writes) != 1 || writes[0].Remove == "" {
		t.Errorf("got writes %+v, want one removal", writes)
	}
}

// No transaction exceeds a limit of the state service, whatever decisions it holds.
func TestTransactionsKeepStoreLimits(t *testing.T) {
	var decisions []Decision
	for i, task := range placedTasks(t, 40) {
		decision := complete(task)
		for k := range i % 5 {
			decision.ReadSet = append(decision.ReadSet, fmt.Sprintf("host/i-%d-%d", i, k))
		}
		decisions = append(decisions, decision)
	}
	decisions = append(decisions, Decision{Writes: nil}) // has no effect
	for i := range 30 {
		decisions = append(decisions, Decision{Writes: []store.Write{
			Put(fmt.Sprint("host/x", i), strings.Repeat("x", 3000)),
			Remove(fmt.Sprint("host/y", i)),
		}})
	}
	batcher := testBatcher(8, 1000)
	sent := 0
	for _, txn := range batcher.Build(decisions) {
		sent += len(txn.Decisions)
		if exceeded := batcher.Context.Limits.Violation(&txn.Txn); exceeded != "" {
			t.Error(exceeded)
		}
	}
	if sent < 120 {
		t.Errorf("%d of %d decisions are in transactions, want at least 120", sent, len(decisions))
	}
}

// writeOf returns a decision that writes the key k/N and increments dropped if it is dropped.
func writeOf(n int, dropped *int) Decision {
	return Decision{
		Writes: []store.Write{Put(fmt.Sprint("k/", n), 1)},
		OnSettled: func(ok bool) {
			if !ok {
				*dropped++
			}
		},
	}
}

// Decisions beyond the budget are dropped at once, unless they are urgent.
func TestBudgetDropsAllButUrgentDecisions(t *testing.T) {
	dropped := 0
	var decisions []Decision
	for i := range 20 {
		decision := writeOf(i, &dropped)
		decision.Urgent = i >= 15
		decisions = append(decisions, decision)
	}
	testBatcher(16, 6).Build(decisions)
	if dropped != 9 {
		t.Errorf("%d of 15 non-urgent decisions were dropped with a budget of 6, want 9", dropped)
	}
}

// Job completions are urgent, but their writes in flight are limited to about one transaction.
func TestCompletionsInFlightAreBounded(t *testing.T) {
	dropped := 0
	var decisions []Decision
	for i := range 40 {
		decision := writeOf(i, &dropped)
		decision.Urgent, decision.CompletesJob = true, true
		decisions = append(decisions, decision)
	}
	batcher := testBatcher(16, 0)
	batcher.CompletionWrites = 4
	batcher.Build(decisions)
	if batcher.CompletionWrites != 16 || dropped != 28 {
		t.Errorf("%d completion writes and %d dropped decisions, want 16 and 28", batcher.CompletionWrites, dropped)
	}
}

func TestWritesOfRecordsInFlightOrAlreadyWrittenAreDropped(t *testing.T) {
	dropped := 0
	batcher := testBatcher(16, 100)
	batcher.InFlight = busyFunc(func(key string) bool { return key == "k/3" })
	inFlight := writeOf(3, &dropped)
	inFlight.Urgent = true
	batcher.Build([]Decision{inFlight, writeOf(4, &dropped), writeOf(4, &dropped)})
	if dropped != 2 {
		t.Errorf("%d decisions dropped, want 2: one on a record in flight, one on a record already written", dropped)
	}
}
