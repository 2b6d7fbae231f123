package controller

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/completion"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/provisioning"
	"github.com/harrierreel/harrierreel/internal/queue"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// storeLimits returns the limits of the store in these tests.
func storeLimits(writeRPS float64) settings.State {
	return settings.State{RPS: 250, WriteRPS: writeRPS, ValueKB: 8, TxnOps: 16}
}

// put adds a record to the mirror as the watch would.
func put(c *Controller, key string, value any, revision uint64) {
	c.mirror.Put(key, jobs.Encode(value), revision)
}

// arraySpec returns the spec of a job array whose tasks use one core each.
func arraySpec(jobID string, tasks int) jobs.Spec {
	return jobs.Spec{
		ID:        jobID,
		Class:     "c",
		Team:      "team",
		Kind:      jobs.JobArray,
		Priority:  "idle",
		TaskCount: tasks,
		Cores:     1,
		MemoryGB:  1,
		Image:     "b",
	}
}

// putJob adds an accepted job to the mirror.
func putJob(c *Controller, spec jobs.Spec, revision uint64) {
	put(c, jobs.JobPrefix+spec.ID, jobs.Record{State: jobs.Live, AcceptedMs: c.state.NowMs(), Spec: spec}, revision)
}

// newLeader returns a controller that leads a view of one member, with the given numbers of
// machines of 16 cores and of waiting jobs of one task each. None of its calls is ever answered.
func newLeader(machines, waiting int, writeRPS float64) *Controller {
	cfg := &settings.Settings{NodeName: "n0", Operator: settings.DefaultOperator()}
	cfg.Cluster = settings.Cluster{
		Size:    1,
		Teams:   []settings.Team{{Name: "team"}},
		State:   storeLimits(writeRPS),
		Cloud:   settings.Cloud{RPS: 4},
		Workers: settings.Workers{HeartbeatS: 8, LeaseS: 40, CancelS: 60},
	}
	neverAnswered := func(string, string, []byte, time.Duration, func(int, []byte, error)) {}
	transport := Transport{
		Store:  neverAnswered,
		Watch:  neverAnswered,
		Cloud:  neverAnswered,
		Gossip: func(string, []byte) {},
	}
	c := New(cfg, transport, slog.New(slog.DiscardHandler), rand.New(rand.NewPCG(1, 1)))
	c.state.Now = time.UnixMilli(1e12)
	putRecords(c, machines, waiting)
	c.sync.live = true
	c.role, c.roleEpoch = members.Leader, 1
	c.client.Dispatch(c.state.Now)
	c.state.Now = c.state.Now.Add(time.Second) // refills the budget
	c.client.Dispatch(c.state.Now)
	// Without machines or other owners to wait for, reconciliation completes.
	c.shard.Reconciling.SetView(1, nil, nil, c.state.Now)
	return c
}

// putRecords adds the view, one machine type, its machines and the waiting jobs to the mirror.
func putRecords(c *Controller, machines, waiting int) {
	revision := uint64(0)
	putNext := func(key string, value any) {
		revision++
		put(c, key, value, revision)
	}
	putNext(members.ViewKey, members.View{
		Leader:  "n0",
		Members: []members.Member{{Name: "n0", Incarnation: 1}},
		Epoch:   1,
	})
	putNext(provisioning.MachineTypePrefix+"g8", jobs.MachineType{
		Name:     "g8",
		Cores:    16,
		MemoryGB: 64,
		Zones:    []string{"a"},
		Hourly:   1,
	})
	for i := range machines {
		record := fleet.MachineRecord{State: fleet.Up, MachineType: "g8", Zone: "a"}
		putNext(fmt.Sprintf("%si-%06d", fleet.MachinePrefix, i), record)
	}
	for i := range waiting {
		spec := arraySpec(fmt.Sprintf("wk-%06d", i), 1)
		spec.MemoryGB = 1 + float64(i%7)/10
		revision++
		putJob(c, spec, revision)
	}
	c.mirror.Epoch = revision
}

// A scheduling cycle over a thousand waiting jobs assigns no more tasks than the write budget
// covers; a live job that it does not reach stays in the waiting list.
func TestSchedulingCycleStopsAtWriteBudget(t *testing.T) {
	c := newLeader(500, 1000, 40)
	c.queue.Waiting = []*queue.Waiting{
		{Task: &clusterstate.Task{Job: c.state.Jobs["wk-000999"]}, Count: 1},
		{Task: &clusterstate.Task{Job: &clusterstate.Job{ID: "wk-000998"}}, Count: 1},
	}
	c.queue.RunCycle()
	if got := len(c.state.Reservations); got < 10 || got > 40 {
		t.Errorf("assigned %d tasks with 40 writes a second, want 10 to 40", got)
	}
	if len(c.queue.Waiting) != 1 || c.queue.Waiting[0].Task.Job.ID != "wk-000999" {
		t.Errorf("waiting: %v, want only wk-000999", c.queue.Waiting)
	}
	for _, inconsistency := range c.state.Audit() {
		t.Error(inconsistency)
	}
}

// At most tuning.MaxActiveTasks tasks of a very large job count as waiting for machines, and so as
// demand for scaling out.
func TestWaitingTasksOfLargeJobAreLimitedToMaxActive(t *testing.T) {
	c := newLeader(0, 0, 60)
	putJob(c, arraySpec("wk-000007", 100000), 9000)
	c.queue.RunCycle()
	if len(c.queue.Waiting) != 1 || c.queue.Waiting[0].Count != tuning.MaxActiveTasks {
		t.Errorf("waiting: %+v, want one entry with a count of tuning.MaxActive", c.queue.Waiting)
	}
}

// When a heartbeat reports the end of a single-task job, its final state replaces its records at
// once. If many such jobs end together, only about one transaction's worth of writes is in flight.
func TestWritesInFlightAreLimitedWhenManySingleTaskJobsEnd(t *testing.T) {
	c := newLeader(10, 50, 200)
	var decisions []decide.Decision
	for i := range 50 {
		jobID := fmt.Sprintf("wk-%06d", i)
		placed := []jobs.Task{{State: jobs.Placed, Machine: "i-000001", Attempt: 1}}
		c.mirror.Put(jobs.TaskRangeKey(jobID, 0), jobs.EncodeTaskRange(placed, 8192), 5000)
		decision, ok := completion.WithLastTask(c.state.Jobs[jobID].Tasks[0])
		if !ok || len(decision.Writes) != 3 {
			t.Fatalf("completion of %s: ok %v, writes %v", jobID, ok, decision.Writes)
		}
		decisions = append(decisions, decision)
	}
	c.mirror.Epoch = 5000
	c.committer.Commit(decisions)
	inFlight := 0
	for _, decision := range decisions {
		for _, write := range decision.Writes {
			if c.committer.Busy(decide.WriteKey(write)) {
				inFlight++
			}
		}
	}
	if inFlight < 16 || inFlight > 18 {
		t.Errorf("%d writes in flight with 16 per transaction, want 16 to 18", inFlight)
	}
}

// newLeaderWithClasses returns a leader of 2,000 machines with waiting jobs spread evenly over the
// given number of classes. If tree is set, every class is a leaf of the quota tree.
func newLeaderWithClasses(b *testing.B, waiting, classes int, tree bool) *Controller {
	b.Helper()
	c := newLeader(2000, 0, 60)
	team := quota.OfTeam{Name: "team"}
	for i := range classes {
		team.Classes = append(team.Classes, quota.OfClass{
			Name:      fmt.Sprint("c", i),
			Limit:     &quota.Bounds{Cores: 40},
			Guarantee: &quota.Bounds{Cores: float64(i % 2)},
		})
	}
	if tree {
		document := &quota.Document{Teams: []quota.OfTeam{team}}
		quotas, faults := quota.Build(document, c.settings.TeamMap(), nil)
		if len(faults) > 0 {
			b.Fatal(faults)
		}
		c.state.Account.Rebase(quotas)
	}
	for i := range waiting {
		spec := arraySpec(fmt.Sprintf("wk-9%05d", i), 1)
		spec.Class = fmt.Sprint("c", i%classes)
		spec.Priority = "standard"
		putJob(c, spec, 1e6+uint64(i))
	}
	return c
}

// BenchmarkScheduleManyClasses measures a scheduling cycle over 3,000 waiting tasks and 2,000
// machines, with a single team as the only quota and with a quota tree of 1,000 leaves.
func BenchmarkScheduleManyClasses(b *testing.B) {
	for _, tree := range []bool{false, true} {
		b.Run(fmt.Sprintf("tree=%v", tree), func(b *testing.B) {
			c := newLeaderWithClasses(b, 3000, 1000, tree)
			b.ReportAllocs()
			for b.Loop() {
				c.queue.RunCycle()
			}
		})
	}
}

// BenchmarkScheduleManySmallJobs measures a scheduling cycle over 1,000 waiting jobs of one task.
func BenchmarkScheduleManySmallJobs(b *testing.B) {
	c := newLeader(1900, 1000, 60)
	b.ReportAllocs()
	for b.Loop() {
		c.queue.RunCycle()
	}
}
