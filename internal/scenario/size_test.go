package scenario

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/simulation"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Load of BenchmarkSize: jobs of tasks that outlast the measurement and use a quarter of an
// accelerator each.
const (
	sizeJobTasks = 150
	sizeJobEvery = 250 * time.Millisecond
	sizeRunS     = 3000
	sizeReportS  = 8
)

// BenchmarkSize fills the machines of five controllers with long tasks, kills all controllers at
// once, restarts them 0.2 s later with nothing in memory, and reports what a controller needs and
// how long the restart takes. controller-MB is the memory of this process that one controller held.
// All in simulated time, so the figures are reproducible, except ns/op and, slightly, memory.
//
//	go test ./internal/scenario -run '^$' -bench Size -benchtime 1x -timeout 60m
func BenchmarkSize(b *testing.B) {
	sizes := []struct{ machines, tasks int }{
		{1800, 30000},
		{2700, 45000},
		{3600, 45000},
		{4000, 45000},
	}
	for _, size := range sizes {
		b.Run(fmt.Sprintf("machines=%d/tasks=%d", size.machines, size.tasks), func(b *testing.B) {
			for b.Loop() {
				measureSize(b, size.machines, size.tasks)
			}
		})
	}
}

// newSizeSimulator returns a simulation of five controllers with that many machines and tasks.
func newSizeSimulator(machines, tasks int) *simulation.Simulator {
	sim := simulation.NewSimulator(5, slog.New(slog.DiscardHandler))
	set := baseSettings(sim)
	set.Cluster.Size = 5
	set.Cluster.Teams = []settings.Team{{Name: "team"}}
	set.Cluster.Workers.HeartbeatS, sim.HeartbeatS = sizeReportS, sizeReportS
	set.Cluster.State.WriteRPS = 50
	set.Operator.TaskBatching = settings.BatchingWhenScarce
	sim.Store.RPS, sim.Store.WPS = set.Cluster.State.RPS, set.Cluster.State.WriteRPS
	sim.Cloud.Limit = machines
	for i := range machines {
		sim.Cloud.AddRunning("g8", []string{"a", "b"}[i%2], false)
	}
	sim.AddNodes(5, set)
	submitSizeJobs(sim, tasks)
	return sim
}

// submitSizeJobs submits the jobs that fill the machines, one every sizeJobEvery.
func submitSizeJobs(sim *simulation.Simulator, tasks int) {
	count := tasks / sizeJobTasks
	for i := range count {
		jobID := fmt.Sprintf("wk-%06d", i)
		sim.After(10*time.Second+time.Duration(i)*sizeJobEvery, func() {
			j := &simulation.Job{
				ID:           jobID,
				Kind:         jobs.JobArray,
				Team:         "team",
				Class:        "c",
				TaskCount:    sizeJobTasks,
				Accelerators: 0.25,
				RunS:         sizeRunS,
				PullS:        1,
			}
			j.Body = fmt.Appendf(
				nil,
				`{"uid":%q,"jobclass":"c","owner":"team","shape":"sweep","rank":"standard",`+
					`"pieces":%d,"cores":1,"accelerators":0.25,"memory_gb":4,
				"bundle":"img-1","pull_gb":1,"builds":null,"site":null,`+
					`"same_place":false,"scatter":false,"loaner":false,`+
					`"expect_s":%d,"snapshot_s":0,"stash_s":1,"due_s":null}`,
				jobID,
				sizeJobTasks,
				sizeRunS,
			)
			sim.Submit(j)
		})
	}
}

// restartTimes are measured from the crash of the controllers.
type restartTimes struct {
	led, answered, heard time.Duration // heard: every machine has received a token of the new view
	peak                 float64       // most requests to the state service in a second
}

// measureRestart runs the minute after the crash.
func measureRestart(sim *simulation.Simulator, down time.Duration) restartTimes {
	var took restartTimes
	last := sim.Store.Requests
	for at := sim.At(); at < down+60*time.Second; at += 50 * time.Millisecond {
		sim.RunUntil(at)
		if took.led == 0 && sim.Leader() != "" {
			took.led = at - down
		}
		if took.answered == 0 && sim.LastAnswer().After(sim.Start.Add(down+200*time.Millisecond)) {
			took.answered = at - down
		}
		var v struct{ Epoch uint64 }
		if took.heard == 0 && took.led > 0 && json.Unmarshal(sim.Store.Value("view"), &v) == nil && sim.TokenShown(v.Epoch) {
			took.heard = at - down
		}
		if (at-down)%time.Second == 0 {
			took.peak = max(took.peak, float64(sim.Store.Requests-last))
			last = sim.Store.Requests
		}
	}
	return took
}

// memoryPerController discards all controllers and returns the bytes that each of them held, once
// their open watches have ended.
func memoryPerController(sim *simulation.Simulator) uint64 {
	before := heapInUse()
	for _, n := range sim.NodeNames {
		sim.Nodes[n].Discard()
	}
	sim.RunUntil(sim.At() + 12*time.Second)
	return (before - heapInUse()) / uint64(len(sim.NodeNames))
}

func measureSize(b *testing.B, machines, tasks int) {
	b.Helper()
	sim := newSizeSimulator(machines, tasks)
	on := func() int { return sim.CountTasksOnMachines() }
	full := 10 * time.Second
	for ; on() < tasks && full < 20*time.Minute; full += time.Second {
		sim.RunUntil(full)
	}
	placed := on()
	requests, writes := sim.Store.Requests, sim.Store.Writes
	sim.RunUntil(full + 60*time.Second)
	steadyRequests, steadyWrites := sim.Store.Requests-requests, sim.Store.Writes-writes
	keys, bytes := sim.Store.Live()
	expired, starts := sim.ExpiredLeases, totalStarts(sim)
	sim.Store.Listed = 0
	crashAll(sim)
	down := sim.At()
	sim.RunUntil(down + 200*time.Millisecond)
	bootAll(sim)
	took := measureRestart(sim, down)
	sim.RunUntil(sim.At() + 30*time.Second)
	held := memoryPerController(sim)
	b.ReportMetric(float64(placed), "tasks-on")
	b.ReportMetric(full.Seconds(), "filled-s")
	b.ReportMetric(float64(keys), "mirror-keys")
	b.ReportMetric(float64(bytes)/1e6, "mirror-MB")
	b.ReportMetric(float64(held)/1e6, "controller-MB")
	b.ReportMetric(float64(steadyRequests)/60, "requests/s")
	b.ReportMetric(float64(steadyWrites)/60, "changes/s")
	b.ReportMetric(took.led.Seconds(), "leads-s")
	b.ReportMetric(took.answered.Seconds(), "answers-s")
	b.ReportMetric(took.heard.Seconds(), "all-heard-s")
	b.ReportMetric(float64(sim.Store.Listed), "pages")
	b.ReportMetric(took.peak, "peak-requests/s")
	b.ReportMetric(float64(sim.ExpiredLeases-expired), "leases-run-out")
	b.ReportMetric(float64(totalStarts(sim)-starts), "started-again")
	if len(sim.Violations) > 0 {
		b.Errorf("%d invariants violated: %s",
			len(sim.Violations), strings.Join(sim.Violations[:min(len(sim.Violations), 5)], "\n"))
	}
}

// TestMassOutboundPartitionIsListed has a third of one controller's 4,000 machines stop reporting
// at once while they still answer commands. All of them must be listed as outbound-partitioned, and
// none once they report again.
func TestMassOutboundPartitionIsListed(t *testing.T) {
	const machines = 4000
	sim := simulation.NewSimulator(7, slog.New(slog.DiscardHandler))
	sim.HeartbeatS = sizeReportS
	set := baseSettings(sim)
	set.Cluster.Size = 1
	set.Cluster.Teams = []settings.Team{{Name: "team"}}
	set.Operator.StepS = 600                                       // no machine is rented or returned meanwhile
	set.Cluster.State.RPS, set.Cluster.State.WriteRPS = 2000, 1000 // all machines get their records quickly
	sim.Store.ValueKB, sim.Store.TxnOps = set.Cluster.State.ValueKB, set.Cluster.State.TxnOps
	sim.Store.RPS, sim.Store.WPS = set.Cluster.State.RPS, set.Cluster.State.WriteRPS
	sim.Cloud.Limit = machines
	for i := range machines {
		sim.Cloud.AddRunning("g8", []string{"a", "b"}[i%2], false)
	}
	sim.AddNodes(1, set)
	sim.RunUntil(40 * time.Second)
	listed := func() fleet.UnresponsiveSet { return listedUnresponsive(t, sim) }
	if n := len(listed()); n != 0 || len(sim.Agents) != machines {
		t.Fatalf("%d of %d machines are listed as unresponsive before the partition", n, len(sim.Agents))
	}
	var cut []string
	for i, machine := range sim.Machines() {
		if i%3 == 0 {
			cut = append(cut, machine)
			sim.Isolate(machine, true)
		}
	}
	sim.RunUntil(sim.At() + set.Cluster.Workers.OutboundPartitionedAfter() + 2*time.Second)
	got := listed()
	correct := 0
	for _, machine := range cut {
		if got[machine].OutboundPartitioned {
			correct++
		}
		sim.Isolate(machine, false)
	}
	if correct != len(cut) || len(got) != len(cut) || sim.Store.Value(fleet.UnresponsiveKey(sim.NodeNames[0], 2)) == nil {
		t.Errorf("%d machines are listed, %d send no reports", len(got), len(cut))
	}
	sim.RunUntil(sim.At() + 10*time.Second)
	if n := len(listed()); n != 0 || sim.Cloud.Alive() != machines {
		t.Errorf("%d machines are listed though all report again, %d are left", n, sim.Cloud.Alive())
	}
	if len(sim.Violations) > 0 {
		t.Errorf("%d invariants violated: %s",
			len(sim.Violations), strings.Join(sim.Violations[:min(len(sim.Violations), 5)], "\n"))
	}
}

// listedUnresponsive returns the machines that the first controller lists as unresponsive.
func listedUnresponsive(t *testing.T, sim *simulation.Simulator) fleet.UnresponsiveSet {
	t.Helper()
	lists := fleet.UnresponsiveLists{}
	for number := 1; number <= tuning.MaxUnresponsiveLists; number++ {
		value := sim.Store.Value(fleet.UnresponsiveKey(sim.NodeNames[0], number))
		if value == nil {
			continue
		}
		list, err := fleet.DecodeUnresponsiveList(value)
		if err != nil {
			t.Fatal(err)
		}
		lists[number] = list
	}
	return lists.Join(nil, sim.Now)
}

// totalStarts returns the number of task starts of all jobs.
func totalStarts(sim *simulation.Simulator) int {
	n := 0
	for _, j := range sim.Jobs {
		n += j.Starts
	}
	return n
}

// heapInUse returns the allocated heap after garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
