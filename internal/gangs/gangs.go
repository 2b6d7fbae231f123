// Package gangs decides for ensembles of more than one task, whose tasks
// start together under one try.
package gangs

import (
	"maps"
	"sort"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/sharding"
)

// Phase is where a gang stands as a whole.
type Phase string

// Phases of a gang.
const (
	Resting  Phase = "resting"  // no task charged or on a machine: may be placed
	Offered  Phase = "offered"  // released to a part, nothing placed yet
	Whole    Phase = "whole"    // every task on a machine under one try
	Broken   Phase = "broken"   // some tasks on machines, others not: must be stopped
	Complete Phase = "complete" // a task is done, so every task is
)

// PhaseOf derives a gang's phase from its tasks' records. Old attempts still
// on a machine count until they are truly gone.
func PhaseOf(pieces int, tasks []*jobs.Task) Phase {
	on, offered, stopping := 0, 0, false
	var attempt uint64
	same := true
	for _, t := range tasks {
		switch {
		case t.State == jobs.Finished:
			return Complete
		case t.OnMachine():
			if on > 0 && t.Attempt != attempt {
				same = false
			}
			attempt = t.Attempt
			on++
			stopping = stopping || t.State == jobs.Stopping
		case t.State == jobs.Released:
			offered++
		}
	}
	switch {
	case on == 0 && offered == 0:
		return Resting
	case on == 0:
		return Offered
	case on == pieces && same && !stopping:
		return Whole
	}
	return Broken
}

// NextAttempt is the try for a gang's next attempt: above every task's.
func NextAttempt(tasks []*jobs.Task) uint64 {
	var top uint64
	for _, t := range tasks {
		top = max(top, t.Attempt)
	}
	return top + 1
}

// Fit finds a machine for each of a gang's tasks, in one part if one holds it, else
// across parts. pick chooses a candidate for a task, by its index, or gives -1; it
// is handed copies that it may not keep. hosts is nil where the gang does not fit;
// whole tells that all machines are of one part, room that by count alone it would
// fit somewhere.
func Fit(spec *jobs.Spec, cands []sharding.Candidate, zones map[string]int, pick func(task int, cands []sharding.Candidate, zones map[string]int) int) (machines []string, whole, room bool) {
	order := groupsOf(spec, cands, zones)
	for _, g := range order {
		var some []sharding.Candidate
		for _, c := range cands {
			if (g.zone == "" || c.Zone == g.zone) && (g.controller == "" || c.Controller == g.controller) {
				some = append(some, c)
			}
		}
		if machines := fitInto(spec, some, maps.Clone(zones), pick); machines != nil {
			return machines, g.controller != "", true
		}
	}
	return nil, false, len(order) > 0
}

// group is where a gang may go together: a part or all of them (""), in one zone or
// in any ("").
type group struct{ zone, controller string }

// groupsOf lists the groups that hold a gang, in the order in which they are tried:
// inside a part first, then by images, then the tightest.
func groupsOf(spec *jobs.Spec, cands []sharding.Candidate, zones map[string]int) []group {
	type holding struct{ places, cached int }
	groups := map[group]*holding{}
	add := func(g group, c *sharding.Candidate) {
		h := groups[g]
		if h == nil {
			h = &holding{}
			groups[g] = h
		}
		k := c.Free.HowMany(spec.Resources())
		h.places += k
		if c.HasImage {
			h.cached += k
		}
	}
	for i := range cands {
		c := &cands[i]
		if !clusterstate.ZoneAllowed(spec, zones, c.Zone) {
			continue
		}
		zone := ""
		if spec.SameZone {
			zone = c.Zone
		}
		add(group{zone, c.Controller}, c)
		add(group{zone, ""}, c)
	}
	var order []group
	for g, h := range groups {
		if h.places >= spec.TaskCount {
			order = append(order, g)
		}
	}
	sort.Slice(order, func(a, b int) bool {
		x, y := order[a], order[b]
		switch cx, cy := min(groups[x].cached, spec.TaskCount), min(groups[y].cached, spec.TaskCount); {
		case (x.controller != "") != (y.controller != ""):
			return x.controller != ""
		case cx != cy:
			return cx > cy
		case groups[x].places != groups[y].places:
			return groups[x].places < groups[y].places
		case x.zone != y.zone:
			return x.zone < y.zone
		}
		return x.controller < y.controller
	})
	return order
}

// fitInto finds a machine for every task of a gang among the candidates.
func fitInto(spec *jobs.Spec, cands []sharding.Candidate, zones map[string]int, pick func(task int, cands []sharding.Candidate, zones map[string]int) int) []string {
	out := make([]string, spec.TaskCount)
	for i := range out {
		k := pick(i, cands, zones)
		if k < 0 {
			return nil
		}
		c := &cands[k]
		out[i] = c.Machine
		c.Free = c.Free.Sub(spec.Resources())
		c.Load = c.Capacity.Sub(c.Free).ShareOf(c.Capacity)
		zones[c.Zone]++
	}
	return out
}

// LaunchAt is when a task of a gang should be launched, so that it does not wait in vain:
// each gives up when the gang is not whole within wait of its own image being there, so
// where one machine holds the image and another fetches it for longer than that, every
// attempt failed. ready is when each of the tasks' machines should have the image, mine
// when this one's should. Half of wait is left for fetches that take longer.
func LaunchAt(mine time.Time, ready []time.Time, wait time.Duration) time.Time {
	last := mine
	for _, r := range ready {
		if r.After(last) {
			last = r
		}
	}
	at := last.Add(-wait / 2)
	if !mine.Before(at) {
		return time.Time{} // it fetches for as long itself
	}
	return at
}
