package sharding

import "math"

// Resources is an amount of a machine's resources.
type Resources struct {
	Cores        float64
	Accelerators float64
	MemoryGB     float64
}

// roundingSlack absorbs the rounding of decimal amounts, in cores, accelerators or GB.
const roundingSlack = 1e-6

// Fits tells whether need fits into r.
func (r Resources) Fits(need Resources) bool {
	return need.Cores <= r.Cores+roundingSlack &&
		need.Accelerators <= r.Accelerators+roundingSlack &&
		need.MemoryGB <= r.MemoryGB+roundingSlack
}

// Add is the sum of r and other by component.
func (r Resources) Add(other Resources) Resources {
	return Resources{
		Cores:        r.Cores + other.Cores,
		Accelerators: r.Accelerators + other.Accelerators,
		MemoryGB:     r.MemoryGB + other.MemoryGB,
	}
}

// Sub is r less other by component. A component may become negative.
func (r Resources) Sub(other Resources) Resources {
	return Resources{
		Cores:        r.Cores - other.Cores,
		Accelerators: r.Accelerators - other.Accelerators,
		MemoryGB:     r.MemoryGB - other.MemoryGB,
	}
}

// components lists the components in a fixed order.
func (r Resources) components() [3]float64 {
	return [3]float64{r.Cores, r.Accelerators, r.MemoryGB}
}

// ShareOf is the largest share of whole that r takes: what part of a machine a task uses
// up. It is above 1 if r can never fit.
func (r Resources) ShareOf(whole Resources) float64 {
	const neverFits = 2
	share := 0.0
	capacity := whole.components()
	for i, amount := range r.components() {
		if amount <= 0 {
			continue
		}
		if capacity[i] <= 0 {
			return neverFits
		}
		share = max(share, amount/capacity[i])
	}
	return share
}

// HowMany is how many times need fits into r; 0 if need is nothing at all.
func (r Resources) HowMany(need Resources) int {
	times := math.Inf(1)
	free := r.components()
	for i, amount := range need.components() {
		if amount > 0 {
			times = min(times, math.Floor((free[i]+roundingSlack)/amount))
		}
	}
	if math.IsInf(times, 1) {
		return 0
	}
	return int(max(times, 0))
}
