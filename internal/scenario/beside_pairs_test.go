package scenario

import (
	"flag"
	"fmt"
	"testing"

	"github.com/harrierreel/harrierreel/internal/settings"
)

// Worlds in which a trouble that isn't among those of TestPairs meets one of them:
//
//	go test ./internal/scenario -run TestBesidePairs -timeout 60m -beside-pairs 100 -beside-pairs-from 0
var (
	besidePairs    = flag.Int("beside-pairs", 5, "worlds with a trouble that TestPairs doesn't have")
	besidePairFrom = flag.Int("beside-pairs-from", 0, "seed of the first")
)

// TestBesidePairs judges them as TestPairs does. They have draws of their own, since a kind
// more in troubles would give each seed of TestPairs another pair.
func TestBesidePairs(t *testing.T) {
	kinds := []trouble{closeLooks, cancelAtEnd, machinesMute, cancelNow, oddRequests}
	for seed := *besidePairFrom; seed < *besidePairFrom+*besidePairs; seed++ {
		a, b := kinds[seed%len(kinds)], troubles[(seed/len(kinds)+seed%len(kinds))%len(troubles)]
		t.Run(fmt.Sprintf("%d %s, %s", seed, a.name, b.name), func(t *testing.T) {
			t.Parallel()
			batching := []settings.TaskBatching{settings.BatchingAlways, settings.BatchingWhenScarce}[seed%2]
			playPair(t, uint64(seed)+555000, seed, batching, a, b, func(*script) {})
		})
	}
}
