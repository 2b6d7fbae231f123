package scenario

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/simulation"
)

// downFleet is the size of a fleet whose tasks are running when all controllers crash.
type downFleet struct {
	name                           string
	nodes, machines                int
	rps, wps, valueKB              float64
	txnOps, services, gangs, tasks int // services of 8 replicas, gangs of 4 tasks, tasks in arrays
}

// BenchmarkDown kills all controllers of two fleets for 4 s and for 60 s while 2% of the machines
// die, and reports the recovery. Times are from the first process's start to the first answered
// request, to half and all of the machines seen with a token of the new epoch, to half and 90% of
// the tasks running again, to the first new task and to the first rented machine. It also reports
// the most writes, commands and rentals in a second, and the task starts beyond the necessary ones,
// which are those for tasks on dead machines or killed by an expired lease. All in simulated time,
// so the figures are reproducible.
//
//	go test ./internal/scenario -run '^$' -bench Down -benchtime 1x -timeout 30m
func BenchmarkDown(b *testing.B) {
	fleets := []downFleet{
		{"five, 1800 machines", 5, 1800, 250, 100, 16, 24, 300, 300, 26_400},
		{"three, 2700 machines", 3, 2700, 180, 50, 8, 16, 300, 300, 41_400},
	}
	for _, f := range fleets {
		for _, down := range []time.Duration{4 * time.Second, 60 * time.Second} {
			b.Run(fmt.Sprintf("%s, down %v", f.name, down), func(b *testing.B) {
				for b.Loop() {
					f.play(b, down)
				}
			})
		}
	}
}

// newFleetScript returns a script with a simulation of the fleet, before its controllers start.
func (f downFleet) newFleetScript() *script {
	sim := simulation.NewSimulator(11, slog.New(slog.DiscardHandler))
	s := &script{sim: sim, vars: map[string]string{}, applied: map[string]int{}}
	s.set = baseSettings(sim)
	s.set.Cluster.Size = f.nodes
	s.set.Cluster.Teams = []settings.Team{{Name: "team"}}
	s.set.Cluster.Workers.HeartbeatS, sim.HeartbeatS = 8, 8
	s.set.Cluster.Workers.LeaseS, sim.LeaseS = 42, 42
	s.set.Cluster.State = settings.State{RPS: f.rps, WriteRPS: f.wps, ValueKB: f.valueKB, TxnOps: f.txnOps}
	sim.Cloud.Limit = f.machines + 200
	for i := range f.machines {
		sim.Cloud.AddRunning("g8", []string{"a", "b"}[i%2], false)
	}
	return s
}

// submitJobs submits the jobs whose tasks fill the fleet.
func (f downFleet) submitJobs(s *script) {
	sim := s.sim
	jobs := 0
	submit := func(at time.Duration, words ...string) {
		jobs++
		jobID := fmt.Sprintf("wk-%06d", jobs)
		sim.After(at, func() { s.submit(append([]string{jobID}, words...)) })
	}
	for i := range f.services {
		submit(time.Duration(3000+50*i)*time.Millisecond, "standing", "pieces=8", "accel=0.5", "rank=prod", "scatter")
	}
	for i := range f.gangs {
		submit(time.Duration(3000+50*i)*time.Millisecond, "ensemble", "pieces=4", "accel=1", "run=2000")
	}
	for i := range f.tasks / 120 {
		submit(time.Duration(3000+50*i)*time.Millisecond, "sweep", "pieces=120", "accel=0.42", "run=2000")
	}
}

// killMachines kills up to dying machines that run tasks, and returns the number of tasks lost.
func killMachines(sim *simulation.Simulator, dying int) int {
	tasksLost := 0
	for _, machine := range sim.Machines() {
		if agent := sim.Agents[machine]; agent != nil && dying > 0 && !agent.Empty() {
			tasksLost += agent.TaskCount()
			dying--
			agent.Die()
		}
	}
	return tasksLost
}

// fill runs the simulation until 99% of the tasks are on machines.
func (f downFleet) fill(b *testing.B, sim *simulation.Simulator) {
	b.Helper()
	total := 8*f.services + 4*f.gangs + f.tasks
	sim.RunUntil(time.Minute)
	for sim.OnMachines() < total*99/100 && sim.At() < 10*time.Minute {
		sim.RunUntil(sim.At() + time.Second)
	}
	if on := sim.OnMachines(); on < total*99/100 {
		b.Fatalf("%d of %d tasks run", on, total)
	}
}

// firstTimes is the time in seconds at which each condition first held, by its name.
type firstTimes map[string]float64

// mark records the time of a condition if it holds for the first time.
func (f firstTimes) mark(condition string, holds bool, seconds float64) {
	if _, done := f[condition]; !done && holds {
		f[condition] = seconds
	}
}

func (f downFleet) play(b *testing.B, down time.Duration) {
	b.Helper()
	s := f.newFleetScript()
	sim := s.sim
	var epoch uint64
	writes, perSecond := 0, hdrhistogram.New(1, 10_000, 2)
	sim.Store.Committed = func(key string, v json.RawMessage) {
		writes++
		if view, ok := members.Decode(v); key == members.ViewKey && ok {
			epoch = view.Epoch
		}
	}
	sim.AddNodes(f.nodes, s.set)
	f.submitJobs(s)
	f.fill(b, sim)
	before, startsBefore := sim.OnMachines(), sim.TaskStarts()
	crashAll(sim)
	tasksLost := killMachines(sim, f.machines/50)
	sim.RunUntil(sim.At() + down)
	start, oldEpoch, rentedBefore, commandsBefore := sim.At(), epoch, sim.Cloud.Rented, sim.CommandCount()
	bootAll(sim)
	elapsed := func() float64 { return (sim.At() - start).Seconds() }
	times := firstTimes{}
	mark := func(condition string, holds bool) { times.mark(condition, holds, elapsed()) }
	sim.PollForever(100*time.Millisecond, func() { mark("answer", true) })
	s.submit([]string{"wk-999999", "sweep", "pieces=20", "accel=0.4", "run=5"})
	writes = 0
	maxCommands, second, lastCommands, lastRented, maxRents := 0, start, commandsBefore, rentedBefore, 0
	for sim.At() < start+30*time.Second+down*3/2 {
		sim.RunUntil(sim.At() + 50*time.Millisecond)
		heard, on := sim.AgentsAtEpoch(epoch), sim.OnMachines()
		mark("heard-half", epoch > oldEpoch && heard*2 >= len(sim.Agents))
		mark("heard-all", epoch > oldEpoch && heard == len(sim.Agents))
		mark("back-half", on*2 >= before)
		mark("back-90", on*10 >= before*9 && elapsed() > 0.2)
		mark("new-task", sim.Running("wk-999999") > 0)
		mark("rent", sim.Cloud.Rented > rentedBefore)
		if sim.At()-second >= time.Second {
			_ = perSecond.RecordValue(int64(writes))
			maxCommands, maxRents = max(maxCommands, sim.CommandCount()-lastCommands), max(maxRents, sim.Cloud.Rented-lastRented)
			writes, second, lastCommands, lastRented = 0, sim.At(), sim.CommandCount(), sim.Cloud.Rented
		}
	}
	killed := tasksLost
	if down.Seconds() > sim.LeaseS {
		killed = before
	}
	for condition, at := range times {
		b.ReportMetric(at, condition+"-s")
	}
	b.ReportMetric(float64(perSecond.Max()), "changes/s-max")
	b.ReportMetric(float64(perSecond.ValueAtQuantile(50)), "changes/s-p50")
	b.ReportMetric(float64(maxCommands), "orders/s-max")
	b.ReportMetric(float64(maxRents), "rents/s-max")
	b.ReportMetric(float64(sim.Cloud.Rented-rentedBefore), "rented")
	b.ReportMetric(float64(sim.TaskStarts()-startsBefore-killed-20), "begun-beyond")
	b.ReportMetric(float64(before), "tasks")
	for _, violation := range sim.Violations {
		b.Error(strings.TrimSpace(violation))
	}
}
