package sharding

import "math"

// minPullDifferenceS is the difference in image pull time, in seconds, from which it
// decides between machines; less drowns in the pull rate's own spread.
const minPullDifferenceS = 1.0

// minStrandedDifference is the difference in stranded accelerators from which it decides
// between machines.
const minStrandedDifference = 0.01

// Candidate is a machine that a task is allowed on.
type Candidate struct {
	Machine    string
	Free       Resources
	Capacity   Resources
	Spot       bool
	Zone       string
	Controller string  // that the machine belongs to
	HasImage   bool    // holds the task's image
	ImagePullS float64 // seconds to pull the image otherwise
	Load       float64 // share of the machine in use, 0 to 1
}

// Pick returns the index of the best machine for need, or -1 if it fits on none.
//
// For tasks that may use them (spot), spot machines come first: on others they would stand
// in the way of tasks that may not. Then machines that hold the image, since a pull takes
// longer than any queue; then those that pull it faster; then, for work without
// accelerators, where it strands the fewest of them; then the fullest that still fits,
// which keeps others empty enough to be scaled in.
func Pick(need Resources, spot bool, candidates []Candidate) int {
	return PickIf(need, spot, candidates, func(*Candidate) bool { return true })
}

// PickIf is Pick among the candidates that allowed accepts.
func PickIf(need Resources, spot bool, candidates []Candidate, allowed func(*Candidate) bool) int {
	best := -1
	for i := range candidates {
		candidate := &candidates[i]
		if !candidate.Free.Fits(need) {
			continue
		}
		if (best < 0 || better(need, candidate, &candidates[best], spot)) && allowed(candidate) {
			best = i
		}
	}
	return best
}

// better tells whether need goes on a rather than on b.
func better(need Resources, a, b *Candidate, spot bool) bool {
	if spot && a.Spot != b.Spot {
		return a.Spot
	}
	if a.HasImage != b.HasImage {
		return a.HasImage
	}
	if !a.HasImage && math.Abs(a.ImagePullS-b.ImagePullS) >= minPullDifferenceS {
		return a.ImagePullS < b.ImagePullS
	}
	if need.Accelerators == 0 && (a.Capacity.Accelerators > 0 || b.Capacity.Accelerators > 0) {
		onA, onB := stranded(need, a), stranded(need, b)
		if math.Abs(onA-onB) >= minStrandedDifference {
			return onA < onB
		}
	}
	if a.Load != b.Load {
		return a.Load > b.Load
	}
	return a.Machine < b.Machine
}

// stranded is how many accelerators of a machine need would leave without the cores and
// memory that they go with. Work that takes none itself and fills a machine up would have
// its accelerators stand idle until it ends.
func stranded(need Resources, c *Candidate) float64 {
	if c.Capacity.Accelerators <= 0 || c.Capacity.Cores <= 0 || c.Capacity.MemoryGB <= 0 {
		return 0
	}
	return usableAccelerators(c.Free, c.Capacity) - usableAccelerators(c.Free.Sub(need), c.Capacity)
}

// usableAccelerators is how many of the free accelerators have their share of the
// machine's cores and memory free as well.
func usableAccelerators(free, capacity Resources) float64 {
	return min(
		free.Accelerators,
		free.Cores/capacity.Cores*capacity.Accelerators,
		free.MemoryGB/capacity.MemoryGB*capacity.Accelerators,
	)
}
