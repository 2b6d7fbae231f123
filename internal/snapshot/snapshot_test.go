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

// service is a state service that goes on changing while it is read: before each
// answer, busy may change it.
type service struct {
	epoch   uint64
	items   map[string]store.Item
	log     []store.Event
	forgets uint64 // changes up to here
	page    int
	calls   int
	busy    func(call int)
}

func (s *service) put(key string, v any) {
	s.epoch++
	s.items[key] = store.Item{Key: key, Value: jobs.Encode(v), Revision: s.epoch}
	s.log = append(s.log, store.Event{Put: key, Value: jobs.Encode(v), Revision: s.epoch})
}

func (s *service) remove(key string) {
	s.epoch++
	delete(s.items, key)
	s.log = append(s.log, store.Event{Remove: key, Revision: s.epoch})
}

func (s *service) List(after string) (store.Page, error) {
	s.calls++
	s.busy(s.calls)
	p := store.Page{Epoch: s.epoch}
	for _, k := range clusterstate.SortedKeys(s.items) {
		if k > after && len(p.Rows) == s.page {
			p.HasNext = true
			break
		}
		if k > after {
			p.Rows = append(p.Rows, s.items[k])
		}
	}
	return p, nil
}

func (s *service) Changes(since uint64) (uint64, []store.Event, error) {
	s.calls++
	s.busy(s.calls)
	if since < s.forgets {
		return 0, nil, store.ErrGone
	}
	i := slices.IndexFunc(s.log, func(e store.Event) bool { return e.Revision > since })
	if i < 0 {
		return s.epoch, nil, nil
	}
	return s.epoch, slices.Clone(s.log[i:]), nil
}

// running is a service with a leader, machines and jobs, whose tasks move between
// packs, and whose leader changes, while it is read.
func running() *service {
	s := &service{items: map[string]store.Item{}, page: 3}
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
	pack := func(es ...taskbatch.Entry) json.RawMessage { return taskbatch.Encode(es) }
	on := func(job, n, machine int) taskbatch.Entry {
		return taskbatch.Entry{
			JobID: fmt.Sprint("wk-", job),
			Index: n,
			Task:  jobs.Task{State: jobs.Placed, Machine: fmt.Sprint("i-", machine), Zone: "a", Attempt: 1},
		}
	}
	s.put("pack/a", pack(on(0, 0, 0), on(1, 0, 1)))
	s.put("pack/z", pack(on(2, 0, 2)))
	s.put("task/wk-3/0", jobs.EncodeTaskRange([]jobs.Task{{State: jobs.Finished, Attempt: 1}}, 8192))
	s.put("final/wk-9", jobs.Final{State: jobs.Done, DoneCount: 1})
	s.busy = func(call int) {
		switch call {
		case 2: // united: what was in a is now in z
			s.epoch++
			s.items["pack/z"] = store.Item{Key: "pack/z", Value: pack(on(0, 0, 0), on(1, 0, 1), on(2, 0, 2)), Revision: s.epoch}
			s.log = append(s.log, store.Event{Put: "pack/z", Value: s.items["pack/z"].Value, Revision: s.epoch})
			delete(s.items, "pack/a")
			s.log = append(s.log, store.Event{Remove: "pack/a", Revision: s.epoch})
		case 3:
			s.put("view", map[string]any{"leader": "n1", "epoch": 5, "members": []any{}})
		case 4:
			s.remove("host/i-3")
		case 5:
			s.put("aa/behind", 1) // before what is listed by now
		case 7:
			s.put("zz/late", 1)
		}
	}
	return s
}

func saved(t *testing.T, file string) *State {
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

// as is what a service held at an epoch, by its log.
func as(s *service, epoch uint64) map[string]string {
	out := map[string]string{}
	for _, e := range s.log {
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

func same(t *testing.T, s *State, want map[string]string) {
	t.Helper()
	if len(s.Items) != len(want) {
		t.Errorf("%d keys, not %d", len(s.Items), len(want))
	}
	for k, it := range s.Items {
		if string(it.Value) != want[k] {
			t.Errorf("%s is %s, not %s", k, it.Value, want[k])
		}
	}
}

// A snapshot taken while packs are united, the leader changes and keys come and go is
// what the service held at one epoch, and its records agree.
func TestTakenWhileAllMoves(t *testing.T) {
	src := running()
	file := filepath.Join(t.TempDir(), "state")
	epoch, err := Take(src, file, time.UnixMilli(1), nil)
	if err != nil {
		t.Fatal(err)
	}
	s := saved(t, file)
	if s.Epoch != epoch || src.calls < 6 {
		t.Fatal(s.Epoch, epoch, src.calls)
	}
	same(t, s, as(src, epoch))
	if r := Check(s, nil); len(r.Findings) > 0 || r.Live != 4 || r.On != 3 || r.Tasks != 4 {
		t.Errorf("%+v", r)
	}
	if info, _ := os.Stat(file); info.Mode().Perm() != 0o600 {
		t.Error(info.Mode())
	}
	if _, err := os.Stat(file + ".part"); err == nil {
		t.Error("the part is left")
	}
}

// broken gives nothing from some call on.
type broken struct {
	*service
	from int
}

var errBroken = errors.New("no answer")

func (b *broken) List(after string) (store.Page, error) {
	if b.calls+1 >= b.from {
		return store.Page{}, errBroken
	}
	return b.service.List(after)
}

func (b *broken) Changes(since uint64) (uint64, []store.Event, error) {
	if b.calls+1 >= b.from {
		return 0, nil, errBroken
	}
	return b.service.Changes(since)
}

// Cut off at any answer, and with any number of bytes of the last block missing, the
// next attempt goes on and gives the same as one that was never cut off.
func TestGoesOn(t *testing.T) {
	for from := 1; from <= 8; from++ {
		for _, missing := range []int{0, 1, 40} {
			src := running()
			file := filepath.Join(t.TempDir(), "state")
			if _, err := Take(&broken{src, from}, file, time.UnixMilli(1), nil); !errors.Is(err, errBroken) {
				if err != nil || from < 7 {
					t.Fatal(from, err)
				}
				continue
			}
			if b, _ := os.ReadFile(file + ".part"); len(b) > missing {
				_ = os.WriteFile(file+".part", b[:len(b)-missing], 0o600)
			}
			before := src.calls
			epoch, err := Take(src, file, time.UnixMilli(2), nil)
			if err != nil {
				t.Fatal(from, missing, err)
			}
			same(t, saved(t, file), as(src, epoch))
			if from == 6 && missing == 0 && src.calls-before > 5 {
				t.Errorf("%d calls after the resumption", src.calls-before)
			}
		}
	}
	// One whose changes are forgotten begins anew.
	src := running()
	file := filepath.Join(t.TempDir(), "state")
	_, _ = Take(&broken{src, 5}, file, time.UnixMilli(1), nil)
	src.forgets = src.epoch
	src.busy = func(int) {}
	said := ""
	epoch, err := Take(src, file, time.UnixMilli(2), func(what string) { said += what })
	if err != nil || !strings.Contains(said, "anew") {
		t.Fatal(err, said)
	}
	same(t, saved(t, file), as(src, epoch))
}

// Cut anywhere or with any bit flipped, a file is refused, and says where.
func TestDamagedFiles(t *testing.T) {
	file := filepath.Join(t.TempDir(), "state")
	if _, err := Take(running(), file, time.UnixMilli(1), nil); err != nil {
		t.Fatal(err)
	}
	b, _ := os.ReadFile(file)
	for i := range b {
		if _, err := Read(bytes.NewReader(b[:i])); !errors.Is(err, ErrCut) && !errors.Is(err, ErrDamaged) {
			t.Fatalf("cut at byte %d: %v", i, err)
		}
		flipped := slices.Clone(b)
		flipped[i] ^= 1 << (i % 8)
		if _, err := Read(bytes.NewReader(flipped)); !errors.Is(err, ErrCut) && !errors.Is(err, ErrDamaged) {
			t.Fatalf("bit flipped in byte %d: %v", i, err)
		}
	}
	if _, err := Read(bytes.NewReader(append(slices.Clone(b), b[len(magic):]...))); !errors.Is(err, ErrDamaged) {
		t.Errorf("twice the blocks: %v", err)
	}
}

// Each thing that must never be is found.
func TestFindings(t *testing.T) {
	base := func() *State {
		s := running()
		return &State{Epoch: s.epoch, Items: s.items}
	}
	put := func(s *State, key string, v any) {
		s.Items[key] = store.Item{Key: key, Value: jobs.Encode(v), Revision: 1}
	}
	on := jobs.Task{State: jobs.Placed, Machine: "i-1", Zone: "a", Attempt: 1}
	for name, c := range map[string]struct {
		change func(s *State)
		want   string
	}{
		"nothing":               {func(*State) {}, ""},
		"a task twice":          {func(s *State) { put(s, "task/wk-0/0", jobs.EncodeTaskRange([]jobs.Task{on}, 8192)) }, "holds too"},
		"on an unknown machine": {func(s *State) { delete(s.Items, "host/i-2") }, "of which there is no record"},
		"no job":                {func(s *State) { delete(s.Items, "job/wk-1") }, "neither a record nor a final state"},
		"live and done":         {func(s *State) { put(s, "final/wk-1", jobs.Final{State: jobs.Done}) }, "for ever"},
		"over without a final": {func(s *State) {
			r := jobs.Record{}
			_ = json.Unmarshal(s.Items["job/wk-3"].Value, &r)
			r.State = jobs.Cancelled
			put(s, "job/wk-3", r)
		}, "no final state"},
		"beyond the job's tasks":   {func(s *State) { put(s, "task/wk-3/9", jobs.EncodeTaskRange([]jobs.Task{on}, 8192)) }, "of a job of 9 tasks"},
		"an unreadable pack":       {func(s *State) { put(s, "pack/a", 7) }, "can't be read"},
		"an unreadable view":       {func(s *State) { put(s, "view", 7) }, "not a view"},
		"unreadable loans":         {func(s *State) { put(s, "loan/0", 7) }, "can't be read"},
		"an unreadable final":      {func(s *State) { put(s, "final/wk-8", 7) }, "can't be read"},
		"more than a team's limit": {func(*State) {}, "more than its limit"},
	} {
		s := base()
		c.change(s)
		var teams map[string]quota.Team
		if name == "more than a team's limit" {
			teams = map[string]quota.Team{"t": {Name: "t", Max: quota.Of(2, 0, 0)}}
		}
		got := fmt.Sprint(Check(s, teams).Findings)
		if c.want == "" && got != "[]" || !strings.Contains(got, c.want) {
			t.Errorf("%s: %s", name, got)
		}
	}
}

func FuzzRead(f *testing.F) {
	file := filepath.Join(f.TempDir(), "state")
	if _, err := Take(running(), file, time.UnixMilli(1), nil); err != nil {
		f.Fatal(err)
	}
	b, _ := os.ReadFile(file)
	f.Add(b)
	f.Add(b[:len(b)/2])
	f.Fuzz(func(t *testing.T, b []byte) { _, _ = Read(bytes.NewReader(b)) })
}
