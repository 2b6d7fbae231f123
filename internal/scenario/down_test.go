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

// world returns a simulation of the fleet before its controllers start.
func (f downFleet) world() *script {
	w := simulation.NewSimulator(11, slog.New(slog.DiscardHandler))
	s := &script{w: w, vars: map[string]string{}, applied: map[string]int{}}
	s.set = baseSettings(w)
	s.set.Cluster.Size = f.nodes
	s.set.Cluster.Teams = []settings.Team{{Name: "team"}}
	s.set.Cluster.Workers.HeartbeatS, w.ReportS = 8, 8
	s.set.Cluster.Workers.LeaseS, w.LeaseS = 42, 42
	s.set.Cluster.State = settings.State{RPS: f.rps, WriteRPS: f.wps, ValueKB: f.valueKB, TxnOps: f.txnOps}
	w.Cloud.Limit = f.machines + 200
	for i := range f.machines {
		w.Cloud.AddRunning("g8", []string{"a", "b"}[i%2], false)
	}
	return s
}

// submitJobs submits the jobs whose tasks fill the fleet.
func (f downFleet) submitJobs(s *script) {
	w := s.w
	jobs := 0
	submit := func(at time.Duration, words ...string) {
		jobs++
		jobID := fmt.Sprintf("wk-%06d", jobs)
		w.After(at, func() { s.submit(append([]string{jobID}, words...)) })
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
func killMachines(w *simulation.Simulator, dying int) int {
	tasksLost := 0
	for _, machine := range w.Machines() {
		if agent := w.Agents[machine]; agent != nil && dying > 0 && !agent.Empty() {
			tasksLost += agent.TaskCount()
			dying--
			agent.Die()
		}
	}
	return tasksLost
}

// fill runs the simulation until 99% of the tasks are on machines.
func (f downFleet) fill(b *testing.B, w *simulation.Simulator) {
	b.Helper()
	total := 8*f.services + 4*f.gangs + f.tasks
	w.RunUntil(time.Minute)
	for w.OnMachines() < total*99/100 && w.At() < 10*time.Minute {
		w.RunUntil(w.At() + time.Second)
	}
	if on := w.OnMachines(); on < total*99/100 {
		b.Fatalf("%d of %d tasks run", on, total)
	}
}

// firstTimes is the time in seconds at which each condition first held, by its name.
type firstTimes map[string]float64

// mark records the time of a condition that holds for the first time.
func (f firstTimes) mark(what string, is bool, seconds float64) {
	if _, done := f[what]; !done && is {
		f[what] = seconds
	}
}

func (f downFleet) play(b *testing.B, down time.Duration) {
	b.Helper()
	s := f.world()
	w := s.w
	var epoch uint64
	changes, perSecond := 0, hdrhistogram.New(1, 10_000, 2)
	w.Store.Committed = func(key string, v json.RawMessage) {
		changes++
		if view, ok := members.Decode(v); key == members.ViewKey && ok {
			epoch = view.Epoch
		}
	}
	w.AddNodes(f.nodes, s.set)
	f.submitJobs(s)
	f.fill(b, w)
	before, startsBefore := w.OnMachines(), w.TaskStarts()
	crashAll(w)
	tasksLost := killMachines(w, f.machines/50)
	w.RunUntil(w.At() + down)
	start, oldEpoch, rented, orders := w.At(), epoch, w.Cloud.Rented, w.CommandCount()
	bootAll(w)
	elapsed := func() float64 { return (w.At() - start).Seconds() }
	when := firstTimes{}
	mark := func(what string, is bool) { when.mark(what, is, elapsed()) }
	w.PollUntilAnswered(100*time.Millisecond, func() { mark("answer", true) })
	s.submit([]string{"wk-999999", "sweep", "pieces=20", "accel=0.4", "run=5"})
	changes = 0
	ordersMost, second, lastOrders, lastRented, rentsMost := 0, start, orders, rented, 0
	for w.At() < start+30*time.Second+down*3/2 {
		w.RunUntil(w.At() + 50*time.Millisecond)
		heard, on := w.AgentsAtEpoch(epoch), w.OnMachines()
		mark("heard-half", epoch > oldEpoch && heard*2 >= len(w.Agents))
		mark("heard-all", epoch > oldEpoch && heard == len(w.Agents))
		mark("back-half", on*2 >= before)
		mark("back-90", on*10 >= before*9 && elapsed() > 0.2)
		mark("new-task", w.Running("wk-999999") > 0)
		mark("rent", w.Cloud.Rented > rented)
		if w.At()-second >= time.Second {
			_ = perSecond.RecordValue(int64(changes))
			ordersMost, rentsMost = max(ordersMost, w.CommandCount()-lastOrders), max(rentsMost, w.Cloud.Rented-lastRented)
			changes, second, lastOrders, lastRented = 0, w.At(), w.CommandCount(), w.Cloud.Rented
		}
	}
	killed := tasksLost
	if down.Seconds() > w.LeaseS {
		killed = before
	}
	for what, at := range when {
		b.ReportMetric(at, what+"-s")
	}
	b.ReportMetric(float64(perSecond.Max()), "changes/s-max")
	b.ReportMetric(float64(perSecond.ValueAtQuantile(50)), "changes/s-p50")
	b.ReportMetric(float64(ordersMost), "orders/s-max")
	b.ReportMetric(float64(rentsMost), "rents/s-max")
	b.ReportMetric(float64(w.Cloud.Rented-rented), "rented")
	b.ReportMetric(float64(w.TaskStarts()-startsBefore-killed-20), "begun-beyond")
	b.ReportMetric(float64(before), "tasks")
	for _, what := range w.Violations {
		b.Error(strings.TrimSpace(what))
	}
}
