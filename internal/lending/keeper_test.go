package lending

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/harrierreel/harrierreel/internal/book"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// yard is a small fleet with its records, in which decisions are committed at once.
type yard struct {
	*book.Book
	k      *Keeper
	sheets map[string]json.RawMessage
	began  map[int]Loan // by id, as they were asked for
	ended  map[int]Loan
}

var teams = map[string]quota.Team{
	"serve": {Name: "serve", Guaranteed: quota.Of(0, 6, 0)}, "train": {Name: "train", Guaranteed: quota.Of(0, 4, 0)}, "batch": {Name: "batch", Guaranteed: quota.Of(0, 2, 0)},
}

func newYard(machines int) *yard {
	y := &yard{Book: book.New(quota.Flat(teams), func(string) {}), sheets: map[string]json.RawMessage{}, began: map[int]Loan{}, ended: map[int]Loan{}}
	y.Now = time.UnixMilli(1_000_000)
	y.Builds["g4"] = &jobs.Build{Name: "g4", Cores: 32, Accel: 4, MemoryGB: 256, CacheGB: 100, PullRate: 1, ReadyS: 20}
	for i := range machines {
		y.host(i, fleet.Up)
	}
	y.leader()
	return y
}

func host(i int) string { return fmt.Sprintf("i-%d", i) }

func (y *yard) host(i int, s fleet.State) {
	_ = y.HostChanged(host(i), "n0", jobs.Encode(fleet.Host{State: s, Build: "g4", Site: string(rune('a' + i%2))}))
}

// leader has another controller lead: all that it knows are the records.
func (y *yard) leader() {
	y.k = NewKeeper(y.Book, Env{Limit: 8192, Again: tuning.LendAgain, Log: slog.New(slog.DiscardHandler), Busy: func(string) bool { return false },
		Ready: func(m *book.Machine) bool { return m.State == fleet.Up }, Elsewhere: func(*book.Task) bool { return false }})
	for _, key := range book.Sorted(y.sheets) {
		y.k.Changed(key, y.sheets[key])
	}
}

// job submits a job; its tasks are on the machines named, others wait.
func (y *yard) job(uid, owner, shape, rank, bundle string, accel float64, pieces int, on ...string) *book.Job {
	spec := jobs.Spec{UID: uid, Class: shape, Owner: owner, Shape: shape, Rank: rank, Pieces: pieces, Cores: 1, Accel: accel, MemoryGB: 1, Bundle: bundle, PullGB: 20, ExpectS: 600}
	if shape == jobs.Ensemble {
		spec.SnapshotS, spec.StashS = 20, 3
	}
	_ = y.JobChanged(uid, jobs.Encode(jobs.Record{State: jobs.Live, AtMs: 1, Spec: spec}))
	var tasks []jobs.Task
	for _, h := range on {
		tasks = append(tasks, jobs.Task{State: jobs.Placed, Host: h, Site: y.Machines[h].Site, Try: 1})
	}
	if len(tasks) > 0 {
		_, _ = y.SliceChanged(jobs.SliceKey(uid, 0), jobs.EncodeSlice(tasks, 1<<20))
	}
	return y.Jobs[uid]
}

// set writes one task's record.
func (y *yard) set(j *book.Job, n int, next jobs.Task) {
	if t := j.Tasks[n]; t != nil && t.Slice != nil {
		records := make([]jobs.Task, len(t.Slice.Tasks))
		for i, o := range t.Slice.Tasks {
			records[i] = o.Task
		}
		records[n-t.Slice.From] = next
		_, _ = y.SliceChanged(t.Slice.Key, jobs.EncodeSlice(records, 1<<20))
		return
	}
	_, _ = y.SliceChanged(jobs.SliceKey(j.UID, n), jobs.EncodeSlice([]jobs.Task{next}, 1<<20))
}

// commit takes a decision whole, or not.
func (y *yard) commit(d decide.Decision, ok bool) {
	if ok {
		for _, c := range d.Changes {
			y.set(c.Task.Job, c.Task.N, c.Next)
		}
		for _, w := range d.Writes {
			key := decide.Key(w)
			y.sheets[key] = w.Value
			if w.Put == "" {
				delete(y.sheets, key)
			}
			y.k.Changed(key, w.Value)
		}
	}
	if d.Done != nil {
		d.Done(ok)
	}
}

// search is one for a replica.
func (y *yard) search(j *book.Job, n int, cached bool) *Search {
	spec := &j.Rec.Spec
	account := Leaving(y.Book, y.Account, nil)
	return &Search{Task: &book.Task{Task: jobs.Task{State: jobs.Pending}, Piece: jobs.Piece(j.UID, n), N: n, Job: j}, Rank: spec.RankOrder(),
		Entitled: account.Entitled(y.Leaf(spec), spec.Amount(), 1), Account: account, OnlyCached: cached, Open: func(m *book.Machine) bool { return m.State == fleet.Up }}
}

func (y *yard) ask(t interface{ Fatalf(string, ...any) }, j *book.Job, n int, ok bool) bool {
	s := y.search(j, n, false)
	before := Leaving(y.Book, y.Account, nil)
	d, plan, found := y.k.Ask(s)
	if !found {
		return false
	}
	for _, x := range plan.Tasks {
		spec := &x.Job.Rec.Spec
		before.Charge(spec.Key(), spec.Amount(), -1)
		if spec.Shape == jobs.Standing || x.State != jobs.Placed {
			t.Fatalf("%s gives, a %s that is %s", x.Piece, spec.Shape, x.State)
		}
		if spec.RankOrder() <= s.Rank && s.Entitled < 0 {
			t.Fatalf("%s of rank %s gives to rank %d beyond its guarantee", x.Piece, spec.Rank, s.Rank)
		}
		if spec.Gang() && len(slices.DeleteFunc(slices.Clone(plan.Tasks), func(o *book.Task) bool { return o.Job != x.Job })) != spec.Pieces {
			t.Fatalf("only some of gang %s stop", x.Job.UID)
		}
	}
	for _, x := range plan.Tasks {
		spec := &x.Job.Rec.Spec
		if leaf := y.Leaf(spec); spec.Owner != j.Rec.Spec.Owner && !before.Used(leaf).Covers(teams[spec.Owner].Guaranteed) {
			t.Fatalf("%s goes below its guarantee by a loan: %s", spec.Owner, before.Used(leaf))
		}
	}
	y.commit(d, ok)
	return ok
}

// look has the leader look at all loans.
func (y *yard) look(waits func(string) bool, ok bool) {
	for _, d := range y.k.Look(y.Account, waits) {
		y.commit(d, ok)
	}
	for _, l := range y.k.Loans() {
		if _, known := y.began[l.ID]; !known {
			y.began[l.ID] = l
		}
		if l.State.Over() {
			y.ended[l.ID] = l
		}
	}
}

// place puts a job's task on a machine, if the room is there and kept for no other.
func (y *yard) place(j *book.Job, n int, h string) bool {
	free := y.Builds["g4"].Whole().Sub(y.Used(h))
	for _, r := range y.k.Rooms() {
		if r.Host == h && r.Job != j.UID {
			free = free.Sub(r.Need)
		}
	}
	t := jobs.Task{State: jobs.Pending}
	if j.Tasks[n] != nil {
		t = j.Tasks[n].Task
	}
	next, ok := jobs.NextTask(t, jobs.TaskEvent{Kind: jobs.Place, Host: h, Site: y.Machines[h].Site, Try: t.Try + 1})
	if !ok || !free.Fits(j.Rec.Spec.Need()) {
		return false
	}
	y.set(j, n, next)
	return true
}

// TestShutBorrower: room made for a replica whose window is shut is given up at once, and
// kept for a lender only if its own is not.
func TestShutBorrower(t *testing.T) {
	y := newYard(1)
	y.job("wk-1", "batch", jobs.Sweep, "standard", "b", 1, 4, host(0), host(0), host(0), host(0))
	serve := y.job("wk-2", "serve", jobs.Standing, "prod", "s", 1, 1)
	if !y.ask(t, serve, 0, true) {
		t.Fatal("nobody lends")
	}
	lender := y.k.Loans()[0].From[0].Job
	y.set(y.Jobs[lender], slices.IndexFunc([]int{0, 1, 2, 3}, func(n int) bool { return y.Jobs[lender].Tasks[n].State == jobs.Stopping }), jobs.Task{State: jobs.Pending})
	shut := map[string]bool{jobs.Standing: true}
	y.k.Begins = func(s *jobs.Spec) bool { return !shut[s.Class] }
	if rooms := y.k.Rooms(); len(rooms) != 0 {
		t.Error("room is kept for a replica that may not begin", rooms)
	}
	never := func(string) bool { return false }
	y.Now = y.Now.Add(time.Second)
	y.look(never, true)
	if l := y.k.Loans()[0]; l.State != CalledBack || len(y.k.Rooms()) != 1 || y.k.Rooms()[0].Job != lender {
		t.Errorf("%+v, kept %v", l, y.k.Rooms())
	}
	shut[jobs.Sweep] = true
	y.look(never, true)
	if l := y.k.Loans()[0]; l.State != Returned || len(y.k.Rooms()) != 0 {
		t.Errorf("%+v, kept %v", l, y.k.Rooms())
	}
}

// TestAnyPlan lends in a fleet where anything fails at any time, and then lets it rest:
// no team goes below its guarantee by a loan, no machine holds more than it has, gangs
// stop whole, and in the end every loan is over and what was taken is given back or gone
// with its machine.
func TestAnyPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		y := newYard(4)
		full := func(i int) float64 { return y.Builds["g4"].Accel - y.Used(host(i)).Accelerators }
		names := 10
		fresh := func() string { names++; return fmt.Sprintf("wk-%d", names) }
		fill := func(t *rapid.T) {
			for i := range 4 {
				if y.Machines[host(i)] == nil || y.Machines[host(i)].State != fleet.Up || full(i) < 1 {
					continue
				}
				team, rank := rapid.SampledFrom([]string{"train", "batch", "serve"}).Draw(t, "team"), rapid.SampledFrom([]string{"standard", "idle", "prod"}).Draw(t, "rank")
				on := []string{host(i)}
				shape := jobs.Sweep
				if k := (i + 1) % 4; rapid.Bool().Draw(t, "gang") && y.Machines[host(k)] != nil && y.Machines[host(k)].State == fleet.Up && full(k) >= 1 {
					on, shape = append(on, host(k)), jobs.Ensemble
				}
				y.job(fresh(), team, shape, rank, "img-"+team, 1, len(on), on...)
			}
		}
		var services []*book.Job
		replicas := func() []*book.Job {
			return slices.DeleteFunc(slices.Clone(services), func(j *book.Job) bool { return y.Jobs[j.UID] != j || !live(j) })
		}
		any := func(string) bool { return true }
		hosts := func() []string {
			var out []string
			for _, m := range y.ByName() {
				out = append(out, m.Name)
			}
			return out
		}
		check := func() {
			for _, h := range hosts() {
				if !y.Builds["g4"].Whole().Fits(y.Used(h)) {
					t.Fatalf("%s holds %v", h, y.Used(h))
				}
			}
		}
		place := func() {
			for _, j := range replicas() {
				for n := range j.Rec.Spec.Pieces {
					if l, ok := y.k.For(j.UID, n); ok && l.State == Vacated && y.Machines[l.Host] != nil && y.Machines[l.Host].State == fleet.Up {
						y.place(j, n, l.Host)
					}
				}
			}
		}
		leave := func() {
			for _, h := range hosts() {
				for _, piece := range book.Sorted(y.OnHost[h]) {
					if x := y.OnHost[h][piece]; x.State == jobs.Stopping {
						next, _ := jobs.NextTask(x.Task, jobs.TaskEvent{Kind: jobs.Gone})
						y.set(x.Job, x.N, next)
					}
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"":     func(*rapid.T) { check() },
			"fill": fill,
			"serve": func(t *rapid.T) {
				services = append(services, y.job(fresh(), "serve", jobs.Standing, rapid.SampledFrom([]string{"prod", "standard"}).Draw(t, "rank"), "img-s", 1, rapid.IntRange(1, 4).Draw(t, "replicas")))
			},
			"ask": func(t *rapid.T) {
				for _, j := range replicas() {
					for n := range j.Rec.Spec.Pieces {
						if _, asked := y.k.For(j.UID, n); !asked && j.Active[n] == nil {
							y.ask(t, j, n, rapid.Bool().Draw(t, "committed"))
							return
						}
					}
				}
			},
			"look":   func(t *rapid.T) { y.look(any, rapid.Bool().Draw(t, "committed")) },
			"leave":  func(*rapid.T) { leave() },
			"place":  func(*rapid.T) { place() },
			"time":   func(t *rapid.T) { y.Now = y.Now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "s")) * time.Second) },
			"leader": func(*rapid.T) { y.leader() },
			"cancel": func(t *rapid.T) {
				uid := rapid.SampledFrom(append(book.Sorted(y.Jobs), "")).Draw(t, "job")
				if j := y.Jobs[uid]; j != nil && live(j) {
					rec := *j.Rec
					rec.State = jobs.Cancelled
					_ = y.JobChanged(uid, jobs.Encode(rec))
					for n, x := range j.Tasks {
						if next, ok := jobs.NextTask(x.Task, jobs.TaskEvent{Kind: jobs.Gone}); ok {
							y.set(j, n, next)
						}
					}
				}
			},
			"dies": func(t *rapid.T) {
				i := rapid.IntRange(0, 3).Draw(t, "machine")
				for _, piece := range book.Sorted(y.OnHost[host(i)]) {
					x := y.OnHost[host(i)][piece]
					next, _ := jobs.NextTask(x.Task, jobs.TaskEvent{Kind: jobs.Gone})
					y.set(x.Job, x.N, next)
				}
				_ = y.HostChanged(host(i), "", nil)
				if rapid.Bool().Draw(t, "another") {
					y.host(i, fleet.Up)
				}
			},
			"notice": func(t *rapid.T) {
				if i := rapid.IntRange(0, 3).Draw(t, "machine"); y.Machines[host(i)] != nil {
					y.host(i, fleet.Warned)
				}
			},
		})
		// Quiet: what is to leave leaves, the replicas end, time passes.
		for range 8 {
			leave()
			for _, j := range replicas() {
				rec := *j.Rec
				rec.State = jobs.Cancelled
				_ = y.JobChanged(j.UID, jobs.Encode(rec))
				for n, x := range j.Tasks {
					if next, ok := jobs.NextTask(x.Task, jobs.TaskEvent{Kind: jobs.Gone}); ok {
						y.set(j, n, next)
					}
				}
			}
			y.look(any, true)
			y.Now = y.Now.Add(20 * time.Second)
		}
		check()
		var taken, given, gone float64
		for id, l := range y.began {
			end, over := y.ended[id]
			if !over {
				t.Fatalf("loan %d is still %s", id, l.State)
			}
			taken += l.GPUs
			if end.State == Returned {
				given += end.GPUs
			} else {
				gone += end.GPUs
			}
		}
		if taken != given+gone {
			t.Fatalf("%v taken, %v given back, %v gone with machines", taken, given, gone)
		}
		if rooms := y.k.Rooms(); len(rooms) > 0 {
			t.Fatalf("room is still kept: %v", rooms)
		}
	})
}

func pieces(p Plan) string {
	var out []string
	for _, x := range p.Tasks {
		out = append(out, x.Piece)
	}
	slices.Sort(out)
	return p.Host + " " + strings.Join(out, " ")
}

func TestChoose(t *testing.T) {
	all := func(h string, n int) []string { return slices.Repeat([]string{h}, n) }
	old := func(y *yard, s time.Duration) { y.Now = y.Now.Add(s) }
	for name, c := range map[string]struct {
		with func(y *yard) float64 // what the replica needs
		want string                // "" for none
	}{
		"what lost least since its save": {func(y *yard) float64 {
			y.job("wk-1", "train", jobs.Sweep, "standard", "x", 1, 8, all("i-0", 4)...)
			old(y, 100*time.Second)
			y.job("wk-2", "train", jobs.Sweep, "standard", "x", 1, 8, all("i-1", 4)...)
			old(y, 30*time.Second) // both have their images
			return 1
		}, "i-1 wk-2/0"},
		"where the weights are": {func(y *yard) float64 {
			y.job("wk-1", "train", jobs.Sweep, "standard", "x", 1, 8, all("i-0", 4)...)
			y.Images.Saw("i-0", fleet.Image{Bundle: "weights", GB: 20}, 100)
			old(y, 100*time.Second)
			y.job("wk-2", "train", jobs.Sweep, "standard", "x", 1, 8, all("i-1", 4)...)
			return 1
		}, "i-0 wk-1/0"},
		"not below a guarantee": {func(y *yard) float64 {
			y.job("wk-1", "train", jobs.Sweep, "standard", "x", 1, 4, all("i-0", 4)...)
			y.job("wk-2", "batch", jobs.Sweep, "standard", "x", 1, 8, append(all("i-0", 0), all("i-1", 4)...)...)
			return 1
		}, "i-1 wk-2/0"},
		"its own team's work of lower rank last": {func(y *yard) float64 {
			y.job("wk-1", "serve", jobs.Sweep, "idle", "x", 1, 4, all("i-0", 4)...)
			y.job("wk-2", "batch", jobs.Sweep, "standard", "x", 1, 8, all("i-1", 4)...)
			return 1
		}, "i-1 wk-2/0"},
		"but its own team's": {func(y *yard) float64 {
			y.job("wk-1", "serve", jobs.Sweep, "idle", "x", 1, 4, all("i-0", 4)...)
			y.job("wk-2", "train", jobs.Sweep, "standard", "x", 1, 4, all("i-1", 4)...)
			return 1
		}, "i-0 wk-1/0"},
		"nothing at the end of its run": {func(y *yard) float64 {
			y.job("wk-1", "batch", jobs.Sweep, "idle", "x", 1, 4, all("i-0", 4)...)
			old(y, 590*time.Second)
			y.job("wk-2", "serve", jobs.Sweep, "prod", "x", 1, 4, all("i-1", 4)...)
			return 1
		}, ""},
		"a gang whole": {func(y *yard) float64 {
			y.job("wk-1", "train", jobs.Ensemble, "standard", "x", 4, 2, "i-0", "i-1")
			y.job("wk-2", "train", jobs.Sweep, "standard", "x", 4, 1, "i-2")
			return 1
		}, "i-0 wk-1/0 wk-1/1"},
		"no gang that has lost a task": {func(y *yard) float64 {
			y.job("wk-1", "train", jobs.Ensemble, "standard", "x", 4, 3, "i-0", "i-1")
			y.job("wk-2", "train", jobs.Sweep, "standard", "x", 4, 1, "i-2")
			return 1
		}, ""},
		"no gang on a machine that is not heard": {func(y *yard) float64 {
			y.job("wk-1", "train", jobs.Ensemble, "standard", "x", 4, 2, "i-0", "i-1")
			y.job("wk-2", "train", jobs.Sweep, "standard", "x", 4, 1, "i-2")
			y.host(1, fleet.Silent)
			return 1
		}, ""},
		"no gang that would take its team below": {func(y *yard) float64 {
			y.job("wk-1", "train", jobs.Ensemble, "standard", "x", 4, 2, "i-0", "i-1") // any one of them could go
			return 1
		}, ""},
		"the fewest accelerators freed in vain": {func(y *yard) float64 {
			y.job("wk-2", "train", jobs.Sweep, "standard", "x", 1, 8, all("i-1", 4)...)
			old(y, 240*time.Second)
			y.job("wk-1", "train", jobs.Sweep, "standard", "x", 4, 2, "i-0")
			old(y, 30*time.Second)
			return 1
		}, "i-1 wk-2/0"},
		"two that go below together": {func(y *yard) float64 {
			y.job("wk-1", "batch", jobs.Sweep, "standard", "x", 1, 3, all("i-0", 3)...)
			y.job("wk-2", "serve", jobs.Sweep, "prod", "x", 1, 4, all("i-1", 3)...)
			return 3
		}, ""},
		"none while room is coming": {func(y *yard) float64 {
			y.job("wk-1", "train", jobs.Sweep, "standard", "x", 1, 8, all("i-0", 4)...)
			y.job("wk-2", "train", jobs.Sweep, "standard", "x", 1, 3, all("i-1", 3)...)
			return 1
		}, ""},
	} {
		y := newYard(3)
		y.host(2, fleet.Warned) // what is there counts for its team, and lends nothing
		need := c.with(y)
		j := y.job("wk-9", "serve", jobs.Standing, "prod", "weights", need, 2)
		s := y.search(j, 0, false)
		s.Spared, s.Busy, s.Told, s.Now = func(*book.Job) bool { return false }, func(string) bool { return false }, func(m *book.Machine) bool { return m.State == fleet.Up }, y.Now
		got := ""
		if p, ok := Choose(y.Book, s); ok {
			got = pieces(p)
		}
		if got != c.want {
			t.Errorf("%s: %q, not %q", name, got, c.want)
		}
	}
}

// An image that a type's cache cannot hold is never planned there, and fetches share a
// machine's rate.
func TestWeights(t *testing.T) {
	y := newYard(1)
	j := y.job("wk-9", "serve", jobs.Standing, "prod", "weights", 1, 2)
	y.job("wk-1", "batch", jobs.Sweep, "standard", "x", 2, 8, "i-0", "i-0")
	s := y.search(j, 0, false)
	s.Spared, s.Busy, s.Told, s.Now = func(*book.Job) bool { return false }, func(string) bool { return false }, func(*book.Machine) bool { return true }, y.Now
	if p, ok := Choose(y.Book, s); !ok || p.InS != 40 { // 20 GB, beside 20 of an image that is being fetched
		t.Error(p, ok)
	}
	y.Builds["g4"].CacheGB = 10
	if p, ok := Choose(y.Book, s); ok {
		t.Error(p)
	}
}

// A lender that waits for what it is guaranteed has replicas called back one at a time,
// and never so many that less than half are up or none is left in a zone.
func TestCallsBack(t *testing.T) {
	y := newYard(4)
	svc := y.job("wk-9", "batch", jobs.Standing, "prod", "w", 1, 12, "i-0", "i-0", "i-0", "i-0", "i-1", "i-1", "i-2", "i-2", "i-1", "i-2", "i-0", "i-1")
	y.job("wk-1", "train", jobs.Sweep, "standard", "x", 1, 4)
	for n := range 9 {
		sheet := &Sheet{}
		if k := y.k.sheets[n%2]; k != nil {
			sheet = k
		}
		sheet.Loans = append(sheet.Loans, Loan{ID: n, State: Lent, Job: "wk-9", N: n, Host: svc.Tasks[n].Host, From: []Share{{"wk-1", 1, 1}}, GPUs: 1, SinceMs: y.Ms()})
		y.commit(decide.Decision{Writes: []store.Write{decide.Put(Key(n%2), sheet)}}, true)
	}
	away := func() (n int) {
		for _, x := range svc.Tasks {
			if x.State != jobs.Placed {
				n++
			}
		}
		return n
	}
	nobody, waits := func(string) bool { return false }, func(uid string) bool { return uid == "wk-1" }
	y.look(waits, true)
	if away() != 0 {
		t.Fatal("called back before it had served")
	}
	for range 30 {
		y.Now = y.Now.Add(tuning.LoanLeast + time.Second)
		before := away()
		y.look(nobody, true)
		if away() != before {
			t.Fatal("called back for nobody")
		}
		y.look(waits, true)
		if after := away(); after > before+1 {
			t.Fatalf("%d called back at once", after-before)
		}
		for _, x := range svc.Tasks {
			if x.State == jobs.Stopping {
				next, _ := jobs.NextTask(x.Task, jobs.TaskEvent{Kind: jobs.Gone})
				y.set(svc, x.N, next)
			}
		}
	}
	if got := away(); got != 6 {
		t.Errorf("%d of 12 were called back, not 6", got)
	}
}

// One replica stays in each zone.
func TestStaysInZone(t *testing.T) {
	y := newYard(4)
	svc := y.job("wk-9", "serve", jobs.Standing, "prod", "w", 2, 4, "i-0", "i-0", "i-2", "i-1")
	y.job("wk-1", "train", jobs.Sweep, "standard", "x", 1, 4)
	sheet := &Sheet{Loans: []Loan{{ID: 1, State: Lent, Job: "wk-9", N: 3, Host: "i-1", From: []Share{{"wk-1", 2, 2}}, GPUs: 2, SinceMs: 1}}}
	y.commit(decide.Decision{Writes: []store.Write{decide.Put(Key(0), sheet)}}, true)
	y.look(func(string) bool { return true }, true)
	if svc.Tasks[3].State != jobs.Placed {
		t.Error("the last replica in its zone was called back")
	}
}

// Few changes: what follows from the records is stored several steps at a time.
func TestFewChanges(t *testing.T) {
	y := newYard(1)
	y.job("wk-1", "batch", jobs.Sweep, "standard", "x", 1, 7, "i-0", "i-0", "i-0", "i-0")
	j := y.job("wk-9", "serve", jobs.Standing, "prod", "w", 1, 1)
	if !y.ask(t, j, 0, true) {
		t.Fatal("nobody lends")
	}
	writes := 0
	for range 400 {
		for _, d := range y.k.Look(y.Account, func(string) bool { return true }) {
			writes += len(d.Writes)
			y.commit(d, true)
		}
		for _, x := range y.Jobs["wk-1"].Tasks {
			if x.State == jobs.Stopping {
				next, _ := jobs.NextTask(x.Task, jobs.TaskEvent{Kind: jobs.Gone})
				y.set(x.Job, x.N, next)
			}
		}
		if l, ok := y.k.For("wk-9", 0); ok && l.State == Vacated {
			y.place(j, 0, l.Host)
		}
		y.Now = y.Now.Add(100 * time.Millisecond)
	}
	if writes != 1 || y.k.Loans()[0].State != Lent || y.k.Counts().Asked != 1 {
		t.Error(writes, y.k.Loans(), y.k.Counts())
	}
	if got := y.k.Counts().Spared; y.ask(t, y.job("wk-8", "serve", jobs.Standing, "prod", "w", 1, 1), 0, true) || y.k.Counts().Spared != got+1 {
		t.Error("wk-1 lends twice within", tuning.LendAgain)
	}
}

// A replica that is released to its machine holds the loan until it is there.
func TestComing(t *testing.T) {
	y := newYard(1)
	y.job("wk-1", "batch", jobs.Sweep, "standard", "x", 1, 7, "i-0", "i-0", "i-0", "i-0")
	j := y.job("wk-9", "serve", jobs.Standing, "prod", "w", 1, 1)
	if !y.ask(t, j, 0, true) {
		t.Fatal("nobody lends")
	}
	for _, x := range y.Jobs["wk-1"].Tasks {
		if x.State == jobs.Stopping {
			next, _ := jobs.NextTask(x.Task, jobs.TaskEvent{Kind: jobs.Gone})
			y.set(x.Job, x.N, next)
		}
	}
	y.set(j, 0, jobs.Task{State: jobs.Released, Part: "n0", Site: "a", Want: "i-0"})
	y.look(func(string) bool { return true }, true)
	if l := y.k.Loans()[0]; l.State != Asked {
		t.Error(l)
	}
}

// Loans that cannot be read are left alone, and none is begun on their sheet.
func TestUnreadableSheet(t *testing.T) {
	y := newYard(1)
	for n := range tuning.LoanSheets - 1 {
		y.k.Changed(Key(n), []byte(`{"l":[{"i":1,"s":"odd"}]}`))
	}
	y.job("wk-1", "batch", jobs.Sweep, "standard", "x", 1, 7, "i-0", "i-0", "i-0", "i-0")
	if !y.ask(t, y.job("wk-9", "serve", jobs.Standing, "prod", "w", 1, 1), 0, true) || y.sheets[Key(tuning.LoanSheets-1)] == nil {
		t.Error(y.sheets)
	}
	y.k.Changed(Key(tuning.LoanSheets-1), []byte(`7`))
	if y.ask(t, y.job("wk-8", "serve", jobs.Standing, "prod", "w", 1, 1), 0, true) {
		t.Error("a loan was begun over what cannot be read")
	}
}
