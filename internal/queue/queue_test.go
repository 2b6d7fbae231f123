package queue

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// desk is a queue over a book, which commits what it decides at once.
type desk struct {
	*Queue
	t      *testing.T
	budget int
	packs  bool
	keys   int
	taken  []decide.Decision
}

func newDesk(t *testing.T, teams map[string]quota.Team) *desk {
	d := &desk{t: t, budget: 1000}
	b := clusterstate.New(quota.Flat(teams), func(string) {})
	b.Now = time.UnixMilli(1e12)
	b.MachineTypes["g4"] = &jobs.MachineType{
		Name:         "g4",
		Cores:        32,
		Accelerators: 4,
		MemoryGB:     256,
		CacheGB:      100,
		ImageGBPerS:  1,
		Zones:        []string{"a", "b"},
	}
	d.Queue = New(b, Env{
		Name:           "n0",
		TxnOps:         16,
		ValueBytes:     8192,
		MaxRangeTasks:  30,
		UsesBatches:    func() bool { return d.packs },
		WriteRPS:       1000,
		Log:            slog.New(slog.DiscardHandler),
		Busy:           func(string) bool { return false },
		Allows:         func(spent, writes int) bool { return spent+writes <= d.budget },
		HasSpareWrites: func() bool { return true },
		Ready:          func(m *clusterstate.Machine) bool { return m.State == fleet.Up },
		CanPlace:       func(t *clusterstate.Task, m *clusterstate.Machine) bool { return clusterstate.FitsTask(t, m) },
		Commit:         d.commit,
	})
	return d
}

// batcherSide is what a batcher asks of the desk: every record is known at revision 1, and
// the budget allows all.
type batcherSide struct{ d *desk }

func (batcherSide) Revision(string) uint64      { return 1 }
func (batcherSide) Get(string) json.RawMessage  { return nil }
func (batcherSide) Allows(_, _ int) bool        { return true }
func (b batcherSide) Busy(key string) bool      { return b.d.Queue.Busy(key) }
func (b batcherSide) OwnsMachine(m string) bool { return b.d.Machines[m].Owner == "n0" }

func (b batcherSide) NewBatchKey() string {
	b.d.keys++
	return fmt.Sprint(taskbatch.KeyPrefix, b.d.keys)
}

func (b batcherSide) QuarantineDecision(decision *decide.Decision, reason error) {
	b.d.t.Error(decision, reason)
}

func (d *desk) commit(ds []decide.Decision) {
	d.taken = append(d.taken, ds...)
	p := decide.Batcher{
		Context: decide.TxnContext{
			Limits: store.Limits{
				Ops:           16,
				Preconditions: 64,
				BodyBytes:     64 << 10,
				ValueBytes:    8192,
			},
			Records:   batcherSide{d},
			Machines:  batcherSide{d},
			BatchKeys: batcherSide{d},
		},
		InFlight:   batcherSide{d},
		Budget:     batcherSide{d},
		Quarantine: batcherSide{d},
	}
	for _, b := range p.Build(ds) {
		for _, w := range b.Txn.Writes {
			if strings.HasPrefix(decide.WriteKey(w), taskbatch.KeyPrefix) {
				if _, err := d.ApplyBatch(decide.WriteKey(w), w.Value, uint64(d.keys)); err != nil {
					d.t.Error(err)
				}
			}
			if fleet.ClaimsNumber(decide.WriteKey(w)) > 0 {
				if err := d.ApplyClaims(decide.WriteKey(w), w.Value); err != nil {
					d.t.Error(err)
				}
			}
			if strings.HasPrefix(decide.WriteKey(w), jobs.TaskPrefix) {
				if _, err := d.ApplyTaskRange(decide.WriteKey(w), w.Value); err != nil {
					d.t.Error(err)
				}
			}
		}
		for _, x := range b.Decisions {
			if x.OnSettled != nil {
				x.OnSettled(true)
			}
		}
	}
	for _, bad := range d.Audit() {
		d.t.Error(bad)
	}
}

func (d *desk) machine(name, owner, zone string) {
	if err := d.ApplyMachine(
		name,
		owner,
		jobs.Encode(fleet.MachineRecord{State: fleet.Up, MachineType: "g4", Zone: zone}),
	); err != nil {
		d.t.Fatal(err)
	}
}

func (d *desk) job(jobID, owner, priority string, pieces int, change func(*jobs.Spec)) {
	spec := jobs.Spec{
		ID:           jobID,
		Class:        "c",
		Team:         owner,
		Kind:         jobs.JobArray,
		Priority:     priority,
		TaskCount:    pieces,
		Cores:        2,
		Accelerators: 1,
		MemoryGB:     8,
		Image:        "b",
	}
	if change != nil {
		change(&spec)
	}
	if err := d.ApplyJob(
		jobID,
		jobs.Encode(jobs.Record{State: jobs.Live, AcceptedMs: d.NowMs(), Spec: spec}),
	); err != nil {
		d.t.Fatal(err)
	}
}

// where lists on which machines a job's tasks are, or are to be.
func (d *desk) where(jobID string) string {
	var out []string
	for _, t := range d.Jobs[jobID].Tasks {
		out = append(out, t.Machine+t.PreferredMachine)
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

var teams = map[string]quota.Team{
	"a": {Name: "a", Guaranteed: quota.Of(0, 2, 0), Max: quota.Of(0, 6, 0)},
	"b": {Name: "b"},
}

// What one look gives to one part is one pack, whatever jobs it is of; gangs and
// services keep slices of their own, and a task that failed leaves its pack for one of
// the part that it goes to.
func TestPacked(t *testing.T) {
	d := newDesk(t, map[string]quota.Team{"b": {Name: "b"}})
	d.packs = true
	d.machine("i-1", "n0", "a")
	d.machine("i-2", "n1", "a")
	for i := range 4 {
		d.job(fmt.Sprint("wk-", i), "b", "standard", 1, nil)
	}
	d.job("wk-9", "b", "urgent", 2, func(s *jobs.Spec) { s.Kind = jobs.Service })
	d.Release()
	if len(d.Batches) != 2 || len(d.Jobs["wk-9"].Ranges) == 0 {
		t.Fatalf("%d packs, %d slices of a service", len(d.Batches), len(d.Jobs["wk-9"].Ranges))
	}
	var on *clusterstate.Task
	for _, sl := range d.Batches {
		for _, x := range sl.Tasks {
			if m := d.Machines[x.Machine+x.PreferredMachine]; x.Job.ID == "wk-9" ||
				m.Owner != d.Machines[sl.Tasks[0].Machine+sl.Tasks[0].PreferredMachine].Owner {
				t.Errorf("%s in a pack with %s", x.ID, sl.Tasks[0].ID)
			}
			if x.OnMachine() && x.Machine == "i-1" {
				on = x
			}
		}
	}
	if on == nil {
		t.Fatal("none placed by the leader in its own part")
	}
	jobID, n, from := on.Job.ID, on.Index, on.Stored.Key
	failed, _ := jobs.NextTask(on.Task, jobs.TaskEvent{Kind: jobs.Fail})
	d.commit([]decide.Decision{{Changes: decide.TransitionTask(on, failed)}})
	d.Now = d.Now.Add(time.Hour)
	d.Release()
	again := d.Jobs[jobID].Tasks[n]
	if again.Stored.Key == from || again.Machine+again.PreferredMachine != "i-2" ||
		again.State == jobs.Placed && again.Attempt != 2 {
		t.Errorf("%+v in %s", again.Task, again.Stored.Key)
	}
	// A pack that can't be read may hold any task of its jobs.
	d.job("wk-8", "b", "prod", 1, nil)
	_, _ = d.ApplyBatch("pack/odd", []byte(`{"v":9,"jobs":"wk-8"}`), 99)
	d.machine("i-3", "n0", "a")
	d.Release()
	if got := len(d.Jobs["wk-8"].Tasks); got != 0 {
		t.Errorf("%d tasks begun that an unreadable pack may hold", got)
	}
}

func TestRelease(t *testing.T) {
	d := newDesk(t, teams)
	d.machine("i-1", "n0", "a")
	d.machine("i-2", "n1", "b")
	d.job("wk-1", "b", "standard", 2, nil)
	d.job("wk-2", "a", "standard", 9, nil)
	d.job("wk-3", "b", "urgent", 1, func(s *jobs.Spec) { s.Zone = "b" })
	d.job("wk-4", "b", "idle", 5, nil)
	d.Release()
	// Urgent first; then a's guarantee of 2, a's next up to its limit of 6, then b.
	if got := d.where("wk-3"); got != "i-2" {
		t.Errorf("urgent: %s", got)
	}
	if got := len(d.Jobs["wk-2"].Tasks); got != 6 {
		t.Errorf("a has %d of its 6", got)
	}
	if got := len(d.Jobs["wk-4"].Tasks); got != 0 {
		t.Errorf("idle work took %d places before others", got)
	}
	if placed := d.Jobs["wk-2"].PlacedCount; placed == 0 || placed == 6 {
		t.Errorf("%d placed at once; those of the other part are only released", placed)
	}
	// What the owner of the other part does with what it was given.
	d.Name = "n1"
	d.commit(d.Place())
	if got := d.Jobs["wk-2"].PlacedCount; got != 6 {
		t.Errorf("%d on machines", got)
	}
	if len(d.Waiting) == 0 || d.Waiting[0].Task.Job.ID == "wk-2" {
		t.Errorf("what waits: %+v", d.Waiting)
	}
}

func TestZonesAndGangs(t *testing.T) {
	d := newDesk(t, teams)
	d.machine("i-1", "n0", "a")
	d.machine("i-2", "n0", "b")
	d.job("wk-1", "b", "standard", 3, func(s *jobs.Spec) { s.SpreadZones = true })
	d.job("wk-2", "b", "standard", 2, func(s *jobs.Spec) { s.Kind, s.SameZone = jobs.Gang, true })
	d.job("wk-3", "b", "standard", 4, func(s *jobs.Spec) { s.Kind = jobs.Gang })
	d.Release()
	zones := d.TasksByZone(d.Jobs["wk-1"])
	if zones["a"] > 2 || zones["b"] > 2 || zones["a"]+zones["b"] != 3 {
		t.Errorf("scattered over %v", zones)
	}
	if got := d.where("wk-2"); got != "i-1 i-1" && got != "i-2 i-2" {
		t.Errorf("same place: %s", got)
	}
	if got := d.where("wk-3"); got != "" {
		t.Errorf("a gang of four with three places: %s", got)
	}
}

// Urgent work stops what is idle, the youngest first, and no more than it needs.
func TestPreempt(t *testing.T) {
	d := newDesk(t, teams)
	d.machine("i-1", "n0", "a")
	d.job("wk-1", "b", "idle", 2, nil)
	d.Release()
	d.Now = d.Now.Add(time.Minute)
	d.job("wk-2", "b", "idle", 2, nil)
	d.Release()
	d.Now = d.Now.Add(time.Minute)
	d.job("wk-3", "b", "urgent", 1, nil)
	d.Release()
	stopping := func() (out []string) {
		for jobID, j := range d.Jobs {
			for _, x := range j.Tasks {
				if x.State == jobs.Stopping {
					out = append(out, jobID)
				}
			}
		}
		return out
	}
	if got := fmt.Sprint(stopping()); got != "[wk-2]" {
		t.Errorf("stopped: %s", got)
	}
	d.Release()
	if got := len(stopping()); got != 1 {
		t.Errorf("%d stopped for one", got)
	}
}

// Without a budget only the first few are looked at: what would be decided could not
// be committed.
func TestNoBudgetNoLook(t *testing.T) {
	d := newDesk(t, teams)
	d.machine("i-1", "n0", "a")
	d.budget = 0
	for i := range 2 * tuning.MaxExaminedJobs {
		d.job(fmt.Sprintf("wk-%d", i), "b", "standard", 1, nil)
	}
	d.Release()
	if len(d.taken) == 0 || len(d.taken)+len(d.Waiting) > tuning.MaxExaminedJobs {
		t.Errorf("%d decisions, %d that wait, of %d looks", len(d.taken), len(d.Waiting), tuning.MaxExaminedJobs)
	}
}

// A large gang is overdue once the last of its class's aims for starting has passed, and
// after GangOverdue in any case; smaller ones never are.
func TestGangsOverdueByTheirAims(t *testing.T) {
	d := newDesk(t, map[string]quota.Team{"b": {Name: "b"}})
	gang := func(class string, pieces int) func(*jobs.Spec) {
		return func(s *jobs.Spec) { s.Kind, s.Class, s.TaskCount = jobs.Gang, class, pieces }
	}
	for _, o := range []settings.Objective{{Kind: "wait", Class: "soon", WithinS: 90}, {Kind: "wait", Class: "soon", WithinS: 50}, {Kind: "wait", Class: "late", WithinS: 150}, {Kind: "wait", Class: "at-once", WithinS: 10}} {
		d.Objectives = append(d.Objectives, o)
	}
	after := map[string]int{"soon": 100, "late": 160, "at-once": 160, "none": 160}
	for class := range after {
		d.job("wk-"+class, "b", "standard", 16, gang(class, 16))
		d.job("wk-small-"+class, "b", "standard", 4, gang(class, 4))
	}
	begin := d.Now
	for _, s := range []int{0, 99, 101, 159, 161, 500} {
		d.Now = begin.Add(time.Duration(s) * time.Second)
		for class, from := range after {
			if got := d.Overdue(d.Jobs["wk-"+class]); got != (s >= from) {
				t.Errorf("%s after %d s: overdue %v", class, s, got)
			}
			if d.Overdue(d.Jobs["wk-small-"+class]) {
				t.Errorf("a gang of four is overdue after %d s", s)
			}
		}
	}
}

// Gangs may claim 4,000 machines, one all of them or several their shares; each claim is
// one transaction, holds as it was asked for, and goes whole. What no transaction holds is
// refused, and nothing is claimed by halves.
func TestClaims4000Machines(t *testing.T) {
	machines := func(from, to, width int) []string {
		var out []string
		for i := from; i < to; i++ {
			out = append(out, fmt.Sprintf("i-%0*d", width, i))
		}
		return out
	}
	for _, c := range []struct {
		name   string
		gangs  [][]string
		held   int // gangs
		values int
	}{
		{"one small", [][]string{machines(0, 100, 6)}, 1, 1},
		{"all that a value holds", [][]string{machines(0, 742, 6)}, 1, 1},
		{"one more", [][]string{machines(0, 744, 6)}, 1, 2},
		{"one of 4000", [][]string{machines(0, 4000, 6)}, 1, 6},
		{"three of a third", [][]string{machines(0, 1333, 6), machines(1333, 2666, 6), machines(2666, 4000, 6)}, 3, 6},
		{"one of 4000, names of 12 bytes", [][]string{machines(0, 4000, 10)}, 1, 8},
		{"long names", [][]string{machines(0, 200, 6), machines(200, 4000, 140)}, 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDesk(t, map[string]quota.Team{"t": {Name: "t"}})
			held := 0
			for i, gang := range c.gangs {
				jobID := fmt.Sprintf("wk-%06d", i)
				d.claim(jobID, gang, func(ok bool) {
					if !ok {
						return
					}
					held++
					if !slices.Equal(d.MachineClaims[jobID], gang) {
						t.Errorf("%d machines are claimed", len(d.MachineClaims[jobID]))
					}
				})
			}
			if held != c.held || len(d.claimValues) != c.values {
				t.Errorf("%d gangs hold their machines, in %d values", held, len(d.claimValues))
			}
			machines := 0
			for _, gang := range c.gangs[:c.held] {
				machines += len(gang)
			}
			if len(d.ClaimedBy) != machines {
				t.Errorf("%d machines are claimed, not %d", len(d.ClaimedBy), machines)
			}
			for _, x := range d.taken {
				if len(x.Writes) == 0 || x.Writes[0].Put != "claims" {
					t.Errorf("a claim without the first value, whose stamp speaks for it: %v", x.Writes)
				}
			}
			clear(d.claims)
			if d.ReconcileClaims(); len(d.claimValues) != 0 || len(d.ClaimedBy) != 0 {
				t.Errorf("%d values and %d machines are left", len(d.claimValues), len(d.ClaimedBy))
			}
		})
	}
}

// A leader of the former version writes the first value alone: the others count for nothing,
// and go with the next write. Its reading of the first is that of a shorter claim.
func TestClaimsOfFormerVersion(t *testing.T) {
	d := newDesk(t, map[string]quota.Team{"t": {Name: "t"}})
	var gang []string
	for i := range 2000 {
		gang = append(gang, fmt.Sprintf("i-%06d", i))
	}
	d.claim("wk-000001", gang, func(bool) {})
	former, err := fleet.DecodeClaims(d.taken[0].Writes[0].Value)
	if err != nil || len(former) != 2 || len(former["wk-000001"]) < 500 ||
		!slices.Equal(former["more"], []string{"2", "3"}) {
		t.Errorf("%d machines, more %v, %v", len(former["wk-000001"]), former["more"], err)
	}
	clear(d.claims)
	if err := d.ApplyClaims(
		"claims",
		[]byte(`{"wk-000002":["i-1"]}`),
	); err != nil || len(d.ClaimedBy) != 1 ||
		len(d.claimValues) != 3 {
		t.Errorf("%d machines claimed, %d values, %v", len(d.ClaimedBy), len(d.claimValues), err)
	}
	if d.ReconcileClaims(); len(d.claimValues) != 0 {
		t.Errorf("%d values are left", len(d.claimValues))
	}
	if d.ApplyClaims("claims", []byte("7")) == nil || len(d.ClaimedBy) != 0 {
		t.Error("nonsense was read")
	}
}
