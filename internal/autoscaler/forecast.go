package autoscaler

import (
	"math"
	"math/rand/v2"

	"gonum.org/v1/gonum/stat"
)

// Forecast returns the mean and variance of demand, in machines, stepsAhead steps after the last
// value of history.
//
// The mean is the last value plus a damped linear trend: the i-th step ahead adds the slope times
// the i-th power of damping. Demand comes in bursts, and an undamped trend extrapolated over twelve
// steps turns each burst into far too many or too few machines.
//
// unitDemand is the demand of one typical arrival. If arrivals are random, the variance of their
// number is at least its mean, which a short quiet history does not show. The variance is therefore
// at least the last value times unitDemand.
func Forecast(history []float64, stepsAhead int, damping, unitDemand float64) (mean, variance float64) {
	count := len(history)
	if count == 0 {
		return 0, 0
	}
	last := history[count-1]
	if count < 3 {
		return last, last * unitDemand
	}
	steps := make([]float64, count)
	for i := range steps {
		steps[i] = float64(i)
	}
	intercept, slope := stat.LinearRegression(steps, history, nil, false)
	residuals := make([]float64, count)
	for i := range steps {
		residuals[i] = history[i] - intercept - slope*steps[i]
	}
	variance = math.Max(stat.Variance(residuals, nil), math.Max(last, 0)*unitDemand)
	dampedSteps, weight := 0.0, 1.0
	for range stepsAhead {
		weight *= damping
		dampedSteps += weight
	}
	return math.Max(last+slope*dampedSteps, 0), variance
}

// Sample draws count samples of demand from a normal distribution. Negative samples become zero.
func Sample(mean, variance float64, count int, rng *rand.Rand) []float64 {
	deviation := math.Sqrt(variance)
	samples := make([]float64, count)
	for i := range samples {
		samples[i] = math.Max(0, mean+deviation*rng.NormFloat64())
	}
	return samples
}
