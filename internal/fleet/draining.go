package fleet

import "sort"

// Draining is the stage of each draining machine, by name, from 1. The autoscaler's
// summary carries it, so that owners and a new leader know it.
type Draining map[string]int

// DrainCandidate is a machine in use, which may be drained.
type DrainCandidate struct {
	Machine     string
	UsedShare   float64 // the share of it in use, 0 when it is empty
	HourlyPrice float64
}

// DrainStep moves the draining of a group on by one step. surplus is how many machines of
// the group are not needed over the whole plan, with draining ones not counted as supply;
// it is negative when machines are short. A machine drains for at most stages steps, and
// returns to use for want of machines only up to the stage lastRevivable. The results are
// the next stages, the machines to return to the cloud now, and those that return to use.
// The candidates are reordered.
func DrainStep(
	now Draining,
	candidates []DrainCandidate,
	surplus, stages, lastRevivable int,
) (next Draining, emptied, revived []string) {
	next, emptied, revived = continueDraining(now, candidates, max(-surplus, 0), stages, lastRevivable)
	startDraining(next, now, candidates, surplus)
	return next, emptied, revived
}

// continueDraining moves the machines on that drain already. shortage is how many of them
// are needed again.
func continueDraining(
	now Draining,
	candidates []DrainCandidate,
	shortage, stages, lastRevivable int,
) (next Draining, emptied, revived []string) {
	next = Draining{}
	usedShare := map[string]float64{}
	for _, candidate := range candidates {
		usedShare[candidate.Machine] = candidate.UsedShare
	}
	for _, machine := range fullestFirst(now, usedShare) {
		used, known := usedShare[machine]
		stage := now[machine]
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

// fullestFirst is the draining machines in the order in which they return to use: the
// fullest would be the last to become empty.
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

// startDraining begins to drain surplus machines that do not drain yet: the emptiest
// first, and of those the most expensive.
func startDraining(next, now Draining, candidates []DrainCandidate, surplus int) {
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
		if _, drains := now[candidate.Machine]; drains {
			continue
		}
		next[candidate.Machine] = 1
		surplus--
	}
}
