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

// downFleet is the size of a measurement: tasks live on machines when all controllers end.
type downFleet struct {
	name                           string
	nodes, machines                int
	rps, wps, valueKB              float64
	txnOps, services, gangs, tasks int // jobs of 8 replicas, gangs of 4, tasks of sweeps
}

// BenchmarkDown ends all controllers of two fleets for 4 s and for 60 s, with 2% of the
// machines dying meanwhile, and reports how they come back, from the first process on:
// the first question answered, machines heard by a baton, tasks on machines again, the
// first new task and the first rent, the most changes and orders in one second, and how
// many attempts were begun beyond what had to be: those of the tasks on machines that
// died, and of all that the leases' ends killed. In simulated time: the figures repeat.
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

// world is a world of the fleet's size, before its controllers start.
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

// submitJobs hands in the jobs whose tasks fill the fleet.
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

// killMachines has some machines with tasks die, and gives the number of their tasks.
func killMachines(w *simulation.Simulator, dying int) int {
	hurt := 0
	for _, h := range w.Machines() {
		if agent := w.Agents[h]; agent != nil && dying > 0 && !agent.Empty() {
			hurt += agent.TaskCount()
			dying--
			agent.Die()
		}
	}
	return hurt
}

// fill plays until nearly all of the tasks are on machines.
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

// firstTimes is when each of some things was so first, in seconds.
type firstTimes map[string]float64

// mark notes the time if something is so for the first time.
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
	before, begun := w.OnMachines(), w.TaskStarts()
	crashAll(w)
	hurt := killMachines(w, f.machines/50)
	w.RunUntil(w.At() + down)
	start, was, rented, orders := w.At(), epoch, w.Cloud.Rented, w.CommandCount()
	bootAll(w)
	probe := func() float64 { return (w.At() - start).Seconds() }
	when := firstTimes{}
	mark := func(what string, is bool) { when.mark(what, is, probe()) }
	w.ProbeUser(100*time.Millisecond, func() { mark("answer", true) })
	s.submit([]string{"wk-999999", "sweep", "pieces=20", "accel=0.4", "run=5"})
	changes = 0
	ordersMost, second, lastOrders, lastRented, rentsMost := 0, start, orders, rented, 0
	for w.At() < start+30*time.Second+down*3/2 {
		w.RunUntil(w.At() + 50*time.Millisecond)
		heard, on := w.ShownCount(epoch), w.OnMachines()
		mark("heard-half", epoch > was && heard*2 >= len(w.Agents))
		mark("heard-all", epoch > was && heard == len(w.Agents))
		mark("back-half", on*2 >= before)
		mark("back-90", on*10 >= before*9 && probe() > 0.2)
		mark("new-task", w.Running("wk-999999") > 0)
		mark("rent", w.Cloud.Rented > rented)
		if w.At()-second >= time.Second {
			_ = perSecond.RecordValue(int64(changes))
			ordersMost, rentsMost = max(ordersMost, w.CommandCount()-lastOrders), max(rentsMost, w.Cloud.Rented-lastRented)
			changes, second, lastOrders, lastRented = 0, w.At(), w.CommandCount(), w.Cloud.Rented
		}
	}
	killed := hurt
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
	b.ReportMetric(float64(w.TaskStarts()-begun-killed-20), "begun-beyond")
	b.ReportMetric(float64(before), "tasks")
	for _, what := range w.Broken {
		b.Error(strings.TrimSpace(what))
	}
}
