package autoscaler

import (
	"math"
	"sort"

	"gonum.org/v1/gonum/stat"
)

// Shortfall is the mean over the samples of demand that a supply leaves unmet. unmet is
// demand that waits already, owned the capacity that is there before supply is added; all
// are in machines.
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

// MinSupply is the least supply whose mean shortfall is at most tolerance times expected
// demand. The mean shortfall falls piecewise linearly in the supply, with its bends at the
// samples, so the segment that holds the bound is searched and solved (the paper's
// algorithm 3).
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
