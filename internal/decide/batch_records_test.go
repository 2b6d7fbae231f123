package decide

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
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

func describe(b *clusterstate.State) string {
	var out []string
	for jobID, j := range b.Jobs {
		for n, t := range j.Tasks {
			out = append(out, fmt.Sprint(jobID, "/", n, " ", t.Task, " ", t.Stored.Key))
		}
	}
	slices.Sort(out)
	return fmt.Sprint(out)
}

func liveJob(jobID string) jobs.Record {
	return jobs.Record{State: jobs.Live, AcceptedMs: 1, Spec: jobs.Spec{ID: jobID, Class: "c", Team: "t", Kind: jobs.JobArray, Priority: "standard", TaskCount: 100, Cores: 1, MemoryGB: 1, Image: "b"}}
}

// TestReplicasAgreeOnBatchRecords draws histories of packs that begin, change, are united, split and
// left, and a second controller that lists the keys one prefix and one page after the
// other while that goes on, then follows. In the end it knows what the first one does,
// each task is in one pack, and every count is what counting gives.
func TestReplicasAgreeOnBatchRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &fakeStore{items: map[string]store.Item{}}
		first, second := newReplica(), newReplica()
		for i := range 4 {
			s.commit([]store.Write{Put(fmt.Sprint("job/wk-", i), liveJob(fmt.Sprint("wk-", i)))})
		}
		keys := 0
		limit := rapid.SampledFrom([]int{250, 600, 8192}).Draw(t, "limit")
		context := testContext(16)
		context.Limits.ValueBytes = limit
		context.Machines = ownerFunc(func(machine string) bool { return machine != "i-2" })
		context.Records = s
		context.BatchKeys = batchKeyFunc(func() string {
			keys++
			return fmt.Sprintf("pack/%d", (keys*7)%100000) // in no order
		})
		step := func() {
			first.follow(s, -1)
			context.KnownEpoch = first.mirror.Epoch
			var decisions []Decision
			machine := rapid.SampledFrom([]string{"i-1", "i-2", "i-3"})
			for range rapid.IntRange(1, 6).Draw(t, "decisions") {
				jobID := fmt.Sprint("wk-", rapid.IntRange(0, 3).Draw(t, "job"))
				n := rapid.IntRange(0, 20).Draw(t, "n")
				j := first.state.Jobs[jobID]
				if j == nil || j.Record == nil {
					continue
				}
				x := j.Tasks[n]
				placed := func(from jobs.Task) jobs.Task {
					next, ok := jobs.NextTask(from, jobs.TaskEvent{Kind: jobs.Place, Machine: machine.Draw(t, "host"), Zone: "a", Attempt: from.Attempt + 1})
					if !ok {
						t.Fatal("not placed")
					}
					return next
				}
				switch {
				case x == nil:
					if slices.ContainsFunc(decisions, func(d Decision) bool {
						return len(d.BatchEntries) > 0 && d.BatchEntries[0].Entry.JobID == jobID && d.BatchEntries[0].Entry.Index == n
					}) {
						continue
					}
					decisions = append(decisions, Decision{BatchEntries: []BatchEntry{{rapid.SampledFrom([]string{"n0", "n1"}).Draw(t, "part"), taskbatch.Entry{JobID: jobID, Index: n, Task: placed(jobs.Task{State: jobs.Pending})}}}})
				case x.State == jobs.Pending:
					next := placed(x.Task)
					decisions = append(decisions, Decision{Changes: []Change{{Task: x, Next: next, LeavesBatch: true}}, BatchEntries: []BatchEntry{{"n0", taskbatch.Entry{JobID: jobID, Index: n, Task: next}}}})
				case x.OnMachine():
					kind := rapid.SampledFrom([]jobs.TaskEventKind{jobs.Complete, jobs.Lost, jobs.Fail}).Draw(t, "end")
					next, _ := jobs.NextTask(x.Task, jobs.TaskEvent{Kind: kind})
					decisions = append(decisions, Decision{Changes: TransitionTask(x, next)})
				}
			}
			batcher := testBatcher(16, 1000)
			batcher.Context = context
			for _, b := range batcher.Build(decisions) {
				s.commit(b.Txn.Writes)
				first.follow(s, -1)
			}
			if rapid.IntRange(0, 9).Draw(t, "ends") == 0 {
				jobID := fmt.Sprint("wk-", rapid.IntRange(0, 3).Draw(t, "which"))
				if j := first.state.Jobs[jobID]; j != nil && j.Record != nil && len(j.Active) == 0 {
					s.commit([]store.Write{Remove("job/" + jobID)})
				}
			}
		}
		for range rapid.IntRange(1, 8).Draw(t, "before") {
			step()
		}
		// The second lists, with changes between the pages, and follows from before.
		second.at = len(s.log)
		since := s.epoch
		for _, prefix := range []string{"job/", "pack/"} {
			began := s.epoch
			var rows []store.Item
			var names []string
			for k := range s.items {
				names = append(names, k)
			}
			slices.Sort(names)
			for i, k := range names {
				if i%3 == 2 {
					step()
				}
				if it, ok := s.items[k]; ok && k[:len(prefix)] == prefix {
					rows = append(rows, it)
				}
			}
			second.mirror.ApplyListing(prefix, rows, began)
		}
		second.mirror.Epoch = max(second.mirror.Epoch, since)
		for range rapid.IntRange(0, 5).Draw(t, "after") {
			step()
			second.follow(s, rapid.IntRange(0, 4).Draw(t, "events"))
		}
		first.follow(s, -1)
		second.follow(s, -1)
		if a, b := describe(first.state), describe(second.state); a != b {
			t.Fatalf("the first knows\n%s\nthe second\n%s", a, b)
		}
		for _, r := range []*replica{first, second} {
			if audit := r.state.Audit(); len(audit) > 0 {
				t.Fatal(audit)
			}
		}
		held := map[string]string{}
		for k, it := range s.items {
			if k[:4] != "pack" {
				continue
			}
			entries, err := taskbatch.Decode(it.Value)
			if err != nil || len(it.Value) > limit && len(entries) > 1 {
				t.Fatal(k, err, len(it.Value))
			}
			for _, e := range entries {
				taskID := jobs.TaskID(e.JobID, e.Index)
				if held[taskID] != "" {
					t.Fatalf("%s is in %s and %s", taskID, held[taskID], k)
				}
				held[taskID] = k
			}
		}
	})
}

// Ends on several packs of one controller are one put and removals; what others write
// goes by itself, and a task that is tried again leaves for a new pack.
func TestBatchesOfOneControllerAreMerged(t *testing.T) {
	r := newReplica()
	keys := 0
	context := testContext(16)
	context.Machines = ownerFunc(func(machine string) bool { return machine != "i-2" })
	context.BatchKeys = batchKeyFunc(func() string {
		keys++
		return fmt.Sprint("pack/new-", keys)
	})
	_ = r.state.ApplyJob("wk-0", jobs.Encode(liveJob("wk-0")))
	for i, machine := range []string{"i-1", "i-1", "i-2", "i-2"} {
		on := jobs.Task{State: jobs.Placed, Machine: machine, Attempt: 1}
		_, _ = r.state.ApplyBatch(fmt.Sprint("pack/", i), taskbatch.Encode([]taskbatch.Entry{{JobID: "wk-0", Index: 2 * i, Task: on}, {JobID: "wk-0", Index: 2*i + 1, Task: on}}), 1)
	}
	tasks := r.state.Jobs["wk-0"].Tasks
	batcher := testBatcher(16, 100)
	batcher.Context = context
	batches := batcher.Build([]Decision{complete(tasks[0]), complete(tasks[2]), complete(tasks[4]), complete(tasks[6])})
	if len(batches) != 3 {
		t.Fatalf("%d batches", len(batches))
	}
	own := batches[0].Txn.Writes
	if len(own) != 2 || own[0].Put == "" || own[1].Remove == "" {
		t.Fatalf("%+v", own)
	}
	if entries, err := taskbatch.Decode(own[0].Value); err != nil || len(entries) != 4 || entries[0].Task.State != jobs.Finished || entries[1].Task.State != jobs.Placed {
		t.Errorf("%+v %v", entries, err)
	}
	for _, b := range batches[1:] {
		if writes := b.Txn.Writes; len(writes) != 1 || writes[0].Put == "" {
			t.Errorf("%+v", writes)
		}
	}
	// Of a pack that others write too, what is on this controller's machines leaves it
	// when one of that is written.
	on := func(n int, machine string) taskbatch.Entry {
		return taskbatch.Entry{JobID: "wk-0", Index: n, Task: jobs.Task{State: jobs.Placed, Machine: machine, Attempt: 1}}
	}
	_, _ = r.state.ApplyBatch("pack/mixed", taskbatch.Encode([]taskbatch.Entry{on(10, "i-1"), on(11, "i-2"), on(12, "i-1")}), 1)
	mixed := testBatcher(16, 100)
	mixed.Context = context
	writes := mixed.Build([]Decision{complete(tasks[10])})[0].Txn.Writes
	if len(writes) != 2 || writes[1].Put != "pack/mixed" {
		t.Fatalf("%+v", writes)
	}
	left, _ := taskbatch.Decode(writes[1].Value)
	if own, _ := taskbatch.Decode(writes[0].Value); len(left) != 1 || left[0].Index != 11 || len(own) != 2 {
		t.Errorf("%+v and %+v", left, own)
	}
	// A job that is over is left out only where all is known up to the pack's stamp.
	_ = r.state.ApplyJob("wk-0", nil)
	gone := []Decision{{Changes: TransitionTask(tasks[0], jobs.Task{State: jobs.Pending, Attempt: 1})}}
	batcher = testBatcher(16, 100)
	batcher.Context = context
	if entries, _ := taskbatch.Decode(batcher.Build(gone)[0].Txn.Writes[0].Value); len(entries) != 2 {
		t.Errorf("%+v", entries)
	}
	context.KnownEpoch = 1
	batcher = testBatcher(16, 100)
	batcher.Context = context
	if entries, _ := taskbatch.Decode(batcher.Build(gone)[0].Txn.Writes[0].Value); len(entries) != 1 {
		t.Errorf("%+v", entries)
	}
}
