// Package autoscaler plans the size of one group of machines from a forecast with its
// uncertainty, as the project's design takes it from the MagicScaler paper: a receding
// horizon, sampled demand, and the least supply whose mean shortfall stays within a share
// of expected demand. It has no IO and no clock; chance comes from the caller's generator.
package autoscaler

import (
	"math"
	"math/rand/v2"
)

// Params are the autoscaler's settings.
type Params struct {
	Steps      int     // steps planned, F in the paper
	Samples    int     // samples of demand a step, M in the paper
	Tolerance  float64 // mean shortfall allowed per expected demand, d in the paper
	TrendSteps int     // steps of history to which the trend is fitted
	Damping    float64 // the factor that each step further ahead puts on the trend
	Grain      float64 // demand of a typical task, in machines, for the least variance
}

// Plan is the least supply, in machines, for each of the coming steps. history is the demand
// of the past steps, the newest last; unmet and owned are as for Shortfall.
func Plan(history []float64, unmet, owned float64, params Params, rng *rand.Rand) []float64 {
	if len(history) > params.TrendSteps {
		history = history[len(history)-params.TrendSteps:]
	}
	plan := make([]float64, params.Steps)
	for step := range plan {
		mean, variance := Forecast(history, step+1, params.Damping, params.Grain)
		samples := Sample(mean, variance, params.Samples, rng)
		plan[step] = MinSupply(samples, unmet, owned, params.Tolerance)
	}
	return plan
}

// Action is what the first step of a plan asks for.
type Action struct {
	ScaleOut int // machines to request now
	Surplus  int // machines that no step of the plan needs; negative if some are short
}

// Act turns a plan into the first step's action. Machines requested now help from the step
// bootSteps on, so scaling out looks as far as that, and scaling in over the whole plan.
// demand is the present demand; supply counts running, booting and requested machines,
// without those that drain. A new leader, whose history may be short, scales out for present
// demand only.
func Act(plan []float64, demand float64, supply, bootSteps int, newLeader bool) Action {
	present := wholeMachines(demand)
	untilBooted, overPlan := present, present
	for step, planned := range plan {
		needed := wholeMachines(planned)
		if step <= bootSteps {
			untilBooted = max(untilBooted, needed)
		}
		overPlan = max(overPlan, needed)
	}
	if newLeader {
		untilBooted = present
	}
	return Action{
		ScaleOut: max(0, untilBooted-supply),
		Surplus:  supply - overPlan,
	}
}

// roundingError, in machines, is what sums of shares may exceed a whole number by without
// one machine more being needed.
const roundingError = 1e-9

// wholeMachines is the number of machines that hold a demand.
func wholeMachines(demand float64) int { return int(math.Ceil(demand - roundingError)) }
