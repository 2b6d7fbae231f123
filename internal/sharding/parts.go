// Package sharding splits the machines among the live controllers and picks the
// machine for a task.
package sharding

import (
	"hash/fnv"
	"math"
)

// Owner is the member that a machine belongs to, by rendezvous hashing: the
// member with the highest hash of member and machine. When a member goes,
// only its own machines move.
func Owner(machine string, members []string) string {
	best, owner := uint64(0), ""
	for _, m := range members {
		h := fnv.New64a()
		_, _ = h.Write([]byte(m))
		_, _ = h.Write([]byte{0})
		_, _ = h.Write([]byte(machine))
		// FNV alone mixes its last bytes badly into the high bits.
		v := h.Sum64()
		v ^= v >> 33
		v *= 0xff51afd7ed558ccd
		v ^= v >> 33
		v *= 0xc4ceb9fe1a85ec53
		v ^= v >> 33
		if owner == "" || v > best || (v == best && m < owner) {
			best, owner = v, m
		}
	}
	return owner
}

// Resources is an amount of a machine's resources.
type Resources struct {
	Cores, Accelerators, MemoryGB float64
}

// pullWeightS is the difference in fetching time, in seconds, that decides
// between machines; less drowns in the fetch rate's own spread.
const pullWeightS = 1.0

const slack = 1e-6 // absorbs rounding of decimal amounts

// Fits tells whether need fits into r.
func (r Resources) Fits(need Resources) bool {
	return need.Cores <= r.Cores+slack && need.Accelerators <= r.Accelerators+slack && need.MemoryGB <= r.MemoryGB+slack
}

// Add and Sub are by component.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.Cores + o.Cores, r.Accelerators + o.Accelerators, r.MemoryGB + o.MemoryGB}
}

// Sub takes o away from r.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.Cores - o.Cores, r.Accelerators - o.Accelerators, r.MemoryGB - o.MemoryGB}
}

// ShareOf is the largest share of whole that r takes: what part of a machine
// a task uses up.
func (r Resources) ShareOf(whole Resources) float64 {
	share := 0.0
	for _, p := range [3][2]float64{{r.Cores, whole.Cores}, {r.Accelerators, whole.Accelerators}, {r.MemoryGB, whole.MemoryGB}} {
		if p[0] <= 0 {
			continue
		}
		if p[1] <= 0 {
			return 2 // can never fit
		}
		share = max(share, p[0]/p[1])
	}
	return share
}

// HowMany is how many times need fits into r.
func (r Resources) HowMany(need Resources) int {
	most := math.Inf(1)
	for _, p := range [3][2]float64{{r.Cores, need.Cores}, {r.Accelerators, need.Accelerators}, {r.MemoryGB, need.MemoryGB}} {
		if p[1] > 0 {
			most = min(most, math.Floor((p[0]+slack)/p[1]))
		}
	}
	if math.IsInf(most, 1) {
		return 0
	}
	return int(max(most, 0))
}

// Candidate is a machine that a task is allowed on.
type Candidate struct {
	Machine    string
	Free       Resources
	Capacity   Resources
	Spot       bool
	Zone       string
	Controller string  // controller that the machine belongs to
	HasImage   bool    // holds the task's image
	ImagePullS float64 // seconds to fetch the image otherwise
	Load       float64 // share of the machine in use
}

// Pick returns the index of the best machine for need, or -1. For tasks that
// may, cheap machines first: on others they stand in the way of tasks that may
// not. Then cached images (a fetch takes longer than any queue), then those that
// fetch faster, then, for work without accelerators, where it leaves the fewest of
// them idle, then the fullest that still fits, which keeps others empty
// enough to be returned.
func Pick(need Resources, spot bool, cands []Candidate) int {
	return PickIf(need, spot, cands, func(*Candidate) bool { return true })
}

// PickIf is Pick among those that ok allows.
func PickIf(need Resources, spot bool, cands []Candidate, ok func(*Candidate) bool) int {
	best := -1
	for i := range cands {
		c := &cands[i]
		if !c.Free.Fits(need) {
			continue
		}
		if (best < 0 || better(need, c, &cands[best], spot)) && ok(c) {
			best = i
		}
	}
	return best
}

// strandedShare is how many accelerators of a machine need would leave without the cores
// and memory that they go with. Work that takes none itself and fills a machine up
// would have its accelerators stand idle until it ends.
func strandedShare(need Resources, c *Candidate) float64 {
	usable := func(free Resources) float64 {
		return min(free.Accelerators, free.Cores/c.Capacity.Cores*c.Capacity.Accelerators, free.MemoryGB/c.Capacity.MemoryGB*c.Capacity.Accelerators)
	}
	if c.Capacity.Accelerators <= 0 || c.Capacity.Cores <= 0 || c.Capacity.MemoryGB <= 0 {
		return 0
	}
	return usable(c.Free) - usable(c.Free.Sub(need))
}

// strandedWeight is the difference in accelerators left idle that decides between
// machines.
const strandedWeight = 0.01

func better(need Resources, a, b *Candidate, spot bool) bool {
	if spot && a.Spot != b.Spot {
		return a.Spot
	}
	if a.HasImage != b.HasImage {
		return a.HasImage
	}
	if !a.HasImage && math.Abs(a.ImagePullS-b.ImagePullS) >= pullWeightS {
		return a.ImagePullS < b.ImagePullS
	}
	if need.Accelerators == 0 && (a.Capacity.Accelerators > 0 || b.Capacity.Accelerators > 0) {
		if x, y := strandedShare(need, a), strandedShare(need, b); math.Abs(x-y) >= strandedWeight {
			return x < y
		}
	}
	if a.Load != b.Load {
		return a.Load > b.Load
	}
	return a.Machine < b.Machine
}
