package scenario

import (
	"flag"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/settings"
)

// A soak plays drawn worlds one after the other. In CI it is a fixed number of them; a long run is
//
//	go test ./internal/scenario -run TestSoak -timeout 60m -soak 30m -soak-from 1000
var (
	soakFor   = flag.Duration("soak", 0, "how long to play drawn worlds, instead of the number of CI")
	soakCount = flag.Int("soak-worlds", 24, "number of drawn worlds without -soak")
	soakFrom  = flag.Int("soak-from", 0, "first seed")
)

// TestSoak draws worlds in which controllers end and return, links and the state service are slow, and
// other faults come and go, and checks in each what users rely on.
func TestSoak(t *testing.T) {
	var played atomic.Int64
	begun := time.Now()
	goesOn := func(number int) bool {
		if *soakFor > 0 {
			return time.Since(begun) < *soakFor
		}
		return number < *soakCount
	}
	var next atomic.Int64
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for number := int(next.Add(1)) - 1; goesOn(number); number = int(next.Add(1)) - 1 {
				seed := *soakFrom + number
				t.Run(strconv.Itoa(seed), func(t *testing.T) { playSoakWorld(t, seed) })
				played.Add(1)
			}
		})
	}
	workers.Wait()
	t.Logf("%d worlds in %v", played.Load(), time.Since(begun).Round(time.Second))
}

// playSoakWorld plays and checks one world of four minutes.
func playSoakWorld(t *testing.T, seed int) {
	t.Helper()
	s := drawnWorld{
		seed:        uint64(seed) + 333000,
		timing:      &pairDeployments[seed%len(pairDeployments)],
		controllers: 3 + 2*(seed%2),
		teams:       []settings.Team{{Name: "team", Gpus: 60, GpusMax: 120}, {Name: "other", Gpus: 30, GpusMax: 60}},
		batching:    []settings.TaskBatching{settings.BatchingAlways, settings.BatchingWhenScarce}[seed/2%2],
	}.start(t)
	sim := s.sim
	s.drawJobs()
	s.drawStaggered()
	sim.PollInBursts(150 * time.Second)
	for sim.RunUntil(10 * time.Second); sim.At() < 150*time.Second; {
		s.drawEnd()
		if sim.RNG.IntN(2) == 0 {
			s.drawFault()
		}
		sim.RunUntil(sim.At() + time.Duration(3000+sim.RNG.IntN(12000))*time.Millisecond)
	}
	sim.RunUntil(sim.At() + 25*time.Second)
	sim.CheckRecovery()
	sim.CheckServed(true)
	sim.CheckRefused()
	for _, violation := range sim.Violations {
		t.Error(violation)
	}
	if t.Failed() {
		t.Logf("links %+v, state service %v", sim.Links, sim.Store.ServiceTime)
	}
}

// drawEnd ends a controller, which returns soon, after a while or when the leader has changed.
func (s *script) drawEnd() {
	sim, r := s.sim, s.sim.RNG
	node := sim.Nodes[sim.NodeNames[r.IntN(len(sim.NodeNames))]]
	away := time.Duration(200+r.IntN(12000)) * time.Millisecond
	switch r.IntN(4) {
	case 0:
		node.Shutdown()
		sim.After(away+8*time.Second, node.Boot)
	case 1:
		node.Freeze(away)
	default:
		node.Crash()
		sim.After(away, node.Boot)
	}
}
