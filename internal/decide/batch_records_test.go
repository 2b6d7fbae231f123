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

// fakeStore is an in-memory state service with a log of its events.
type fakeStore struct {
	epoch uint64
	items map[string]store.Item
	log   []store.Event
}

// Revision and Get implement Records. Every record is reported with a size of 100 bytes.
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

// replica is a controller's copy of a fakeStore.
type replica struct {
	state    *clusterstate.State
	mirror   *store.Mirror
	position int // in the log
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

// follow applies the next count events of the log, or all remaining events if count is negative.
func (r *replica) follow(s *fakeStore, count int) {
	end := len(s.log)
	if count >= 0 {
		end = min(end, r.position+count)
		for end < len(s.log) && end > 0 && s.log[end].Revision == s.log[end-1].Revision {
			end++ // a watch delivers whole transactions
		}
	}
	if end > r.position {
		r.mirror.ApplyEvents(s.log[end-1].Revision, slices.Clone(s.log[r.position:end]))
		r.position = end
	}
}

// describeTasks lists all tasks of a state with the keys of their records.
func describeTasks(state *clusterstate.State) string {
	var lines []string
	for jobID, job := range state.Jobs {
		for index, task := range job.Tasks {
			lines = append(lines, fmt.Sprint(jobID, "/", index, " ", task.Task, " ", task.StoredIn.Key))
		}
	}
	slices.Sort(lines)
	return fmt.Sprint(lines)
}

// liveJob returns the record of a live job array of 100 tasks.
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

// historyFixture is a random history of batch records that one controller writes and another one
// lists and watches.
type historyFixture struct {
	*rapid.T
	store   *fakeStore
	writer  *replica
	reader  *replica
	context TxnContext
	// committed, if set, is called for each transaction of the writer that was committed.
	committed func(txn *store.Txn)
}

func newHistoryFixture(t *rapid.T) *historyFixture {
	fixture := &historyFixture{
		T:       t,
		store:   &fakeStore{items: map[string]store.Item{}},
		writer:  newReplica(),
		reader:  newReplica(),
		context: testContext(16),
	}
	for i := range 4 {
		fixture.store.commit([]store.Write{Put(fmt.Sprint("job/wk-", i), liveJob(fmt.Sprint("wk-", i)))})
	}
	keys := 0
	fixture.context.Limits.ValueBytes = rapid.SampledFrom([]int{250, 600, 8192}).Draw(t, "limit")
	fixture.context.Machines = ownerFunc(func(machine string) bool { return machine != "i-2" })
	fixture.context.Records = fixture.store
	fixture.context.BatchKeys = batchKeyFunc(func() string {
		keys++
		return fmt.Sprintf("pack/%d", (keys*7)%100000) // not in ascending order
	})
	return fixture
}

// place returns the task after the placement of its next attempt on a random machine.
func (h *historyFixture) place(from jobs.Task) jobs.Task {
	next, ok := jobs.NextTask(from, jobs.TaskEvent{
		Kind:    jobs.Place,
		Machine: rapid.SampledFrom([]string{"i-1", "i-2", "i-3"}).Draw(h.T, "machine"),
		Zone:    "a",
		Attempt: from.Attempt + 1,
	})
	if !ok {
		h.Fatal("task cannot be placed")
	}
	return next
}

// drawDecision draws a task and appends a decision about it: a first placement, another
// placement, or an end. It appends nothing if an earlier decision already places the task for
// the first time.
func (h *historyFixture) drawDecision(decisions []Decision) []Decision {
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

// placesFirst reports whether a decision adds the task to a new batch record.
func placesFirst(decision Decision, jobID string, index int) bool {
	return len(decision.BatchEntries) > 0 &&
		decision.BatchEntries[0].Entry.JobID == jobID && decision.BatchEntries[0].Entry.Index == index
}

// step lets the writer commit some random decisions and occasionally removes a job.
func (h *historyFixture) step() {
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
		if h.committed != nil {
			h.committed(&txn.Txn)
		}
	}
	if rapid.IntRange(0, 9).Draw(h.T, "ends") == 0 {
		jobID := fmt.Sprint("wk-", rapid.IntRange(0, 3).Draw(h.T, "ended job"))
		if job := h.writer.state.Jobs[jobID]; job != nil && job.Record != nil && len(job.Active) == 0 {
			h.store.commit([]store.Write{Remove("job/" + jobID)})
		}
	}
}

// listPrefix lets the reader list the keys with a prefix while the writer commits changes
// between the pages.
func (h *historyFixture) listPrefix(prefix string) {
	startEpoch := h.store.epoch
	var rows []store.Item
	for i, key := range slices.Sorted(maps.Keys(h.store.items)) {
		if i%3 == 2 {
			h.step()
		}
		if item, ok := h.store.items[key]; ok && strings.HasPrefix(key, prefix) {
			rows = append(rows, item)
		}
	}
	h.reader.mirror.ApplyListing(prefix, rows, startEpoch)
}

// checkOneBatchPerTask fails if a batch record is too large or a task is in two of them.
func (h *historyFixture) checkOneBatchPerTask() {
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

// TestReplicasAgreeOnBatchRecords generates histories in which batch records are created,
// changed, merged, split and removed. Meanwhile a second controller lists the keys, prefix by
// prefix and page by page, and then follows the watch. In the end both controllers must know the
// same tasks, each task must be in one batch record only, and the audit of both states must
// find no difference.
func TestReplicasAgreeOnBatchRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fixture := newHistoryFixture(t)
		for range rapid.IntRange(1, 8).Draw(t, "before") {
			fixture.step()
		}
		// The reader lists, with changes between the pages, and follows the log from the
		// position before the listing.
		fixture.reader.position = len(fixture.store.log)
		since := fixture.store.epoch
		fixture.listPrefix("job/")
		fixture.listPrefix("pack/")
		fixture.reader.mirror.Epoch = max(fixture.reader.mirror.Epoch, since)
		for range rapid.IntRange(0, 5).Draw(t, "after") {
			fixture.step()
			fixture.reader.follow(fixture.store, rapid.IntRange(0, 4).Draw(t, "events"))
		}
		fixture.writer.follow(fixture.store, -1)
		fixture.reader.follow(fixture.store, -1)
		if want, got := describeTasks(fixture.writer.state), describeTasks(fixture.reader.state); want != got {
			t.Fatalf("tasks known to the writer:\n%s\ntasks known to the reader:\n%s", want, got)
		}
		for _, r := range []*replica{fixture.writer, fixture.reader} {
			if audit := r.state.Audit(); len(audit) > 0 {
				t.Fatal(audit)
			}
		}
		fixture.checkOneBatchPerTask()
	})
}

// placedEntry returns the entry of a task of wk-0 that is placed on a machine.
func placedEntry(index int, machine string) taskbatch.Entry {
	return taskbatch.Entry{
		JobID: "wk-0",
		Index: index,
		Task:  jobs.Task{State: jobs.Placed, Machine: machine, Attempt: 1},
	}
}

// batchRecords returns a state with the job wk-0, whose tasks are in the given batch records at
// revision 1, and the context of a controller that owns all machines except i-2.
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

// fourBatchRecords returns four batch records of two tasks each. The tasks of the first two
// records are on a machine of this controller, the others on a machine of another one.
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

// Changes to several batch records of one controller become one put and removals of the rest. A
// batch record that other controllers also write gets a transaction of its own.
func TestBatchesOfOneControllerAreMerged(t *testing.T) {
	state, context := batchRecords(t, fourBatchRecords())
	tasks := state.Jobs["wk-0"].Tasks
	built := buildIn(context, complete(tasks[0]), complete(tasks[2]), complete(tasks[4]), complete(tasks[6]))
	if len(built) != 3 {
		t.Fatalf("got %d transactions, want 3", len(built))
	}
	own := built[0].Txn.Writes
	if len(own) != 2 || own[0].Put == "" || own[1].Remove == "" {
		t.Fatalf("own batch records: got writes %+v, want one put and one removal", own)
	}
	entries := decodeBatch(t, own[0])
	if len(entries) != 4 || entries[0].Task.State != jobs.Finished || entries[1].Task.State != jobs.Placed {
		t.Errorf("merged batch record has entries %+v, want 4: the first finished, the second placed", entries)
	}
	for _, txn := range built[1:] {
		if writes := txn.Txn.Writes; len(writes) != 1 || writes[0].Put == "" {
			t.Errorf("shared batch record: got writes %+v, want one put", writes)
		}
	}
}

// When a controller writes one of its tasks in a batch record that other controllers also
// write, all its tasks move to a new batch record.
func TestOwnTasksLeaveSharedBatch(t *testing.T) {
	state, context := batchRecords(t, map[string][]taskbatch.Entry{
		"pack/mixed": {placedEntry(10, "i-1"), placedEntry(11, "i-2"), placedEntry(12, "i-1")},
	})
	writes := buildIn(context, complete(state.Jobs["wk-0"].Tasks[10]))[0].Txn.Writes
	if len(writes) != 2 || writes[1].Put != "pack/mixed" {
		t.Fatalf("got writes %+v, want a new batch record and pack/mixed", writes)
	}
	own, remaining := decodeBatch(t, writes[0]), decodeBatch(t, writes[1])
	if len(remaining) != 1 || remaining[0].Index != 11 || len(own) != 2 {
		t.Errorf("pack/mixed has entries %+v, want task 11; the new batch record has %+v, want two tasks", remaining, own)
	}
}

// Tasks of a job that has ended are left out only if all changes up to the batch record's
// revision are known.
func TestObsoleteTasksAreLeftOutOnceEpochIsKnown(t *testing.T) {
	state, context := batchRecords(t, fourBatchRecords())
	task := state.Jobs["wk-0"].Tasks[0]
	if err := state.ApplyJob("wk-0", nil); err != nil {
		t.Fatal(err)
	}
	decision := Decision{Changes: TransitionTask(task, jobs.Task{State: jobs.Pending, Attempt: 1})}
	for knownEpoch, want := range []int{2, 1} {
		context.KnownEpoch = uint64(knownEpoch)
		if entries := decodeBatch(t, buildIn(context, decision)[0].Txn.Writes[0]); len(entries) != want {
			t.Errorf("with known epoch %d: got entries %+v", knownEpoch, entries)
		}
	}
}

// A batcher on which Build was never called can split a refused transaction on batch records.
func TestSplitOfBatchRecordsWithoutBuild(t *testing.T) {
	state, context := batchRecords(t, map[string][]taskbatch.Entry{
		"pack/1": {placedEntry(0, "i-1"), placedEntry(1, "i-1")},
		"pack/2": {placedEntry(2, "i-1"), placedEntry(3, "i-1")},
	})
	tasks := state.Jobs["wk-0"].Tasks
	refused := buildIn(context, complete(tasks[0]), complete(tasks[2]))
	if len(refused) != 1 {
		t.Fatalf("got %d transactions, want 1", len(refused))
	}
	batcher := testBatcher(16, 100)
	batcher.Context = context
	halves := batcher.Split(refused[0])
	if len(halves) != 2 || halves[0].Txn.Writes[0].Put != "pack/1" || halves[1].Txn.Writes[0].Put != "pack/2" {
		t.Errorf("got halves %+v, want one for pack/1 and one for pack/2", halves)
	}
}
