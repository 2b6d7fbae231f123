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

// storeLimits are what the store of a test allows.
func storeLimits(writeRPS float64) settings.State {
	return settings.State{RPS: 250, WriteRPS: writeRPS, ValueKB: 8, TxnOps: 16}
}

// put enters a record into the mirror as the watch does.
func put(c *Controller, key string, value any, revision uint64) {
	c.mirror.Put(key, jobs.Encode(value), revision)
}

// arraySpec is a job array of tasks of one core.
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

// putJob enters an accepted job into the mirror.
func putJob(c *Controller, spec jobs.Spec, revision uint64) {
	put(c, jobs.JobPrefix+spec.ID, jobs.Record{State: jobs.Live, AcceptedMs: c.state.NowMs(), Spec: spec}, revision)
}

// newLeader is a controller that leads by itself over so many machines of 16 cores, with so
// many jobs of one task waiting. Nothing it sends is ever answered.
func newLeader(machines, waiting int, writeRPS float64) *Controller {
	set := &settings.Settings{NodeName: "n0", Operator: settings.DefaultOperator()}
	set.Cluster = settings.Cluster{
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
	c := New(set, transport, slog.New(slog.DiscardHandler), rand.New(rand.NewPCG(1, 1)))
	c.state.Now = time.UnixMilli(1e12)
	enterRecords(c, machines, waiting)
	c.sync.live = true
	c.role, c.roleEpoch = members.Leader, 1
	c.client.Dispatch(c.state.Now)
	c.state.Now = c.state.Now.Add(time.Second) // the budget fills
	c.client.Dispatch(c.state.Now)
	c.shard.Reconciling.SetView(1, nil, nil, c.state.Now) // as on any day: steady
	return c
}

// enterRecords enters the view, one machine type, its machines and the waiting jobs.
func enterRecords(c *Controller, machines, waiting int) {
	revision := uint64(0)
	enter := func(key string, value any) {
		revision++
		put(c, key, value, revision)
	}
	enter(members.ViewKey, members.View{
		Leader:  "n0",
		Members: []members.Member{{Name: "n0", Incarnation: 1}},
		Epoch:   1,
	})
	enter(provisioning.MachineTypePrefix+"g8", jobs.MachineType{
		Name:     "g8",
		Cores:    16,
		MemoryGB: 64,
		Zones:    []string{"a"},
		Hourly:   1,
	})
	for i := range machines {
		record := fleet.MachineRecord{State: fleet.Up, MachineType: "g8", Zone: "a"}
		enter(fmt.Sprintf("%si-%06d", fleet.MachinePrefix, i), record)
	}
	for i := range waiting {
		spec := arraySpec(fmt.Sprintf("wk-%06d", i), 1)
		spec.MemoryGB = 1 + float64(i%7)/10
		revision++
		putJob(c, spec, revision)
	}
	c.mirror.Epoch = revision
}

// A thousand waiting jobs cost a scheduling cycle no more than the writes that it can
// make; a job that it does not get to keeps its place among the waiting.
func TestReleaseStopsAtTheWriteBudget(t *testing.T) {
	c := newLeader(500, 1000, 40)
	c.queue.Waiting = []*queue.Waiting{
		{Task: &clusterstate.Task{Job: c.state.Jobs["wk-000999"]}, Count: 1},
		{Task: &clusterstate.Task{Job: &clusterstate.Job{ID: "wk-000998"}}, Count: 1},
	}
	c.queue.RunCycle()
	if got := len(c.state.Reservations); got < 10 || got > 40 {
		t.Errorf("released %d tasks with 40 writes a second", got)
	}
	if len(c.queue.Waiting) != 1 || c.queue.Waiting[0].Task.Job.ID != "wk-000999" {
		t.Errorf("waiting: %v", c.queue.Waiting)
	}
	for _, inconsistency := range c.state.Audit() {
		t.Error(inconsistency)
	}
}

// Of a very large job no more tasks wait for machines, or are scaled out for, than may be active.
func TestOfAHugeJobNoMoreTasksWaitThanMayBeActive(t *testing.T) {
	c := newLeader(0, 0, 60)
	putJob(c, arraySpec("wk-000007", 100000), 9000)
	c.queue.RunCycle()
	if len(c.queue.Waiting) != 1 || c.queue.Waiting[0].Count != tuning.MaxActive {
		t.Errorf("waiting: %+v", c.queue.Waiting)
	}
}

// A job array of one task is over with the heartbeat that reports its end: its final state
// replaces its records at once, but not all such ends are under way at the same time.
func TestFewEndsOfManySingleTaskJobsAreUnderWayAtOnce(t *testing.T) {
	c := newLeader(10, 50, 200)
	var decisions []decide.Decision
	for i := range 50 {
		jobID := fmt.Sprintf("wk-%06d", i)
		placed := []jobs.Task{{State: jobs.Placed, Machine: "i-000001", Attempt: 1}}
		c.mirror.Put(jobs.TaskRangeKey(jobID, 0), jobs.EncodeTaskRange(placed, 8192), 5000)
		decision, ok := completion.WithLastTask(c.state.Jobs[jobID].Tasks[0])
		if !ok || len(decision.Writes) != 3 {
			t.Fatalf("end of %s: %v %v", jobID, ok, decision.Writes)
		}
		decisions = append(decisions, decision)
	}
	c.mirror.Epoch = 5000
	c.committer.Commit(decisions)
	underWay := 0
	for _, decision := range decisions {
		for _, write := range decision.Writes {
			if c.committer.Busy(decide.WriteKey(write)) {
				underWay++
			}
		}
	}
	if underWay < 16 || underWay > 18 {
		t.Errorf("%d writes of ends under way with 16 a transaction", underWay)
	}
}

// newLeaderOfClasses is a leader over 2,000 machines with so many more waiting jobs, each of the
// next of so many classes. With a tree, every class is a leaf of the quota tree.
func newLeaderOfClasses(b *testing.B, waiting, leaves int, tree bool) *Controller {
	b.Helper()
	c := newLeader(2000, 0, 60)
	team := quota.OfTeam{Name: "team"}
	for i := range leaves {
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
		spec.Class = fmt.Sprint("c", i%leaves)
		spec.Priority = "standard"
		putJob(c, spec, 1e6+uint64(i))
	}
	return c
}

// BenchmarkReleaseOfManyClasses is a scheduling cycle over 3,000 waiting tasks and 2,000 machines,
// under the platform's team alone and under a tree of 1,000 leaves.
func BenchmarkReleaseOfManyClasses(b *testing.B) {
	for _, tree := range []bool{false, true} {
		b.Run(fmt.Sprintf("tree=%v", tree), func(b *testing.B) {
			c := newLeaderOfClasses(b, 3000, 1000, tree)
			b.ReportAllocs()
			for b.Loop() {
				c.queue.RunCycle()
			}
		})
	}
}

// BenchmarkReleaseOfManySmallJobs is a scheduling cycle over 1,000 waiting jobs of one task.
func BenchmarkReleaseOfManySmallJobs(b *testing.B) {
	c := newLeader(1900, 1000, 60)
	b.ReportAllocs()
	for b.Loop() {
		c.queue.RunCycle()
	}
}
