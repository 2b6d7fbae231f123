// Package preempt decides who is preempted for whom: which tasks on one machine are stopped
// so that a waiting one fits there. No IO, no clock.
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

// Search is a waiting task that others may be preempted for, with what limits the choice.
type Search struct {
	Task *clusterstate.Task
	// Priority is the waiting task's, as jobs.Spec.PriorityOrder gives it: 0 the most urgent.
	Priority int
	// Entitled is the node of the quota tree within whose guarantee the task lies, below 0
	// for none.
	Entitled int
	Account  *quota.Account
	// Zones counts the tasks of its job by zone.
	Zones map[string]int
	// OnlyWithImage leaves out machines that don't have its image.
	OnlyWithImage bool
	// CanPlaceOn tells whether the task may be placed on a machine at all.
	CanPlaceOn func(m *clusterstate.Machine) bool
	// InTransaction tells whether a transaction on the record of a key is under way. Tasks of such
	// a record can't be stopped now.
	InTransaction func(key string) bool
	// Stopping are the tasks that the same scheduling cycle stops already.
	Stopping map[*clusterstate.Task]bool
}

// choice is a machine's tasks that would be preempted.
type choice struct {
	victims  []*clusterstate.Task
	hasImage bool // the machine has the waiting task's image
}

// betterThan prefers a machine with the image, then the fewest tasks. Of equals the earlier
// one stays. Any choice is better than none.
func (c choice) betterThan(other choice) bool {
	if other.victims == nil {
		return true
	}
	if c.hasImage != other.hasImage {
		return c.hasImage
	}
	return len(c.victims) < len(other.victims)
}

// Victims finds the machine where stopping the fewest tasks frees enough capacity, one with
// the image if there is any, and lists those tasks. Nil if there is none, or if enough will be
// free somewhere once the tasks that are stopping are gone.
func Victims(state *clusterstate.State, search Search) []*clusterstate.Task {
	spec := &search.Task.Job.Record.Spec
	need := spec.Resources()
	var best choice
	for _, m := range state.MachinesByName() {
		if !search.mayUse(m) {
			continue
		}
		hasImage := state.HasImage(m.Name, spec.Image)
		if !hasImage && (search.OnlyWithImage || best.hasImage) {
			continue
		}
		capacity := state.MachineTypes[m.MachineType].Capacity()
		if !capacity.Fits(need) {
			continue
		}
		free, yielding := search.onMachine(state, m.Name, capacity.Sub(m.Usage.Resources))
		if free.Fits(need) {
			return nil
		}
		victims, ok := fewestVictims(need, free, yielding)
		if next := (choice{victims, hasImage}); ok && next.betterThan(best) {
			best = next
		}
	}
	return best.victims
}

// mayUse tells whether the waiting task may be placed on a machine, if it had free capacity.
func (s *Search) mayUse(m *clusterstate.Machine) bool {
	return m.State == fleet.Up &&
		s.CanPlaceOn(m) &&
		clusterstate.ZoneAllowed(&s.Task.Job.Record.Spec, s.Zones, m.Zone)
}

// yields tells whether a running task has to be preempted for the waiting one: its priority is
// lower, or it is beyond a guarantee that the waiting one is within. Gangs of several tasks
// never are: losing one task would stop them all.
func (s *Search) yields(state *clusterstate.State, t *clusterstate.Task) bool {
	spec := &t.Job.Record.Spec
	switch {
	case spec.IsGang():
		return false
	case spec.PriorityOrder() > s.Priority:
		return true
	case s.Entitled < 0 || spec.Kind == jobs.Service:
		return false
	}
	return s.Account.Yields(s.Entitled, state.QuotaLeaf(spec), spec.Amount())
}

// onMachine returns the capacity that is free on a machine once the tasks that are stopping
// are gone, and the tasks that yield, the youngest first: they lose the least.
func (s *Search) onMachine(
	state *clusterstate.State,
	machine string,
	free sharding.Resources,
) (sharding.Resources, []*clusterstate.Task) {
	var yielding []*clusterstate.Task
	for _, t := range state.TasksOnMachine[machine] {
		switch {
		case t.Job.Record == nil || s.InTransaction(t.StoredIn.Key) || s.Stopping[t]:
		case t.State == jobs.Stopping:
			free = free.Add(t.Job.Record.Spec.Resources())
		case s.yields(state, t):
			yielding = append(yielding, t)
		}
	}
	sort.Slice(yielding, func(a, b int) bool {
		if !yielding[a].StateSince.Equal(yielding[b].StateSince) {
			return yielding[a].StateSince.After(yielding[b].StateSince)
		}
		return yielding[a].ID < yielding[b].ID
	})
	return free, yielding
}

// fewestVictims takes tasks until need fits into what is free; false if it never does.
func fewestVictims(need, free sharding.Resources, yielding []*clusterstate.Task) ([]*clusterstate.Task, bool) {
	for i, t := range yielding {
		if free = free.Add(t.Job.Record.Spec.Resources()); free.Fits(need) {
			return slices.Clone(yielding[:i+1]), true
		}
	}
	return nil, false
}
