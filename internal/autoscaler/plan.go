// Package autoscaler plans the size of one group of machines from a probabilistic forecast of
// demand. The method is that of the MagicScaler paper: planning over a receding horizon with
// sampled demand, and the minimum supply whose mean shortfall stays within a share of the expected
// demand. It does no I/O and reads no clock; random numbers come from the caller's generator.
package autoscaler

import (
	"math"
	"math/rand/v2"
)

// Params are the autoscaler's settings.
type Params struct {
	Steps      int     // number of steps planned (F in the paper)
	Samples    int     // samples of demand per step (M in the paper)
	Tolerance  float64 // allowed mean shortfall as a share of expected demand (d in the paper)
	TrendSteps int     // number of past steps to which the trend is fitted
	Damping    float64 // factor by which the trend weakens with each step ahead
	UnitDemand float64 // demand of a typical arrival, in machines; sets the minimum variance
}

// Plan returns the minimum supply, in machines, for each of the coming steps. history is the demand
// of the past steps, the newest last. unmet and owned are as for Shortfall.
func Plan(history []float64, unmet, owned float64, params Params, rng *rand.Rand) []float64 {
	if len(history) > params.TrendSteps {
		history = history[len(history)-params.TrendSteps:]
	}
	plan := make([]float64, params.Steps)
	for step := range plan {
		mean, variance := Forecast(history, step+1, params.Damping, params.UnitDemand)
		samples := Sample(mean, variance, params.Samples, rng)
		plan[step] = MinSupply(samples, unmet, owned, params.Tolerance)
	}
	return plan
}

// Action is the change that the first step of a plan requires.
type Action struct {
	ScaleOut int // machines to request now
	Surplus  int // machines that no step of the plan needs; negative if machines are short
}

// FirstAction returns the action for the first step of a plan. Machines requested now are available
// after bootSteps steps, so scaling out considers the plan up to that step. Scaling in considers
// the whole plan. demand is the present demand; supply is the number of running, booting and
// requested machines, without those that drain. A new leader, whose history may be short, scales
// out only for the present demand.
func FirstAction(plan []float64, demand float64, supply, bootSteps int, newLeader bool) Action {
	present := machinesFor(demand)
	untilBooted, wholePlan := present, present
	for step, planned := range plan {
		needed := machinesFor(planned)
		if step <= bootSteps {
			untilBooted = max(untilBooted, needed)
		}
		wholePlan = max(wholePlan, needed)
	}
	if newLeader {
		untilBooted = present
	}
	return Action{
		ScaleOut: max(0, untilBooted-supply),
		Surplus:  supply - wholePlan,
	}
}

// roundingTolerance is the excess over a whole number of machines that is attributed to rounding in
// sums of shares, and requires no further machine.
const roundingTolerance = 1e-9

// machinesFor returns the number of whole machines that a demand requires.
func machinesFor(demand float64) int { return int(math.Ceil(demand - roundingTolerance)) }
