package scenario

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/simulation"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
)

// Size of BenchmarkTakeOver: simulations, and leader changes in each.
const (
	takeOverSimulations = 20
	leaderChangesEach   = 10
	leaderChangeEvery   = 20 * time.Second
)

// BenchmarkTakeOver stops the leader of five controllers with 200 machines 200 times, with another
// random seed after every ten. It reports the times from the stop to a view with another leader, to
// the first task that the new leader assigns or places, and to a token of the new view on every
// machine. All in simulated time, so the figures are reproducible, except ns/op.
//
//	go test ./internal/scenario -run '^$' -bench TakeOver -benchtime 1x
func BenchmarkTakeOver(b *testing.B) {
	for _, how := range []string{"lease", "calls", "in order"} {
		b.Run(how, func(b *testing.B) {
			for b.Loop() {
				m := newTakeOvers()
				for seed := range uint64(takeOverSimulations) {
					m.play(b, seed, how)
				}
				m.report(b)
			}
		})
	}
}

// takeOvers holds the measured times, in ms.
type takeOvers struct {
	view, release, heard *hdrhistogram.Histogram // to the events that BenchmarkTakeOver names
	writes, requests     int                     // writes and requests to the state service
}

func newTakeOvers() *takeOvers {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000, 3) }
	return &takeOvers{view: h(), release: h(), heard: h()}
}

// takeOver is one simulation of the benchmark.
type takeOver struct {
	m        *takeOvers
	s        *script
	ended    time.Time // when the leader stopped; zero after the next leader's first decision
	led      bool      // the view names another leader
	epoch    uint64
	assigned map[string]bool // tasks assigned or placed so far
}

// newTakeOver returns a simulation of five controllers and 200 machines.
func newTakeOver(m *takeOvers, seed uint64, how string) *takeOver {
	sim := simulation.NewSimulator(seed, slog.New(slog.DiscardHandler))
	s := &script{sim: sim, vars: map[string]string{}, applied: map[string]int{}}
	s.set = baseSettings(sim)
	s.set.Cluster.Size = 5
	s.set.Cluster.Teams = []settings.Team{{Name: "team"}}
	s.set.Cluster.Workers.HeartbeatS, sim.HeartbeatS = 8, 8
	if how == "lease" {
		s.set.Operator.Failover = settings.FailoverOnLeaseExpiry
	}
	sim.Cloud.Limit = 200
	for i := range 200 {
		sim.Cloud.AddRunning("g4", []string{"a", "b"}[i%2], false)
	}
	p := &takeOver{m: m, s: s, assigned: map[string]bool{}}
	sim.Store.Committed = p.committed
	sim.AddNodes(5, s.set)
	return p
}

// committed records one write.
func (p *takeOver) committed(key string, v json.RawMessage) {
	if key == members.ViewKey {
		p.viewCommitted(v)
		return
	}
	if p.assignsTasks(key, v) && p.led {
		_ = p.m.release.RecordValue(p.s.sim.Now.Sub(p.ended).Milliseconds() + 1)
		p.ended, p.led = time.Time{}, false
	}
}

// viewCommitted records a view, and whether it names another leader.
func (p *takeOver) viewCommitted(v json.RawMessage) {
	view, ok := members.Decode(v)
	if !ok {
		return
	}
	p.epoch = view.Epoch
	if !p.ended.IsZero() && !p.led && view.Leader != p.s.vars["boss"] {
		p.led = true
		_ = p.m.view.RecordValue(p.s.sim.Now.Sub(p.ended).Milliseconds() + 1)
	}
}

// assignsTasks reports whether a write assigns or places a task for the first time.
func (p *takeOver) assignsTasks(key string, v json.RawMessage) bool {
	first := false
	take := func(taskID string, t *jobs.Task) {
		if (t.State == jobs.Assigned || t.State == jobs.Placed) && !p.assigned[taskID] {
			p.assigned[taskID], first = true, true
		}
	}
	switch {
	case v == nil:
	case strings.HasPrefix(key, jobs.TaskPrefix):
		ts, _ := jobs.DecodeTaskRange(v)
		for i := range ts {
			take(fmt.Sprint(key, "+", i), &ts[i])
		}
	case strings.HasPrefix(key, taskbatch.KeyPrefix):
		es, _ := taskbatch.Decode(v)
		for i := range es {
			take(jobs.TaskID(es[i].JobID, es[i].Index), &es[i].Task)
		}
	}
	return first
}

// load submits a service and small jobs.
func (p *takeOver) load() {
	s, sim := p.s, p.s.sim
	// The service occupies the machines and leaves room for the small jobs that keep arriving,
	// so that a missing leader is the only reason for a task to wait.
	sim.After(2*time.Second, func() { s.submit([]string{"wk-0", "standing", "pieces=200", "accel=3"}) })
	for i := range int(float64(leaderChangesEach+1) * leaderChangeEvery.Seconds() * 5) {
		jobID := fmt.Sprintf("wk-%06d", i+1)
		sim.After(3*time.Second+time.Duration(i)*200*time.Millisecond, func() {
			s.submit([]string{jobID, "sweep", "pieces=2", "run=8", "cores=1", "accel=0.25"})
		})
	}
}

// endLeader stops the leader, and waits until all machines have seen a token of the new view.
func (p *takeOver) endLeader(tb testing.TB, at time.Duration, how string) {
	tb.Helper()
	s, sim := p.s, p.s.sim
	sim.RunUntil(at - time.Duration(sim.RNG.IntN(3000))*time.Millisecond)
	leader := sim.Leader()
	if leader == "" {
		tb.Fatal("no controller is leader")
	}
	s.vars["boss"] = leader
	was := p.epoch
	if how == "in order" {
		sim.Nodes[leader].Shutdown()
		for before := p.epoch; p.epoch == before; sim.RunUntil(sim.At() + 5*time.Millisecond) {
			p.ended = sim.Now // measure from the handover
		}
	} else {
		p.ended = sim.Now
		sim.Nodes[leader].Crash()
	}
	from := sim.Now
	for p.epoch == was || !sim.TokenShown(p.epoch) {
		sim.RunUntil(sim.At() + 10*time.Millisecond)
		if sim.Now.Sub(from) > 30*time.Second {
			tb.Fatal("not all machines have seen a token of the new view")
		}
	}
	_ = p.m.heard.RecordValue(sim.Now.Sub(from).Milliseconds() + 1)
	sim.RunUntil(sim.At() + 2*time.Second)
	sim.Nodes[leader].Boot()
}

// play runs one simulation.
func (m *takeOvers) play(tb testing.TB, seed uint64, how string) {
	tb.Helper()
	p := newTakeOver(m, seed, how)
	sim := p.s.sim
	requests, writes := sim.Store.Requests, sim.Store.Writes
	p.load()
	for i := range leaderChangesEach {
		p.endLeader(tb, time.Duration(i+1)*leaderChangeEvery, how)
	}
	m.writes += sim.Store.Writes - writes
	m.requests += sim.Store.Requests - requests
	for _, violation := range sim.Violations {
		tb.Error(violation)
	}
}

// report reports the measured times and counts.
func (m *takeOvers) report(b *testing.B) {
	b.Helper()
	for name, h := range map[string]*hdrhistogram.Histogram{"view": m.view, "release": m.release, "heard": m.heard} {
		b.ReportMetric(float64(h.ValueAtQuantile(50)), name+"-p50-ms")
		b.ReportMetric(float64(h.ValueAtQuantile(95)), name+"-p95-ms")
		b.ReportMetric(float64(h.Max()), name+"-max-ms")
	}
	b.ReportMetric(float64(m.release.TotalCount()), "ends")
	b.ReportMetric(float64(m.writes)/takeOverSimulations, "changes/world")
	b.ReportMetric(float64(m.requests)/takeOverSimulations, "requests/world")
}
