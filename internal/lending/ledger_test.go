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

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// loanFixture is a small fleet with its records, in which decisions are committed at once.
type loanFixture struct {
	state   *clusterstate.State
	ledger  *Ledger
	records map[string]json.RawMessage
	began   map[int]Loan // by id, as they were asked for
	ended   map[int]Loan
}

var teams = map[string]quota.Team{
	"serve": {
		Name:       "serve",
		Guaranteed: quota.Of(0, 6, 0),
	},
	"train": {Name: "train", Guaranteed: quota.Of(0, 4, 0)},
	"batch": {Name: "batch", Guaranteed: quota.Of(0, 2, 0)},
}

func newLoanFixture(machines int) *loanFixture {
	f := &loanFixture{
		state:   clusterstate.New(quota.Flat(teams), func(string) {}),
		records: map[string]json.RawMessage{},
		began:   map[int]Loan{},
		ended:   map[int]Loan{},
	}
	f.state.Now = time.UnixMilli(1_000_000)
	f.state.MachineTypes["g4"] = &jobs.MachineType{
		Name:         "g4",
		Cores:        32,
		Accelerators: 4,
		MemoryGB:     256,
		CacheGB:      100,
		ImageGBPerS:  1,
		BootS:        20,
	}
	for i := range machines {
		f.host(i, fleet.Up)
	}
	f.leader()
	return f
}

func host(i int) string { return fmt.Sprintf("i-%d", i) }

func (f *loanFixture) host(i int, s fleet.State) {
	_ = f.state.ApplyMachine(
		host(i),
		"n0",
		jobs.Encode(fleet.MachineRecord{State: s, MachineType: "g4", Zone: string(rune('a' + i%2))}),
	)
}

// leader has another controller lead: all that it knows are the records.
func (f *loanFixture) leader() {
	f.ledger = NewLedger(f.state, Env{
		Limit:     8192,
		Again:     tuning.LendAgain,
		Log:       slog.New(slog.DiscardHandler),
		Busy:      func(string) bool { return false },
		Ready:     func(m *clusterstate.Machine) bool { return m.State == fleet.Up },
		Elsewhere: func(*clusterstate.Task) bool { return false },
	})
	for _, key := range clusterstate.SortedKeys(f.records) {
		f.ledger.ApplyRecord(key, f.records[key])
	}
}

// job submits a job; its tasks are on the machines named, others wait.
func (f *loanFixture) job(
	jobID, owner, shape, priority, image string,
	accel float64,
	pieces int,
	on ...string,
) *clusterstate.Job {
	spec := jobs.Spec{
		ID:                jobID,
		Class:             shape,
		Team:              owner,
		Kind:              shape,
		Priority:          priority,
		TaskCount:         pieces,
		Cores:             1,
		Accelerators:      accel,
		MemoryGB:          1,
		Image:             image,
		ImageGB:           20,
		ExpectedDurationS: 600,
	}
	if shape == jobs.Gang {
		spec.CheckpointIntervalS, spec.CheckpointTimeS = 20, 3
	}
	_ = f.state.ApplyJob(jobID, jobs.Encode(jobs.Record{State: jobs.Live, AcceptedMs: 1, Spec: spec}))
	var tasks []jobs.Task
	for _, h := range on {
		tasks = append(tasks, jobs.Task{State: jobs.Placed, Machine: h, Zone: f.state.Machines[h].Zone, Attempt: 1})
	}
	if len(tasks) > 0 {
		_, _ = f.state.ApplyTaskRange(jobs.TaskRangeKey(jobID, 0), jobs.EncodeTaskRange(tasks, 1<<20))
	}
	return f.state.Jobs[jobID]
}

// set writes one task's record.
func (f *loanFixture) set(j *clusterstate.Job, n int, next jobs.Task) {
	if t := j.Tasks[n]; t != nil && t.Stored != nil {
		records := make([]jobs.Task, len(t.Stored.Tasks))
		for i, o := range t.Stored.Tasks {
			records[i] = o.Task
		}
		records[n-t.Stored.FirstIndex] = next
		_, _ = f.state.ApplyTaskRange(t.Stored.Key, jobs.EncodeTaskRange(records, 1<<20))
		return
	}
	_, _ = f.state.ApplyTaskRange(jobs.TaskRangeKey(j.ID, n), jobs.EncodeTaskRange([]jobs.Task{next}, 1<<20))
}

// commit takes a decision whole, or not.
func (f *loanFixture) commit(d decide.Decision, ok bool) {
	if ok {
		for _, c := range d.Changes {
			f.set(c.Task.Job, c.Task.Index, c.Next)
		}
		for _, w := range d.Writes {
			key := decide.WriteKey(w)
			f.records[key] = w.Value
			if w.Put == "" {
				delete(f.records, key)
			}
			f.ledger.ApplyRecord(key, w.Value)
		}
	}
	if d.OnSettled != nil {
		d.OnSettled(ok)
	}
}

// search is one for a replica.
func (f *loanFixture) search(j *clusterstate.Job, n int, cached bool) *Search {
	spec := &j.Record.Spec
	account := Leaving(f.state, f.state.Account, nil)
	return &Search{
		Task: &clusterstate.Task{
			Task:  jobs.Task{State: jobs.Pending},
			ID:    jobs.TaskID(j.ID, n),
			Index: n,
			Job:   j,
		},
		Priority: spec.PriorityOrder(),
		Entitled: account.Entitled(
			f.state.QuotaLeaf(spec),
			spec.Amount(),
			1,
		),
		Account:       account,
		OnlyWithImage: cached,
		Open:          func(m *clusterstate.Machine) bool { return m.State == fleet.Up },
	}
}

func (f *loanFixture) ask(t interface{ Fatalf(string, ...any) }, j *clusterstate.Job, n int, ok bool) bool {
	s := f.search(j, n, false)
	before := Leaving(f.state, f.state.Account, nil)
	d, plan, found := f.ledger.Ask(s)
	if !found {
		return false
	}
	for _, x := range plan.Tasks {
		spec := &x.Job.Record.Spec
		before.Charge(spec.QuotaKey(), spec.Amount(), -1)
		if spec.Kind == jobs.Service || x.State != jobs.Placed {
			t.Fatalf("%s gives, a %s that is %s", x.ID, spec.Kind, x.State)
		}
		if spec.PriorityOrder() <= s.Priority && s.Entitled < 0 {
			t.Fatalf("%s of rank %s gives to rank %d beyond its guarantee", x.ID, spec.Priority, s.Priority)
		}
		if spec.IsGang() &&
			len(
				slices.DeleteFunc(slices.Clone(plan.Tasks), func(o *clusterstate.Task) bool { return o.Job != x.Job }),
			) != spec.TaskCount {
			t.Fatalf("only some of gang %s stop", x.Job.ID)
		}
	}
	for _, x := range plan.Tasks {
		spec := &x.Job.Record.Spec
		if leaf := f.state.QuotaLeaf(
			spec,
		); spec.Team != j.Record.Spec.Team &&
			!before.Used(leaf).Covers(teams[spec.Team].Guaranteed) {
			t.Fatalf("%s goes below its guarantee by a loan: %s", spec.Team, before.Used(leaf))
		}
	}
	f.commit(d, ok)
	return ok
}

// look has the leader look at all loans.
func (f *loanFixture) look(waits func(string) bool, ok bool) {
	for _, d := range f.ledger.Reconcile(f.state.Account, waits) {
		f.commit(d, ok)
	}
	for _, l := range f.ledger.Loans() {
		if _, known := f.began[l.ID]; !known {
			f.began[l.ID] = l
		}
		if l.State.Over() {
			f.ended[l.ID] = l
		}
	}
}

// place puts a job's task on a machine, if the room is there and kept for no other.
func (f *loanFixture) place(j *clusterstate.Job, n int, h string) bool {
	free := f.state.MachineTypes["g4"].Capacity().Sub(f.state.UsedResources(h))
	for _, r := range f.ledger.Rooms() {
		if r.Machine == h && r.Job != j.ID {
			free = free.Sub(r.Resources)
		}
	}
	t := jobs.Task{State: jobs.Pending}
	if j.Tasks[n] != nil {
		t = j.Tasks[n].Task
	}
	next, ok := jobs.NextTask(
		t,
		jobs.TaskEvent{Kind: jobs.Place, Machine: h, Zone: f.state.Machines[h].Zone, Attempt: t.Attempt + 1},
	)
	if !ok || !free.Fits(j.Record.Spec.Resources()) {
		return false
	}
	f.set(j, n, next)
	return true
}

// TestShutBorrower: room made for a replica whose window is shut is given up at once, and
// kept for a lender only if its own is not.
func TestShutBorrower(t *testing.T) {
	f := newLoanFixture(1)
	f.job("wk-1", "batch", jobs.JobArray, "standard", "b", 1, 4, host(0), host(0), host(0), host(0))
	serve := f.job("wk-2", "serve", jobs.Service, "prod", "s", 1, 1)
	if !f.ask(t, serve, 0, true) {
		t.Fatal("nobody lends")
	}
	lender := f.ledger.Loans()[0].From[0].Job
	f.set(
		f.state.Jobs[lender],
		slices.IndexFunc([]int{0, 1, 2, 3}, func(n int) bool { return f.state.Jobs[lender].Tasks[n].State == jobs.Stopping }),
		jobs.Task{State: jobs.Pending},
	)
	shut := map[string]bool{jobs.Service: true}
	f.ledger.env.Begins = func(s *jobs.Spec) bool { return !shut[s.Class] }
	if rooms := f.ledger.Rooms(); len(rooms) != 0 {
		t.Error("room is kept for a replica that may not begin", rooms)
	}
	never := func(string) bool { return false }
	f.state.Now = f.state.Now.Add(time.Second)
	f.look(never, true)
	if l := f.ledger.Loans()[0]; l.State != CalledBack || len(f.ledger.Rooms()) != 1 || f.ledger.Rooms()[0].Job != lender {
		t.Errorf("%+v, kept %v", l, f.ledger.Rooms())
	}
	shut[jobs.JobArray] = true
	f.look(never, true)
	if l := f.ledger.Loans()[0]; l.State != Returned || len(f.ledger.Rooms()) != 0 {
		t.Errorf("%+v, kept %v", l, f.ledger.Rooms())
	}
}

// TestAnyPlan lends in a fleet where anything fails at any time, and then lets it rest:
// no team goes below its guarantee by a loan, no machine holds more than it has, gangs
// stop whole, and in the end every loan is over and what was taken is given back or gone
// with its machine.
func TestAnyPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newLoanFixture(4)
		full := func(i int) float64 {
			return f.state.MachineTypes["g4"].Accelerators - f.state.UsedResources(host(i)).Accelerators
		}
		names := 10
		fresh := func() string { names++; return fmt.Sprintf("wk-%d", names) }
		fill := func(t *rapid.T) {
			for i := range 4 {
				if f.state.Machines[host(i)] == nil || f.state.Machines[host(i)].State != fleet.Up || full(i) < 1 {
					continue
				}
				team, priority := rapid.SampledFrom([]string{"train", "batch", "serve"}).
					Draw(t, "team"),
					rapid.SampledFrom([]string{"standard", "idle", "prod"}).
						Draw(t, "rank")
				on := []string{host(i)}
				shape := jobs.JobArray
				if k := (i + 1) % 4; rapid.Bool().Draw(t, "gang") && f.state.Machines[host(k)] != nil &&
					f.state.Machines[host(k)].State == fleet.Up &&
					full(k) >= 1 {
					on, shape = append(on, host(k)), jobs.Gang
				}
				f.job(fresh(), team, shape, priority, "img-"+team, 1, len(on), on...)
			}
		}
		var services []*clusterstate.Job
		replicas := func() []*clusterstate.Job {
			return slices.DeleteFunc(
				slices.Clone(services),
				func(j *clusterstate.Job) bool { return f.state.Jobs[j.ID] != j || !live(j) },
			)
		}
		any := func(string) bool { return true }
		machines := func() []string {
			var out []string
			for _, m := range f.state.MachinesByName() {
				out = append(out, m.Name)
			}
			return out
		}
		check := func() {
			for _, h := range machines() {
				if !f.state.MachineTypes["g4"].Capacity().Fits(f.state.UsedResources(h)) {
					t.Fatalf("%s holds %v", h, f.state.UsedResources(h))
				}
			}
		}
		place := func() {
			for _, j := range replicas() {
				for n := range j.Record.Spec.TaskCount {
					if l, ok := f.ledger.For(
						j.ID,
						n,
					); ok && l.State == Vacated && f.state.Machines[l.Machine] != nil &&
						f.state.Machines[l.Machine].State == fleet.Up {
						f.place(j, n, l.Machine)
					}
				}
			}
		}
		leave := func() {
			for _, h := range machines() {
				for _, taskID := range clusterstate.SortedKeys(f.state.TasksOnMachine[h]) {
					if x := f.state.TasksOnMachine[h][taskID]; x.State == jobs.Stopping {
						next, _ := jobs.NextTask(x.Task, jobs.TaskEvent{Kind: jobs.Lost})
						f.set(x.Job, x.Index, next)
					}
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"":     func(*rapid.T) { check() },
			"fill": fill,
			"serve": func(t *rapid.T) {
				services = append(
					services,
					f.job(
						fresh(),
						"serve",
						jobs.Service,
						rapid.SampledFrom([]string{"prod", "standard"}).Draw(t, "rank"),
						"img-s",
						1,
						rapid.IntRange(1, 4).Draw(t, "replicas"),
					),
				)
			},
			"ask": func(t *rapid.T) {
				for _, j := range replicas() {
					for n := range j.Record.Spec.TaskCount {
						if _, asked := f.ledger.For(j.ID, n); !asked && j.Active[n] == nil {
							f.ask(t, j, n, rapid.Bool().Draw(t, "committed"))
							return
						}
					}
				}
			},
			"look":  func(t *rapid.T) { f.look(any, rapid.Bool().Draw(t, "committed")) },
			"leave": func(*rapid.T) { leave() },
			"place": func(*rapid.T) { place() },
			"time": func(t *rapid.T) {
				f.state.Now = f.state.Now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "s")) * time.Second)
			},
			"leader": func(*rapid.T) { f.leader() },
			"cancel": func(t *rapid.T) {
				jobID := rapid.SampledFrom(append(clusterstate.SortedKeys(f.state.Jobs), "")).Draw(t, "job")
				if j := f.state.Jobs[jobID]; j != nil && live(j) {
					rec := *j.Record
					rec.State = jobs.Cancelled
					_ = f.state.ApplyJob(jobID, jobs.Encode(rec))
					for n, x := range j.Tasks {
						if next, ok := jobs.NextTask(x.Task, jobs.TaskEvent{Kind: jobs.Lost}); ok {
							f.set(j, n, next)
						}
					}
				}
			},
			"dies": func(t *rapid.T) {
				i := rapid.IntRange(0, 3).Draw(t, "machine")
				for _, taskID := range clusterstate.SortedKeys(f.state.TasksOnMachine[host(i)]) {
					x := f.state.TasksOnMachine[host(i)][taskID]
					next, _ := jobs.NextTask(x.Task, jobs.TaskEvent{Kind: jobs.Lost})
					f.set(x.Job, x.Index, next)
				}
				_ = f.state.ApplyMachine(host(i), "", nil)
				if rapid.Bool().Draw(t, "another") {
					f.host(i, fleet.Up)
				}
			},
			"notice": func(t *rapid.T) {
				if i := rapid.IntRange(0, 3).Draw(t, "machine"); f.state.Machines[host(i)] != nil {
					f.host(i, fleet.Warned)
				}
			},
		})
		// Quiet: what is to leave leaves, the replicas end, time passes.
		for range 8 {
			leave()
			for _, j := range replicas() {
				rec := *j.Record
				rec.State = jobs.Cancelled
				_ = f.state.ApplyJob(j.ID, jobs.Encode(rec))
				for n, x := range j.Tasks {
					if next, ok := jobs.NextTask(x.Task, jobs.TaskEvent{Kind: jobs.Lost}); ok {
						f.set(j, n, next)
					}
				}
			}
			f.look(any, true)
			f.state.Now = f.state.Now.Add(20 * time.Second)
		}
		check()
		var taken, given, gone float64
		for id, l := range f.began {
			end, over := f.ended[id]
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
		if rooms := f.ledger.Rooms(); len(rooms) > 0 {
			t.Fatalf("room is still kept: %v", rooms)
		}
	})
}

func planText(p Plan) string {
	var out []string
	for _, x := range p.Tasks {
		out = append(out, x.ID)
	}
	slices.Sort(out)
	return p.Machine + " " + strings.Join(out, " ")
}

func TestChoose(t *testing.T) {
	all := func(h string, n int) []string { return slices.Repeat([]string{h}, n) }
	old := func(f *loanFixture, s time.Duration) { f.state.Now = f.state.Now.Add(s) }
	for name, c := range map[string]struct {
		with func(f *loanFixture) float64 // what the replica needs
		want string                       // "" for none
	}{
		"what lost least since its save": {func(f *loanFixture) float64 {
			f.job("wk-1", "train", jobs.JobArray, "standard", "x", 1, 8, all("i-0", 4)...)
			old(f, 100*time.Second)
			f.job("wk-2", "train", jobs.JobArray, "standard", "x", 1, 8, all("i-1", 4)...)
			old(f, 30*time.Second) // both have their images
			return 1
		}, "i-1 wk-2/0"},
		"where the weights are": {func(f *loanFixture) float64 {
			f.job("wk-1", "train", jobs.JobArray, "standard", "x", 1, 8, all("i-0", 4)...)
			f.state.Images.Add("i-0", fleet.Image{Name: "weights", GB: 20}, 100)
			old(f, 100*time.Second)
			f.job("wk-2", "train", jobs.JobArray, "standard", "x", 1, 8, all("i-1", 4)...)
			return 1
		}, "i-0 wk-1/0"},
		"not below a guarantee": {func(f *loanFixture) float64 {
			f.job("wk-1", "train", jobs.JobArray, "standard", "x", 1, 4, all("i-0", 4)...)
			f.job("wk-2", "batch", jobs.JobArray, "standard", "x", 1, 8, append(all("i-0", 0), all("i-1", 4)...)...)
			return 1
		}, "i-1 wk-2/0"},
		"its own team's work of lower rank last": {func(f *loanFixture) float64 {
			f.job("wk-1", "serve", jobs.JobArray, "idle", "x", 1, 4, all("i-0", 4)...)
			f.job("wk-2", "batch", jobs.JobArray, "standard", "x", 1, 8, all("i-1", 4)...)
			return 1
		}, "i-1 wk-2/0"},
		"but its own team's": {func(f *loanFixture) float64 {
			f.job("wk-1", "serve", jobs.JobArray, "idle", "x", 1, 4, all("i-0", 4)...)
			f.job("wk-2", "train", jobs.JobArray, "standard", "x", 1, 4, all("i-1", 4)...)
			return 1
		}, "i-0 wk-1/0"},
		"nothing at the end of its run": {func(f *loanFixture) float64 {
			f.job("wk-1", "batch", jobs.JobArray, "idle", "x", 1, 4, all("i-0", 4)...)
			old(f, 590*time.Second)
			f.job("wk-2", "serve", jobs.JobArray, "prod", "x", 1, 4, all("i-1", 4)...)
			return 1
		}, ""},
		"a gang whole": {func(f *loanFixture) float64 {
			f.job("wk-1", "train", jobs.Gang, "standard", "x", 4, 2, "i-0", "i-1")
			f.job("wk-2", "train", jobs.JobArray, "standard", "x", 4, 1, "i-2")
			return 1
		}, "i-0 wk-1/0 wk-1/1"},
		"no gang that has lost a task": {func(f *loanFixture) float64 {
			f.job("wk-1", "train", jobs.Gang, "standard", "x", 4, 3, "i-0", "i-1")
			f.job("wk-2", "train", jobs.JobArray, "standard", "x", 4, 1, "i-2")
			return 1
		}, ""},
		"no gang on a machine that is not heard": {func(f *loanFixture) float64 {
			f.job("wk-1", "train", jobs.Gang, "standard", "x", 4, 2, "i-0", "i-1")
			f.job("wk-2", "train", jobs.JobArray, "standard", "x", 4, 1, "i-2")
			f.host(1, fleet.Lost)
			return 1
		}, ""},
		"no gang that would take its team below": {func(f *loanFixture) float64 {
			f.job("wk-1", "train", jobs.Gang, "standard", "x", 4, 2, "i-0", "i-1") // any one of them could go
			return 1
		}, ""},
		"the fewest accelerators freed in vain": {func(f *loanFixture) float64 {
			f.job("wk-2", "train", jobs.JobArray, "standard", "x", 1, 8, all("i-1", 4)...)
			old(f, 240*time.Second)
			f.job("wk-1", "train", jobs.JobArray, "standard", "x", 4, 2, "i-0")
			old(f, 30*time.Second)
			return 1
		}, "i-1 wk-2/0"},
		"two that go below together": {func(f *loanFixture) float64 {
			f.job("wk-1", "batch", jobs.JobArray, "standard", "x", 1, 3, all("i-0", 3)...)
			f.job("wk-2", "serve", jobs.JobArray, "prod", "x", 1, 4, all("i-1", 3)...)
			return 3
		}, ""},
		"none while room is coming": {func(f *loanFixture) float64 {
			f.job("wk-1", "train", jobs.JobArray, "standard", "x", 1, 8, all("i-0", 4)...)
			f.job("wk-2", "train", jobs.JobArray, "standard", "x", 1, 3, all("i-1", 3)...)
			return 1
		}, ""},
	} {
		f := newLoanFixture(3)
		f.host(2, fleet.Warned) // what is there counts for its team, and lends nothing
		need := c.with(f)
		j := f.job("wk-9", "serve", jobs.Service, "prod", "weights", need, 2)
		s := f.search(j, 0, false)
		s.spared, s.busy, s.ready, s.now = func(*clusterstate.Job) bool { return false }, func(string) bool { return false }, func(m *clusterstate.Machine) bool { return m.State == fleet.Up }, f.state.Now
		got := ""
		if p, ok := Choose(f.state, s); ok {
			got = planText(p)
		}
		if got != c.want {
			t.Errorf("%s: %q, not %q", name, got, c.want)
		}
	}
}

// An image that a type's cache cannot hold is never planned there, and fetches share a
// machine's rate.
func TestWeights(t *testing.T) {
	f := newLoanFixture(1)
	j := f.job("wk-9", "serve", jobs.Service, "prod", "weights", 1, 2)
	f.job("wk-1", "batch", jobs.JobArray, "standard", "x", 2, 8, "i-0", "i-0")
	s := f.search(j, 0, false)
	s.spared, s.busy, s.ready, s.now = func(*clusterstate.Job) bool { return false }, func(string) bool { return false }, func(*clusterstate.Machine) bool { return true }, f.state.Now
	if p, ok := Choose(f.state, s); !ok || p.StartDelayS != 40 { // 20 GB, beside 20 of an image that is being fetched
		t.Error(p, ok)
	}
	f.state.MachineTypes["g4"].CacheGB = 10
	if p, ok := Choose(f.state, s); ok {
		t.Error(p)
	}
}

// A lender that waits for what it is guaranteed has replicas called back one at a time,
// and never so many that less than half are up or none is left in a zone.
func TestCallsBack(t *testing.T) {
	f := newLoanFixture(4)
	svc := f.job(
		"wk-9",
		"batch",
		jobs.Service,
		"prod",
		"w",
		1,
		12,
		"i-0",
		"i-0",
		"i-0",
		"i-0",
		"i-1",
		"i-1",
		"i-2",
		"i-2",
		"i-1",
		"i-2",
		"i-0",
		"i-1",
	)
	f.job("wk-1", "train", jobs.JobArray, "standard", "x", 1, 4)
	for n := range 9 {
		sheet := &LoanRecord{}
		if k := f.ledger.records[n%2]; k != nil {
			sheet = k
		}
		sheet.Loans = append(
			sheet.Loans,
			Loan{
				ID:        n,
				State:     Lent,
				Job:       "wk-9",
				TaskIndex: n,
				Machine:   svc.Tasks[n].Machine,
				From:      []Share{{"wk-1", 1, 1}},
				GPUs:      1,
				SinceMs:   f.state.NowMs(),
			},
		)
		f.commit(decide.Decision{Writes: []store.Write{decide.Put(RecordKey(n%2), sheet)}}, true)
	}
	away := func() (n int) {
		for _, x := range svc.Tasks {
			if x.State != jobs.Placed {
				n++
			}
		}
		return n
	}
	nobody, waits := func(string) bool { return false }, func(jobID string) bool { return jobID == "wk-1" }
	f.look(waits, true)
	if away() != 0 {
		t.Fatal("called back before it had served")
	}
	for range 30 {
		f.state.Now = f.state.Now.Add(tuning.MinLoanTime + time.Second)
		before := away()
		f.look(nobody, true)
		if away() != before {
			t.Fatal("called back for nobody")
		}
		f.look(waits, true)
		if after := away(); after > before+1 {
			t.Fatalf("%d called back at once", after-before)
		}
		for _, x := range svc.Tasks {
			if x.State == jobs.Stopping {
				next, _ := jobs.NextTask(x.Task, jobs.TaskEvent{Kind: jobs.Lost})
				f.set(svc, x.Index, next)
			}
		}
	}
	if got := away(); got != 6 {
		t.Errorf("%d of 12 were called back, not 6", got)
	}
}

// One replica stays in each zone.
func TestStaysInZone(t *testing.T) {
	f := newLoanFixture(4)
	svc := f.job("wk-9", "serve", jobs.Service, "prod", "w", 2, 4, "i-0", "i-0", "i-2", "i-1")
	f.job("wk-1", "train", jobs.JobArray, "standard", "x", 1, 4)
	sheet := &LoanRecord{
		Loans: []Loan{
			{ID: 1, State: Lent, Job: "wk-9", TaskIndex: 3, Machine: "i-1", From: []Share{{"wk-1", 2, 2}}, GPUs: 2, SinceMs: 1},
		},
	}
	f.commit(decide.Decision{Writes: []store.Write{decide.Put(RecordKey(0), sheet)}}, true)
	f.look(func(string) bool { return true }, true)
	if svc.Tasks[3].State != jobs.Placed {
		t.Error("the last replica in its zone was called back")
	}
}

// Few changes: what follows from the records is stored several steps at a time.
func TestFewChanges(t *testing.T) {
	f := newLoanFixture(1)
	f.job("wk-1", "batch", jobs.JobArray, "standard", "x", 1, 7, "i-0", "i-0", "i-0", "i-0")
	j := f.job("wk-9", "serve", jobs.Service, "prod", "w", 1, 1)
	if !f.ask(t, j, 0, true) {
		t.Fatal("nobody lends")
	}
	writes := 0
	for range 400 {
		for _, d := range f.ledger.Reconcile(f.state.Account, func(string) bool { return true }) {
			writes += len(d.Writes)
			f.commit(d, true)
		}
		for _, x := range f.state.Jobs["wk-1"].Tasks {
			if x.State == jobs.Stopping {
				next, _ := jobs.NextTask(x.Task, jobs.TaskEvent{Kind: jobs.Lost})
				f.set(x.Job, x.Index, next)
			}
		}
		if l, ok := f.ledger.For("wk-9", 0); ok && l.State == Vacated {
			f.place(j, 0, l.Machine)
		}
		f.state.Now = f.state.Now.Add(100 * time.Millisecond)
	}
	if writes != 1 || f.ledger.Loans()[0].State != Lent || f.ledger.Counts().Requested != 1 {
		t.Error(writes, f.ledger.Loans(), f.ledger.Counts())
	}
	if got := f.ledger.Counts().SparedSearches; f.ask(t, f.job("wk-8", "serve", jobs.Service, "prod", "w", 1, 1), 0, true) ||
		f.ledger.Counts().SparedSearches != got+1 {
		t.Error("wk-1 lends twice within", tuning.LendAgain)
	}
}

// A replica that is released to its machine holds the loan until it is there.
func TestComing(t *testing.T) {
	f := newLoanFixture(1)
	f.job("wk-1", "batch", jobs.JobArray, "standard", "x", 1, 7, "i-0", "i-0", "i-0", "i-0")
	j := f.job("wk-9", "serve", jobs.Service, "prod", "w", 1, 1)
	if !f.ask(t, j, 0, true) {
		t.Fatal("nobody lends")
	}
	for _, x := range f.state.Jobs["wk-1"].Tasks {
		if x.State == jobs.Stopping {
			next, _ := jobs.NextTask(x.Task, jobs.TaskEvent{Kind: jobs.Lost})
			f.set(x.Job, x.Index, next)
		}
	}
	f.set(j, 0, jobs.Task{State: jobs.Released, Controller: "n0", Zone: "a", PreferredMachine: "i-0"})
	f.look(func(string) bool { return true }, true)
	if l := f.ledger.Loans()[0]; l.State != Asked {
		t.Error(l)
	}
}

// Loans that cannot be read are left alone, and none is begun on their sheet.
func TestUnreadableSheet(t *testing.T) {
	f := newLoanFixture(1)
	for n := range tuning.LoanRecords - 1 {
		f.ledger.ApplyRecord(RecordKey(n), []byte(`{"l":[{"i":1,"s":"odd"}]}`))
	}
	f.job("wk-1", "batch", jobs.JobArray, "standard", "x", 1, 7, "i-0", "i-0", "i-0", "i-0")
	if !f.ask(t, f.job("wk-9", "serve", jobs.Service, "prod", "w", 1, 1), 0, true) ||
		f.records[RecordKey(tuning.LoanRecords-1)] == nil {
		t.Error(f.records)
	}
	f.ledger.ApplyRecord(RecordKey(tuning.LoanRecords-1), []byte(`7`))
	if f.ask(t, f.job("wk-8", "serve", jobs.Service, "prod", "w", 1, 1), 0, true) {
		t.Error("a loan was begun over what cannot be read")
	}
}

// 4,000 loans stand in records side by side, and one more begins.
func TestRecordsHold4000Loans(t *testing.T) {
	const loans = 4000
	f := newLoanFixture(1)
	id := 0
	for id < loans {
		var record LoanRecord
		for range tuning.MaxLoansPerRecord {
			id++
			record.Loans = append(record.Loans, Loan{
				ID: id, State: Lent, Job: "wk-7", Machine: "i-7", From: []Share{{Job: "wk-6", GPUs: 1, Tasks: 1}},
				GPUs: 1, BeganMs: f.state.NowMs(), SinceMs: f.state.NowMs(),
			})
		}
		number := (id - 1) / tuning.MaxLoansPerRecord
		f.ledger.ApplyRecord(RecordKey(number), jobs.Encode(record))
	}
	if got := len(f.ledger.Loans()); got != loans {
		t.Fatalf("%d loans are read, want %d", got, loans)
	}
	f.job("wk-1", "batch", jobs.JobArray, "standard", "x", 1, 7, "i-0", "i-0", "i-0", "i-0")
	if !f.ask(t, f.job("wk-9", "serve", jobs.Service, "prod", "w", 1, 1), 0, true) {
		t.Error("no loan begins beside 4,000 others")
	}
}
