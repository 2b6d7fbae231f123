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
	*clusterstate.State
	k      *Ledger
	sheets map[string]json.RawMessage
	began  map[int]Loan // by id, as they were asked for
	ended  map[int]Loan
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
	y := &loanFixture{
		State:  clusterstate.New(quota.Flat(teams), func(string) {}),
		sheets: map[string]json.RawMessage{},
		began:  map[int]Loan{},
		ended:  map[int]Loan{},
	}
	y.Now = time.UnixMilli(1_000_000)
	y.MachineTypes["g4"] = &jobs.MachineType{
		Name:         "g4",
		Cores:        32,
		Accelerators: 4,
		MemoryGB:     256,
		CacheGB:      100,
		ImageGBPerS:  1,
		BootS:        20,
	}
	for i := range machines {
		y.host(i, fleet.Up)
	}
	y.leader()
	return y
}

func host(i int) string { return fmt.Sprintf("i-%d", i) }

func (y *loanFixture) host(i int, s fleet.State) {
	_ = y.ApplyMachine(
		host(i),
		"n0",
		jobs.Encode(fleet.MachineRecord{State: s, MachineType: "g4", Zone: string(rune('a' + i%2))}),
	)
}

// leader has another controller lead: all that it knows are the records.
func (y *loanFixture) leader() {
	y.k = NewLedger(y.State, Env{
		Limit:     8192,
		Again:     tuning.LendAgain,
		Log:       slog.New(slog.DiscardHandler),
		Busy:      func(string) bool { return false },
		Ready:     func(m *clusterstate.Machine) bool { return m.State == fleet.Up },
		Elsewhere: func(*clusterstate.Task) bool { return false },
	})
	for _, key := range clusterstate.SortedKeys(y.sheets) {
		y.k.ApplyRecord(key, y.sheets[key])
	}
}

// job submits a job; its tasks are on the machines named, others wait.
func (y *loanFixture) job(
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
	_ = y.ApplyJob(jobID, jobs.Encode(jobs.Record{State: jobs.Live, AcceptedMs: 1, Spec: spec}))
	var tasks []jobs.Task
	for _, h := range on {
		tasks = append(tasks, jobs.Task{State: jobs.Placed, Machine: h, Zone: y.Machines[h].Zone, Attempt: 1})
	}
	if len(tasks) > 0 {
		_, _ = y.ApplyTaskRange(jobs.TaskRangeKey(jobID, 0), jobs.EncodeTaskRange(tasks, 1<<20))
	}
	return y.Jobs[jobID]
}

// set writes one task's record.
func (y *loanFixture) set(j *clusterstate.Job, n int, next jobs.Task) {
	if t := j.Tasks[n]; t != nil && t.Stored != nil {
		records := make([]jobs.Task, len(t.Stored.Tasks))
		for i, o := range t.Stored.Tasks {
			records[i] = o.Task
		}
		records[n-t.Stored.FirstIndex] = next
		_, _ = y.ApplyTaskRange(t.Stored.Key, jobs.EncodeTaskRange(records, 1<<20))
		return
	}
	_, _ = y.ApplyTaskRange(jobs.TaskRangeKey(j.ID, n), jobs.EncodeTaskRange([]jobs.Task{next}, 1<<20))
}

// commit takes a decision whole, or not.
func (y *loanFixture) commit(d decide.Decision, ok bool) {
	if ok {
		for _, c := range d.Changes {
			y.set(c.Task.Job, c.Task.Index, c.Next)
		}
		for _, w := range d.Writes {
			key := decide.WriteKey(w)
			y.sheets[key] = w.Value
			if w.Put == "" {
				delete(y.sheets, key)
			}
			y.k.ApplyRecord(key, w.Value)
		}
	}
	if d.OnSettled != nil {
		d.OnSettled(ok)
	}
}

// search is one for a replica.
func (y *loanFixture) search(j *clusterstate.Job, n int, cached bool) *Search {
	spec := &j.Record.Spec
	account := Leaving(y.State, y.Account, nil)
	return &Search{
		Task: &clusterstate.Task{
			Task:  jobs.Task{State: jobs.Pending},
			ID:    jobs.TaskID(j.ID, n),
			Index: n,
			Job:   j,
		},
		Priority: spec.PriorityOrder(),
		Entitled: account.Entitled(
			y.QuotaLeaf(spec),
			spec.Amount(),
			1,
		),
		Account:       account,
		OnlyWithImage: cached,
		Open:          func(m *clusterstate.Machine) bool { return m.State == fleet.Up },
	}
}

func (y *loanFixture) ask(t interface{ Fatalf(string, ...any) }, j *clusterstate.Job, n int, ok bool) bool {
	s := y.search(j, n, false)
	before := Leaving(y.State, y.Account, nil)
	d, plan, found := y.k.Ask(s)
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
		if leaf := y.QuotaLeaf(
			spec,
		); spec.Team != j.Record.Spec.Team &&
			!before.Used(leaf).Covers(teams[spec.Team].Guaranteed) {
			t.Fatalf("%s goes below its guarantee by a loan: %s", spec.Team, before.Used(leaf))
		}
	}
	y.commit(d, ok)
	return ok
}

// look has the leader look at all loans.
func (y *loanFixture) look(waits func(string) bool, ok bool) {
	for _, d := range y.k.Reconcile(y.Account, waits) {
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
func (y *loanFixture) place(j *clusterstate.Job, n int, h string) bool {
	free := y.MachineTypes["g4"].Capacity().Sub(y.UsedResources(h))
	for _, r := range y.k.Rooms() {
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
		jobs.TaskEvent{Kind: jobs.Place, Machine: h, Zone: y.Machines[h].Zone, Attempt: t.Attempt + 1},
	)
	if !ok || !free.Fits(j.Record.Spec.Resources()) {
		return false
	}
	y.set(j, n, next)
	return true
}

// TestShutBorrower: room made for a replica whose window is shut is given up at once, and
// kept for a lender only if its own is not.
func TestShutBorrower(t *testing.T) {
	y := newLoanFixture(1)
	y.job("wk-1", "batch", jobs.JobArray, "standard", "b", 1, 4, host(0), host(0), host(0), host(0))
	serve := y.job("wk-2", "serve", jobs.Service, "prod", "s", 1, 1)
	if !y.ask(t, serve, 0, true) {
		t.Fatal("nobody lends")
	}
	lender := y.k.Loans()[0].From[0].Job
	y.set(
		y.Jobs[lender],
		slices.IndexFunc([]int{0, 1, 2, 3}, func(n int) bool { return y.Jobs[lender].Tasks[n].State == jobs.Stopping }),
		jobs.Task{State: jobs.Pending},
	)
	shut := map[string]bool{jobs.Service: true}
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
	shut[jobs.JobArray] = true
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
		y := newLoanFixture(4)
		full := func(i int) float64 { return y.MachineTypes["g4"].Accelerators - y.UsedResources(host(i)).Accelerators }
		names := 10
		fresh := func() string { names++; return fmt.Sprintf("wk-%d", names) }
		fill := func(t *rapid.T) {
			for i := range 4 {
				if y.Machines[host(i)] == nil || y.Machines[host(i)].State != fleet.Up || full(i) < 1 {
					continue
				}
				team, priority := rapid.SampledFrom([]string{"train", "batch", "serve"}).
					Draw(t, "team"),
					rapid.SampledFrom([]string{"standard", "idle", "prod"}).
						Draw(t, "rank")
				on := []string{host(i)}
				shape := jobs.JobArray
				if k := (i + 1) % 4; rapid.Bool().Draw(t, "gang") && y.Machines[host(k)] != nil &&
					y.Machines[host(k)].State == fleet.Up &&
					full(k) >= 1 {
					on, shape = append(on, host(k)), jobs.Gang
				}
				y.job(fresh(), team, shape, priority, "img-"+team, 1, len(on), on...)
			}
		}
		var services []*clusterstate.Job
		replicas := func() []*clusterstate.Job {
			return slices.DeleteFunc(
				slices.Clone(services),
				func(j *clusterstate.Job) bool { return y.Jobs[j.ID] != j || !live(j) },
			)
		}
		any := func(string) bool { return true }
		machines := func() []string {
			var out []string
			for _, m := range y.MachinesByName() {
				out = append(out, m.Name)
			}
			return out
		}
		check := func() {
			for _, h := range machines() {
				if !y.MachineTypes["g4"].Capacity().Fits(y.UsedResources(h)) {
					t.Fatalf("%s holds %v", h, y.UsedResources(h))
				}
			}
		}
		place := func() {
			for _, j := range replicas() {
				for n := range j.Record.Spec.TaskCount {
					if l, ok := y.k.For(
						j.ID,
						n,
					); ok && l.State == Vacated && y.Machines[l.Machine] != nil &&
						y.Machines[l.Machine].State == fleet.Up {
						y.place(j, n, l.Machine)
					}
				}
			}
		}
		leave := func() {
			for _, h := range machines() {
				for _, taskID := range clusterstate.SortedKeys(y.TasksOnMachine[h]) {
					if x := y.TasksOnMachine[h][taskID]; x.State == jobs.Stopping {
						next, _ := jobs.NextTask(x.Task, jobs.TaskEvent{Kind: jobs.Lost})
						y.set(x.Job, x.Index, next)
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
					y.job(
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
						if _, asked := y.k.For(j.ID, n); !asked && j.Active[n] == nil {
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
				jobID := rapid.SampledFrom(append(clusterstate.SortedKeys(y.Jobs), "")).Draw(t, "job")
				if j := y.Jobs[jobID]; j != nil && live(j) {
					rec := *j.Record
					rec.State = jobs.Cancelled
					_ = y.ApplyJob(jobID, jobs.Encode(rec))
					for n, x := range j.Tasks {
						if next, ok := jobs.NextTask(x.Task, jobs.TaskEvent{Kind: jobs.Lost}); ok {
							y.set(j, n, next)
						}
					}
				}
			},
			"dies": func(t *rapid.T) {
				i := rapid.IntRange(0, 3).Draw(t, "machine")
				for _, taskID := range clusterstate.SortedKeys(y.TasksOnMachine[host(i)]) {
					x := y.TasksOnMachine[host(i)][taskID]
					next, _ := jobs.NextTask(x.Task, jobs.TaskEvent{Kind: jobs.Lost})
					y.set(x.Job, x.Index, next)
				}
				_ = y.ApplyMachine(host(i), "", nil)
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
				rec := *j.Record
				rec.State = jobs.Cancelled
				_ = y.ApplyJob(j.ID, jobs.Encode(rec))
				for n, x := range j.Tasks {
					if next, ok := jobs.NextTask(x.Task, jobs.TaskEvent{Kind: jobs.Lost}); ok {
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
	old := func(y *loanFixture, s time.Duration) { y.Now = y.Now.Add(s) }
	for name, c := range map[string]struct {
		with func(y *loanFixture) float64 // what the replica needs
		want string                       // "" for none
	}{
		"what lost least since its save": {func(y *loanFixture) float64 {
			y.job("wk-1", "train", jobs.JobArray, "standard", "x", 1, 8, all("i-0", 4)...)
			old(y, 100*time.Second)
			y.job("wk-2", "train", jobs.JobArray, "standard", "x", 1, 8, all("i-1", 4)...)
			old(y, 30*time.Second) // both have their images
			return 1
		}, "i-1 wk-2/0"},
		"where the weights are": {func(y *loanFixture) float64 {
			y.job("wk-1", "train", jobs.JobArray, "standard", "x", 1, 8, all("i-0", 4)...)
			y.Images.Add("i-0", fleet.Image{Name: "weights", GB: 20}, 100)
			old(y, 100*time.Second)
			y.job("wk-2", "train", jobs.JobArray, "standard", "x", 1, 8, all("i-1", 4)...)
			return 1
		}, "i-0 wk-1/0"},
		"not below a guarantee": {func(y *loanFixture) float64 {
			y.job("wk-1", "train", jobs.JobArray, "standard", "x", 1, 4, all("i-0", 4)...)
			y.job("wk-2", "batch", jobs.JobArray, "standard", "x", 1, 8, append(all("i-0", 0), all("i-1", 4)...)...)
			return 1
		}, "i-1 wk-2/0"},
		"its own team's work of lower rank last": {func(y *loanFixture) float64 {
			y.job("wk-1", "serve", jobs.JobArray, "idle", "x", 1, 4, all("i-0", 4)...)
			y.job("wk-2", "batch", jobs.JobArray, "standard", "x", 1, 8, all("i-1", 4)...)
			return 1
		}, "i-1 wk-2/0"},
		"but its own team's": {func(y *loanFixture) float64 {
			y.job("wk-1", "serve", jobs.JobArray, "idle", "x", 1, 4, all("i-0", 4)...)
			y.job("wk-2", "train", jobs.JobArray, "standard", "x", 1, 4, all("i-1", 4)...)
			return 1
		}, "i-0 wk-1/0"},
		"nothing at the end of its run": {func(y *loanFixture) float64 {
			y.job("wk-1", "batch", jobs.JobArray, "idle", "x", 1, 4, all("i-0", 4)...)
			old(y, 590*time.Second)
			y.job("wk-2", "serve", jobs.JobArray, "prod", "x", 1, 4, all("i-1", 4)...)
			return 1
		}, ""},
		"a gang whole": {func(y *loanFixture) float64 {
			y.job("wk-1", "train", jobs.Gang, "standard", "x", 4, 2, "i-0", "i-1")
			y.job("wk-2", "train", jobs.JobArray, "standard", "x", 4, 1, "i-2")
			return 1
		}, "i-0 wk-1/0 wk-1/1"},
		"no gang that has lost a task": {func(y *loanFixture) float64 {
			y.job("wk-1", "train", jobs.Gang, "standard", "x", 4, 3, "i-0", "i-1")
			y.job("wk-2", "train", jobs.JobArray, "standard", "x", 4, 1, "i-2")
			return 1
		}, ""},
		"no gang on a machine that is not heard": {func(y *loanFixture) float64 {
			y.job("wk-1", "train", jobs.Gang, "standard", "x", 4, 2, "i-0", "i-1")
			y.job("wk-2", "train", jobs.JobArray, "standard", "x", 4, 1, "i-2")
			y.host(1, fleet.Lost)
			return 1
		}, ""},
		"no gang that would take its team below": {func(y *loanFixture) float64 {
			y.job("wk-1", "train", jobs.Gang, "standard", "x", 4, 2, "i-0", "i-1") // any one of them could go
			return 1
		}, ""},
		"the fewest accelerators freed in vain": {func(y *loanFixture) float64 {
			y.job("wk-2", "train", jobs.JobArray, "standard", "x", 1, 8, all("i-1", 4)...)
			old(y, 240*time.Second)
			y.job("wk-1", "train", jobs.JobArray, "standard", "x", 4, 2, "i-0")
			old(y, 30*time.Second)
			return 1
		}, "i-1 wk-2/0"},
		"two that go below together": {func(y *loanFixture) float64 {
			y.job("wk-1", "batch", jobs.JobArray, "standard", "x", 1, 3, all("i-0", 3)...)
			y.job("wk-2", "serve", jobs.JobArray, "prod", "x", 1, 4, all("i-1", 3)...)
			return 3
		}, ""},
		"none while room is coming": {func(y *loanFixture) float64 {
			y.job("wk-1", "train", jobs.JobArray, "standard", "x", 1, 8, all("i-0", 4)...)
			y.job("wk-2", "train", jobs.JobArray, "standard", "x", 1, 3, all("i-1", 3)...)
			return 1
		}, ""},
	} {
		y := newLoanFixture(3)
		y.host(2, fleet.Warned) // what is there counts for its team, and lends nothing
		need := c.with(y)
		j := y.job("wk-9", "serve", jobs.Service, "prod", "weights", need, 2)
		s := y.search(j, 0, false)
		s.Spared, s.Busy, s.Known, s.Now = func(*clusterstate.Job) bool { return false }, func(string) bool { return false }, func(m *clusterstate.Machine) bool { return m.State == fleet.Up }, y.Now
		got := ""
		if p, ok := Choose(y.State, s); ok {
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
	y := newLoanFixture(1)
	j := y.job("wk-9", "serve", jobs.Service, "prod", "weights", 1, 2)
	y.job("wk-1", "batch", jobs.JobArray, "standard", "x", 2, 8, "i-0", "i-0")
	s := y.search(j, 0, false)
	s.Spared, s.Busy, s.Known, s.Now = func(*clusterstate.Job) bool { return false }, func(string) bool { return false }, func(*clusterstate.Machine) bool { return true }, y.Now
	if p, ok := Choose(y.State, s); !ok || p.StartDelayS != 40 { // 20 GB, beside 20 of an image that is being fetched
		t.Error(p, ok)
	}
	y.MachineTypes["g4"].CacheGB = 10
	if p, ok := Choose(y.State, s); ok {
		t.Error(p)
	}
}

// A lender that waits for what it is guaranteed has replicas called back one at a time,
// and never so many that less than half are up or none is left in a zone.
func TestCallsBack(t *testing.T) {
	y := newLoanFixture(4)
	svc := y.job(
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
	y.job("wk-1", "train", jobs.JobArray, "standard", "x", 1, 4)
	for n := range 9 {
		sheet := &LoanRecord{}
		if k := y.k.records[n%2]; k != nil {
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
				SinceMs:   y.NowMs(),
			},
		)
		y.commit(decide.Decision{Writes: []store.Write{decide.Put(RecordKey(n%2), sheet)}}, true)
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
	y.look(waits, true)
	if away() != 0 {
		t.Fatal("called back before it had served")
	}
	for range 30 {
		y.Now = y.Now.Add(tuning.MinLoanTime + time.Second)
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
				next, _ := jobs.NextTask(x.Task, jobs.TaskEvent{Kind: jobs.Lost})
				y.set(svc, x.Index, next)
			}
		}
	}
	if got := away(); got != 6 {
		t.Errorf("%d of 12 were called back, not 6", got)
	}
}

// One replica stays in each zone.
func TestStaysInZone(t *testing.T) {
	y := newLoanFixture(4)
	svc := y.job("wk-9", "serve", jobs.Service, "prod", "w", 2, 4, "i-0", "i-0", "i-2", "i-1")
	y.job("wk-1", "train", jobs.JobArray, "standard", "x", 1, 4)
	sheet := &LoanRecord{
		Loans: []Loan{
			{ID: 1, State: Lent, Job: "wk-9", TaskIndex: 3, Machine: "i-1", From: []Share{{"wk-1", 2, 2}}, GPUs: 2, SinceMs: 1},
		},
	}
	y.commit(decide.Decision{Writes: []store.Write{decide.Put(RecordKey(0), sheet)}}, true)
	y.look(func(string) bool { return true }, true)
	if svc.Tasks[3].State != jobs.Placed {
		t.Error("the last replica in its zone was called back")
	}
}

// Few changes: what follows from the records is stored several steps at a time.
func TestFewChanges(t *testing.T) {
	y := newLoanFixture(1)
	y.job("wk-1", "batch", jobs.JobArray, "standard", "x", 1, 7, "i-0", "i-0", "i-0", "i-0")
	j := y.job("wk-9", "serve", jobs.Service, "prod", "w", 1, 1)
	if !y.ask(t, j, 0, true) {
		t.Fatal("nobody lends")
	}
	writes := 0
	for range 400 {
		for _, d := range y.k.Reconcile(y.Account, func(string) bool { return true }) {
			writes += len(d.Writes)
			y.commit(d, true)
		}
		for _, x := range y.Jobs["wk-1"].Tasks {
			if x.State == jobs.Stopping {
				next, _ := jobs.NextTask(x.Task, jobs.TaskEvent{Kind: jobs.Lost})
				y.set(x.Job, x.Index, next)
			}
		}
		if l, ok := y.k.For("wk-9", 0); ok && l.State == Vacated {
			y.place(j, 0, l.Machine)
		}
		y.Now = y.Now.Add(100 * time.Millisecond)
	}
	if writes != 1 || y.k.Loans()[0].State != Lent || y.k.Counts().Requested != 1 {
		t.Error(writes, y.k.Loans(), y.k.Counts())
	}
	if got := y.k.Counts().SparedSearches; y.ask(t, y.job("wk-8", "serve", jobs.Service, "prod", "w", 1, 1), 0, true) ||
		y.k.Counts().SparedSearches != got+1 {
		t.Error("wk-1 lends twice within", tuning.LendAgain)
	}
}

// A replica that is released to its machine holds the loan until it is there.
func TestComing(t *testing.T) {
	y := newLoanFixture(1)
	y.job("wk-1", "batch", jobs.JobArray, "standard", "x", 1, 7, "i-0", "i-0", "i-0", "i-0")
	j := y.job("wk-9", "serve", jobs.Service, "prod", "w", 1, 1)
	if !y.ask(t, j, 0, true) {
		t.Fatal("nobody lends")
	}
	for _, x := range y.Jobs["wk-1"].Tasks {
		if x.State == jobs.Stopping {
			next, _ := jobs.NextTask(x.Task, jobs.TaskEvent{Kind: jobs.Lost})
			y.set(x.Job, x.Index, next)
		}
	}
	y.set(j, 0, jobs.Task{State: jobs.Released, Controller: "n0", Zone: "a", PreferredMachine: "i-0"})
	y.look(func(string) bool { return true }, true)
	if l := y.k.Loans()[0]; l.State != Asked {
		t.Error(l)
	}
}

// Loans that cannot be read are left alone, and none is begun on their sheet.
func TestUnreadableSheet(t *testing.T) {
	y := newLoanFixture(1)
	for n := range tuning.LoanRecords - 1 {
		y.k.ApplyRecord(RecordKey(n), []byte(`{"l":[{"i":1,"s":"odd"}]}`))
	}
	y.job("wk-1", "batch", jobs.JobArray, "standard", "x", 1, 7, "i-0", "i-0", "i-0", "i-0")
	if !y.ask(t, y.job("wk-9", "serve", jobs.Service, "prod", "w", 1, 1), 0, true) ||
		y.sheets[RecordKey(tuning.LoanRecords-1)] == nil {
		t.Error(y.sheets)
	}
	y.k.ApplyRecord(RecordKey(tuning.LoanRecords-1), []byte(`7`))
	if y.ask(t, y.job("wk-8", "serve", jobs.Service, "prod", "w", 1, 1), 0, true) {
		t.Error("a loan was begun over what cannot be read")
	}
}

// 4,000 loans stand in records side by side, and one more begins.
func TestRecordsHold4000Loans(t *testing.T) {
	const loans = 4000
	y := newLoanFixture(1)
	id := 0
	for id < loans {
		var record LoanRecord
		for range tuning.MaxLoansPerRecord {
			id++
			record.Loans = append(record.Loans, Loan{
				ID: id, State: Lent, Job: "wk-7", Machine: "i-7", From: []Share{{Job: "wk-6", GPUs: 1, Tasks: 1}},
				GPUs: 1, BeganMs: y.NowMs(), SinceMs: y.NowMs(),
			})
		}
		number := (id - 1) / tuning.MaxLoansPerRecord
		y.k.ApplyRecord(RecordKey(number), jobs.Encode(record))
	}
	if got := len(y.k.Loans()); got != loans {
		t.Fatalf("%d loans are read, want %d", got, loans)
	}
	y.job("wk-1", "batch", jobs.JobArray, "standard", "x", 1, 7, "i-0", "i-0", "i-0", "i-0")
	if !y.ask(t, y.job("wk-9", "serve", jobs.Service, "prod", "w", 1, 1), 0, true) {
		t.Error("no loan begins beside 4,000 others")
	}
}
