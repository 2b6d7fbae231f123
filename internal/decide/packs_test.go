package decide

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/harrierreel/harrierreel/internal/book"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/records"
	"github.com/harrierreel/harrierreel/internal/seeded"
	"github.com/harrierreel/harrierreel/internal/store"
)

func TestMain(m *testing.M) { os.Exit(seeded.Main(m)) }

// shelf is a state service of a few keys, with its log.
type shelf struct {
	epoch uint64
	items map[string]store.Item
	log   []store.Event
}

func (s *shelf) commit(ws []store.Write) {
	s.epoch++
	for _, w := range ws {
		if w.Put != "" {
			s.items[w.Put] = store.Item{Key: w.Put, Value: w.Value, Stamp: s.epoch}
			s.log = append(s.log, store.Event{Put: w.Put, Value: w.Value, Stamp: s.epoch})
		} else {
			delete(s.items, w.Remove)
			s.log = append(s.log, store.Event{Remove: w.Remove, Stamp: s.epoch})
		}
	}
}

// reader is a controller's copy of the shelf.
type reader struct {
	book   *book.Book
	mirror *store.Mirror
	at     int // of the log
}

func newReader() *reader {
	r := &reader{book: book.New(quota.Flat(nil), func(string) {})}
	r.mirror = store.NewMirror(func(key string, v json.RawMessage, stamp uint64) {
		switch key[:4] {
		case "job/":
			_ = r.book.JobChanged(key[4:], v)
		case "pack":
			_, _ = r.book.PackChanged(key, v, stamp)
		}
	})
	return r
}

// follow reads the next k events of the log, or all.
func (r *reader) follow(s *shelf, k int) {
	end := len(s.log)
	if k >= 0 {
		end = min(end, r.at+k)
		for end < len(s.log) && end > 0 && s.log[end].Stamp == s.log[end-1].Stamp {
			end++ // a watch gives whole transactions
		}
	}
	if end > r.at {
		r.mirror.Follow(s.log[end-1].Stamp, slices.Clone(s.log[r.at:end]))
		r.at = end
	}
}

func says(b *book.Book) string {
	var out []string
	for uid, j := range b.Jobs {
		for n, t := range j.Tasks {
			out = append(out, fmt.Sprint(uid, "/", n, " ", t.Task, " ", t.Slice.Key))
		}
	}
	slices.Sort(out)
	return fmt.Sprint(out)
}

func specOf(uid string) jobs.Record {
	return jobs.Record{State: jobs.Live, AtMs: 1, Spec: jobs.Spec{UID: uid, Class: "c", Owner: "t", Shape: jobs.Sweep, Rank: "standard", Pieces: 100, Cores: 1, MemoryGB: 1, Bundle: "b"}}
}

// TestReadersAgree draws histories of packs that begin, change, are united, split and
// left, and a second controller that lists the keys one prefix and one page after the
// other while that goes on, then follows. In the end it knows what the first one does,
// each task is in one pack, and every count is what counting gives.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &shelf{items: map[string]store.Item{}}
		first, second := newReader(), newReader()
		for i := range 4 {
			s.commit([]store.Write{Put(fmt.Sprint("job/wk-", i), specOf(fmt.Sprint("wk-", i)))})
		}
		keys := 0
		limit := rapid.SampledFrom([]int{250, 600, 8192}).Draw(t, "limit")
		form := formOf(16)
		form.Limits.Value, form.Mine = limit, func(host string) bool { return host != "i-2" }
		form.Stamp = func(key string) uint64 { return s.items[key].Stamp }
		form.NewKey = func() string {
			keys++
			return fmt.Sprintf("pack/%d", (keys*7)%100000) // in no order
		}
		step := func() {
			first.follow(s, -1)
			form.Known = first.mirror.Epoch
			var ds []Decision
			host := rapid.SampledFrom([]string{"i-1", "i-2", "i-3"})
			for range rapid.IntRange(1, 6).Draw(t, "decisions") {
				uid := fmt.Sprint("wk-", rapid.IntRange(0, 3).Draw(t, "job"))
				n := rapid.IntRange(0, 20).Draw(t, "n")
				j := first.book.Jobs[uid]
				if j == nil || j.Rec == nil {
					continue
				}
				x := j.Tasks[n]
				placed := func(from jobs.Task) jobs.Task {
					next, ok := jobs.NextTask(from, jobs.TaskEvent{Kind: jobs.Place, Host: host.Draw(t, "host"), Site: "a", Try: from.Try + 1})
					if !ok {
						t.Fatal("not placed")
					}
					return next
				}
				switch {
				case x == nil:
					if slices.ContainsFunc(ds, func(d Decision) bool {
						return len(d.Fresh) > 0 && d.Fresh[0].Entry.UID == uid && d.Fresh[0].Entry.N == n
					}) {
						continue
					}
					ds = append(ds, Decision{Fresh: []Fresh{{rapid.SampledFrom([]string{"n0", "n1"}).Draw(t, "part"), records.Entry{UID: uid, N: n, Task: placed(jobs.Task{State: jobs.Pending})}}}})
				case x.State == jobs.Pending:
					next := placed(x.Task)
					ds = append(ds, Decision{Changes: []Change{{Task: x, Next: next, Leaves: true}}, Fresh: []Fresh{{"n0", records.Entry{UID: uid, N: n, Task: next}}}})
				case x.On():
					kind := rapid.SampledFrom([]jobs.TaskEventKind{jobs.Complete, jobs.Gone, jobs.Fail}).Draw(t, "end")
					next, _ := jobs.NextTask(x.Task, jobs.TaskEvent{Kind: kind})
					ds = append(ds, Decision{Changes: Become(x, next)})
				}
			}
			p := packer(16, 1000)
			p.Form = form
			for _, b := range p.Pack(ds) {
				s.commit(b.Txn.Writes)
				first.follow(s, -1)
			}
			if rapid.IntRange(0, 9).Draw(t, "ends") == 0 {
				uid := fmt.Sprint("wk-", rapid.IntRange(0, 3).Draw(t, "which"))
				if j := first.book.Jobs[uid]; j != nil && j.Rec != nil && len(j.Active) == 0 {
					s.commit([]store.Write{Remove("job/" + uid)})
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
			second.mirror.Listed(prefix, rows, began)
		}
		second.mirror.Epoch = max(second.mirror.Epoch, since)
		for range rapid.IntRange(0, 5).Draw(t, "after") {
			step()
			second.follow(s, rapid.IntRange(0, 4).Draw(t, "events"))
		}
		first.follow(s, -1)
		second.follow(s, -1)
		if a, b := says(first.book), says(second.book); a != b {
			t.Fatalf("the first knows\n%s\nthe second\n%s", a, b)
		}
		for _, r := range []*reader{first, second} {
			if audit := r.book.Audit(); len(audit) > 0 {
				t.Fatal(audit)
			}
		}
		held := map[string]string{}
		for k, it := range s.items {
			if k[:4] != "pack" {
				continue
			}
			es, err := records.Decode(it.Value)
			if err != nil || len(it.Value) > limit && len(es) > 1 {
				t.Fatal(k, err, len(it.Value))
			}
			for _, e := range es {
				piece := jobs.Piece(e.UID, e.N)
				if held[piece] != "" {
					t.Fatalf("%s is in %s and %s", piece, held[piece], k)
				}
				held[piece] = k
			}
		}
	})
}

// Ends on several packs of one controller are one put and removals; what others write
// goes by itself, and a task that is tried again leaves for a new pack.
func TestUniting(t *testing.T) {
	r := newReader()
	keys := 0
	form := formOf(16)
	form.Mine, form.NewKey = func(h string) bool { return h != "i-2" }, func() string { keys++; return fmt.Sprint("pack/new-", keys) }
	_ = r.book.JobChanged("wk-0", jobs.Encode(specOf("wk-0")))
	for i, host := range []string{"i-1", "i-1", "i-2", "i-2"} {
		on := jobs.Task{State: jobs.Placed, Host: host, Try: 1}
		_, _ = r.book.PackChanged(fmt.Sprint("pack/", i), records.Encode([]records.Entry{{UID: "wk-0", N: 2 * i, Task: on}, {UID: "wk-0", N: 2*i + 1, Task: on}}), 1)
	}
	tasks := r.book.Jobs["wk-0"].Tasks
	p := packer(16, 100)
	p.Form = form
	batches := p.Pack([]Decision{end(tasks[0]), end(tasks[2]), end(tasks[4]), end(tasks[6])})
	if len(batches) != 3 {
		t.Fatalf("%d batches", len(batches))
	}
	own := batches[0].Txn.Writes
	if len(own) != 2 || own[0].Put == "" || own[1].Remove == "" {
		t.Fatalf("%+v", own)
	}
	if es, err := records.Decode(own[0].Value); err != nil || len(es) != 4 || es[0].Task.State != jobs.Finished || es[1].Task.State != jobs.Placed {
		t.Errorf("%+v %v", es, err)
	}
	for _, b := range batches[1:] {
		if ws := b.Txn.Writes; len(ws) != 1 || ws[0].Put == "" {
			t.Errorf("%+v", ws)
		}
	}
	// Of a pack that others write too, what is on this controller's machines leaves it
	// when one of that is written.
	on := func(n int, host string) records.Entry {
		return records.Entry{UID: "wk-0", N: n, Task: jobs.Task{State: jobs.Placed, Host: host, Try: 1}}
	}
	_, _ = r.book.PackChanged("pack/mixed", records.Encode([]records.Entry{on(10, "i-1"), on(11, "i-2"), on(12, "i-1")}), 1)
	mixed := packer(16, 100)
	mixed.Form = form
	ws := mixed.Pack([]Decision{end(tasks[10])})[0].Txn.Writes
	if len(ws) != 2 || ws[1].Put != "pack/mixed" {
		t.Fatalf("%+v", ws)
	}
	left, _ := records.Decode(ws[1].Value)
	if own, _ := records.Decode(ws[0].Value); len(left) != 1 || left[0].N != 11 || len(own) != 2 {
		t.Errorf("%+v and %+v", left, own)
	}
	// A job that is over is left out only where all is known up to the pack's stamp.
	_ = r.book.JobChanged("wk-0", nil)
	gone := []Decision{{Changes: Become(tasks[0], jobs.Task{State: jobs.Pending, Try: 1})}}
	q := packer(16, 100)
	q.Form = form
	if es, _ := records.Decode(q.Pack(gone)[0].Txn.Writes[0].Value); len(es) != 2 {
		t.Errorf("%+v", es)
	}
	form.Known = 1
	q = packer(16, 100)
	q.Form = form
	if es, _ := records.Decode(q.Pack(gone)[0].Txn.Writes[0].Value); len(es) != 1 {
		t.Errorf("%+v", es)
	}
}
