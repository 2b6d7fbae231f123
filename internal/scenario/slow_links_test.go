package scenario

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/simulation"
)

// minAnsweredShare is the share of the questions about jobs that must be answered in time while
// links or the state service are slow and at most one controller is away.
const minAnsweredShare = 0.99

// awayCases are what is wrong with one of three controllers besides slow links.
var awayCases = []struct {
	name  string
	begin func(sim *simulation.Simulator, s *script, follower string)
}{
	{"all well", func(*simulation.Simulator, *script, string) {}},
	{"one ended", func(sim *simulation.Simulator, _ *script, follower string) { sim.Nodes[follower].Crash() }},
	{"one without peers", func(_ *simulation.Simulator, s *script, follower string) { s.cutPeers(follower, true) }},
	{"one without state service", func(sim *simulation.Simulator, _ *script, follower string) {
		sim.Cut(follower, "state", false)
		sim.Cut("state", follower, false)
		sim.EntryNode = sim.Leader() // the share counts the controllers that reach the state service
	}},
	{"one of the version before", func(*simulation.Simulator, *script, string) {}},
}

// Questions about live jobs are answered on all supported links and state services, also while one of
// three controllers is away.
func TestQuestionsAreAnsweredOverSlowLinks(t *testing.T) {
	links := []time.Duration{300 * time.Microsecond, 14 * time.Millisecond, 40 * time.Millisecond, 100 * time.Millisecond}
	services := []time.Duration{3 * time.Millisecond, 40 * time.Millisecond, 200 * time.Millisecond}
	for i, delay := range links {
		for j, service := range services {
			for k, away := range awayCases {
				t.Run(fmt.Sprintf("%v, %v, %s", delay, service, away.name), func(t *testing.T) {
					t.Parallel()
					sim := simulation.NewSimulator(uint64(i*100+j*10+k), slog.New(slog.DiscardHandler))
					sim.WatchTasks()
					s := &script{t: t, sim: sim, set: baseSettings(sim), vars: map[string]string{}}
					s.set.Cluster.Teams = []settings.Team{{Name: "team", GpusMax: 200}}
					sim.TeamLimits["team"] = 200
					if away.name == "one of the version before" {
						sim.Unconfirming["n1"] = true
						sim.EntryNode = "n0"
					}
					for m := range 20 {
						s.machines = append(s.machines, sim.Cloud.AddRunning("g4", []string{"a", "b"}[m%2], false))
					}
					sim.AddNodes(3, s.set)
					sim.RunUntil(6 * time.Second)
					sim.Links = simulation.Links{Delay: delay, Jitter: 0.25, Loss: 0.01}
					sim.Store.Slow = service
					away.begin(sim, s, s.value([]string{"follower"}))
					sim.RunUntil(16 * time.Second)
					s.submitAtIntervals()
					sim.RunUntil(26 * time.Second)
					polls := &simulation.PollCounts{}
					sim.Polls = polls
					sim.RunUntil(70 * time.Second)
					sim.Polls = &simulation.PollCounts{} // the questions asked from now on are not awaited
					sim.RunUntil(73 * time.Second)
					if polls.Sent < 200 || float64(polls.Answered) < minAnsweredShare*float64(polls.Sent) {
						t.Errorf("%d of %d questions were answered in time", polls.Answered, polls.Sent)
					}
					for _, violation := range sim.Violations {
						t.Error(violation)
					}
				})
			}
		}
	}
}

// submitAtIntervals submits arrays that end and services that do not, all from now on.
func (s *script) submitAtIntervals() {
	for i := range 60 {
		args := []string{fmt.Sprintf("wk-%06d", i), "sweep", "pieces=2", "run=8"}
		if i%3 == 0 {
			args = []string{fmt.Sprintf("wk-%06d", i), "standing", "pieces=1"}
		}
		s.sim.After(time.Duration(i)*500*time.Millisecond, func() { s.submit(args) })
	}
}
