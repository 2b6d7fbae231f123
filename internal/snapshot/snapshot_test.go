package snapshot

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
)

// fakeStore is a key-value store that may change while it is read.
type fakeStore struct {
	epoch        uint64
	items        map[string]store.Item
	events       []store.Event
	compacted    uint64 // changes up to this epoch are no longer available
	pageSize     int
	calls        int
	beforeAnswer func(call int) // called before each response; may change the store
}

func (s *fakeStore) put(key string, v any) {
	s.epoch++
	s.items[key] = store.Item{Key: key, Value: jobs.Encode(v), Revision: s.epoch}
	s.events = append(s.events, store.Event{Put: key, Value: jobs.Encode(v), Revision: s.epoch})
}

func (s *fakeStore) remove(key string) {
	s.epoch++
	delete(s.items, key)
	s.events = append(s.events, store.Event{Remove: key, Revision: s.epoch})
}

func (s *fakeStore) List(after string) (store.Page, error) {
	s.calls++
	s.beforeAnswer(s.calls)
	p := store.Page{Epoch: s.epoch}
	for _, k := range clusterstate.SortedKeys(s.items) {
		if k > after && len(p.Rows) == s.pageSize {
			p.HasNext = true
			break
		}
		if k > after {
			p.Rows = append(p.Rows, s.items[k])
		}
	}
	return p, nil
}

func (s *fakeStore) Changes(since uint64) (uint64, []store.Event, error) {
	s.calls++
	s.beforeAnswer(s.calls)
	if since < s.compacted {
		return 0, nil, store.ErrGone
	}
	i := slices.IndexFunc(s.events, func(e store.Event) bool { return e.Revision > since })
	if i < 0 {
		return s.epoch, nil, nil
	}
	return s.epoch, slices.Clone(s.events[i:]), nil
}

// changingStore returns a store with a leader, machines and jobs. While it is read, tasks move
// between batch records, the leader changes, and keys are added and removed.
func changingStore() *fakeStore {
	s := &fakeStore{items: map[string]store.Item{}, pageSize: 3}
	s.put("view", map[string]any{"leader": "n0", "epoch": 4, "members": []any{}})
	for i := range 4 {
		s.put(fmt.Sprint("host/i-", i), fleet.MachineRecord{State: fleet.Up, MachineType: "g4", Zone: "a"})
		jobID := fmt.Sprint("wk-", i)
		s.put(
			"job/"+jobID,
			jobs.Record{
				State:      jobs.Live,
				AcceptedMs: 1,
				Spec: jobs.Spec{
					ID:        jobID,
					Class:     "c",
					Team:      "t",
					Kind:      jobs.JobArray,
					Priority:  "standard",
					TaskCount: 9,
					Cores:     1,
					MemoryGB:  1,
					Image:     "b",
				},
			},
		)
	}
	batch := func(entries ...taskbatch.Entry) json.RawMessage { return taskbatch.Encode(entries) }
	placed := func(job, machine int) taskbatch.Entry {
		return taskbatch.Entry{
			JobID: fmt.Sprint("wk-", job),
			Task:  jobs.Task{State: jobs.Placed, Machine: fmt.Sprint("i-", machine), Zone: "a", Attempt: 1},
		}
	}
	s.put("pack/a", batch(placed(0, 0), placed(1, 1)))
	s.put("pack/z", batch(placed(2, 2)))
	s.put("task/wk-3/0", jobs.EncodeTaskRange([]jobs.Task{{State: jobs.Finished, Attempt: 1}}, 8192))
	s.put("final/wk-9", jobs.StoredState{State: jobs.Done, DoneCount: 1})
	s.beforeAnswer = func(call int) {
		switch call {
		case 2: // one transaction moves the tasks of pack/a to pack/z
			s.put("pack/z", batch(placed(0, 0), placed(1, 1), placed(2, 2)))
			delete(s.items, "pack/a")
			s.events = append(s.events, store.Event{Remove: "pack/a", Revision: s.epoch})
		case 3:
			s.put("view", map[string]any{"leader": "n1", "epoch": 5, "members": []any{}})
		case 4:
			s.remove("host/i-3")
		case 5:
			s.put("aa/behind", 1) // sorts before the keys that are already listed
		case 7:
			s.put("zz/late", 1)
		}
	}
	return s
}

func readFile(t *testing.T, file string) *State {
	t.Helper()
	b, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	s, err := Read(bytes.NewReader(b))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// valuesAt returns the values that a store held at an epoch, by key.
func valuesAt(s *fakeStore, epoch uint64) map[string]string {
	out := map[string]string{}
	for _, e := range s.events {
		if e.Revision > epoch {
			break
		}
		if e.Put != "" {
			out[e.Put] = string(e.Value)
		} else {
			delete(out, e.Remove)
		}
	}
	return out
}

// checkItems checks that a snapshot has the wanted values, by key.
func checkItems(t *testing.T, s *State, want map[string]string) {
	t.Helper()
	if len(s.Items) != len(want) {
		t.Errorf("%d keys, want %d", len(s.Items), len(want))
	}
	for k, item := range s.Items {
		if string(item.Value) != want[k] {
			t.Errorf("%s is %s, want %s", k, item.Value, want[k])
		}
	}
}

// A snapshot that is taken while batch records are merged, the leader changes, and keys are added
// and removed equals the store's content at one epoch, and Check has no findings.
func TestSnapshotOfChangingStoreIsConsistent(t *testing.T) {
	source := changingStore()
	file := filepath.Join(t.TempDir(), "state")
	epoch, err := Take(source, file, time.UnixMilli(1), nil)
	if err != nil {
		t.Fatal(err)
	}
	s := readFile(t, file)
	if s.Epoch != epoch || source.calls < 6 {
		t.Fatal(s.Epoch, epoch, source.calls)
	}
	checkItems(t, s, valuesAt(source, epoch))
	if r := Check(s, nil); len(r.Findings) > 0 || r.LiveJobs != 4 || r.TasksOnMachines != 3 || r.Tasks != 4 {
		t.Errorf("%+v", r)
	}
	if info, _ := os.Stat(file); info.Mode().Perm() != 0o600 {
		t.Error(info.Mode())
	}
	if _, err := os.Stat(file + ".part"); err == nil {
		t.Error("the partial file still exists")
	}
}

// failingStore fails every call from the one with the number firstFailingCall on.
type failingStore struct {
	*fakeStore
	firstFailingCall int
}

var errNoAnswer = errors.New("no answer")

func (f *failingStore) List(after string) (store.Page, error) {
	if f.calls+1 >= f.firstFailingCall {
		return store.Page{}, errNoAnswer
	}
	return f.fakeStore.List(after)
}

func (f *failingStore) Changes(since uint64) (uint64, []store.Event, error) {
	if f.calls+1 >= f.firstFailingCall {
		return 0, nil, errNoAnswer
	}
	return f.fakeStore.Changes(since)
}

// After an interruption at any call, also with bytes of the last block missing, the next attempt
// resumes, and the snapshot equals the store's content at its epoch.
func TestInterruptedTakeResumes(t *testing.T) {
	for firstFailingCall := 1; firstFailingCall <= 8; firstFailingCall++ {
		for _, missing := range []int{0, 1, 40} {
			checkResume(t, firstFailingCall, missing)
		}
	}
}

// checkResume interrupts Take at a call, removes the last missing bytes of the partial file, and
// checks the result of the next attempt.
func checkResume(t *testing.T, firstFailingCall, missing int) {
	t.Helper()
	source := changingStore()
	file := filepath.Join(t.TempDir(), "state")
	_, err := Take(&failingStore{source, firstFailingCall}, file, time.UnixMilli(1), nil)
	if !errors.Is(err, errNoAnswer) {
		if err != nil || firstFailingCall < 7 {
			t.Fatal(firstFailingCall, err)
		}
		return
	}
	if b, _ := os.ReadFile(file + ".part"); len(b) > missing {
		_ = os.WriteFile(file+".part", b[:len(b)-missing], 0o600)
	}
	before := source.calls
	epoch, err := Take(source, file, time.UnixMilli(2), nil)
	if err != nil {
		t.Fatal(firstFailingCall, missing, err)
	}
	checkItems(t, readFile(t, file), valuesAt(source, epoch))
	if firstFailingCall == 6 && missing == 0 && source.calls-before > 5 {
		t.Errorf("%d calls after resuming", source.calls-before)
	}
}

func TestTakeRestartsWhenChangesAreGone(t *testing.T) {
	source := changingStore()
	file := filepath.Join(t.TempDir(), "state")
	_, _ = Take(&failingStore{source, 5}, file, time.UnixMilli(1), nil)
	source.compacted = source.epoch
	source.beforeAnswer = func(int) {}
	messages := ""
	epoch, err := Take(source, file, time.UnixMilli(2), func(message string) { messages += message })
	if err != nil || !strings.Contains(messages, "anew") {
		t.Fatal(err, messages)
	}
	checkItems(t, readFile(t, file), valuesAt(source, epoch))
}

// Read rejects a file that is truncated at any byte or has a flipped bit in any byte.
func TestDamagedFilesAreRejected(t *testing.T) {
	file := filepath.Join(t.TempDir(), "state")
	if _, err := Take(changingStore(), file, time.UnixMilli(1), nil); err != nil {
		t.Fatal(err)
	}
	b, _ := os.ReadFile(file)
	for i := range b {
		if _, err := Read(bytes.NewReader(b[:i])); !errors.Is(err, ErrTruncated) && !errors.Is(err, ErrDamaged) {
			t.Fatalf("truncated at byte %d: %v", i, err)
		}
		flipped := slices.Clone(b)
		flipped[i] ^= 1 << (i % 8)
		if _, err := Read(bytes.NewReader(flipped)); !errors.Is(err, ErrTruncated) && !errors.Is(err, ErrDamaged) {
			t.Fatalf("bit flipped in byte %d: %v", i, err)
		}
	}
	if _, err := Read(bytes.NewReader(append(slices.Clone(b), b[len(magic):]...))); !errors.Is(err, ErrDamaged) {
		t.Errorf("blocks repeated: %v", err)
	}
}

func TestCheckFindsEachProblem(t *testing.T) {
	put := func(key string, v any) func(*State) {
		return func(s *State) { s.Items[key] = store.Item{Key: key, Value: jobs.Encode(v), Revision: 1} }
	}
	remove := func(key string) func(*State) {
		return func(s *State) { delete(s.Items, key) }
	}
	nothing := func(*State) {}
	taskRange := jobs.EncodeTaskRange([]jobs.Task{{State: jobs.Placed, Machine: "i-1", Zone: "a", Attempt: 1}}, 8192)
	cancelled := func(s *State) {
		var record jobs.Record
		_ = json.Unmarshal(s.Items["job/wk-3"].Value, &record)
		record.State = jobs.Cancelled
		put("job/wk-3", record)(s)
	}
	limited := map[string]quota.Team{"t": {Name: "t", Limit: quota.NewAmount(2, 0, 0)}}
	for name, c := range map[string]struct {
		change func(s *State)
		teams  map[string]quota.Team
		want   string
	}{
		"nothing":                            {nothing, nil, ""},
		"task in two records":                {put("task/wk-0/0", taskRange), nil, "holds too"},
		"task on an unknown machine":         {remove("host/i-2"), nil, "of which there is no record"},
		"task without a job":                 {remove("job/wk-1"), nil, "neither a record nor a final state"},
		"live job with a final state":        {put("final/wk-1", jobs.StoredState{State: jobs.Done}), nil, "for ever"},
		"finished job without a final state": {cancelled, nil, "no final state"},
		"index beyond the job's tasks":       {put("task/wk-3/9", taskRange), nil, "of a job of 9 tasks"},
		"unreadable batch":                   {put("pack/a", 7), nil, "can't be read"},
		"unreadable view":                    {put("view", 7), nil, "not a view"},
		"unreadable loans":                   {put("loan/0", 7), nil, "can't be read"},
		"unreadable final state":             {put("final/wk-8", 7), nil, "can't be read"},
		"usage above a team's limit":         {nothing, limited, "more than its limit"},
	} {
		t.Run(name, func(t *testing.T) {
			source := changingStore()
			s := &State{Epoch: source.epoch, Items: source.items}
			c.change(s)
			got := fmt.Sprint(Check(s, c.teams).Findings)
			if (c.want == "" && got != "[]") || !strings.Contains(got, c.want) {
				t.Errorf("findings: %s", got)
			}
		})
	}
}

func FuzzRead(f *testing.F) {
	file := filepath.Join(f.TempDir(), "state")
	if _, err := Take(changingStore(), file, time.UnixMilli(1), nil); err != nil {
		f.Fatal(err)
	}
	b, _ := os.ReadFile(file)
	f.Add(b)
	f.Add(b[:len(b)/2])
	f.Fuzz(func(t *testing.T, b []byte) { _, _ = Read(bytes.NewReader(b)) })
}
