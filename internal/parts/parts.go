// Package parts splits the machines among the live controllers and picks the
// machine for a task.
package parts

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

// Room is an amount of a machine's resources.
type Room struct {
	Cores, Accelerators, MemoryGB float64
}

// pullTells is the difference in fetching time, in seconds, that decides
// between machines; less drowns in the fetch rate's own spread.
const pullTells = 1.0

const slack = 1e-6 // absorbs rounding of decimal amounts

// Fits tells whether need fits into r.
func (r Room) Fits(need Room) bool {
	return need.Cores <= r.Cores+slack && need.Accelerators <= r.Accelerators+slack && need.MemoryGB <= r.MemoryGB+slack
}

// Add and Sub are by component.
func (r Room) Add(o Room) Room {
	return Room{r.Cores + o.Cores, r.Accelerators + o.Accelerators, r.MemoryGB + o.MemoryGB}
}

// Sub takes o away from r.
func (r Room) Sub(o Room) Room {
	return Room{r.Cores - o.Cores, r.Accelerators - o.Accelerators, r.MemoryGB - o.MemoryGB}
}

// Share is the largest share of whole that r takes: what part of a machine
// a task uses up.
func (r Room) Share(whole Room) float64 {
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

// Times is how many times need fits into r.
func (r Room) Times(need Room) int {
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
	Host   string
	Free   Room
	Whole  Room
	Loaner bool
	Site   string
	Part   string  // controller that the machine belongs to
	Cached bool    // holds the task's image
	PullS  float64 // seconds to fetch the image otherwise
	Load   float64 // share of the machine in use
}

// Pick returns the index of the best machine for need, or -1. For tasks that
// may, cheap machines first: on others they stand in the way of tasks that may
// not. Then cached images (a fetch takes longer than any queue), then those that
// fetch faster, then, for work without accelerators, where it leaves the fewest of
// them idle, then the fullest that still fits, which keeps others empty
// enough to be returned.
func Pick(need Room, loaner bool, cands []Candidate) int {
	return PickIf(need, loaner, cands, func(*Candidate) bool { return true })
}

// PickIf is Pick among those that ok allows.
func PickIf(need Room, loaner bool, cands []Candidate, ok func(*Candidate) bool) int {
	best := -1
	for i := range cands {
		c := &cands[i]
		if !c.Free.Fits(need) {
			continue
		}
		if (best < 0 || better(need, c, &cands[best], loaner)) && ok(c) {
			best = i
		}
	}
	return best
}

// strands is how many accelerators of a machine need would leave without the cores
// and memory that they go with. Work that takes none itself and fills a machine up
// would have its accelerators stand idle until it ends.
func strands(need Room, c *Candidate) float64 {
	usable := func(free Room) float64 {
		return min(free.Accelerators, free.Cores/c.Whole.Cores*c.Whole.Accelerators, free.MemoryGB/c.Whole.MemoryGB*c.Whole.Accelerators)
	}
	if c.Whole.Accelerators <= 0 || c.Whole.Cores <= 0 || c.Whole.MemoryGB <= 0 {
		return 0
	}
	return usable(c.Free) - usable(c.Free.Sub(need))
}

// strandTells is the difference in accelerators left idle that decides between
// machines.
const strandTells = 0.01

func better(need Room, a, b *Candidate, loaner bool) bool {
	if loaner && a.Loaner != b.Loaner {
		return a.Loaner
	}
	if a.Cached != b.Cached {
		return a.Cached
	}
	if !a.Cached && math.Abs(a.PullS-b.PullS) >= pullTells {
		return a.PullS < b.PullS
	}
	if need.Accelerators == 0 && (a.Whole.Accelerators > 0 || b.Whole.Accelerators > 0) {
		if x, y := strands(need, a), strands(need, b); math.Abs(x-y) >= strandTells {
			return x < y
		}
	}
	if a.Load != b.Load {
		return a.Load > b.Load
	}
	return a.Host < b.Host
}
