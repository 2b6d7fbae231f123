package sharding

import "math"

// Resources is an amount of each resource of a machine.
type Resources struct {
	Cores        float64
	Accelerators float64
	MemoryGB     float64
}

// roundingSlack is the tolerance for rounding errors of decimal amounts, in cores, accelerators or
// GB.
const roundingSlack = 1e-6

// Fits reports whether need fits into r.
func (r Resources) Fits(need Resources) bool {
	return need.Cores <= r.Cores+roundingSlack &&
		need.Accelerators <= r.Accelerators+roundingSlack &&
		need.MemoryGB <= r.MemoryGB+roundingSlack
}

// Add returns the sum of r and other, by component.
func (r Resources) Add(other Resources) Resources {
	return Resources{
		Cores:        r.Cores + other.Cores,
		Accelerators: r.Accelerators + other.Accelerators,
		MemoryGB:     r.MemoryGB + other.MemoryGB,
	}
}

// Sub returns r minus other, by component. Components may become negative.
func (r Resources) Sub(other Resources) Resources {
	return Resources{
		Cores:        r.Cores - other.Cores,
		Accelerators: r.Accelerators - other.Accelerators,
		MemoryGB:     r.MemoryGB - other.MemoryGB,
	}
}

// components returns the components in a fixed order.
func (r Resources) components() [3]float64 {
	return [3]float64{r.Cores, r.Accelerators, r.MemoryGB}
}

// ShareOf returns the largest share that r takes of any component of total (the dominant share of a
// task on a machine). It is above 1 if r can never fit into total.
func (r Resources) ShareOf(total Resources) float64 {
	const neverFits = 2
	share := 0.0
	capacity := total.components()
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

// HowMany returns how many times need fits into r, or 0 if need is zero.
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
