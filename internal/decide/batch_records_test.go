package decide

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
	"github.com/harrierreel/harrierreel/internal/testseed"
)

func TestMain(m *testing.M) { os.Exit(testseed.Main(m)) }

// fakeStore is a state service of a few keys, with its log.
type fakeStore struct {
	epoch uint64
	items map[string]store.Item
	log   []store.Event
}

// Revision and Get make it the Records of a Batcher; all records count as 100 bytes.
func (s *fakeStore) Revision(key string) uint64 { return s.items[key].Revision }

func (s *fakeStore) Get(string) json.RawMessage { return make(json.RawMessage, 100) }

func (s *fakeStore) commit(writes []store.Write) {
	s.epoch++
	for _, w := range writes {
		if w.Put != "" {
			s.items[w.Put] = store.Item{Key: w.Put, Value: w.Value, Revision: s.epoch}
			s.log = append(s.log, store.Event{Put: w.Put, Value: w.Value, Revision: s.epoch})
		} else {
			delete(s.items, w.Remove)
			s.log = append(s.log, store.Event{Remove: w.Remove, Revision: s.epoch})
		}
	}
}

// replica is a controller's copy of the fakeStore.
type replica struct {
	state  *clusterstate.State
	mirror *store.Mirror
	at     int // of the log
}

func newReplica() *replica {
	r := &replica{state: clusterstate.New(quota.Flat(nil), func(string) {})}
	r.mirror = store.NewMirror(func(key string, v json.RawMessage, revision uint64) {
		switch key[:4] {
		case "job/":
			_ = r.state.ApplyJob(key[4:], v)
		case "pack":
			_, _ = r.state.ApplyBatch(key, v, revision)
		}
	})
	return r
}

// follow reads the next k events of the log, or all.
func (r *replica) follow(s *fakeStore, k int) {
	end := len(s.log)
	if k >= 0 {
		end = min(end, r.at+k)
		for end < len(s.log) && end > 0 && s.log[end].Revision == s.log[end-1].Revision {
			end++ // a watch gives whole transactions
		}
	}
	if end > r.at {
		r.mirror.ApplyEvents(s.log[end-1].Revision, slices.Clone(s.log[r.at:end]))
		r.at = end
	}
}

// describe lists all tasks with their records.
func describe(state *clusterstate.State) string {
	var lines []string
	for jobID, job := range state.Jobs {
		for index, task := range job.Tasks {
			lines = append(lines, fmt.Sprint(jobID, "/", index, " ", task.Task, " ", task.StoredIn.Key))
		}
	}
	slices.Sort(lines)
	return fmt.Sprint(lines)
}

// liveJob is the record of a live job array of 100 tasks.
func liveJob(jobID string) jobs.Record {
	return jobs.Record{
		State:      jobs.Live,
		AcceptedMs: 1,
		Spec: jobs.Spec{
			ID:        jobID,
			Class:     "c",
			Team:      "t",
			Kind:      jobs.JobArray,
			Priority:  "standard",
			TaskCount: 100,
			Cores:     1,
			MemoryGB:  1,
			Image:     "b",
		},
	}
}

// historyTrial is a drawn history of batch records that one controller writes and another
// lists and follows.
type historyTrial struct {
	*rapid.T
	store   *fakeStore
	writer  *replica
	reader  *replica
	context TxnContext
}

func newHistoryTrial(t *rapid.T) *historyTrial {
	trial := &historyTrial{
		T:       t,
		store:   &fakeStore{items: map[string]store.Item{}},
		writer:  newReplica(),
		reader:  newReplica(),
		context: testContext(16),
	}
	for i := range 4 {
		trial.store.commit([]store.Write{Put(fmt.Sprint("job/wk-", i), liveJob(fmt.Sprint("wk-", i)))})
	}
	keys := 0
	trial.context.Limits.ValueBytes = rapid.SampledFrom([]int{250, 600, 8192}).Draw(t, "limit")
	trial.context.Machines = ownerFunc(func(machine string) bool { return machine != "i-2" })
	trial.context.Records = trial.store
	trial.context.BatchKeys = batchKeyFunc(func() string {
		keys++
		return fmt.Sprintf("pack/%d", (keys*7)%100000) // in no order
	})
	return trial
}

// place draws the placement of a task's next attempt.
func (h *historyTrial) place(from jobs.Task) jobs.Task {
	next, ok := jobs.NextTask(from, jobs.TaskEvent{
		Kind:    jobs.Place,
		Machine: rapid.SampledFrom([]string{"i-1", "i-2", "i-3"}).Draw(h.T, "machine"),
		Zone:    "a",
		Attempt: from.Attempt + 1,
	})
	if !ok {
		h.Fatal("not placed")
	}
	return next
}

// drawDecision draws a task, and decides what comes next for it: a first placement, another
// one, or an end. Nothing is decided about a task that another of the decisions places first.
func (h *historyTrial) drawDecision(decisions []Decision) []Decision {
	jobID := fmt.Sprint("wk-", rapid.IntRange(0, 3).Draw(h.T, "job"))
	index := rapid.IntRange(0, 20).Draw(h.T, "index")
	job := h.writer.state.Jobs[jobID]
	if job == nil || job.Record == nil {
		return decisions
	}
	task := job.Tasks[index]
	switch {
	case task == nil:
		if slices.ContainsFunc(decisions, func(d Decision) bool { return placesFirst(d, jobID, index) }) {
			return decisions
		}
		return append(decisions, Decision{BatchEntries: []BatchEntry{{
			Controller: drawController(h.T),
			Entry:      taskbatch.Entry{JobID: jobID, Index: index, Task: h.place(jobs.Task{State: jobs.Pending})},
		}}})
	case task.State == jobs.Pending:
		next := h.place(task.Task)
		return append(decisions, Decision{
			Changes: []Change{{Task: task, Next: next, LeavesBatch: true}},
			BatchEntries: []BatchEntry{{
				Controller: "n0",
				Entry:      taskbatch.Entry{JobID: jobID, Index: index, Task: next},
			}},
		})
	case task.OnMachine():
		return append(decisions, drawEnd(h.T, task))
	}
	return decisions
}

// placesFirst tells whether a decision puts a task into a new batch record.
func placesFirst(decision Decision, jobID string, index int) bool {
	return len(decision.BatchEntries) > 0 &&
		decision.BatchEntries[0].Entry.JobID == jobID && decision.BatchEntries[0].Entry.Index == index
}

// step has the writer commit some drawn decisions, and now and then end a job.
func (h *historyTrial) step() {
	h.writer.follow(h.store, -1)
	h.context.KnownEpoch = h.writer.mirror.Epoch
	var decisions []Decision
	for range rapid.IntRange(1, 6).Draw(h.T, "decisions") {
		decisions = h.drawDecision(decisions)
	}
	batcher := testBatcher(16, 1000)
	batcher.Context = h.context
	for _, txn := range batcher.Build(decisions) {
		h.store.commit(txn.Txn.Writes)
		h.writer.follow(h.store, -1)
	}
	if rapid.IntRange(0, 9).Draw(h.T, "ends") == 0 {
		jobID := fmt.Sprint("wk-", rapid.IntRange(0, 3).Draw(h.T, "ended job"))
		if job := h.writer.state.Jobs[jobID]; job != nil && job.Record != nil && len(job.Active) == 0 {
			h.store.commit([]store.Write{Remove("job/" + jobID)})
		}
	}
}

// listPrefix has the reader list the keys with a prefix, while changes come between the pages.
func (h *historyTrial) listPrefix(prefix string) {
	began := h.store.epoch
	var rows []store.Item
	for i, key := range slices.Sorted(maps.Keys(h.store.items)) {
		if i%3 == 2 {
			h.step()
		}
		if item, ok := h.store.items[key]; ok && strings.HasPrefix(key, prefix) {
			rows = append(rows, item)
		}
	}
	h.reader.mirror.ApplyListing(prefix, rows, began)
}

// checkOneBatchPerTask fails where a batch record is too large or a task is in two.
func (h *historyTrial) checkOneBatchPerTask() {
	recordOfTask := map[string]string{}
	for key, item := range h.store.items {
		if !strings.HasPrefix(key, taskbatch.KeyPrefix) {
			continue
		}
		entries, err := taskbatch.Decode(item.Value)
		if err != nil || len(item.Value) > h.context.Limits.ValueBytes && len(entries) > 1 {
			h.Fatal(key, err, len(item.Value))
		}
		for _, entry := range entries {
			taskID := jobs.TaskID(entry.JobID, entry.Index)
			if recordOfTask[taskID] != "" {
				h.Fatalf("%s is in %s and %s", taskID, recordOfTask[taskID], key)
			}
			recordOfTask[taskID] = key
		}
	}
}

// TestReplicasAgreeOnBatchRecords draws histories of batch records that are created,
// changed, merged, split and left, and a second controller that lists the keys one prefix
// and one page after the other while that goes on, then follows. In the end it knows what
// the first one does, each task is in one batch record, and every count is what counting
// gives.
func TestReplicasAgreeOnBatchRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		trial := newHistoryTrial(t)
		for range rapid.IntRange(1, 8).Draw(t, "before") {
			trial.step()
		}
		// The reader lists, with changes between the pages, and follows from before.
		trial.reader.at = len(trial.store.log)
		since := trial.store.epoch
		trial.listPrefix("job/")
		trial.listPrefix("pack/")
		trial.reader.mirror.Epoch = max(trial.reader.mirror.Epoch, since)
		for range rapid.IntRange(0, 5).Draw(t, "after") {
			trial.step()
			trial.reader.follow(trial.store, rapid.IntRange(0, 4).Draw(t, "events"))
		}
		trial.writer.follow(trial.store, -1)
		trial.reader.follow(trial.store, -1)
		if want, got := describe(trial.writer.state), describe(trial.reader.state); want != got {
			t.Fatalf("the writer knows\n%s\nthe reader\n%s", want, got)
		}
		for _, r := range []*replica{trial.writer, trial.reader} {
			if audit := r.state.Audit(); len(audit) > 0 {
				t.Fatal(audit)
			}
		}
		trial.checkOneBatchPerTask()
	})
}

// placedEntry is a task of wk-0 on a machine.
func placedEntry(index int, machine string) taskbatch.Entry {
	return taskbatch.Entry{
		JobID: "wk-0",
		Index: index,
		Task:  jobs.Task{State: jobs.Placed, Machine: machine, Attempt: 1},
	}
}

// batchRecords is a state with the job wk-0, whose tasks are in these batch records at
// revision 1, and the context of a controller that owns all machines but i-2.
func batchRecords(t *testing.T, records map[string][]taskbatch.Entry) (*clusterstate.State, TxnContext) {
	t.Helper()
	state := newReplica().state
	if err := state.ApplyJob("wk-0", jobs.Encode(liveJob("wk-0"))); err != nil {
		t.Fatal(err)
	}
	for _, key := range slices.Sorted(maps.Keys(records)) {
		if _, err := state.ApplyBatch(key, taskbatch.Encode(records[key]), 1); err != nil {
			t.Fatal(err)
		}
	}
	context := testContext(16)
	context.Machines = ownerFunc(func(machine string) bool { return machine != "i-2" })
	keys := 0
	context.BatchKeys = batchKeyFunc(func() string {
		keys++
		return fmt.Sprint("pack/new-", keys)
	})
	return state, context
}

// fourBatchRecords has two tasks a record: the first two on an own machine, the others not.
func fourBatchRecords() map[string][]taskbatch.Entry {
	records := map[string][]taskbatch.Entry{}
	for i, machine := range []string{"i-1", "i-1", "i-2", "i-2"} {
		records[fmt.Sprint("pack/", i)] = []taskbatch.Entry{placedEntry(2*i, machine), placedEntry(2*i+1, machine)}
	}
	return records
}

func buildIn(context TxnContext, decisions ...Decision) []*Transaction {
	batcher := testBatcher(16, 100)
	batcher.Context = context
	return batcher.Build(decisions)
}

func decodeBatch(t *testing.T, write store.Write) []taskbatch.Entry {
	t.Helper()
	entries, err := taskbatch.Decode(write.Value)
	if err != nil {
		t.Fatal(err)
	}
	return entries
}

// Ends in several batch records of one controller are one put and removals; a record that
// others write goes in a transaction of its own.
func TestBatchesOfOneControllerAreMerged(t *testing.T) {
	state, context := batchRecords(t, fourBatchRecords())
	tasks := state.Jobs["wk-0"].Tasks
	built := buildIn(context, complete(tasks[0]), complete(tasks[2]), complete(tasks[4]), complete(tasks[6]))
	if len(built) != 3 {
		t.Fatalf("%d transactions", len(built))
	}
	own := built[0].Txn.Writes
	if len(own) != 2 || own[0].Put == "" || own[1].Remove == "" {
		t.Fatalf("%+v", own)
	}
	entries := decodeBatch(t, own[0])
	if len(entries) != 4 || entries[0].Task.State != jobs.Finished || entries[1].Task.State != jobs.Placed {
		t.Errorf("%+v", entries)
	}
	for _, txn := range built[1:] {
		if writes := txn.Txn.Writes; len(writes) != 1 || writes[0].Put == "" {
			t.Errorf("%+v", writes)
		}
	}
}

// Tasks on this controller's machines leave a batch record that others write too, when one
// of them is written.
func TestOwnTasksLeaveSharedBatch(t *testing.T) {
	state, context := batchRecords(t, map[string][]taskbatch.Entry{
		"pack/mixed": {placedEntry(10, "i-1"), placedEntry(11, "i-2"), placedEntry(12, "i-1")},
	})
	writes := buildIn(context, complete(state.Jobs["wk-0"].Tasks[10]))[0].Txn.Writes
	if len(writes) != 2 || writes[1].Put != "pack/mixed" {
		t.Fatalf("%+v", writes)
	}
	own, left := decodeBatch(t, writes[0]), decodeBatch(t, writes[1])
	if len(left) != 1 || left[0].Index != 11 || len(own) != 2 {
		t.Errorf("%+v and %+v", left, own)
	}
}

// Tasks of a job that is over are left out only where all is known up to the batch record's
// revision.
func TestObsoleteTasksAreLeftOutOnceEpochIsKnown(t *testing.T) {
	state, context := batchRecords(t, fourBatchRecords())
	task := state.Jobs["wk-0"].Tasks[0]
	if err := state.ApplyJob("wk-0", nil); err != nil {
		t.Fatal(err)
	}
	given := Decision{Changes: TransitionTask(task, jobs.Task{State: jobs.Pending, Attempt: 1})}
	for knownEpoch, want := range []int{2, 1} {
		context.KnownEpoch = uint64(knownEpoch)
		if entries := decodeBatch(t, buildIn(context, given)[0].Txn.Writes[0]); len(entries) != want {
			t.Errorf("with epoch %d known: %+v", knownEpoch, entries)
		}
	}
}

// A refused transaction on a batch record is split by a batcher that has built nothing.
func TestSplitOfBatchRecordsWithoutBuild(t *testing.T) {
	state, context := batchRecords(t, map[string][]taskbatch.Entry{
		"pack/1": {placedEntry(0, "i-1"), placedEntry(1, "i-1")},
		"pack/2": {placedEntry(2, "i-1"), placedEntry(3, "i-1")},
	})
	tasks := state.Jobs["wk-0"].Tasks
	refused := buildIn(context, complete(tasks[0]), complete(tasks[2]))
	if len(refused) != 1 {
		t.Fatalf("%d transactions", len(refused))
	}
	batcher := testBatcher(16, 100)
	batcher.Context = context
	halves := batcher.Split(refused[0])
	if len(halves) != 2 || halves[0].Txn.Writes[0].Put != "pack/1" || halves[1].Txn.Writes[0].Put != "pack/2" {
		t.Errorf("%+v", halves)
	}
}
