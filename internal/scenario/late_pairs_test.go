package scenario

import (
	"flag"
	"fmt"
	"testing"

	"github.com/harrierreel/harrierreel/internal/settings"
)

// Simulations in which lost answers or held reports meet each other kind of fault:
//
//	go test ./internal/scenario -run TestLatePairs -timeout 60m -late-pairs 200 -late-pairs-from 0
var (
	latePairs    = flag.Int("late-pairs", 1, "number of simulations with lost answers or held reports")
	latePairFrom = flag.Int(
		"late-pairs-from",
		166,
		"first seed; with 166 two gangs were claimed with room for one (docs/incidents/claimed-gangs.md)",
	)
)

// TestLatePairs applies the checks of TestPairs to lostAnswers and heldReports.
func TestLatePairs(t *testing.T) {
	kinds := append(append([]fault{}, faultKinds...), lostAnswers, heldReports)
	var pairs [][2]fault
	for i := range kinds {
		if i != len(kinds)-2 {
			pairs = append(pairs, [2]fault{lostAnswers, kinds[i]})
		}
		if i != len(kinds)-1 {
			pairs = append(pairs, [2]fault{heldReports, kinds[i]})
		}
	}
	for seed := *latePairFrom; seed < *latePairFrom+*latePairs; seed++ {
		a, b := pairs[seed%len(pairs)][0], pairs[seed%len(pairs)][1]
		t.Run(fmt.Sprintf("%d %s, %s", seed, a.name, b.name), func(t *testing.T) {
			t.Parallel()
			batching := []settings.TaskBatching{settings.BatchingAlways, settings.BatchingWhenScarce}[seed/5%2]
			playPair(t, uint64(seed)+777000, seed, batching, a, b, func(s *script) {
				if seed%3 == 0 {
					s.lookAt([]string{"0", "90", "0.4", "160"})
				}
			})
		})
	}
}
