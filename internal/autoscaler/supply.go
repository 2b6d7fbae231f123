package autoscaler

import (
	"math"
	"sort"

	"gonum.org/v1/gonum/stat"
)

// Shortfall returns the mean, over the samples of demand, of the demand that a supply does not
// meet. unmet is demand that is already waiting, owned the capacity that exists before the supply
// is added. All quantities are in machines.
func Shortfall(samples []float64, unmet, owned, supply float64) float64 {
	if len(samples) == 0 {
		return 0
	}
	sum := 0.0
	for _, demand := range samples {
		sum += math.Max(0, math.Max(0, unmet+demand-owned)-supply)
	}
	return sum / float64(len(samples))
}

// MinSupply returns the minimum supply whose mean shortfall is at most tolerance times the expected
// demand. The mean shortfall is a piecewise linear, decreasing function of the supply with
// breakpoints at the samples, so MinSupply finds the segment in which it reaches the bound and
// solves for the supply there (algorithm 3 of the paper).
func MinSupply(samples []float64, unmet, owned, tolerance float64) float64 {
	count := len(samples)
	if count == 0 {
		return math.Max(0, unmet-owned)
	}
	needs := make([]float64, count)
	for i, demand := range samples {
		needs[i] = math.Max(0, unmet+demand-owned)
	}
	sort.Sort(sort.Reverse(sort.Float64Slice(needs)))
	bound := tolerance * stat.Mean(samples, nil)
	sum := 0.0
	for k := 1; k <= count; k++ {
		sum += needs[k-1]
		// With needs[k] <= supply <= needs[k-1], the shortfall is (sum - k*supply)/count.
		supply := (sum - bound*float64(count)) / float64(k)
		segmentStart := 0.0
		if k < count {
			segmentStart = needs[k]
		}
		if supply >= segmentStart {
			return math.Max(0, supply)
		}
	}
	return 0
}
