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

// Simulations in which copies of messages that were carried out and answered arrive late:
//
//	go test ./internal/scenario -run 'TestCopyPairs|TestDrawnCopies' -timeout 60m -copies 100 -copies-from 0
var (
	copiesCount = flag.Int("copies", 0, "number of simulations of each test with copied messages, if not the ones of CI")
	copiesFrom  = flag.Int("copies-from", 0, "first seed")
)

// copySeeds returns the seeds to play: those of CI, or those that the flags ask for.
func copySeeds(ci ...int) []int {
	if *copiesCount == 0 {
		return ci
	}
	var seeds []int
	for i := range *copiesCount {
		seeds = append(seeds, *copiesFrom+i)
	}
	return seeds
}

// copiedMessages delivers copies of messages of one random kind, or of all kinds.
var copiedMessages = fault{"copied messages", func(s *script, _ string, d time.Duration) { s.drawCopies(d) }}

// drawCopies starts a fault that copies messages for the given duration. Copies arrive from 0.1 s to two
// minutes later.
func (s *script) drawCopies(d time.Duration) {
	r := s.sim.RNG
	kinds := simulation.RequestKinds()
	if r.IntN(2) == 0 {
		kinds = kinds[:1+r.IntN(len(kinds))] // always with commands to agents
	}
	copies := simulation.RequestCopies{
		Share:    0.1 + 0.9*r.Float64(),
		Earliest: 100 * time.Millisecond,
		Longest:  []time.Duration{2 * time.Second, 15 * time.Second, 2 * time.Minute}[r.IntN(3)],
		Count:    1 + r.IntN(4),
		For:      d,
	}
	for _, kind := range kinds {
		s.sim.CopyRequests(kind, copies)
	}
}

// TestCopyPairs applies the checks of TestPairs to copied messages beside each other kind of fault. With 46, 54
// and 64 tasks were in two batch records (docs/incidents/late-copies.md).
func TestCopyPairs(t *testing.T) {
	others := append([]fault{lostAnswers, heldReports, cancelAtEnd, cancelNow}, faultKinds...)
	for _, seed := range copySeeds(0, 1, 2, 3, 4, 46, 54, 64) {
		other := others[seed%len(others)]
		t.Run(fmt.Sprintf("%d %s", seed, other.name), func(t *testing.T) {
			t.Parallel()
			batching := []settings.TaskBatching{settings.BatchingAlways, settings.BatchingWhenScarce}[seed%2]
			playPair(t, uint64(seed)+888000, seed, batching, copiedMessages, other, func(s *script) {
				s.sim.KeepImages = seed%3 > 0
			})
		})
	}
}

// TestDrawnCopies applies the checks of TestDrawnTroubles while messages are copied and controllers end
// and are back within a second. With 24, 29 and 60 tasks were in two batch records.
func TestDrawnCopies(t *testing.T) {
	for _, seed := range copySeeds(0, 1, 2, 3, 4, 24, 29, 60) {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			s := drawnWorld{
				seed:        uint64(seed) + 999000,
				timing:      &pairDeployments[seed%len(pairDeployments)],
				controllers: 3 + 2*(seed%2),
				teams:       []settings.Team{{Name: "team", GpusMax: 120}, {Name: "other", GpusMax: 60}},
				batching:    []settings.TaskBatching{settings.BatchingAlways, settings.BatchingWhenScarce}[seed/2%2],
			}.start(t)
			sim := s.sim
			sim.KeepImages = true
			s.drawJobs()
			s.drawStaggered()
			for sim.RunUntil(10 * time.Second); sim.At() < 140*time.Second; {
				s.drawCopies(20 * time.Second)
				sim.Flap(sim.NodeNames[sim.RNG.IntN(len(sim.NodeNames))], 1+sim.RNG.IntN(3), time.Second)
				sim.RunUntil(sim.At() + time.Duration(2000+sim.RNG.IntN(12000))*time.Millisecond)
			}
			sim.RunUntil(sim.At() + 60*time.Second)
			sim.CheckRecovery()
			sim.CheckServed(true)
			sim.CheckRefused()
			for _, violation := range sim.Violations {
				t.Error(violation)
			}
		})
	}
}
