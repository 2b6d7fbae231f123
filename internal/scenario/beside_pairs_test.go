package scenario

import (
	"flag"
	"fmt"
	"testing"

	"github.com/harrierreel/harrierreel/internal/settings"
)

// Simulations in which a fault that isn't in faultKinds meets one that is:
//
//	go test ./internal/scenario -run TestBesidePairs -timeout 60m -beside-pairs 100 -beside-pairs-from 0
var (
	besidePairs    = flag.Int("beside-pairs", 5, "number of simulations with a fault that TestPairs doesn't have")
	besidePairFrom = flag.Int("beside-pairs-from", 0, "first seed")
)

// TestBesidePairs applies the checks of TestPairs to faults that aren't in faultKinds. They aren't
// entries there because each further entry would give every seed of TestPairs another pair.
func TestBesidePairs(t *testing.T) {
	kinds := []fault{pollBursts, cancelAtEnd, outboundPartition, cancelNow, invalidRequests}
	for seed := *besidePairFrom; seed < *besidePairFrom+*besidePairs; seed++ {
		a, b := kinds[seed%len(kinds)], faultKinds[(seed/len(kinds)+seed%len(kinds))%len(faultKinds)]
		t.Run(fmt.Sprintf("%d %s, %s", seed, a.name, b.name), func(t *testing.T) {
			t.Parallel()
			batching := []settings.TaskBatching{settings.BatchingAlways, settings.BatchingWhenScarce}[seed%2]
			playPair(t, uint64(seed)+555000, seed, batching, a, b, func(*script) {})
		})
	}
}
