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
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// testQueue is a queue over a cluster state, which commits what it decides at once.
type testQueue struct {
	*Queue
	t             *testing.T
	writeBudget   int
	usesBatches   bool
	batchKeyCount int
	committed     []decide.Decision
}

func newTestQueue(t *testing.T, teams map[string]quota.Team) *testQueue {
	t.Helper()
	d := &testQueue{t: t, writeBudget: 1000}
	state := clusterstate.New(quota.Flat(teams), func(string) {})
	state.Now = time.UnixMilli(1e12)
	state.MachineTypes["g4"] = &jobs.MachineType{
		Name:         "g4",
		Cores:        32,
		Accelerators: 4,
		MemoryGB:     256,
		CacheGB:      100,
		ImageGBPerS:  1,
		Zones:        []string{"a", "b"},
	}
	d.Queue = New(state,
		Config{
			Name:          "n0",
			MaxTxnWrites:  16,
			MaxValueBytes: 8192,
			MaxRangeTasks: 30,
			MaxWritesPerS: 1000,
			Log:           slog.New(slog.DiscardHandler),
		},
		Collaborators{Budget: d, Commits: d, Machines: d, Cluster: d},
	)
	return d
}

func (d *testQueue) Busy(string) bool                   { return false }
func (d *testQueue) Allows(spent, writes int) bool      { return spent+writes <= d.writeBudget }
func (d *testQueue) HasSpareWrites() bool               { return true }
func (d *testQueue) Ready(m *clusterstate.Machine) bool { return m.State == fleet.Up }
func (d *testQueue) UsesBatches() bool                  { return d.usesBatches }
func (d *testQueue) HasLeftView(string) bool            { return false }

func (d *testQueue) CanPlace(task *clusterstate.Task, m *clusterstate.Machine) bool {
	return clusterstate.FitsTask(task, m)
}

// batcherSide is what a batcher asks of the queue under test: every record is known at revision 1, and
// the budget allows all.
type batcherSide struct{ queue *testQueue }

func (batcherSide) Revision(string) uint64         { return 1 }
func (batcherSide) Get(string) json.RawMessage     { return nil }
func (batcherSide) Allows(_, _ int) bool           { return true }
func (b batcherSide) Busy(key string) bool         { return b.queue.Busy(key) }
func (b batcherSide) OwnsMachine(name string) bool { return b.queue.state.Machines[name].Owner == "n0" }

func (b batcherSide) NewBatchKey() string {
	b.queue.batchKeyCount++
	return fmt.Sprint(taskbatch.KeyPrefix, b.queue.batchKeyCount)
}

func (b batcherSide) QuarantineDecision(decision *decide.Decision, reason error) {
	b.queue.t.Error(decision, reason)
}

// Commit builds transactions of the decisions, applies what they write, and settles them.
func (d *testQueue) Commit(decisions []decide.Decision) {
	d.committed = append(d.committed, decisions...)
	side := batcherSide{d}
	batcher := decide.Batcher{
		Context: decide.TxnContext{
			Limits: store.Limits{
				Ops:           16,
				Preconditions: 64,
				BodyBytes:     64 << 10,
				ValueBytes:    8192,
			},
			Records:   side,
			Machines:  side,
			BatchKeys: side,
		},
		InFlight:   side,
		Budget:     side,
		Quarantine: side,
	}
	for _, b := range batcher.Build(decisions) {
		for _, w := range b.Txn.Writes {
			if strings.HasPrefix(decide.WriteKey(w), taskbatch.KeyPrefix) {
				if _, err := d.state.ApplyBatch(decide.WriteKey(w), w.Value, uint64(d.batchKeyCount)); err != nil {
					d.t.Error(err)
				}
			}
			if fleet.ClaimsNumber(decide.WriteKey(w)) > 0 {
				if err := d.ApplyClaims(decide.WriteKey(w), w.Value); err != nil {
					d.t.Error(err)
				}
			}
			if strings.HasPrefix(decide.WriteKey(w), jobs.TaskPrefix) {
				if _, err := d.state.ApplyTaskRange(decide.WriteKey(w), w.Value); err != nil {
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
	for _, bad := range d.state.Audit() {
		d.t.Error(bad)
	}
}

func (d *testQueue) machine(name, owner, zone string) {
	if err := d.state.ApplyMachine(
		name,
		owner,
		jobs.Encode(fleet.MachineRecord{State: fleet.Up, MachineType: "g4", Zone: zone}),
	); err != nil {
		d.t.Fatal(err)
	}
}

func (d *testQueue) job(jobID, team, priority string, taskCount int, change func(*jobs.Spec)) {
	spec := jobs.Spec{
		ID:           jobID,
		Class:        "c",
		Team:         team,
		Kind:         jobs.JobArray,
		Priority:     priority,
		TaskCount:    taskCount,
		Cores:        2,
		Accelerators: 1,
		MemoryGB:     8,
		Image:        "b",
	}
	if change != nil {
		change(&spec)
	}
	if err := d.state.ApplyJob(
		jobID,
		jobs.Encode(jobs.Record{State: jobs.Live, AcceptedMs: d.state.NowMs(), Spec: spec}),
	); err != nil {
		d.t.Fatal(err)
	}
}

// where lists on which machines a job's tasks are, or are to be.
func (d *testQueue) where(jobID string) string {
	var out []string
	for _, task := range d.state.Jobs[jobID].Tasks {
		out = append(out, task.Machine+task.PreferredMachine)
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

var teams = map[string]quota.Team{
	"a": {Name: "a", Guaranteed: quota.Of(0, 2, 0), Max: quota.Of(0, 6, 0)},
	"b": {Name: "b"},
}

// What one cycle releases to one shard is one batch record, whatever jobs it is of; gangs and
// services keep task ranges of their own, and a task that failed leaves its batch for one of the shard
// that it goes to.
func TestReleaseWritesOneBatchPerShard(t *testing.T) {
	d := newTestQueue(t, map[string]quota.Team{"b": {Name: "b"}})
	d.usesBatches = true
	d.machine("i-1", "n0", "a")
	d.machine("i-2", "n1", "a")
	for i := range 4 {
		d.job(fmt.Sprint("wk-", i), "b", "standard", 1, nil)
	}
	d.job("wk-9", "b", "urgent", 2, func(s *jobs.Spec) { s.Kind = jobs.Service })
	d.RunCycle()
	if len(d.state.Batches) != 2 || len(d.state.Jobs["wk-9"].Ranges) == 0 {
		t.Fatalf("%d batches, %d task ranges of a service", len(d.state.Batches), len(d.state.Jobs["wk-9"].Ranges))
	}
	placed := d.batchedTaskOn("i-1", "wk-9")
	if placed == nil {
		t.Fatal("none placed by the leader in its own shard")
	}
	jobID, index, key := placed.Job.ID, placed.Index, placed.StoredIn.Key
	failed, _ := jobs.NextTask(placed.Task, jobs.TaskEvent{Kind: jobs.Fail})
	d.Commit([]decide.Decision{{Changes: decide.TransitionTask(placed, failed)}})
	d.state.Now = d.state.Now.Add(time.Hour)
	d.RunCycle()
	again := d.state.Jobs[jobID].Tasks[index]
	if again.StoredIn.Key == key || again.Machine+again.PreferredMachine != "i-2" ||
		again.State == jobs.Placed && again.Attempt != 2 {
		t.Errorf("%+v in %s", again.Task, again.StoredIn.Key)
	}
	// A batch that can't be read may hold any task of its jobs.
	d.job("wk-8", "b", "prod", 1, nil)
	_, _ = d.state.ApplyBatch("pack/odd", []byte(`{"v":9,"jobs":"wk-8"}`), 99)
	d.machine("i-3", "n0", "a")
	d.RunCycle()
	if got := len(d.state.Jobs["wk-8"].Tasks); got != 0 {
		t.Errorf("%d tasks begun that an unreadable batch may hold", got)
	}
}

// batchedTaskOn returns a task that a batch record has on a machine. It fails the test if a batch
// holds tasks of two shards, or any of unbatchedJob.
func (d *testQueue) batchedTaskOn(machineName, unbatchedJob string) *clusterstate.Task {
	d.t.Helper()
	controller := func(task *clusterstate.Task) string {
		return d.state.Machines[task.Machine+task.PreferredMachine].Owner
	}
	var found *clusterstate.Task
	for _, batch := range d.state.Batches {
		first := batch.Tasks[0]
		for _, task := range batch.Tasks {
			if task.Job.ID == unbatchedJob || controller(task) != controller(first) {
				d.t.Errorf("%s in a batch with %s", task.ID, first.ID)
			}
			if task.OnMachine() && task.Machine == machineName {
				found = task
			}
		}
	}
	return found
}

// Urgent work goes first, then what is within a guarantee, then others up to their limits; what
// finds no room waits.
func TestReleaseByPriorityGuaranteeAndLimit(t *testing.T) {
	d := newTestQueue(t, teams)
	d.machine("i-1", "n0", "a")
	d.machine("i-2", "n1", "b")
	d.job("wk-1", "b", "standard", 2, nil)
	d.job("wk-2", "a", "standard", 9, nil)
	d.job("wk-3", "b", "urgent", 1, func(s *jobs.Spec) { s.Zone = "b" })
	d.job("wk-4", "b", "idle", 5, nil)
	d.RunCycle()
	// Urgent first; then a's guarantee of 2, a's next up to its limit of 6, then b.
	if got := d.where("wk-3"); got != "i-2" {
		t.Errorf("urgent: %s", got)
	}
	if got := len(d.state.Jobs["wk-2"].Tasks); got != 6 {
		t.Errorf("a has %d of its 6", got)
	}
	if got := len(d.state.Jobs["wk-4"].Tasks); got != 0 {
		t.Errorf("idle work took %d places before others", got)
	}
	if placed := d.state.Jobs["wk-2"].PlacedCount; placed == 0 || placed == 6 {
		t.Errorf("%d placed at once; those of the other shard are only released", placed)
	}
	// What the owner of the other shard does with what was released to it.
	d.config.Name = "n1"
	d.Commit(d.Place())
	if got := d.state.Jobs["wk-2"].PlacedCount; got != 6 {
		t.Errorf("%d on machines", got)
	}
	if len(d.Waiting) == 0 || d.Waiting[0].Task.Job.ID == "wk-2" {
		t.Errorf("what waits: %+v", d.Waiting)
	}
}

func TestReleaseKeepsZoneRulesAndGangsWhole(t *testing.T) {
	d := newTestQueue(t, teams)
	d.machine("i-1", "n0", "a")
	d.machine("i-2", "n0", "b")
	d.job("wk-1", "b", "standard", 3, func(s *jobs.Spec) { s.SpreadZones = true })
	d.job("wk-2", "b", "standard", 2, func(s *jobs.Spec) { s.Kind, s.SameZone = jobs.Gang, true })
	d.job("wk-3", "b", "standard", 4, func(s *jobs.Spec) { s.Kind = jobs.Gang })
	d.RunCycle()
	zones := d.state.TasksByZone(d.state.Jobs["wk-1"])
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

// An urgent task preempts idle work, the youngest first, and no more than it needs.
func TestUrgentTaskPreemptsYoungestIdleTaskOnce(t *testing.T) {
	d := newTestQueue(t, teams)
	d.machine("i-1", "n0", "a")
	d.job("wk-1", "b", "idle", 2, nil)
	d.RunCycle()
	d.state.Now = d.state.Now.Add(time.Minute)
	d.job("wk-2", "b", "idle", 2, nil)
	d.RunCycle()
	d.state.Now = d.state.Now.Add(time.Minute)
	d.job("wk-3", "b", "urgent", 1, nil)
	d.RunCycle()
	stopping := func() (out []string) {
		for jobID, job := range d.state.Jobs {
			for _, task := range job.Tasks {
				if task.State == jobs.Stopping {
					out = append(out, jobID)
				}
			}
		}
		return out
	}
	if got := fmt.Sprint(stopping()); got != "[wk-2]" {
		t.Errorf("stopped: %s", got)
	}
	d.RunCycle()
	if got := len(stopping()); got != 1 {
		t.Errorf("%d stopped for one", got)
	}
}

// Without a write budget only the first few jobs are examined: what would be decided could not be
// committed.
func TestWithoutWriteBudgetFewJobsAreExamined(t *testing.T) {
	d := newTestQueue(t, teams)
	d.machine("i-1", "n0", "a")
	d.writeBudget = 0
	for i := range 2 * tuning.MaxExaminedJobs {
		d.job(fmt.Sprintf("wk-%d", i), "b", "standard", 1, nil)
	}
	d.RunCycle()
	if len(d.committed) == 0 || len(d.committed)+len(d.Waiting) > tuning.MaxExaminedJobs {
		t.Errorf("%d decisions, %d jobs that wait, of %d examined", len(d.committed), len(d.Waiting), tuning.MaxExaminedJobs)
	}
}
