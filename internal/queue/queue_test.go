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

// testQueue is a queue over its own cluster state. It implements the collaborators of the queue and
// commits decisions at once.
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
	q := &testQueue{t: t, writeBudget: 1000}
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
	q.Queue = New(state,
		Config{
			Name:          "n0",
			MaxTxnWrites:  16,
			MaxValueBytes: 8192,
			MaxRangeTasks: 30,
			MaxWritesPerS: 1000,
			Log:           slog.New(slog.DiscardHandler),
		},
		Collaborators{Budget: q, Commits: q, Machines: q, Cluster: q},
	)
	return q
}

func (q *testQueue) Busy(string) bool                   { return false }
func (q *testQueue) Allows(planned, writes int) bool    { return planned+writes <= q.writeBudget }
func (q *testQueue) HasSpareWrites() bool               { return true }
func (q *testQueue) Ready(m *clusterstate.Machine) bool { return m.State == fleet.Up }
func (q *testQueue) UsesBatches() bool                  { return q.usesBatches }
func (q *testQueue) HasLeftView(string) bool            { return false }

func (q *testQueue) CanPlace(task *clusterstate.Task, m *clusterstate.Machine) bool {
	return clusterstate.SatisfiesConstraints(task, m)
}

// batcherDeps implements what a batcher needs for the queue under test: every record is
// known at revision 1, and the budget allows every write.
type batcherDeps struct{ queue *testQueue }

func (batcherDeps) Revision(string) uint64         { return 1 }
func (batcherDeps) Get(string) json.RawMessage     { return nil }
func (batcherDeps) Allows(_, _ int) bool           { return true }
func (b batcherDeps) Busy(key string) bool         { return b.queue.Busy(key) }
func (b batcherDeps) OwnsMachine(name string) bool { return b.queue.state.Machines[name].Owner == "n0" }

func (b batcherDeps) NewBatchKey() string {
	b.queue.batchKeyCount++
	return fmt.Sprint(taskbatch.KeyPrefix, b.queue.batchKeyCount)
}

func (b batcherDeps) QuarantineDecision(decision *decide.Decision, reason error) {
	b.queue.t.Error(decision, reason)
}

// Commit builds transactions from the decisions, applies their writes to the cluster state, and
// settles the decisions.
func (q *testQueue) Commit(decisions []decide.Decision) {
	q.committed = append(q.committed, decisions...)
	deps := batcherDeps{q}
	batcher := decide.Batcher{
		Context: decide.TxnContext{
			Limits: store.Limits{
				Ops:           16,
				Preconditions: 64,
				BodyBytes:     64 << 10,
				ValueBytes:    8192,
			},
			Records:   deps,
			Machines:  deps,
			BatchKeys: deps,
		},
		InFlight:   deps,
		Budget:     deps,
		Quarantine: deps,
	}
	for _, txn := range batcher.Build(decisions) {
		for _, w := range txn.Txn.Writes {
			if strings.HasPrefix(decide.WriteKey(w), taskbatch.KeyPrefix) {
				if _, err := q.state.ApplyBatch(decide.WriteKey(w), w.Value, uint64(q.batchKeyCount)); err != nil {
					q.t.Error(err)
				}
			}
			if fleet.ClaimsNumber(decide.WriteKey(w)) > 0 {
				if err := q.ApplyClaims(decide.WriteKey(w), w.Value); err != nil {
					q.t.Error(err)
				}
			}
			if strings.HasPrefix(decide.WriteKey(w), jobs.TaskPrefix) {
				if _, err := q.state.ApplyTaskRange(decide.WriteKey(w), w.Value); err != nil {
					q.t.Error(err)
				}
			}
		}
		for _, decision := range txn.Decisions {
			if decision.OnSettled != nil {
				decision.OnSettled(true)
			}
		}
	}
	for _, inconsistency := range q.state.Audit() {
		q.t.Error(inconsistency)
	}
}

func (q *testQueue) addMachine(name, owner, zone string) {
	if err := q.state.ApplyMachine(
		name,
		owner,
		jobs.Encode(fleet.MachineRecord{State: fleet.Up, MachineType: "g4", Zone: zone}),
	); err != nil {
		q.t.Fatal(err)
	}
}

func (q *testQueue) addJob(jobID, team, priority string, taskCount int, change func(*jobs.Spec)) {
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
	if err := q.state.ApplyJob(
		jobID,
		jobs.Encode(jobs.Record{State: jobs.Live, AcceptedMs: q.state.NowMs(), Spec: spec}),
	); err != nil {
		q.t.Fatal(err)
	}
}

// machinesOf returns the machines on which a job's tasks are placed or proposed, one entry per
// task.
func (q *testQueue) machinesOf(jobID string) string {
	var out []string
	for _, task := range q.state.Jobs[jobID].Tasks {
		out = append(out, task.Machine+task.PreferredMachine)
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

var teams = map[string]quota.Team{
	"a": {Name: "a", Guaranteed: quota.NewAmount(0, 2, 0), Limit: quota.NewAmount(0, 6, 0)},
	"b": {Name: "b"},
}

// A cycle releases all tasks for one shard in one batch record, whichever jobs they belong to.
// Gangs and services have task ranges of their own. A task that failed moves from its batch to a
// batch of the shard to which it is released next.
func TestReleaseWritesOneBatchPerShard(t *testing.T) {
	q := newTestQueue(t, map[string]quota.Team{"b": {Name: "b"}})
	q.usesBatches = true
	q.addMachine("i-1", "n0", "a")
	q.addMachine("i-2", "n1", "a")
	for i := range 4 {
		q.addJob(fmt.Sprint("wk-", i), "b", "standard", 1, nil)
	}
	q.addJob("wk-9", "b", "urgent", 2, func(s *jobs.Spec) { s.Kind = jobs.Service })
	q.RunCycle()
	if len(q.state.Batches) != 2 || len(q.state.Jobs["wk-9"].Ranges) == 0 {
		t.Fatalf("%d batches, %d task ranges of the service; want 2 batches and at least one task range",
			len(q.state.Batches), len(q.state.Jobs["wk-9"].Ranges))
	}
	placed := q.batchedTaskOn("i-1", "wk-9")
	if placed == nil {
		t.Fatal("no task placed by the leader in its own shard")
	}
	jobID, index, key := placed.Job.ID, placed.Index, placed.StoredIn.Key
	failed, _ := jobs.NextTask(placed.Task, jobs.TaskEvent{Kind: jobs.Fail})
	q.Commit([]decide.Decision{{Changes: decide.TransitionTask(placed, failed)}})
	q.state.Now = q.state.Now.Add(time.Hour)
	q.RunCycle()
	again := q.state.Jobs[jobID].Tasks[index]
	if again.StoredIn.Key == key || again.Machine+again.PreferredMachine != "i-2" ||
		again.State == jobs.Placed && again.Attempt != 2 {
		t.Errorf("task after retry: %+v in %s, want it on i-2 in another batch", again.Task, again.StoredIn.Key)
	}
	// An unreadable batch may hold any task of its jobs.
	q.addJob("wk-8", "b", "prod", 1, nil)
	_, _ = q.state.ApplyBatch("pack/odd", []byte(`{"v":9,"jobs":"wk-8"}`), 99)
	q.addMachine("i-3", "n0", "a")
	q.RunCycle()
	if got := len(q.state.Jobs["wk-8"].Tasks); got != 0 {
		t.Errorf("%d tasks released that an unreadable batch may hold", got)
	}
}

// batchedTaskOn returns a task that is placed on a machine by a batch record. It fails the test if
// a batch holds tasks of two shards or a task of unbatchedJob.
func (q *testQueue) batchedTaskOn(machineName, unbatchedJob string) *clusterstate.Task {
	q.t.Helper()
	controller := func(task *clusterstate.Task) string {
		return q.state.Machines[task.Machine+task.PreferredMachine].Owner
	}
	var found *clusterstate.Task
	for _, batch := range q.state.Batches {
		first := batch.Tasks[0]
		for _, task := range batch.Tasks {
			if task.Job.ID == unbatchedJob || controller(task) != controller(first) {
				q.t.Errorf("task %s is in a batch with %s", task.ID, first.ID)
			}
			if task.OnMachine() && task.Machine == machineName {
				found = task
			}
		}
	}
	return found
}

// Urgent jobs are released first, then jobs covered by a guarantee, then others up to their limits.
// Tasks without capacity wait.
func TestReleaseByPriorityGuaranteeAndLimit(t *testing.T) {
	q := newTestQueue(t, teams)
	q.addMachine("i-1", "n0", "a")
	q.addMachine("i-2", "n1", "b")
	q.addJob("wk-1", "b", "standard", 2, nil)
	q.addJob("wk-2", "a", "standard", 9, nil)
	q.addJob("wk-3", "b", "urgent", 1, func(s *jobs.Spec) { s.Zone = "b" })
	q.addJob("wk-4", "b", "idle", 5, nil)
	q.RunCycle()
	// Urgent first; then the 2 tasks covered by team a's guarantee and its next tasks up to its
	// limit of 6; then team b.
	if got := q.machinesOf("wk-3"); got != "i-2" {
		t.Errorf("urgent job is on %q, want i-2", got)
	}
	if got := len(q.state.Jobs["wk-2"].Tasks); got != 6 {
		t.Errorf("team a has %d tasks released, want 6", got)
	}
	if got := len(q.state.Jobs["wk-4"].Tasks); got != 0 {
		t.Errorf("%d tasks of the idle job were released before others", got)
	}
	if placed := q.state.Jobs["wk-2"].PlacedCount; placed == 0 || placed == 6 {
		t.Errorf("%d of 6 tasks placed at once, want only those of the leader's own shard", placed)
	}
	// The owner of the other shard places the tasks released to it.
	q.config.Name = "n1"
	q.Commit(q.Place())
	if got := q.state.Jobs["wk-2"].PlacedCount; got != 6 {
		t.Errorf("%d tasks placed, want 6", got)
	}
	if len(q.Waiting) == 0 || q.Waiting[0].Task.Job.ID == "wk-2" {
		t.Errorf("waiting tasks: %+v, want some, the first not of wk-2", q.Waiting)
	}
}

func TestReleaseFollowsZoneRulesAndPlacesGangsAllOrNothing(t *testing.T) {
	q := newTestQueue(t, teams)
	q.addMachine("i-1", "n0", "a")
	q.addMachine("i-2", "n0", "b")
	q.addJob("wk-1", "b", "standard", 3, func(s *jobs.Spec) { s.SpreadZones = true })
	q.addJob("wk-2", "b", "standard", 2, func(s *jobs.Spec) { s.Kind, s.SameZone = jobs.Gang, true })
	q.addJob("wk-3", "b", "standard", 4, func(s *jobs.Spec) { s.Kind = jobs.Gang })
	q.RunCycle()
	zones := q.state.TasksByZone(q.state.Jobs["wk-1"])
	if zones["a"] > 2 || zones["b"] > 2 || zones["a"]+zones["b"] != 3 {
		t.Errorf("spread job: tasks by zone %v, want 3 with at most 2 in a zone", zones)
	}
	if got := q.machinesOf("wk-2"); got != "i-1 i-1" && got != "i-2 i-2" {
		t.Errorf("same-zone gang is on %q, want both tasks on one machine", got)
	}
	if got := q.machinesOf("wk-3"); got != "" {
		t.Errorf("gang of 4 tasks with capacity for 3 was released to %q", got)
	}
}

// An urgent task preempts tasks of idle priority, the youngest first, and no more than it needs.
func TestUrgentTaskPreemptsYoungestIdleTaskOnce(t *testing.T) {
	q := newTestQueue(t, teams)
	q.addMachine("i-1", "n0", "a")
	q.addJob("wk-1", "b", "idle", 2, nil)
	q.RunCycle()
	q.state.Now = q.state.Now.Add(time.Minute)
	q.addJob("wk-2", "b", "idle", 2, nil)
	q.RunCycle()
	q.state.Now = q.state.Now.Add(time.Minute)
	q.addJob("wk-3", "b", "urgent", 1, nil)
	q.RunCycle()
	stopping := func() (out []string) {
		for jobID, job := range q.state.Jobs {
			for _, task := range job.Tasks {
				if task.State == jobs.Stopping {
					out = append(out, jobID)
				}
			}
		}
		return out
	}
	if got := fmt.Sprint(stopping()); got != "[wk-2]" {
		t.Errorf("stopped tasks are of jobs %s, want only one of wk-2", got)
	}
	q.RunCycle()
	if got := len(stopping()); got != 1 {
		t.Errorf("%d tasks stopped for one urgent task, want 1", got)
	}
}

// Without write budget only the first few jobs are examined, because decisions could not be
// committed.
func TestWithoutWriteBudgetFewJobsAreExamined(t *testing.T) {
	q := newTestQueue(t, teams)
	q.addMachine("i-1", "n0", "a")
	q.writeBudget = 0
	for i := range 2 * tuning.MaxExaminedWithoutBudget {
		q.addJob(fmt.Sprintf("wk-%d", i), "b", "standard", 1, nil)
	}
	q.RunCycle()
	if len(q.committed) == 0 || len(q.committed)+len(q.Waiting) > tuning.MaxExaminedWithoutBudget {
		t.Errorf("%d decisions, %d waiting jobs, want at most %d",
			len(q.committed), len(q.Waiting), tuning.MaxExaminedWithoutBudget)
	}
}
