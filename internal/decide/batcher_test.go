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

// placedTasks are the tasks of so many jobs: three a job, in one task range, on a machine.
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

// All that is decided about a task range is one write.
func TestDecisionsOnOneTaskRangeShareOneWrite(t *testing.T) {
	tasks := placedTasks(t, 4)
	decisions := completeAll(tasks)
	built := testBatcher(16, 100).Build(decisions)
	if len(built) != 1 || len(built[0].Txn.Writes) != 4 || len(built[0].Decisions) != 12 {
		t.Fatalf("%d transactions", len(built))
	}
	write := built[0].Txn.Writes[0]
	records, err := jobs.DecodeTaskRange(write.Value)
	if err != nil || records[0].State != jobs.Finished || records[2].State != jobs.Finished {
		t.Errorf("%s %v", write.Value, err)
	}
}

func TestTaskIsChangedOnce(t *testing.T) {
	tasks := placedTasks(t, 4)
	built := testBatcher(16, 100).Build([]Decision{complete(tasks[0]), complete(tasks[0])})
	if len(built[0].Decisions) != 1 {
		t.Error("one task was changed by two decisions")
	}
}

// The task range of a job that is over is removed once no task of it is on a machine.
func TestTaskRangeOfFinishedJobIsRemoved(t *testing.T) {
	tasks := placedTasks(t, 4)
	decisions := completeAll(tasks)
	tasks[0].Job.Record.State = jobs.Cancelled
	writes := testBatcher(16, 100).Build(decisions[:3])[0].Txn.Writes
	if len(writes) != 1 || writes[0].Remove == "" {
		t.Errorf("%+v", writes)
	}
}

// No transaction exceeds a limit of the state service, whatever is in it.
func TestTransactionsKeepStoreLimits(t *testing.T) {
	var decisions []Decision
	for i, task := range placedTasks(t, 40) {
		decision := complete(task)
		for k := range i % 5 {
			decision.ReadSet = append(decision.ReadSet, fmt.Sprintf("host/i-%d-%d", i, k))
		}
		decisions = append(decisions, decision)
	}
	decisions = append(decisions, Decision{Writes: nil}) // decides nothing
	for i := range 30 {
		decisions = append(decisions, Decision{Writes: []store.Write{
			Put(fmt.Sprint("host/x", i), strings.Repeat("x", 3000)),
			Remove(fmt.Sprint("host/y", i)),
		}})
	}
	batcher := testBatcher(8, 1000)
	taken := 0
	for _, txn := range batcher.Build(decisions) {
		taken += len(txn.Decisions)
		if exceeded := batcher.Context.Limits.Fault(&txn.Txn); exceeded != "" {
			t.Error(exceeded)
		}
	}
	if taken < 120 {
		t.Errorf("%d of %d decisions were taken", taken, len(decisions))
	}
}

// writeOf is a decision that writes the key k/N, and counts when it is dropped.
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

// What the budget does not allow is dropped at once, to be made again later.
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
		t.Errorf("%d of 15 were dropped with a budget of 6", dropped)
	}
}

// Of the urgent ends of jobs only as many go as about one transaction holds.
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
		t.Errorf("%d completion writes, %d dropped", batcher.CompletionWrites, dropped)
	}
}

func TestRecordsInFlightAndWrittenTwiceAreDropped(t *testing.T) {
	dropped := 0
	batcher := testBatcher(16, 100)
	batcher.InFlight = busyFunc(func(key string) bool { return key == "k/3" })
	inFlight := writeOf(3, &dropped)
	inFlight.Urgent = true
	batcher.Build([]Decision{inFlight, writeOf(4, &dropped), writeOf(4, &dropped)})
	if dropped != 2 {
		t.Errorf("%d dropped: one in flight, one written already", dropped)
	}
}
