package provisioning

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/queue"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// office is a leader's rental with a cloud that answers as the test says.
type office struct {
	*Provisioner
	t      *testing.T
	leads  bool
	epoch  uint64
	listed []fleet.ListedMachine
	hires  []string
	gone   []string // deleted
	full   bool     // the cloud has no more machines
	wrong  bool     // the cloud calls rents malformed
	taken  []decide.Decision
	quiet  map[string]fleet.Unresponsiveness
}

func newOffice(t *testing.T) *office {
	o := &office{t: t, leads: true, epoch: 3, quiet: map[string]fleet.Unresponsiveness{}}
	b := clusterstate.New(quota.Flat(map[string]quota.Team{"t": {Name: "t"}}), func(string) {})
	b.Now = time.UnixMilli(1e12)
	log := slog.New(slog.DiscardHandler)
	cluster := settings.Cluster{
		Cloud:   settings.Cloud{RPS: 20, ListLagS: 4},
		Workers: settings.Workers{ReportS: 3, LeaseS: 30, CancelS: 60},
		State:   settings.State{TxnOps: 16, WriteRPS: 100},
	}
	not := func(string) bool { return false }
	yes := func(int, int) bool { return true }
	q := queue.New(b, queue.Env{
		Name:           "n0",
		TxnOps:         16,
		ValueBytes:     8192,
		MaxRangeTasks:  30,
		UsesBatches:    func() bool { return false },
		WriteRPS:       100,
		Log:            log,
		Busy:           not,
		Allows:         yes,
		HasSpareWrites: func() bool { return true },
		Ready:          func(m *clusterstate.Machine) bool { return m.State == fleet.Up },
		CanPlace:       func(*clusterstate.Task, *clusterstate.Machine) bool { return true },
		Commit:         func([]decide.Decision) {},
	})
	o.Provisioner = New(b, Env{
		Operator:         settings.DefaultOperator(),
		Cluster:          cluster,
		ValueBytes:       8192,
		Log:              log,
		Rand:             rand.New(rand.NewPCG(1, 1)),
		Queue:            q,
		Send:             o.cloud,
		IsLeader:         func() (bool, uint64) { return o.leads, o.epoch },
		MayRent:          func() bool { return true },
		Wake:             func() {},
		Busy:             not,
		Recorded:         not,
		Allows:           yes,
		HasSpareWrites:   func() bool { return true },
		StoreUnavailable: func() bool { return false },
		WaitingCalls:     func() int { return 0 },
		Commit:           o.commit,
		TaskLost: func(x *clusterstate.Task, _ jobs.TaskEventKind, _ time.Duration) decide.Decision {
			return decide.Decision{Changes: decide.TransitionTask(x, jobs.Task{State: jobs.Pending, Attempt: x.Attempt})}
		},
		TransitionMachine: func(machine string, e fleet.Event, _ string) []decide.Decision {
			rec := o.Machines[machine].MachineRecord
			rec.State, _ = fleet.Next(rec.State, e)
			return []decide.Decision{{Writes: nil, OnSettled: func(bool) { o.machine(machine, rec) }}}
		},
		InUse:              func(m *clusterstate.Machine) bool { return m.State == fleet.Up && !o.GivenUp(m.Name) },
		LastHeard:          func(string) time.Time { return time.Time{} },
		UnresponsivenessOf: func(m *clusterstate.Machine) (fleet.Unresponsiveness, bool) { u, is := o.quiet[m.Name]; return u, is },
		HasSession:         not,
	})
	o.Since = b.Now.Add(-time.Hour)
	return o
}

func (o *office) machine(machine string, rec fleet.MachineRecord) {
	if err := o.ApplyMachine(machine, "n0", jobs.Encode(rec)); err != nil {
		o.t.Error(err)
	}
}

func (o *office) commit(ds []decide.Decision) {
	o.taken = append(o.taken, ds...)
	for _, d := range ds {
		for _, w := range d.Writes {
			if name, ok := strings.CutPrefix(w.Put, fleet.MachinePrefix); ok {
				_ = o.ApplyMachine(name, "n0", w.Value)
			}
			if strings.HasPrefix(w.Put, MachineTypePrefix) {
				var b jobs.MachineType
				_ = json.Unmarshal(w.Value, &b)
				o.MachineTypes[b.Name] = &b
			}
			if key := w.Put + w.Remove; IsSummaryKey(key) {
				o.ApplySummary(key, w.Value)
			}
		}
		if d.OnSettled != nil {
			d.OnSettled(true)
		}
	}
}

// cloud answers at once.
func (o *office) cloud(method, target string, body []byte, _ time.Duration, done func(int, []byte, error)) {
	switch {
	case target == "/catalog":
		done(
			200,
			[]byte(
				`{"builds":[{"name":"g4","cores":32,"accelerators":4,"memory_gb":256,"cache_gb":100,"pull_gb_per_s":1,"hourly":10,"low_price":3,"ready_s":20,"sites":["a","b"]}]}`,
			),
			nil,
		)
	case method == "GET":
		done(200, jobs.Encode(map[string]any{"hosts": o.listed}), nil)
	case target == "/hosts/delete":
		var d struct{ Hosts []string }
		_ = json.Unmarshal(body, &d)
		o.gone = append(o.gone, d.Hosts...)
		done(200, []byte("{}"), nil)
	default:
		var a struct {
			Hire  string
			Count int
		}
		_ = json.Unmarshal(body, &a)
		o.hires = append(o.hires, a.Hire)
		if o.wrong {
			done(400, []byte(`{}`), nil)
			return
		}
		if o.full {
			done(503, []byte(`{"error":"no capacity"}`), nil)
			return
		}
		var machines []string
		for i := range a.Count {
			machines = append(machines, fmt.Sprintf("i-%s-%d", a.Hire, i))
		}
		done(200, jobs.Encode(map[string]any{"hosts": machines}), nil)
	}
}

func (o *office) run(seconds int) {
	for range seconds * 5 {
		o.Now = o.Now.Add(200 * time.Millisecond)
		o.Queue.Release()
		o.Reconcile()
		o.Decommission()
	}
}

func (o *office) job(jobID string, pieces int) {
	spec := jobs.Spec{
		ID:                jobID,
		Class:             "c",
		Team:              "t",
		Kind:              jobs.JobArray,
		Priority:          "standard",
		TaskCount:         pieces,
		Cores:             2,
		Accelerators:      1,
		MemoryGB:          8,
		Image:             "b",
		ExpectedDurationS: 60,
	}
	if err := o.ApplyJob(
		jobID,
		jobs.Encode(jobs.Record{State: jobs.Live, AcceptedMs: o.NowMs(), Spec: spec}),
	); err != nil {
		o.t.Fatal(err)
	}
}

// What waits is rented for, under names that are never used twice; a new leader's
// names differ, and what a leader asked that has lost the view is nobody's.
func TestRents(t *testing.T) {
	o := newOffice(t)
	o.job("wk-1", 40)
	o.run(15)
	if len(o.hires) == 0 || len(o.MachineTypes) != 1 {
		t.Fatalf("rented %v", o.hires)
	}
	first := len(o.hires)
	o.epoch = 4
	o.Reset()
	o.run(40)
	seen := map[string]bool{}
	for _, h := range o.hires {
		if seen[h] {
			t.Errorf("%s was used twice", h)
		}
		seen[h] = true
	}
	if len(o.hires) > first && !strings.HasPrefix(o.hires[first], "r-4-") {
		t.Errorf("names after a change of leader: %v", o.hires[first:])
	}
}

// What the cloud refuses is not asked for again at once, and not for ever.
func TestRefused(t *testing.T) {
	o := newOffice(t)
	o.full = true
	o.job("wk-1", 8)
	o.run(12)
	asked := len(o.hires)
	if asked == 0 || asked > 4 {
		t.Errorf("asked a full cloud %d times in a step", asked)
	}
	o.full = false
	o.run(60)
	if len(o.hires) == asked {
		t.Error("never asked again")
	}
}

// A rent that the cloud calls malformed is not sent alike at every step.
func TestMalformed(t *testing.T) {
	o := newOffice(t)
	o.wrong = true
	o.job("wk-1", 8)
	o.run(40)
	asked := len(o.hires)
	if asked == 0 || asked > 8 {
		t.Errorf("asked %d times in four steps", asked)
	}
	o.wrong = false
	o.run(90)
	if len(o.hires) == asked {
		t.Error("never asked again")
	}
}

// A machine that never comes up, one that stopped, one that is silent for long and
// one without a record that holds tasks are deleted; healthy ones are not.
func TestCondemns(t *testing.T) {
	o := newOffice(t)
	up := fleet.MachineRecord{State: fleet.Up, MachineType: "g4", Zone: "a"}
	for _, h := range []string{"i-1", "i-2", "i-3", "i-4", "i-5", "i-6"} {
		o.machine(h, up)
		o.listed = append(o.listed, fleet.ListedMachine{Name: h, MachineType: "g4", Zone: "a", Status: "running", AgeS: 500})
	}
	o.listed[1].Status = "failed"
	o.listed = append(
		o.listed,
		fleet.ListedMachine{Name: "i-7", MachineType: "g4", Zone: "a", Status: "booting", AgeS: 5000},
	)
	o.quiet["i-3"] = fleet.Unresponsiveness{Since: o.Now.Add(-time.Hour)}
	spec := jobs.Spec{
		ID:        "wk-9",
		Class:     "c",
		Team:      "t",
		Kind:      jobs.JobArray,
		Priority:  "standard",
		TaskCount: 1,
		Cores:     1,
		MemoryGB:  1,
		Image:     "b",
	}
	_ = o.ApplyJob("wk-9", jobs.Encode(jobs.Record{State: jobs.Live, Spec: spec}))
	_, _ = o.ApplyTaskRange(
		"task/wk-9/0",
		jobs.EncodeTaskRange([]jobs.Task{{State: jobs.Placed, Machine: "i-99", Attempt: 1}}, 8192),
	)
	o.run(9)
	got := map[string]bool{}
	for _, h := range o.gone {
		got[h] = true
	}
	for _, h := range []string{"i-2", "i-3", "i-7", "i-99"} {
		if !got[h] {
			t.Errorf("%s was not deleted: %v", h, o.gone)
		}
	}
	for _, h := range []string{"i-1", "i-4", "i-5", "i-6"} {
		if got[h] {
			t.Errorf("%s was deleted", h)
		}
	}
	freed := false
	for _, d := range o.taken {
		for _, c := range d.Changes {
			freed = freed || c.Task.ID == "wk-9/0"
		}
	}
	if !freed {
		t.Error("what was on a deleted machine was not freed")
	}
}

// A controller that has lost the workers must not have all its machines deleted.
func TestManySilent(t *testing.T) {
	o := newOffice(t)
	for i := range 20 {
		h := fmt.Sprint("i-", i)
		o.machine(h, fleet.MachineRecord{State: fleet.Up, MachineType: "g4", Zone: []string{"a", "b"}[i%2]})
		o.listed = append(
			o.listed,
			fleet.ListedMachine{Name: h, MachineType: "g4", Zone: []string{"a", "b"}[i%2], Status: "running", AgeS: 500},
		)
		if i < 18 {
			o.quiet[h] = fleet.Unresponsiveness{Since: o.Now.Add(-20 * time.Second)}
		}
	}
	o.run(9)
	if len(o.gone) > 0 {
		t.Errorf("deleted %v", o.gone)
	}
}

// The summary fits into values whatever it holds, and nothing of it is lost: 4,000 machines
// that drain at once and as many just rented.
func TestSummaryFits(t *testing.T) {
	for _, c := range []struct {
		name                    string
		drain, rents, limit     int
		parts                   int
		firstDrains, firstRents bool
	}{
		{"empty", 0, 0, 8 << 10, 1, false, false},
		{"one value", 300, 5, 8 << 10, 1, true, true},
		{"draining", 2000, 0, 8 << 10, 4, true, false},
		{"rents", 0, 2000, 8 << 10, 23, false, true},
		{"4000 machines", 4000, 80, 8 << 10, 13, true, false},
		{"4000 machines in larger values", 4000, 80, 16 << 10, 7, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := newOffice(t)
			o.ValueBytes = c.limit
			sum := Summary{Step: 5, History: map[string][]float64{"g4": {1, 2, 3}}, Drain: fleet.Draining{}}
			for i := range c.drain {
				sum.Drain[fmt.Sprintf("i-%06d", i)] = 1 + i%3
			}
			for i := range c.rents {
				a := asked{Hire: fmt.Sprint("r-", i), Build: "g4", AtMs: int64(i)}
				for k := range min(tuning.MaxRentMachines, 4000/c.rents) {
					a.Hosts = append(a.Hosts, fmt.Sprintf("i-%06d", i*tuning.MaxRentMachines+k))
				}
				sum.Asked = append(sum.Asked, a)
			}
			writes := o.summaryWrites(sum)
			if len(writes) != c.parts || writes[len(writes)-1].Put != SummaryKey {
				t.Errorf("%d values, the last is %s", len(writes), writes[len(writes)-1].Put)
			}
			var first Summary // all that a controller of the former version reads
			for _, w := range writes {
				if len(w.Value) > o.ValueBytes {
					t.Errorf("%d bytes in %s", len(w.Value), w.Put)
				}
				o.ApplySummary(w.Put, w.Value)
				if w.Put == "scaler" {
					if err := json.Unmarshal(w.Value, &first); err != nil {
						t.Error(err)
					}
				}
			}
			if !maps.Equal(o.Summary.Drain, sum.Drain) || o.Summary.Step != 5 || len(o.Summary.History) != 1 ||
				!slices.EqualFunc(o.Summary.Asked, sum.Asked, func(a, b asked) bool { return reflect.DeepEqual(a, b) }) {
				t.Errorf("%d machines drain, %d rents, step %d", len(o.Summary.Drain), len(o.Summary.Asked), o.Summary.Step)
			}
			if first.Step != 5 || len(first.History) != 1 || (len(first.Drain) > 0) != c.firstDrains ||
				(len(first.Asked) > 0) != c.firstRents {
				t.Errorf(
					"the first value has step %d, %d machines that drain, %d rents",
					first.Step,
					len(first.Drain),
					len(first.Asked),
				)
			}
			// Less is left: what is needed no more goes, and nothing of it counts meanwhile or later.
			for i, w := range o.summaryWrites(Summary{Step: 6, Drain: fleet.Draining{"i-1": 2}}) {
				if (i == 0) != (w.Put == SummaryKey) {
					t.Errorf("change %d is of %s", i, w.Put+w.Remove)
				}
				o.ApplySummary(w.Put+w.Remove, w.Value)
			}
			if len(o.Summary.Drain) != 1 || len(o.Summary.Asked) != 0 {
				t.Errorf("%d machines drain, %d rents are left", len(o.Summary.Drain), len(o.Summary.Asked))
			}
		})
	}
}

// What a leader of the former version leaves of further parts counts for nothing: it writes
// the first alone.
func TestSummaryOfFormerVersion(t *testing.T) {
	o := newOffice(t)
	sum := Summary{Step: 5, Drain: fleet.Draining{}}
	for i := range 4000 {
		sum.Drain[fmt.Sprintf("i-%06d", i)] = 1
	}
	for _, w := range o.summaryWrites(sum) {
		o.ApplySummary(w.Put, w.Value)
	}
	for step, drains := range map[uint64]bool{6: true, 7: false, 4: true, 3: false} {
		o.ApplySummary("scaler", jobs.Encode(Summary{Step: step}))
		if (len(o.Summary.Drain) > 0) != drains {
			t.Errorf("at step %d %d machines drain", step, len(o.Summary.Drain))
		}
	}
	o.ApplySummary("scaler", jobs.Encode(Summary{Step: 7, Drain: fleet.Draining{"i-1": 1}}))
	if writes := o.summaryWrites(
		Summary{Step: 8},
	); len(writes) != 7 || writes[0].Put != "scaler" ||
		writes[6].Remove != "scaler/more:7" {
		t.Errorf("%d changes clear them", len(writes))
	}
	before := o.Summary.Step
	o.ApplySummary("scaler", []byte("7"))
	o.ApplySummary("scaler/more:2", []byte("7"))
	o.ApplySummary("scaler", nil)
	if o.Summary.Step != before {
		t.Error("nonsense was read")
	}
	for _, key := range []string{"scaler/more:1", "scaler/more:x", "scaler/2", "scalers", "scaler/more:"} {
		if IsSummaryKey(key) {
			t.Errorf("%s is none of its keys", key)
		}
	}
}

// 4,000 machines that nobody needs drain together, and are then given up to be deleted.
func TestDrain4000Machines(t *testing.T) {
	o := newOffice(t)
	for i := range 4000 {
		name := fmt.Sprintf("i-%06d", i)
		o.machine(name, fleet.MachineRecord{State: fleet.Up, MachineType: "g4", Zone: "a", SinceMs: o.NowMs() - 1e6})
		o.listed = append(
			o.listed,
			fleet.ListedMachine{Name: name, MachineType: "g4", Zone: "a", Status: "running", AgeS: 1000},
		)
	}
	most := 0
	for range 40 {
		o.run(1)
		most = max(most, len(o.Summary.Drain))
	}
	if most != 4000 {
		t.Errorf("%d machines drain at once", most)
	}
	deleting := 0
	for _, m := range o.Machines {
		if m.State == fleet.Deleting {
			deleting++
		}
	}
	if deleting != 4000 || len(o.Summary.Drain) != 0 {
		t.Errorf("%d machines are given up, %d still drain", deleting, len(o.Summary.Drain))
	}
}

// A controller that follows the cloud leads with the catalogue that it has read, and with
// the list if that was begun long enough after the former leader's last rent; an older
// list lacks what was rented, and is read again before anything is rented.
func TestWarm(t *testing.T) {
	for _, c := range []struct {
		rented time.Duration // before the list was read
		uses   bool
	}{{5 * time.Second, false}, {time.Minute, true}} {
		o := newOffice(t)
		o.listed = []fleet.ListedMachine{{Name: "i-1", MachineType: "g4", Zone: "a", Status: "running", AgeS: 100}}
		at := o.Now.Add(tuning.WarmEvery)
		for o.Now.Before(at) {
			o.Now = o.Now.Add(time.Second)
			o.FollowCloud(0)
		}
		o.Summary.Asked = []asked{
			{Hire: "r-1-1", Build: "g4", Site: "a", Count: 3, AtMs: o.warm.listAt.Add(-c.rented).UnixMilli()},
		}
		o.Reset()
		if !o.Priced() || o.Listed() != c.uses || !o.Counted() {
			t.Errorf("a rent %v before the list: priced %v, listed %v", c.rented, o.Priced(), o.Listed())
		}
		// What was followed long ago is not used.
		o.FollowCloud(0)
		o.Now = o.Now.Add(10 * tuning.WarmEvery)
		if o.Reset(); o.Priced() || o.Listed() {
			t.Error("what was read long ago is used")
		}
	}
}
