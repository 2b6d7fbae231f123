// Package preempt is who makes way for whom: which tasks on one machine are stopped
// so that a waiting one finds room there. No IO, no clock.
package preempt

import (
	"slices"
	"sort"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/sharding"
)

// Search is a waiting task that others may have to make way for.
type Search struct {
	Task     *clusterstate.Task
	Priority int
	Entitled int // node of the quotas' tree within whose guarantee it lies, below 0 for none
	Account  *quota.Account
	Zones    map[string]int // of its job's tasks
	// OnlyWithImage: only where its image is.
	OnlyWithImage bool
	// Open tells whether it may go on a machine at all.
	Open func(m *clusterstate.Machine) bool
	// Busy tells whether a record is under a transaction.
	Busy func(key string) bool
	// Stopping are tasks that this look stops already.
	Stopping map[*clusterstate.Task]bool
}

// yields tells whether a running task has to make way: its rank is lower, or it is
// beyond a guarantee that the waiting one is within. Gangs of several tasks do not.
func (s *Search) yields(state *clusterstate.State, t *clusterstate.Task) bool {
	spec := &t.Job.Record.Spec
	switch {
	case spec.IsGang():
		return false
	case spec.PriorityOrder() > s.Priority:
		return true
	}
	return s.Entitled >= 0 && spec.Kind != jobs.Service && s.Account.Yields(s.Entitled, state.QuotaLeaf(spec), spec.Amount())
}

// Victims finds the machine where stopping the fewest tasks makes room, one with
// the image if there is any. Nil if there is none, or if room is coming already.
func Victims(state *clusterstate.State, search Search) []*clusterstate.Task {
	spec := &search.Task.Job.Record.Spec
	var best []*clusterstate.Task
	bestHasImage := false
	for _, m := range state.MachinesByName() {
		if m.State != fleet.Up || !search.Open(m) || !clusterstate.ZoneAllowed(spec, search.Zones, m.Zone) {
			continue
		}
		hasImage := state.HasImage(m.Name, spec.Image)
		if search.OnlyWithImage && !hasImage || bestHasImage && !hasImage {
			continue
		}
		capacity := state.MachineTypes[m.MachineType].Capacity()
		if !capacity.Fits(spec.Resources()) {
			continue
		}
		free, yielding := search.onMachine(state, m.Name, capacity.Sub(m.Usage.Resources))
		if free.Fits(spec.Resources()) {
			return nil // room is coming already
		}
		victims, ok := fewestVictims(spec.Resources(), free, yielding)
		if ok && (best == nil || (hasImage && !bestHasImage) || (hasImage == bestHasImage && len(victims) < len(best))) {
			best, bestHasImage = victims, hasImage
		}
	}
	return best
}

// onMachine is the room that is free on a machine, with what is on its way out, and
// the tasks that yield, the youngest first: they have the least to lose.
func (s *Search) onMachine(
	state *clusterstate.State,
	machine string,
	free sharding.Resources,
) (sharding.Resources, []*clusterstate.Task) {
	var yielding []*clusterstate.Task
	for _, t := range state.TasksOnMachine[machine] {
		switch {
		case t.Job.Record == nil || s.Busy(t.Stored.Key) || s.Stopping[t]:
		case t.State == jobs.Stopping:
			free = free.Add(t.Job.Record.Spec.Resources())
		case s.yields(state, t):
			yielding = append(yielding, t)
		}
	}
	sort.Slice(yielding, func(a, b int) bool {
		if !yielding[a].Since.Equal(yielding[b].Since) {
			return yielding[a].Since.After(yielding[b].Since)
		}
		return yielding[a].ID < yielding[b].ID
	})
	return free, yielding
}

// fewestVictims takes tasks until need fits; false if it never does.
func fewestVictims(need, free sharding.Resources, yielding []*clusterstate.Task) ([]*clusterstate.Task, bool) {
	for i, t := range yielding {
		if free = free.Add(t.Job.Record.Spec.Resources()); free.Fits(need) {
			return slices.Clone(yielding[:i+1]), true
		}
	}
	return nil, false
}
