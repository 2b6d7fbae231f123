package autoscaler

import (
	"math"
	"math/rand/v2"

	"gonum.org/v1/gonum/stat"
)

// Forecast is the mean and variance of demand, in machines, steps ahead from 1.
//
// The mean starts at the last value and follows the recent trend, which counts for less the
// further ahead it is carried, by the factor damping a step: demand comes in bursts, and a
// line carried on for twelve steps turns each into far too many or too few machines.
//
// grain is the demand of one typical task. Arrivals at random make counts of tasks vary at
// least as much as their mean, which a short quiet history does not show; so the variance is
// at least the last value times grain.
func Forecast(history []float64, stepsAhead int, damping, grain float64) (mean, variance float64) {
	count := len(history)
	if count == 0 {
		return 0, 0
	}
	last := history[count-1]
	if count < 3 {
		return last, last * grain
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
	variance = math.Max(stat.Variance(residuals, nil), math.Max(last, 0)*grain)
	dampedSteps, weight := 0.0, 1.0
	for range stepsAhead {
		weight *= damping
		dampedSteps += weight
	}
	return math.Max(last+slope*dampedSteps, 0), variance
}

// Sample draws count samples of normally distributed demand, none below zero.
func Sample(mean, variance float64, count int, rng *rand.Rand) []float64 {
	deviation := math.Sqrt(variance)
	samples := make([]float64, count)
	for i := range samples {
		samples[i] = math.Max(0, mean+deviation*rng.NormFloat64())
	}
	return samples
}
