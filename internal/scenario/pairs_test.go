package scenario

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/simulation"
)

// Simulations in which two kinds of fault meet. The seed selects the pair: as many consecutive
// seeds as there are pairs cover each pair once.
//
//	go test ./internal/scenario -run TestPairs -timeout 60m -pairs 280 -pairs-from 0
var (
	pairCount = flag.Int("pairs", 0, "number of simulations of two faults, instead of the seeds of CI")
	pairFrom  = flag.Int("pairs-from", 0, "first seed")
)

// fault is one kind of fault. begin starts it on a controller, mostly the leader; it ends by itself
// after d.
type fault struct {
	name  string
	begin func(s *script, leader string, d time.Duration)
}

// faultKinds are the kinds that TestPairs combines. Their order decides which pair a seed gives.
var faultKinds = []fault{
	{"controller partitioned", func(s *script, leader string, d time.Duration) {
		// It reaches neither the state service nor its peers, but users and workers reach it.
		sim, refused := s.sim, s.sim.RNG.IntN(2) == 0
		on := func(on bool) {
			if refused {
				sim.Store.RefusedNodes[leader] = on
			} else if on {
				sim.Cut(leader, "state", false)
			} else {
				sim.Heal(leader, "state")
			}
			s.cutPeers(leader, on)
		}
		on(true)
		sim.After(d, func() { on(false) })
		for at := time.Duration(0); at < d; at += 2 * time.Second { // some user requests go to it
			sim.After(at, func() { sim.EntryNode = []string{leader, ""}[sim.RNG.IntN(2)] })
		}
		sim.After(d, func() { sim.EntryNode = "" })
	}},
	{"state", func(s *script, leader string, d time.Duration) {
		sim := s.sim
		switch sim.RNG.IntN(3) {
		case 0:
			sim.Store.SetDown(true)
			sim.After(d, func() { sim.Store.SetDown(false) })
		case 1:
			sim.Store.Slow = time.Duration(100+sim.RNG.IntN(900)) * time.Millisecond
			sim.After(d, func() { sim.Store.Slow = 0 })
		case 2:
			sim.Store.RefusedNodes[leader] = true
			sim.After(d, func() { sim.Store.RefusedNodes[leader] = false })
		}
	}},
	{"late writes", func(s *script, _ string, d time.Duration) { s.sim.LateWrites(0.1+0.5*s.sim.RNG.Float64(), d) }},
	{"leader changes", func(s *script, leader string, d time.Duration) {
		sim, n := s.sim, s.sim.Nodes[leader]
		switch sim.RNG.IntN(4) {
		case 0:
			n.Crash()
		case 1:
			n.Freeze(d)
			return
		case 2:
			n.Shutdown()
			d += 10 * time.Second
		case 3:
			sim.Flap(leader, 1+sim.RNG.IntN(5), 900*time.Millisecond)
			return
		}
		sim.After(d, n.Boot)
	}},
	{"machines receive nothing", func(s *script, _ string, d time.Duration) {
		s.someMachines(func(machine string) {
			s.sim.Cut("*", machine, false)
			s.sim.After(d, func() { s.sim.Heal("*", machine) })
		})
	}},
	{"machines unreachable", func(s *script, _ string, d time.Duration) {
		s.someMachines(func(machine string) {
			s.sim.Cut("*", machine, false)
			s.sim.Cut(machine, "*", false)
			s.sim.After(d, func() { s.sim.Heal("*", machine); s.sim.Heal(machine, "*") })
		})
	}},
	{"held", func(s *script, _ string, d time.Duration) {
		sim := s.sim
		kind := sim.RNG.IntN(3)
		s.someMachines(func(machine string) {
			switch kind {
			case 0: // commands to it, delivered all at once in the end
				for _, n := range sim.NodeNames {
					sim.Cut(n+":cmd", machine, true)
					sim.After(d, func() { sim.Heal(n+":cmd", machine) })
				}
			case 1: // its answers to them
				for _, n := range sim.NodeNames {
					sim.Cut(machine, n+":cmd", true)
					sim.After(d, func() { sim.Heal(machine, n+":cmd") })
				}
			case 2: // the machine hangs
				if agent := sim.Agents[machine]; agent != nil {
					agent.Hung = true
					sim.After(d, agent.Resume)
				}
			}
		})
	}},
	{"handover and back", func(s *script, leader string, _ time.Duration) {
		sim := s.sim
		if sim.RNG.IntN(2) == 0 {
			sim.Nodes[leader].Shutdown()
			sim.After(8*time.Second, sim.Nodes[leader].Boot)
			return
		}
		for _, n := range sim.NodeNames {
			sim.Nodes[n].Crash()
			sim.After(time.Duration(200+sim.RNG.IntN(3000))*time.Millisecond, sim.Nodes[n].Boot)
		}
	}},
	{"gap", func(s *script, leader string, _ time.Duration) {
		// The state service refuses the leader alone, then everyone, for longer than cancel_s.
		sim := s.sim
		if s.outages++; s.outages > 2 || sim.Store.Down {
			return
		}
		sim.Store.RefusedNodes[leader] = true
		sim.After(14*time.Second, func() { sim.Store.RefusedNodes[leader] = false })
		sim.After(2*time.Second, func() { sim.Store.SetDown(true) })
		sim.After(time.Duration((sim.CancelS+14)*float64(time.Second)), func() { sim.Store.SetDown(false) })
	}},
	{"late reports", func(s *script, _ string, d time.Duration) { s.sim.LateReports(0.1+0.8*s.sim.RNG.Float64(), d) }},
}

// someMachines applies f to up to a third of the initial machines.
func (s *script) someMachines(f func(machine string)) {
	first, count := s.sim.RNG.IntN(len(s.machines)), 1+s.sim.RNG.IntN(len(s.machines)/3)
	for i := range count {
		f(s.machines[(first+i)%len(s.machines)])
	}
}

// cutPeers cuts or restores the links between a controller and the others.
func (s *script) cutPeers(name string, on bool) {
	for _, other := range s.sim.NodeNames {
		switch {
		case other == name:
		case on:
			s.sim.Cut(name, other, false)
			s.sim.Cut(other, name, false)
		default:
			s.sim.Heal(name, other)
			s.sim.Heal(other, name)
		}
	}
}

// pairOf returns the pair of faults that a seed selects.
func pairOf(seed int) (a, b fault) {
	pairs := len(faultKinds) * (len(faultKinds) - 1) / 2
	k := seed % pairs
	for i := range faultKinds {
		if rest := len(faultKinds) - 1 - i; k >= rest {
			k -= rest
			continue
		}
		return faultKinds[i], faultKinds[i+1+k]
	}
	panic("no such pair")
}

// pairDeployments are the worker timings of the deployments in use.
var pairDeployments = []simulation.Simulator{
	{LeaseS: 16, CancelS: 41, HeartbeatS: 2},
	{LeaseS: 42, CancelS: 62, HeartbeatS: 3},
	{LeaseS: 38, CancelS: 63, HeartbeatS: 3},
}

// TestPairs repeats two faults for two minutes and then checks what users rely on: no invariant is
// violated, no job is lost or left waiting, half of the jobs of each class and team and of the
// largest jobs start, and the largest start in time.
func TestPairs(t *testing.T) {
	seeds := []int{8, 14, 17, 31, 37} // the seeds of CI: each kind of fault is in one of these pairs
	if *pairCount > 0 {
		seeds = seeds[:0]
		for i := range *pairCount {
			seeds = append(seeds, *pairFrom+i)
		}
	}
	for _, seed := range seeds {
		a, b := pairOf(seed)
		t.Run(fmt.Sprintf("%d %s, %s", seed, a.name, b.name), func(t *testing.T) {
			t.Parallel()
			playPair(
				t,
				uint64(seed),
				seed,
				[]settings.TaskBatching{settings.BatchingAlways, settings.BatchingWhenScarce}[seed%2],
				a,
				b,
				func(*script) {},
			)
		})
	}
}

// playPair runs and checks one simulation of two faults. randomSeed seeds the random source; seed
// selects the deployment and the number of controllers; setup is called before the simulation
// starts.
func playPair(
	t *testing.T,
	randomSeed uint64,
	seed int,
	batching settings.TaskBatching,
	a, b fault,
	setup func(*script),
) {
	t.Helper()
	s := drawnWorld{
		seed:        randomSeed,
		timing:      &pairDeployments[seed%len(pairDeployments)],
		controllers: 3 + 2*(seed/2%2),
		teams:       []settings.Team{{Name: "team", GpusMax: 110}, {Name: "other", GpusMax: 50}},
		batching:    batching,
	}.start(t)
	sim := s.sim
	s.drawJobs()
	s.drawStaggered()
	setup(s)
	for sim.RunUntil(12 * time.Second); sim.At() < 130*time.Second; {
		leader := sim.Leader()
		if leader == "" {
			leader = sim.NodeNames[sim.RNG.IntN(len(sim.NodeNames))]
		}
		duration := func() time.Duration { return time.Duration(2000+sim.RNG.IntN(16000)) * time.Millisecond }
		a.begin(s, leader, duration())
		sim.After(time.Duration(sim.RNG.IntN(5000))*time.Millisecond, func() { b.begin(s, leader, duration()) })
		sim.RunUntil(sim.At() + time.Duration(8000+sim.RNG.IntN(20000))*time.Millisecond)
	}
	sim.RunUntil(sim.At() + 80*time.Second) // the last outage is over, and waiting jobs have had their turn
	sim.CheckRecovery()
	sim.CheckServed(true)
	sim.CheckRefused()
	for _, b := range sim.Violations {
		t.Error(b)
	}
}

// drawStaggered submits arrays whose tasks end far apart.
func (s *script) drawStaggered() {
	sim, r := s.sim, s.sim.RNG
	for i := range 25 {
		jobID := fmt.Sprintf("wk-%06d", 1000+i)
		args := []string{
			jobID,
			"sweep",
			fmt.Sprintf("pieces=%d", 2+r.IntN(2)),
			fmt.Sprintf("run=%d", 3+r.IntN(10)),
			fmt.Sprintf("apart=%d", 5+r.IntN(15)),
			"class=apart",
		}
		at := time.Duration(5000+r.IntN(90000)) * time.Millisecond
		sim.After(at, func() { s.submit(args) })
		sim.After(at+time.Duration(r.IntN(30000))*time.Millisecond, func() {
			if sim.Jobs[jobID].Accepted {
				sim.Resubmit(sim.Jobs[jobID])
			}
		})
	}
}
