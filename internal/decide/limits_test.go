package decide

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
)

// limitsTrial is drawn decisions over drawn records, and what becomes of them.
type limitsTrial struct {
	*rapid.T
	replica   *replica
	limits    store.Limits
	decisions []Decision
	// drops counts, by decision, how often it was settled as not committed.
	drops   map[int]int
	taken   int
	written map[string]bool
}

func newLimitsTrial(t *rapid.T) *limitsTrial {
	trial := &limitsTrial{T: t, replica: newReplica(), drops: map[int]int{}, written: map[string]bool{}}
	trial.limits.Ops = rapid.IntRange(1, 24).Draw(t, "ops")
	trial.limits.Preconditions = 4 * trial.limits.Ops
	trial.limits.ValueBytes = rapid.SampledFrom([]int{300, 1000, 8192}).Draw(t, "value bytes")
	trial.limits.BodyBytes = rapid.SampledFrom([]int{1500, 9000, 64 << 10}).Draw(t, "body bytes")
	return trial
}

// drawTasks draws so many tasks on machines.
func (l *limitsTrial) drawTasks(count int) []jobs.Task {
	machine := rapid.SampledFrom([]string{"i-1", "i-2", "i-3", "i-4"})
	var tasks []jobs.Task
	for range count {
		tasks = append(tasks, jobs.Task{State: jobs.Placed, Machine: machine.Draw(l.T, "machine"), Zone: "a", Attempt: 1})
	}
	return tasks
}

// drawRecords draws three jobs with task ranges, and three with batch records.
func (l *limitsTrial) drawRecords() {
	state := l.replica.state
	for i := range 6 {
		jobID := fmt.Sprint("wk-", i)
		_ = state.ApplyJob(jobID, jobs.Encode(liveJob(jobID)))
	}
	for i := range 3 {
		for from := range rapid.IntRange(1, 5).Draw(l.T, "task ranges") {
			key := jobs.TaskRangeKey(fmt.Sprint("wk-", i), 4*from)
			_, _ = state.ApplyTaskRange(key, jobs.EncodeTaskRange(l.drawTasks(4), l.limits.ValueBytes))
		}
	}
	for k := range rapid.IntRange(0, 12).Draw(l.T, "batch records") {
		var entries []taskbatch.Entry
		for n, task := range l.drawTasks(rapid.IntRange(1, 8).Draw(l.T, "tasks")) {
			entries = append(entries, taskbatch.Entry{JobID: fmt.Sprint("wk-", 3+k%3), Index: 10*k + n, Task: task})
		}
		_, _ = state.ApplyBatch(fmt.Sprint("pack/", k), taskbatch.Encode(entries), 1)
	}
}

// add takes a drawn decision, with a drawn read set and urgency.
func (l *limitsTrial) add(decision Decision) {
	i := len(l.decisions)
	decision.OnSettled = func(ok bool) {
		if ok {
			l.Fatal("nothing was committed")
		}
		l.drops[i]++
	}
	for range rapid.IntRange(0, 6).Draw(l.T, "read set") {
		key := fmt.Sprint("host/seen-", rapid.IntRange(0, 300).Draw(l.T, "read key"))
		decision.ReadSet = append(decision.ReadSet, key)
	}
	decision.Urgent = rapid.Bool().Draw(l.T, "urgent")
	l.decisions = append(l.decisions, decision)
}

// drawDecision draws a decision: a large record, a new task, or the end of one.
func (l *limitsTrial) drawDecision() {
	job := l.replica.state.Jobs[fmt.Sprint("wk-", rapid.IntRange(0, 5).Draw(l.T, "job"))]
	index := rapid.IntRange(0, 119).Draw(l.T, "index")
	task := job.Tasks[index]
	switch {
	case rapid.IntRange(0, 7).Draw(l.T, "kind") == 0:
		value := strings.Repeat("x", rapid.IntRange(1, l.limits.ValueBytes).Draw(l.T, "bytes"))
		l.add(Decision{Writes: []store.Write{Put(fmt.Sprint("host/w-", len(l.decisions)), value)}})
	case task == nil:
		reason := strings.Repeat("w", rapid.IntRange(0, 200).Draw(l.T, "reason"))
		placed := jobs.Task{State: jobs.Placed, Machine: "i-1", Attempt: 1, Reason: reason}
		l.add(Decision{BatchEntries: []BatchEntry{{
			Controller: drawController(l.T),
			Entry:      taskbatch.Entry{JobID: job.ID, Index: index, Task: placed},
		}}})
	case task.OnMachine():
		l.add(drawEnd(l.T, task))
	}
}

func drawController(t *rapid.T) string {
	return rapid.SampledFrom([]string{"n0", "n1"}).Draw(t, "controller")
}

// drawEnd draws the end of a task's attempt.
func drawEnd(t *rapid.T, task *clusterstate.Task) Decision {
	kind := rapid.SampledFrom([]jobs.TaskEventKind{jobs.Complete, jobs.Lost, jobs.Fail}).Draw(t, "end")
	next, _ := jobs.NextTask(task.Task, jobs.TaskEvent{Kind: kind})
	return Decision{Changes: TransitionTask(task, next)}
}

// batcher is a batcher with these limits, a drawn budget and a machine of another owner.
func (l *limitsTrial) batcher() *Batcher {
	batcher := testBatcher(l.limits.Ops, rapid.IntRange(0, 60).Draw(l.T, "budget"))
	batcher.Context.Limits = l.limits
	batcher.Context.Machines = ownerFunc(func(machine string) bool { return machine != "i-4" })
	keys := 0
	batcher.Context.BatchKeys = batchKeyFunc(func() string {
		keys++
		return fmt.Sprint("pack/new-", keys)
	})
	batcher.Quarantine = quarantineFunc(func(*Decision, string) {})
	return batcher
}

// take counts transactions in, and fails where one exceeds a limit or writes what another does.
func (l *limitsTrial) take(transactions []*Transaction) {
	for _, txn := range transactions {
		if exceeded := l.limits.Fault(&txn.Txn); exceeded != "" {
			l.Fatal(exceeded)
		}
		l.taken += len(txn.Decisions)
		for _, write := range txn.Txn.Writes {
			if l.written[WriteKey(write)] {
				l.Fatalf("%s is written twice", WriteKey(write))
			}
			l.written[WriteKey(write)] = true
		}
	}
}

// untake takes a transaction back that was refused.
func (l *limitsTrial) untake(txn *Transaction) {
	l.taken -= len(txn.Decisions)
	for _, write := range txn.Txn.Writes {
		delete(l.written, WriteKey(write))
	}
}

// checkAccounted fails unless every decision is in one transaction or was dropped once.
func (l *limitsTrial) checkAccounted() {
	for i, times := range l.drops {
		if times != 1 {
			l.Fatalf("decision %d was dropped %d times", i, times)
		}
	}
	if l.taken+len(l.drops) != len(l.decisions) {
		l.Fatalf("%d decisions: %d taken, %d dropped", len(l.decisions), l.taken, len(l.drops))
	}
}

// TestAnyDecisionsKeepAnyLimits draws limits, records and decisions: every transaction is
// within all limits as it is sent, no record is written by two, and every decision is in
// one transaction or dropped, once. Before what is sent was counted, a new batch record's
// own precondition was not: transactions of 65 preconditions were refused, and made again
// alike (docs/incidents/refused-transactions.md).
func TestAnyDecisionsKeepAnyLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		trial := newLimitsTrial(t)
		trial.drawRecords()
		for range rapid.IntRange(0, 60).Draw(t, "decisions") {
			trial.drawDecision()
		}
		batcher := trial.batcher()
		waiting := batcher.Build(trial.decisions)
		trial.take(waiting)
		trial.checkAccounted()
		// What is refused all the same is halved, down to single decisions.
		for len(waiting) > 0 {
			txn := waiting[0]
			waiting = waiting[1:]
			trial.untake(txn)
			if len(txn.Decisions) == 1 {
				txn.Decisions[0].Drop()
			} else {
				halves := batcher.Split(txn)
				trial.take(halves)
				waiting = append(waiting, halves...)
			}
			trial.checkAccounted()
		}
	})
}

// A decision that no transaction holds is quarantined alone; what was with it is sent.
func TestOversizedDecisionIsQuarantinedAlone(t *testing.T) {
	batcher := testBatcher(4, 100)
	var quarantined []string
	batcher.Quarantine = quarantineFunc(func(decision *Decision, exceeded string) {
		quarantined = append(quarantined, decision.String()+": "+exceeded)
	})
	manyReads := Decision{Writes: []store.Write{Remove("host/many")}}
	for i := range 40 {
		manyReads.ReadSet = append(manyReads.ReadSet, fmt.Sprint("host/", i))
	}
	built := batcher.Build([]Decision{
		{Writes: []store.Write{Put("host/1", 1)}},
		{Writes: []store.Write{Put("host/large", strings.Repeat("x", 9000))}},
		manyReads,
		{Writes: []store.Write{Put("host/2", 2)}},
		{Writes: []store.Write{Put("host/two words", 2)}},
	})
	taken := 0
	for _, txn := range built {
		taken += len(txn.Decisions)
	}
	if taken != 2 || len(quarantined) != 3 ||
		!strings.Contains(fmt.Sprint(quarantined), "host/many: 43 conditions of 16") {
		t.Errorf("%d taken, %q", taken, quarantined)
	}
}
