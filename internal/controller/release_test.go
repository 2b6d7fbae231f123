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

// leading is a node that leads by itself over so many machines of 16 places,
// with so many jobs of one task waiting. Nothing it sends is ever answered.
func leading(machines, waiting int, writes float64) *Controller {
	set := &settings.Settings{NodeName: "n0", Operator: settings.DefaultOperator()}
	set.Cluster = settings.Cluster{
		Size: 1, Teams: []settings.Team{{Name: "team"}},
		State: settings.State{RPS: 250, WriteRPS: writes, ValueKB: 8, TxnOps: 16},
		Cloud: settings.Cloud{RPS: 4}, Workers: settings.Workers{ReportS: 8, LeaseS: 40, CancelS: 60},
	}
	silent := func(string, string, []byte, time.Duration, func(int, []byte, error)) {}
	n := New(set, Transport{State: silent, Watch: silent, Cloud: silent, Gossip: func(string, []byte) {}}, slog.New(slog.DiscardHandler), rand.New(rand.NewPCG(1, 1)))
	n.Now = time.UnixMilli(1e12)
	revision := uint64(0)
	enter := func(key string, v any) {
		revision++
		n.mirror.Put(key, jobs.Encode(v), revision)
	}
	enter(members.ViewKey, members.View{Leader: "n0", Members: []members.Member{{Name: "n0", Incarnation: 1}}, Epoch: 1})
	enter(provisioning.MachineTypePrefix+"g8", jobs.MachineType{Name: "g8", Cores: 16, MemoryGB: 64, Zones: []string{"a"}, Hourly: 1})
	for i := range machines {
		enter(fmt.Sprintf("%si-%06d", fleet.MachinePrefix, i), fleet.MachineRecord{State: fleet.Up, MachineType: "g8", Zone: "a"})
	}
	for i := range waiting {
		jobID := fmt.Sprintf("wk-%06d", i)
		spec := jobs.Spec{ID: jobID, Class: "c", Team: "team", Kind: jobs.JobArray, Priority: "idle", TaskCount: 1, Cores: 1, MemoryGB: 1 + float64(i%7)/10, Image: "b"}
		enter(jobs.JobPrefix+jobID, jobs.Record{State: jobs.Live, AcceptedMs: n.NowMs(), Spec: spec})
	}
	n.sync.live, n.mirror.Epoch = true, revision
	n.role, n.roleEpoch = members.Leader, 1
	n.client.Dispatch(n.Now)
	n.Now = n.Now.Add(time.Second) // the budget fills
	n.client.Dispatch(n.Now)
	n.shard.Reconciling.View(1, nil, nil, n.Now) // as on any day: steady
	return n
}

// A thousand waiting jobs cost a pass no more than the changes that it can
// make; what it does not get to keeps its place among what waits.
func TestReleaseLooksNoFurtherThanTheBudget(t *testing.T) {
	n := leading(500, 1000, 40)
	n.queue.Waiting = []*queue.Waiting{{Task: &clusterstate.Task{Job: n.Jobs["wk-000999"]}, Count: 1}, {Task: &clusterstate.Task{Job: &clusterstate.Job{ID: "wk-000998"}}, Count: 1}}
	n.queue.Release()
	if got := len(n.Reservations); got < 10 || got > 40 {
		t.Errorf("released %d tasks with 40 changes a second", got)
	}
	if len(n.queue.Waiting) != 1 || n.queue.Waiting[0].Task.Job.ID != "wk-000999" {
		t.Errorf("what waits: %v", n.queue.Waiting)
	}
	for _, bad := range n.Audit() {
		t.Error(bad)
	}
}

// Of a very large job no more is asked for, or rented for, than may be under way.
func TestHugeJobIsTakenInPieces(t *testing.T) {
	n := leading(0, 0, 60)
	spec := jobs.Spec{ID: "wk-000007", Class: "c", Team: "team", Kind: jobs.JobArray, Priority: "idle", TaskCount: 100000, Cores: 1, MemoryGB: 1, Image: "b"}
	n.mirror.Put(jobs.JobPrefix+spec.ID, jobs.Encode(jobs.Record{State: jobs.Live, AcceptedMs: n.NowMs(), Spec: spec}), 9000)
	n.queue.Release()
	if len(n.queue.Waiting) != 1 || n.queue.Waiting[0].Count != tuning.MaxActive {
		t.Errorf("what waits: %+v", n.queue.Waiting)
	}
}

// A sweep of one task is over with the report of its end: its final state comes
// in place of its records at once, but not all such ends at the same time.
func TestEndsOfASwarm(t *testing.T) {
	n := leading(10, 50, 200)
	var ds []decide.Decision
	for i := range 50 {
		jobID := fmt.Sprintf("wk-%06d", i)
		n.mirror.Put(jobs.TaskRangeKey(jobID, 0), jobs.EncodeTaskRange([]jobs.Task{{State: jobs.Placed, Machine: "i-000001", Attempt: 1}}, 8192), 5000)
		d, ok := completion.WithLastTask(n.Jobs[jobID].Tasks[0])
		if !ok || len(d.Writes) != 3 {
			t.Fatalf("end of %s: %v %v", jobID, ok, d.Writes)
		}
		ds = append(ds, d)
	}
	n.mirror.Epoch = 5000
	n.committer.Commit(ds)
	under := 0
	for _, d := range ds {
		for _, w := range d.Writes {
			if n.committer.Busy(decide.WriteKey(w)) {
				under++
			}
		}
	}
	if under < 16 || under > 18 {
		t.Errorf("%d writes of ends under way with 16 a transaction", under)
	}
}

// shapes a queue of so many leaves: each waiting job is of another class.
func classes(n *Controller, waiting, leaves int, tree bool) {
	d := &quota.Document{Teams: []quota.OfTeam{{Name: "team"}}}
	for i := range leaves {
		d.Teams[0].Classes = append(d.Teams[0].Classes, quota.OfClass{Name: fmt.Sprint("c", i), Limit: &quota.Bounds{Cores: 40}, Guarantee: &quota.Bounds{Cores: float64(i % 2)}})
	}
	if tree {
		t, faults := quota.Build(d, n.settings.TeamMap(), nil)
		if len(faults) > 0 {
			panic(faults)
		}
		n.Account.Rebase(t)
	}
	for i := range waiting {
		jobID := fmt.Sprintf("wk-9%05d", i)
		spec := jobs.Spec{ID: jobID, Class: fmt.Sprint("c", i%leaves), Team: "team", Kind: jobs.JobArray, Priority: "standard", TaskCount: 1, Cores: 1, MemoryGB: 1, Image: "b"}
		n.mirror.Put(jobs.JobPrefix+jobID, jobs.Encode(jobs.Record{State: jobs.Live, AcceptedMs: n.NowMs(), Spec: spec}), 1e6+uint64(i))
	}
}

// BenchmarkReleaseOfManyClasses is a look at 3,000 waiting tasks over 2,000 machines,
// under the platform's team alone and under a tree of 1,000 leaves.
func BenchmarkReleaseOfManyClasses(b *testing.B) {
	for _, tree := range []bool{false, true} {
		b.Run(fmt.Sprintf("tree=%v", tree), func(b *testing.B) {
			n := leading(2000, 0, 60)
			classes(n, 3000, 1000, tree)
			b.ReportAllocs()
			for b.Loop() {
				n.queue.Release()
			}
		})
	}
}

func BenchmarkReleaseOfASwarm(b *testing.B) {
	n := leading(1900, 1000, 60)
	b.ReportAllocs()
	for b.Loop() {
		n.queue.Release()
	}
}
