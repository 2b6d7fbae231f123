package node

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/book"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/ending"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/queue"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/rental"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// leading is a node that leads by itself over so many machines of 16 places,
// with so many jobs of one task waiting. Nothing it sends is ever answered.
func leading(machines, waiting int, writes float64) *Node {
	set := &settings.Settings{NodeName: "n0", Operator: settings.DefaultOperator()}
	set.Cluster = settings.Cluster{
		Size: 1, Teams: []settings.Team{{Name: "team"}},
		State: settings.State{RPS: 250, WriteRPS: writes, ValueKB: 8, TxnOps: 16},
		Cloud: settings.Cloud{RPS: 4}, Workers: settings.Workers{ReportS: 8, LeaseS: 40, CancelS: 60},
	}
	silent := func(string, string, []byte, time.Duration, func(int, []byte, error)) {}
	n := New(set, Outside{State: silent, Watch: silent, Cloud: silent, Hint: func(string, []byte) {}}, slog.New(slog.DiscardHandler), rand.New(rand.NewPCG(1, 1)))
	n.Now = time.UnixMilli(1e12)
	stamp := uint64(0)
	enter := func(key string, v any) {
		stamp++
		n.mirror.Put(key, jobs.Encode(v), stamp)
	}
	enter(members.ViewKey, members.View{Leader: "n0", Members: []members.Member{{Name: "n0", Inc: 1}}, Epoch: 1})
	enter(rental.BuildPrefix+"g8", jobs.Build{Name: "g8", Cores: 16, MemoryGB: 64, Sites: []string{"a"}, Hourly: 1})
	for i := range machines {
		enter(fmt.Sprintf("%si-%06d", fleet.HostPrefix, i), fleet.Host{State: fleet.Up, Build: "g8", Site: "a"})
	}
	for i := range waiting {
		uid := fmt.Sprintf("wk-%06d", i)
		spec := jobs.Spec{UID: uid, Class: "c", Owner: "team", Shape: jobs.Sweep, Rank: "idle", Pieces: 1, Cores: 1, MemoryGB: 1 + float64(i%7)/10, Bundle: "b"}
		enter(jobs.JobPrefix+uid, jobs.Record{State: jobs.Live, AtMs: n.Ms(), Spec: spec})
	}
	n.sync.live, n.mirror.Epoch = true, stamp
	n.role, n.roleEpoch = members.Leader, 1
	n.client.Pump(n.Now)
	n.Now = n.Now.Add(time.Second) // the budget fills
	n.client.Pump(n.Now)
	n.part.Reconciling.View(1, nil, nil, n.Now) // as on any day: steady
	return n
}

// A thousand waiting jobs cost a pass no more than the changes that it can
// make; what it does not get to keeps its place among what waits.
func TestReleaseLooksNoFurtherThanTheBudget(t *testing.T) {
	n := leading(500, 1000, 40)
	n.queue.Waiting = []*queue.Waiting{{Task: &book.Task{Job: n.Jobs["wk-000999"]}, Count: 1}, {Task: &book.Task{Job: &book.Job{UID: "wk-000998"}}, Count: 1}}
	n.queue.Release()
	if got := len(n.Reserved); got < 10 || got > 40 {
		t.Errorf("released %d tasks with 40 changes a second", got)
	}
	if len(n.queue.Waiting) != 1 || n.queue.Waiting[0].Task.Job.UID != "wk-000999" {
		t.Errorf("what waits: %v", n.queue.Waiting)
	}
	for _, bad := range n.Audit() {
		t.Error(bad)
	}
}

// Of a very large job no more is asked for, or rented for, than may be under way.
func TestHugeJobIsTakenInPieces(t *testing.T) {
	n := leading(0, 0, 60)
	spec := jobs.Spec{UID: "wk-000007", Class: "c", Owner: "team", Shape: jobs.Sweep, Rank: "idle", Pieces: 100000, Cores: 1, MemoryGB: 1, Bundle: "b"}
	n.mirror.Put(jobs.JobPrefix+spec.UID, jobs.Encode(jobs.Record{State: jobs.Live, AtMs: n.Ms(), Spec: spec}), 9000)
	n.queue.Release()
	if len(n.queue.Waiting) != 1 || n.queue.Waiting[0].Count != tuning.MostActive {
		t.Errorf("what waits: %+v", n.queue.Waiting)
	}
}

// A sweep of one task is over with the report of its end: its final state comes
// in place of its records at once, but not all such ends at the same time.
func TestEndsOfASwarm(t *testing.T) {
	n := leading(10, 50, 200)
	var ds []decide.Decision
	for i := range 50 {
		uid := fmt.Sprintf("wk-%06d", i)
		n.mirror.Put(jobs.SliceKey(uid, 0), jobs.EncodeSlice([]jobs.Task{{State: jobs.Placed, Host: "i-000001", Try: 1}}, 8192), 5000)
		d, ok := ending.WithLast(n.Jobs[uid].Tasks[0])
		if !ok || len(d.Writes) != 3 {
			t.Fatalf("end of %s: %v %v", uid, ok, d.Writes)
		}
		ds = append(ds, d)
	}
	n.mirror.Epoch = 5000
	n.commits.Commit(ds)
	under := 0
	for _, d := range ds {
		for _, w := range d.Writes {
			if n.commits.Busy(decide.Key(w)) {
				under++
			}
		}
	}
	if under < 16 || under > 18 {
		t.Errorf("%d writes of ends under way with 16 a transaction", under)
	}
}

// shapes a queue of so many leaves: each waiting job is of another class.
func classes(n *Node, waiting, leaves int, tree bool) {
	d := &quota.Document{Teams: []quota.OfTeam{{Name: "team"}}}
	for i := range leaves {
		d.Teams[0].Classes = append(d.Teams[0].Classes, quota.OfClass{Name: fmt.Sprint("c", i), Limit: &quota.Bounds{Cores: 40}, Guarantee: &quota.Bounds{Cores: float64(i % 2)}})
	}
	if tree {
		t, faults := quota.Build(d, n.set.TeamMap(), nil)
		if len(faults) > 0 {
			panic(faults)
		}
		n.Account.Rebase(t)
	}
	for i := range waiting {
		uid := fmt.Sprintf("wk-9%05d", i)
		spec := jobs.Spec{UID: uid, Class: fmt.Sprint("c", i%leaves), Owner: "team", Shape: jobs.Sweep, Rank: "standard", Pieces: 1, Cores: 1, MemoryGB: 1, Bundle: "b"}
		n.mirror.Put(jobs.JobPrefix+uid, jobs.Encode(jobs.Record{State: jobs.Live, AtMs: n.Ms(), Spec: spec}), 1e6+uint64(i))
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
