package sharding

import "math"

// minPullDifferenceS is the difference in image pull time, in seconds, below which two machines are
// considered equal. Smaller differences are lost in the variation of the pull rate.
const minPullDifferenceS = 1.0

// minStrandedDifference is the difference in stranded accelerators below which two machines are
// considered equal.
const minStrandedDifference = 0.01

// Candidate is a machine on which a task may be placed.
type Candidate struct {
	Machine    string
	Free       Resources
	Capacity   Resources
	Spot       bool
	Zone       string
	Controller string  // the machine's owner
	HasImage   bool    // the task's image is on the machine
	ImagePullS float64 // seconds to pull the image if it is not
	Load       float64 // share of the machine in use, 0 to 1
}

// Pick returns the index of the best machine for need, or -1 if it fits on none.
//
// Machines are preferred in this order:
//   - spot machines, if the task may use them (spot), which leaves the others to tasks that may
//     not;
//   - machines that hold the image, since a pull takes longer than any queue;
//   - machines that pull the image faster;
//   - for tasks without accelerators, machines on which they strand the fewest accelerators;
//   - the fullest machine on which the task fits, which keeps others empty enough to be scaled in.
func Pick(need Resources, spot bool, candidates []Candidate) int {
	return PickIf(need, spot, candidates, func(*Candidate) bool { return true })
}

// PickIf is like Pick but considers only the candidates for which allowed returns true.
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

// better reports whether a is a better machine for need than b.
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

// stranded returns the number of free accelerators that need would strand on a machine, by taking
// the cores and memory that go with them. If a task without accelerators fills up a machine, the
// machine's accelerators stay idle until it ends.
func stranded(need Resources, c *Candidate) float64 {
	if c.Capacity.Accelerators <= 0 || c.Capacity.Cores <= 0 || c.Capacity.MemoryGB <= 0 {
		return 0
	}
	return usableAccelerators(c.Free, c.Capacity) - usableAccelerators(c.Free.Sub(need), c.Capacity)
}

// usableAccelerators returns the number of free accelerators whose share of the machine's cores and
// memory is free as well.
func usableAccelerators(free, capacity Resources) float64 {
	return min(
		free.Accelerators,
		free.Cores/capacity.Cores*capacity.Accelerators,
		free.MemoryGB/capacity.MemoryGB*capacity.Accelerators,
	)
}
