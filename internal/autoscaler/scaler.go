// Package autoscaler sizes one group of machines from a forecast with spread, as
// the project's design takes it from the MagicScaler paper: a receding
// horizon, sampled demand, and the least supply whose mean shortfall stays
// within a share of expected demand.
package autoscaler

import (
	"math"
	"math/rand/v2"
	"sort"

	"gonum.org/v1/gonum/stat"
)

// Params are the scaler's settings.
type Params struct {
	Steps     int     // F, steps planned
	Samples   int     // M, samples per step
	Tolerance float64 // d, mean shortfall allowed per expected demand
	Trend     int     // steps of history fitted
	Damping   float64 // what a step further ahead leaves of the trend
	Grain     float64 // demand of a typical task, for the least variance
}

// Forecast is the mean and variance of demand k steps ahead. The mean starts
// at the fitted present level and follows the recent trend, which counts for
// less the further ahead it is carried: demand comes in bursts, and a line
// carried on for twelve steps turns each into a flood or a drought. grain is
// the demand of one typical task; arrivals at random make counts of tasks vary
// at least as much as their mean, which a short quiet history does not show.
func Forecast(history []float64, k int, damping, grain float64) (mean, variance float64) {
	n := len(history)
	if n == 0 {
		return 0, 0
	}
	last := history[n-1]
	if n < 3 {
		return last, last * grain
	}
	xs := make([]float64, n)
	for i := range xs {
		xs[i] = float64(i)
	}
	alpha, beta := stat.LinearRegression(xs, history, nil, false)
	residuals := make([]float64, n)
	for i := range xs {
		residuals[i] = history[i] - alpha - beta*xs[i]
	}
	variance = math.Max(stat.Variance(residuals, nil), math.Max(last, 0)*grain)
	ahead, weight := 0.0, 1.0
	for range k {
		weight *= damping
		ahead += weight
	}
	return math.Max(last+beta*ahead, 0), variance
}

// Draw takes samples of demand, never below zero.
func Draw(mean, variance float64, m int, rng *rand.Rand) []float64 {
	sd := math.Sqrt(variance)
	out := make([]float64, m)
	for i := range out {
		out[i] = math.Max(0, mean+sd*rng.NormFloat64())
	}
	return out
}

// Shortfall is the mean over the samples of what supply x leaves unmet.
func Shortfall(samples []float64, unmet, owned, x float64) float64 {
	if len(samples) == 0 {
		return 0
	}
	sum := 0.0
	for _, w := range samples {
		sum += math.Max(0, math.Max(0, unmet+w-owned)-x)
	}
	return sum / float64(len(samples))
}

// MinSupply is the least x whose mean shortfall is at most tolerance times
// expected demand. The mean shortfall falls piecewise linearly in x with its
// bends at the samples, so the segment that holds the bound is searched and
// solved (the paper's algorithm 3).
func MinSupply(samples []float64, unmet, owned, tolerance float64) float64 {
	m := len(samples)
	if m == 0 {
		return math.Max(0, unmet-owned)
	}
	need := make([]float64, m)
	for i, w := range samples {
		need[i] = math.Max(0, unmet+w-owned)
	}
	sort.Sort(sort.Reverse(sort.Float64Slice(need)))
	bound := tolerance * stat.Mean(samples, nil)
	sum := 0.0
	for k := 1; k <= m; k++ {
		sum += need[k-1]
		// With need[k] <= x <= need[k-1], the shortfall is (sum - k*x)/m.
		x := (sum - bound*float64(m)) / float64(k)
		low := 0.0
		if k < m {
			low = need[k]
		}
		if x >= low {
			return math.Max(0, x)
		}
	}
	return 0
}

// Plan is the least supply for each of the coming steps.
func Plan(history []float64, unmet, owned float64, p Params, rng *rand.Rand) []float64 {
	if len(history) > p.Trend {
		history = history[len(history)-p.Trend:]
	}
	out := make([]float64, p.Steps)
	for k := range out {
		mean, variance := Forecast(history, k+1, p.Damping, p.Grain)
		out[k] = MinSupply(Draw(mean, variance, p.Samples, rng), unmet, owned, p.Tolerance)
	}
	return out
}

// Action is what the first step of a plan asks for.
type Action struct {
	Rent    int // machines to rent now
	Surplus int // machines that no step of the plan needs; negative if short
}

// Act turns a plan into the first step's action. What is rented now helps
// from step boot on, so renting looks as far as that and draining looks over
// the whole plan. demand is the present demand, supply counts running,
// booting and asked-for machines, without those draining. A fresh leader
// rents only to current demand.
func Act(plan []float64, demand float64, supply, boot int, fresh bool) Action {
	current := int(math.Ceil(demand - 1e-9))
	soon, ever := current, current
	for k, x := range plan {
		need := int(math.Ceil(x - 1e-9))
		if k <= boot {
			soon = max(soon, need)
		}
		ever = max(ever, need)
	}
	if fresh {
		soon, ever = current, max(current, ever)
	}
	return Action{Rent: max(0, soon-supply), Surplus: supply - max(ever, soon)}
}
