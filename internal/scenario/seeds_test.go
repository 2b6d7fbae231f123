package scenario

import (
	"flag"
	"fmt"
	"testing"

	"github.com/harrierreel/harrierreel/internal/settings"
)

// A scenario with other seeds than its own:
//
//	go test ./internal/scenario -run TestRestartingLeaderIsReplacedByAMember -seeds 80
//	go test ./internal/scenario -run TestRestartingLeaderIsReplacedByAMember -seeds 80 -seeds-of cold-flap-each
var (
	seedsOf   = flag.String("seeds-of", "cold-flap-leader", "scenario that is played with other seeds")
	seedCount = flag.Int("seeds", 16, "number of seeds")
	seedsFrom = flag.Int("seeds-from", 100, "first seed")
)

// TestRestartingLeaderIsReplacedByAMember plays cold-flap-leader with other seeds: whether a leader
// that has restarted is ahead of the members of the view depends on the order of messages.
func TestRestartingLeaderIsReplacedByAMember(t *testing.T) {
	for _, batching := range []settings.TaskBatching{settings.BatchingWhenScarce, settings.BatchingAlways} {
		for seed := *seedsFrom; seed < *seedsFrom+*seedCount; seed++ {
			t.Run(fmt.Sprintf("%s, batching %s, seed %d", *seedsOf, batching, seed), func(t *testing.T) {
				t.Parallel()
				play(t, "testdata/"+*seedsOf+".txt", playOptions{batching: batching, seed: uint64(seed)})
			})
		}
	}
}
