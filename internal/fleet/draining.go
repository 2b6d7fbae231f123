package fleet

import "sort"

// Draining holds the drain stage of each draining machine, from 1, by name. It is stored in the
// autoscaler's summary, from which owners and a new leader read it.
type Draining map[string]int

// DrainCandidate is a machine in use that may be drained.
type DrainCandidate struct {
	Machine     string
	UsedShare   float64 // share of its capacity in use, 0 if it is empty
	HourlyPrice float64
}

// DrainStep advances the draining of a group by one step of the plan.
//
// surplus is the number of machines of the group that no step of the plan needs, where draining
// machines do not count as supply. It is negative if machines are short. A machine drains for at
// most the given number of stages. If machines are short, draining machines return to use, but only
// up to stage lastRevivable.
//
// DrainStep returns the next stages, the empty machines to delete now (emptied), and the machines
// that return to use (revived). It reorders candidates.
func DrainStep(
	current Draining,
	candidates []DrainCandidate,
	surplus, stages, lastRevivable int,
) (next Draining, emptied, revived []string) {
	next, emptied, revived = continueDraining(current, candidates, max(-surplus, 0), stages, lastRevivable)
	startDraining(next, current, candidates, surplus)
	return next, emptied, revived
}

// continueDraining advances the machines that already drain. shortage is the number of them that
// are needed again.
func continueDraining(
	current Draining,
	candidates []DrainCandidate,
	shortage, stages, lastRevivable int,
) (next Draining, emptied, revived []string) {
	next = Draining{}
	usedShare := map[string]float64{}
	for _, candidate := range candidates {
		usedShare[candidate.Machine] = candidate.UsedShare
	}
	for _, machine := range fullestFirst(current, usedShare) {
		used, known := usedShare[machine]
		stage := current[machine]
		switch {
		case !known:
			continue // no longer in use
		case shortage > 0 && stage <= lastRevivable:
			revived = append(revived, machine)
			shortage--
		case used == 0:
			emptied = append(emptied, machine)
		case stage >= stages:
			revived = append(revived, machine) // not empty by the last stage
		default:
			next[machine] = stage + 1
		}
	}
	return next, emptied, revived
}

// fullestFirst returns the draining machines in the order in which they return to use: the fullest
// first, since they would be the last to become empty.
func fullestFirst(draining Draining, usedShare map[string]float64) []string {
	var machines []string
	for machine := range draining {
		machines = append(machines, machine)
	}
	sort.Slice(machines, func(i, j int) bool {
		a, b := machines[i], machines[j]
		if usedShare[a] != usedShare[b] {
			return usedShare[a] > usedShare[b]
		}
		return a < b
	})
	return machines
}

// startDraining starts to drain surplus machines that do not drain yet: the emptiest first, and
// the more expensive first among equally empty ones.
func startDraining(next, current Draining, candidates []DrainCandidate, surplus int) {
	if surplus <= 0 {
		return
	}
	sort.SliceStable(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		if a.UsedShare != b.UsedShare {
			return a.UsedShare < b.UsedShare
		}
		if a.HourlyPrice != b.HourlyPrice {
			return a.HourlyPrice > b.HourlyPrice
		}
		return a.Machine > b.Machine
	})
	for _, candidate := range candidates {
		if surplus == 0 {
			return
		}
		if _, drains := current[candidate.Machine]; drains {
			continue
		}
		next[candidate.Machine] = 1
		surplus--
	}
}
