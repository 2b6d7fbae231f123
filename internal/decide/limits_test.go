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

// limitsFixture holds random decisions about random records and tracks what happens to them.
type limitsFixture struct {
	*rapid.T
	replica   *replica
	limits    store.Limits
	decisions []Decision
	// drops counts, by the index of a decision, how often it was settled as not committed.
	drops map[int]int
	// sent counts the decisions in transactions that were not refused.
	sent int
	// written holds the keys that these transactions write.
	written map[string]bool
}

func newLimitsFixture(t *rapid.T) *limitsFixture {
	fixture := &limitsFixture{T: t, replica: newReplica(), drops: map[int]int{}, written: map[string]bool{}}
	fixture.limits.Ops = rapid.IntRange(1, 24).Draw(t, "ops")
	fixture.limits.Preconditions = 4 * fixture.limits.Ops
	fixture.limits.ValueBytes = rapid.SampledFrom([]int{300, 1000, 8192}).Draw(t, "value bytes")
	fixture.limits.BodyBytes = rapid.SampledFrom([]int{1500, 9000, 64 << 10}).Draw(t, "body bytes")
	return fixture
}

// drawTasks draws count tasks that are placed on machines.
func (l *limitsFixture) drawTasks(count int) []jobs.Task {
	machine := rapid.SampledFrom([]string{"i-1", "i-2", "i-3", "i-4"})
	var tasks []jobs.Task
	for range count {
		tasks = append(tasks, jobs.Task{State: jobs.Placed, Machine: machine.Draw(l.T, "machine"), Zone: "a", Attempt: 1})
	}
	return tasks
}

// drawRecords draws three jobs with task ranges and three with batch records.
func (l *limitsFixture) drawRecords() {
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

// add adds a decision with a random read set and urgency.
func (l *limitsFixture) add(decision Decision) {
	i := len(l.decisions)
	decision.OnSettled = func(ok bool) {
		if ok {
			l.Fatal("decision settled as committed, but nothing was committed")
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

// drawDecision draws a decision: the write of a large record, a new task, or the end of a task.
func (l *limitsFixture) drawDecision() {
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

// drawEnd draws a decision that ends a task's attempt.
func drawEnd(t *rapid.T, task *clusterstate.Task) Decision {
	kind := rapid.SampledFrom([]jobs.TaskEventKind{jobs.Complete, jobs.Lost, jobs.Fail}).Draw(t, "end")
	next, _ := jobs.NextTask(task.Task, jobs.TaskEvent{Kind: kind})
	return Decision{Changes: TransitionTask(task, next)}
}

// batcher returns a batcher with the fixture's limits and a random budget. Machine i-4 belongs to
// another controller.
func (l *limitsFixture) batcher() *Batcher {
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

// recordSent counts transactions as sent. It fails if one exceeds a limit or if two write the
// same key.
func (l *limitsFixture) recordSent(transactions []*Transaction) {
	for _, txn := range transactions {
		if exceeded := l.limits.Violation(&txn.Txn); exceeded != "" {
			l.Fatal(exceeded)
		}
		l.sent += len(txn.Decisions)
		for _, write := range txn.Txn.Writes {
			if l.written[WriteKey(write)] {
				l.Fatalf("two transactions write %s", WriteKey(write))
			}
			l.written[WriteKey(write)] = true
		}
	}
}

// recordRefused undoes recordSent for a transaction that was refused.
func (l *limitsFixture) recordRefused(txn *Transaction) {
	l.sent -= len(txn.Decisions)
	for _, write := range txn.Txn.Writes {
		delete(l.written, WriteKey(write))
	}
}

// checkAccounted fails unless every decision is in exactly one transaction or was dropped exactly
// once.
func (l *limitsFixture) checkAccounted() {
	for i, times := range l.drops {
		if times != 1 {
			l.Fatalf("decision %d was dropped %d times", i, times)
		}
	}
	if l.sent+len(l.drops) != len(l.decisions) {
		l.Fatalf("%d decisions, but %d sent and %d dropped; want each in one of the two",
			len(l.decisions), l.sent, len(l.drops))
	}
}

// TestTransactionsOfRandomDecisionsKeepLimits draws limits, records and decisions. Every
// transaction must stay within all limits as it is sent, no two transactions may write the same
// record, and every decision must be in exactly one transaction or dropped exactly once. It
// guards against limits that are checked on an estimate only: the estimate did not count the
// precondition of a new batch record, so transactions with 65 preconditions were refused and
// built again unchanged (docs/incidents/refused-transactions.md).
func TestTransactionsOfRandomDecisionsKeepLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fixture := newLimitsFixture(t)
		fixture.drawRecords()
		for range rapid.IntRange(0, 60).Draw(t, "decisions") {
			fixture.drawDecision()
		}
		batcher := fixture.batcher()
		pending := batcher.Build(fixture.decisions)
		fixture.recordSent(pending)
		fixture.checkAccounted()
		// Every transaction is refused and split in half, down to single decisions.
		for len(pending) > 0 {
			txn := pending[0]
			pending = pending[1:]
			fixture.recordRefused(txn)
			if len(txn.Decisions) == 1 {
				txn.Decisions[0].Drop()
			} else {
				halves := batcher.Split(txn)
				fixture.recordSent(halves)
				pending = append(pending, halves...)
			}
			fixture.checkAccounted()
		}
	})
}

// A decision that fits into no transaction is quarantined; the other decisions of its transaction
// are sent.
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
	sent := 0
	for _, txn := range built {
		sent += len(txn.Decisions)
	}
	if sent != 2 || len(quarantined) != 3 ||
		!strings.Contains(fmt.Sprint(quarantined), "host/many: 43 conditions of 16") {
		t.Errorf("%d decisions sent and %q quarantined, want 2 and 3", sent, quarantined)
	}
}
