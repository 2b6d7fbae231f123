package scenario

import (
	"flag"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/simulation"
)

// Simulations with random faults; flags select how many and the first seed:
//
//	go test ./internal/scenario -run TestDrawnTroubles -troubles 100 -troubles-from 0
var (
	randomFaultCount = flag.Int("troubles", 3, "number of simulations with random faults")
	randomFaultFrom  = flag.Int("troubles-from", 0, "first seed")
)

// TestDrawnTroubles injects random faults of every kind that the simulation has, several at a time,
// for two and a half minutes, and then checks what users rely on: no invariant is violated, no job
// is lost or left waiting, half of the jobs of each class and team and of the largest jobs start,
// and the largest start in time.
func TestDrawnTroubles(t *testing.T) {
	for seed := *randomFaultFrom; seed < *randomFaultFrom+*randomFaultCount; seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			s := drawnWorld{
				seed:        uint64(seed),
				controllers: 5,
				teams:       []settings.Team{{Name: "team", GpusMax: 120}, {Name: "other", GpusMax: 60}},
				batching:    []settings.TaskBatching{settings.BatchingAlways, settings.BatchingWhenScarce}[seed%2],
			}.start(t)
			sim := s.sim
			s.drawJobs()
			for sim.RunUntil(10 * time.Second); sim.At() < 150*time.Second; {
				s.drawFault()
				sim.RunUntil(sim.At() + time.Duration(sim.RNG.IntN(7000))*time.Millisecond)
			}
			sim.RunUntil(sim.At() + 25*time.Second)
			sim.CheckRecovery()
			sim.CheckServed(true)
			sim.CheckRefused()
			for _, b := range sim.Violations {
				t.Error(b)
			}
		})
	}
}

// drawJobs submits random jobs of all shapes for two minutes, and cancels some of them.
func (s *script) drawJobs() {
	sim, r := s.sim, s.sim.RNG
	for i, at := 0, 5.0; at < 120; i, at = i+1, at+0.3+r.Float64() {
		jobID := fmt.Sprintf("wk-%06d", i)
		shape := []string{"sweep", "sweep", "ensemble", "standing"}[r.IntN(4)]
		args := []string{
			jobID,
			shape,
			fmt.Sprintf("pieces=%d", 1+r.IntN(6)),
			fmt.Sprintf("run=%d", 2+r.IntN(30)),
			"owner=" + []string{"team", "other"}[r.IntN(2)],
			"class=" + shape,
		}
		sim.After(time.Duration(at*float64(time.Second)), func() { s.submit(args) })
		if shape == "standing" || r.IntN(4) == 0 {
			sim.After(time.Duration((at+5+40*r.Float64())*float64(time.Second)), func() {
				if sim.Jobs[jobID].Accepted {
					sim.Cancel(sim.Jobs[jobID])
				}
			})
		}
	}
}

// drawFault starts one random fault, which ends by itself.
func (s *script) drawFault() {
	sim, r := s.sim, s.sim.RNG
	n := sim.Nodes[sim.NodeNames[r.IntN(len(sim.NodeNames))]]
	machine := s.machines[r.IntN(len(s.machines))]
	d := time.Duration(500+r.IntN(9000)) * time.Millisecond
	switch kind := r.IntN(15); kind {
	case 2, 3, 4, 5, 6, 8, 9:
		s.beginServiceFault(kind, n.Name, d)
	default:
		s.beginNodeFault(kind, n, machine, d)
	}
}

// toggle calls set(true) now and set(false) after d.
func (s *script) toggle(d time.Duration, set func(on bool)) {
	set(true)
	s.sim.After(d, func() { set(false) })
}

// beginServiceFault starts a fault of the state service or delays requests.
func (s *script) beginServiceFault(kind int, name string, d time.Duration) {
	sim, r := s.sim, s.sim.RNG
	switch kind {
	case 2:
		s.toggle(d, sim.Store.SetDown)
	case 3:
		sim.Store.Slow = time.Duration(r.IntN(1500)) * time.Millisecond
		sim.After(d, func() { sim.Store.Slow = 0 })
	case 4:
		sim.Store.WatchDelay[name] = d
		sim.After(2*d, func() { sim.Store.WatchDelay[name] = 0 })
	case 5:
		s.toggle(2*d, func(on bool) { sim.Store.RefusedNodes[name] = on })
	case 6:
		sim.Store.FailPages = 2 + r.IntN(5)
		sim.After(2*d, func() { sim.Store.FailPages = 0 })
	case 8:
		sim.Store.LoseAnswers[name] = 1 + r.IntN(5)
	case 9:
		sim.DelayRequests([]string{"beat", "cmd", "state", "rent"}[r.IntN(4)], d, 3+r.IntN(20))
	}
}

// beginNodeFault starts a fault of a controller, of a machine or of the network between them.
func (s *script) beginNodeFault(kind int, n *simulation.Node, machine string, d time.Duration) {
	sim, r := s.sim, s.sim.RNG
	switch kind {
	case 0:
		sim.Flap(n.Name, 1+r.IntN(6), 900*time.Millisecond)
	case 1:
		for _, name := range sim.NodeNames {
			sim.Flap(name, 1+r.IntN(2), 1500*time.Millisecond)
		}
	case 7:
		n.Freeze(d)
	case 10:
		if agent := sim.Agents[machine]; agent != nil {
			agent.Restart()
		}
	case 11:
		if agent := sim.Agents[machine]; agent != nil {
			agent.Hung = true
			sim.After(d, agent.Resume)
		}
	case 12:
		s.toggle(2*d, func(on bool) { sim.RefusePeers(n.Name, on) })
	case 13:
		n.Shutdown()
		sim.After(10*time.Second, n.Boot)
	case 14:
		sim.Cut(n.Name, machine, true)
		sim.After(d, func() { sim.Heal(n.Name, machine) })
	}
}
