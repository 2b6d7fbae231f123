package fleet

import "sort"

// Group is what is sized separately: a machine type, ordinary or cheap. The
// design sizes each type; cheap machines of a type take only tasks that allow
// them, so that the two cannot stand in for one another.
type Group struct {
	MachineType string
	Spot        bool
}

func (g Group) String() string {
	if g.Spot {
		return g.MachineType + "+"
	}
	return g.MachineType
}

// Draining is the stage of each draining machine, by name; the scaler's
// summary carries it, so that owners and a fresh leader know.
type Draining map[string]int

// Idle is a machine that may be drained, with the share of it in use.
type Idle struct {
	Machine string
	Load    float64
	Cost    float64 // per hour
}

// DrainStep moves draining on by one step. surplus is how many machines of
// the group are not needed over the whole plan, draining ones not counted as
// supply; negative when machines are short. It returns the next stages and
// the machines to return to the cloud now. steps and revive are the lengths
// of draining and of its part with revival.
func DrainStep(now Draining, idle []Idle, surplus, steps, revive int) (next Draining, give, revived []string) {
	next = Draining{}
	load := map[string]float64{}
	for _, i := range idle {
		load[i.Machine] = i.Load
	}
	var names []string
	for h := range now {
		names = append(names, h)
	}
	// Revival takes the fullest first: they would be returned last.
	sort.Slice(names, func(a, b int) bool {
		if load[names[a]] != load[names[b]] {
			return load[names[a]] > load[names[b]]
		}
		return names[a] < names[b]
	})
	short := -surplus
	for _, h := range names {
		l, known := load[h]
		stage := now[h]
		switch {
		case !known:
			continue // no longer ours
		case short > 0 && stage <= revive:
			revived = append(revived, h)
			short--
		case l == 0:
			give = append(give, h)
		case stage >= steps:
			revived = append(revived, h) // not empty by the end
		default:
			next[h] = stage + 1
		}
	}
	if surplus <= 0 {
		return next, give, revived
	}
	sort.SliceStable(idle, func(a, b int) bool {
		if idle[a].Load != idle[b].Load {
			return idle[a].Load < idle[b].Load
		}
		if idle[a].Cost != idle[b].Cost {
			return idle[a].Cost > idle[b].Cost
		}
		return idle[a].Machine > idle[b].Machine
	})
	for _, i := range idle {
		if surplus == 0 {
			break
		}
		if _, was := now[i.Machine]; was {
			continue
		}
		next[i.Machine] = 1
		surplus--
	}
	return next, give, revived
}
