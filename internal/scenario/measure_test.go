package scenario

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/pipefile"
	"github.com/harrierreel/harrierreel/internal/pipelines"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/simulation"
)

// Load of BenchmarkRuns: the number of concurrent pipeline runs, and how they arrive.
const (
	measuredRuns  = 1000
	measuredEvery = 150 * time.Millisecond
	measuredStep  = 150 // duration of a step's job in seconds
	measuredSteps = 4
	killEvery     = 20 * time.Second
	killFor       = 4 * time.Second
)

// BenchmarkRuns plays 1,000 concurrent pipeline runs on five simulated controllers within the rate
// limits of a fleet's state service. It reports the writes and requests per step, and the time from
// a step's end to the next step's submission. With kills, a controller crashes every 20 s. All in
// simulated time, so the figures are reproducible, except ns/op, the real time of the simulation.
//
//	go test ./internal/scenario -run '^$' -bench Runs -benchtime 1x
func BenchmarkRuns(b *testing.B) {
	for _, kill := range []bool{false, true} {
		b.Run(fmt.Sprintf("kills=%v", kill), func(b *testing.B) {
			for b.Loop() {
				measure(b, kill)
			}
		})
	}
}

// chainFile returns a pipeline file of measuredSteps steps, each of which needs the previous one.
func chainFile() []byte {
	var text strings.Builder
	text.WriteString("name: chain\nowner: team\n")
	text.WriteString("defaults: {cores: 2, accelerators: 1, memory_gb: 8, bundle: img-1, pull_gb: 1, ")
	text.WriteString("expect_s: " + strconv.Itoa(measuredStep) + "}\nsteps:\n")
	for i := range measuredSteps {
		text.WriteString("  - {name: s" + strconv.Itoa(i))
		if i > 0 {
			text.WriteString(", needs: s" + strconv.Itoa(i-1))
		}
		text.WriteString("}\n")
	}
	return []byte(text.String())
}

// runMeasurement records when steps end and the next ones are submitted.
type runMeasurement struct {
	sim   *simulation.Simulator
	gaps  *hdrhistogram.Histogram // from a step's end to the next step's job, in ms
	ended map[string]time.Time    // end of each job
	after map[string]string       // job of the previous step, by job
	kinds map[string]int          // writes by the first part of their key
}

// newRunMeasurement returns a simulation with the controllers and machines of BenchmarkRuns.
func newRunMeasurement() *runMeasurement {
	sim := simulation.NewSimulator(5, slog.New(slog.DiscardHandler))
	set := baseSettings(sim)
	set.Cluster.Size = 5
	set.Cluster.Teams = []settings.Team{{Name: "team"}}
	set.Cluster.Workers.HeartbeatS, sim.HeartbeatS = 8, 8
	set.Operator.Pipelines = settings.DefaultPipelines()
	sim.Store.RPS, sim.Store.WPS = set.Cluster.State.RPS, set.Cluster.State.WriteRPS
	sim.Cloud.Limit = 400
	for i := range 150 {
		sim.Cloud.AddRunning("g8", []string{"a", "b"}[i%2], false)
	}
	m := &runMeasurement{
		sim:   sim,
		gaps:  hdrhistogram.New(1, 600_000, 3),
		ended: map[string]time.Time{},
		after: map[string]string{},
		kinds: map[string]int{},
	}
	sim.Store.Committed = m.committed
	sim.AddNodes(5, set)
	return m
}

// committed records one write.
func (m *runMeasurement) committed(key string, v json.RawMessage) {
	kind, name, _ := strings.Cut(key, "/")
	m.kinds[kind]++
	switch kind + "/" {
	case pipelines.RunPrefix:
		if rec, err := pipelines.Decode(v); v != nil && err == nil {
			for i := 1; i < measuredSteps; i++ {
				jobID := func(i int) string { return pipelines.JobID(name, rec.Salt, fmt.Sprintf("s%d", i), 0) }
				m.after[jobID(i)] = jobID(i - 1)
			}
		}
	case jobs.FinalPrefix:
		m.ended[name] = m.sim.Now
	case jobs.JobPrefix:
		if at, ok := m.ended[m.after[name]]; ok && v != nil {
			_ = m.gaps.RecordValue(m.sim.Now.Sub(at).Milliseconds() + 1)
			delete(m.after, name)
		}
	}
}

// killer crashes a controller every killEvery and restarts it killFor later.
type killer struct {
	next   time.Duration
	victim int
}

func (k *killer) step(sim *simulation.Simulator, at time.Duration) {
	if at < k.next {
		return
	}
	node := sim.Nodes[sim.NodeNames[k.victim%len(sim.NodeNames)]]
	node.Crash()
	sim.After(killFor, node.Boot)
	k.next += killEvery
	k.victim++
}

// finishedRuns returns the number of runs that have ended.
func finishedRuns(sim *simulation.Simulator) int {
	ended := 0
	for _, r := range sim.Runs {
		if pipelines.RunState(r.State).Ended() {
			ended++
		}
	}
	return ended
}

func measure(b *testing.B, kill bool) {
	b.Helper()
	f, faults := pipefile.Parse("chain", chainFile())
	if len(faults) > 0 {
		b.Fatal(faults)
	}
	m := newRunMeasurement()
	sim := m.sim
	sim.RunUntil(10 * time.Second)
	requests, writes := sim.Store.Requests, sim.Store.Writes
	for i := range measuredRuns {
		id := simulation.RunID(i)
		sim.After(time.Duration(i)*measuredEvery, func() { sim.SubmitRun(&simulation.Run{ID: id, Body: f.Submission(id)}) })
	}
	at := 10 * time.Second
	maxLiveRuns, ended := 0, 0
	kills := &killer{next: at + killEvery}
	for ; ended < measuredRuns && at < time.Hour; at += time.Second {
		if kill {
			kills.step(sim, at)
		}
		sim.RunUntil(at)
		ended = finishedRuns(sim)
		maxLiveRuns = max(maxLiveRuns, sim.Store.Count(pipelines.RunPrefix))
	}
	if ended < measuredRuns || len(sim.Violations) > 0 {
		b.Fatalf("%d of %d runs ended; violations: %v", ended, measuredRuns, sim.Violations[:min(len(sim.Violations), 5)])
	}
	steps := float64(measuredRuns * measuredSteps)
	b.ReportMetric(float64(sim.Store.Writes-writes)/steps, "changes/step")
	b.ReportMetric(float64(m.kinds["run"]+m.kinds["ran"])/steps, "run-changes/step")
	b.ReportMetric(float64(sim.Store.Requests-requests)/steps, "requests/step")
	b.ReportMetric(float64(maxLiveRuns), "live-runs")
	b.ReportMetric(float64(m.gaps.ValueAtQuantile(50)), "gap-p50-ms")
	b.ReportMetric(float64(m.gaps.ValueAtQuantile(99)), "gap-p99-ms")
	b.ReportMetric(float64(m.gaps.Max()), "gap-max-ms")
	b.ReportMetric(at.Seconds(), "simulated-s")
}
