package gangs

import (
	"strings"
	"testing"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/sharding"
)

// candidate returns a machine with a capacity of 4 accelerators and the given number of free ones.
func candidate(machine, zone, controller string, free float64, hasImage bool) sharding.Candidate {
	return sharding.Candidate{
		Machine:    machine,
		Zone:       zone,
		Controller: controller,
		Capacity:   sharding.Resources{Cores: 32, Accelerators: 4, MemoryGB: 256},
		Free:       sharding.Resources{Cores: 32, Accelerators: free, MemoryGB: 256},
		HasImage:   hasImage,
	}
}

// fit calls Fit for a gang of four tasks with one accelerator each.
func fit(sameZone bool, candidates []sharding.Candidate) (machines string, oneShard, enoughCapacity bool) {
	spec := jobs.Spec{
		Kind:         jobs.Gang,
		TaskCount:    4,
		Cores:        1,
		Accelerators: 1,
		MemoryGB:     1,
		SameZone:     sameZone,
	}
	pick := func(_ int, candidates []sharding.Candidate, zones map[string]int) int {
		return sharding.PickIf(spec.Resources(), false, candidates, func(c *sharding.Candidate) bool {
			return clusterstate.ZoneAllowed(&spec, zones, c.Zone)
		})
	}
	fitted, oneShard, enoughCapacity := Fit(&spec, candidates, map[string]int{}, pick)
	return strings.Join(fitted, " "), oneShard, enoughCapacity
}

func TestFitPrefersOneShardThenCachedImagesThenLeastCapacity(t *testing.T) {
	for name, c := range map[string]struct {
		sameZone       bool
		candidates     []sharding.Candidate
		machines       string
		oneShard       bool
		enoughCapacity bool
	}{
		"fits in one shard": {
			candidates: []sharding.Candidate{
				candidate("i-1", "a", "n0", 3, false),
				candidate("i-2", "b", "n1", 4, false),
			},
			machines: "i-2 i-2 i-2 i-2", oneShard: true, enoughCapacity: true,
		},
		"fits only across shards": {
			candidates: []sharding.Candidate{
				candidate("i-1", "a", "n0", 3, false),
				candidate("i-2", "b", "n1", 1, false),
			},
			machines: "i-1 i-1 i-1 i-2", enoughCapacity: true,
		},
		"prefers machines with the image cached": {
			candidates: []sharding.Candidate{
				candidate("i-1", "a", "n0", 4, false),
				candidate("i-2", "b", "n1", 4, true),
			},
			machines: "i-2 i-2 i-2 i-2", oneShard: true, enoughCapacity: true,
		},
		"prefers the shard with less capacity": {
			candidates: []sharding.Candidate{
				candidate("i-1", "a", "n0", 8, false),
				candidate("i-2", "b", "n1", 4, false),
			},
			machines: "i-2 i-2 i-2 i-2", oneShard: true, enoughCapacity: true,
		},
		"fits in one zone across shards": {
			sameZone: true,
			candidates: []sharding.Candidate{
				candidate("i-1", "a", "n0", 3, false),
				candidate("i-2", "b", "n0", 3, false),
				candidate("i-3", "b", "n1", 1, false),
			},
			machines: "i-2 i-2 i-2 i-3", enoughCapacity: true,
		},
		"fits in no single zone": {
			sameZone: true,
			candidates: []sharding.Candidate{
				candidate("i-1", "a", "n0", 3, false),
				candidate("i-2", "b", "n0", 3, false),
			},
		},
		"not enough capacity": {candidates: []sharding.Candidate{candidate("i-1", "a", "n0", 3, false)}},
	} {
		t.Run(name, func(t *testing.T) {
			machines, oneShard, enoughCapacity := fit(c.sameZone, c.candidates)
			if machines != c.machines || oneShard != c.oneShard || enoughCapacity != c.enoughCapacity {
				t.Errorf("got machines %q, oneShard = %v, enoughCapacity = %v", machines, oneShard, enoughCapacity)
			}
		})
	}
}
