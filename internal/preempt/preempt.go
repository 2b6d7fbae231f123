// Package preempt selects the tasks to preempt on one machine so that a waiting task fits there. It
// does no IO and reads no clock.
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

// Search describes a waiting task for which other tasks may be preempted, and the constraints on
// the selection.
type Search struct {
	Task *clusterstate.Task
	// Priority is the priority of the waiting task as returned by jobs.Spec.PriorityOrder; 0 is the
	// highest.
	Priority int
	// Entitled is the node of the quota tree whose guarantee covers the task, or negative if there
	// is none.
	Entitled int
	// Account holds the usage of the tasks that run and are not being stopped. Victims changes it
	// tentatively.
	Account *quota.Account
	// Zones counts the tasks of the waiting task's job by zone.
	Zones map[string]int
	// OnlyWithImage excludes machines that do not have the task's image cached.
	OnlyWithImage bool
	// CanPlaceOn reports whether the task may be placed on a machine at all.
	CanPlaceOn func(m *clusterstate.Machine) bool
	// InTransaction reports whether a transaction on the record of key is in flight. Tasks of such
	// a record cannot be stopped now.
	InTransaction func(key string) bool
	// Stopping holds the tasks that the current scheduling cycle already stops.
	Stopping map[*clusterstate.Task]bool
}

// option is a set of tasks on one machine that could be preempted.
type option struct {
	victims  []*clusterstate.Task
	hasImage bool // the machine has the waiting task's image cached
}

// betterThan reports whether o is preferable to other: a machine with the image cached comes first,
// then the one with the fewest victims. If both are equal, it returns false. Any option is better
// than none.
func (o option) betterThan(other option) bool {
	if other.victims == nil {
		return true
	}
	if o.hasImage != other.hasImage {
		return o.hasImage
	}
	return len(o.victims) < len(other.victims)
}

// Victims selects the machine on which stopping the fewest tasks frees enough capacity, preferring
// machines with the image cached, and returns those tasks. It returns nil if there is no such
// machine, or if it comes across one that will have enough free capacity once its stopping tasks
// have ended.
func Victims(state *clusterstate.State, search Search) []*clusterstate.Task {
	spec := &search.Task.Job.Record.Spec
	need := spec.Resources()
	var best option
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
		free, preemptible := search.freeAndPreemptible(state, m.Name, capacity.Sub(m.Usage.Resources))
		if free.Fits(need) {
			return nil
		}
		victims, ok := search.fewestVictims(state, need, free, preemptible)
		if next := (option{victims, hasImage}); ok && next.betterThan(best) {
			best = next
		}
	}
	return best.victims
}

// mayUse reports whether the waiting task may be placed on a machine, regardless of free capacity.
func (s *Search) mayUse(m *clusterstate.Machine) bool {
	return m.State == fleet.Up &&
		s.CanPlaceOn(m) &&
		clusterstate.ZoneAllowed(&s.Task.Job.Record.Spec, s.Zones, m.Zone)
}

// isPreemptible reports whether a running task may be preempted for the waiting task: its priority
// is lower or, unless it is a replica of a service, its team exceeds a guarantee while the waiting
// task is covered by one (see quota.Account.MayPreempt). Tasks of gangs are never preempted,
// because losing one task would stop the whole gang.
func (s *Search) isPreemptible(state *clusterstate.State, t *clusterstate.Task) bool {
	spec := &t.Job.Record.Spec
	switch {
	case spec.IsGang():
		return false
	case spec.PriorityOrder() > s.Priority:
		return !s.wouldBePreemptedBack(state, spec)
	case s.Entitled < 0 || spec.Kind == jobs.Service:
		return false
	}
	return s.Account.MayPreempt(s.Entitled, state.QuotaLeaf(spec), spec.Amount())
}

// wouldBePreemptedBack reports whether a task of lower priority could in turn preempt the waiting
// task: a guarantee covers it, while none covers the waiting task, which is no replica.
func (s *Search) wouldBePreemptedBack(state *clusterstate.State, spec *jobs.Spec) bool {
	if s.Entitled >= 0 || s.Task.Job.Record.Spec.Kind == jobs.Service {
		return false
	}
	return s.Account.Entitled(state.QuotaLeaf(spec), spec.Amount(), 0) >= 0
}

// freeAndPreemptible returns the capacity that will be free on a machine once its stopping tasks
// have ended, and the preemptible tasks on it. The youngest come first, because they lose the least
// work.
func (s *Search) freeAndPreemptible(
	state *clusterstate.State,
	machine string,
	free sharding.Resources,
) (sharding.Resources, []*clusterstate.Task) {
	var preemptible []*clusterstate.Task
	for _, t := range state.TasksOnMachine[machine] {
		switch {
		case t.Job.Record == nil || s.InTransaction(t.StoredIn.Key) || s.Stopping[t]:
		case t.State == jobs.Stopping:
			free = free.Add(t.Job.Record.Spec.Resources())
		case s.isPreemptible(state, t):
			preemptible = append(preemptible, t)
		}
	}
	sort.Slice(preemptible, func(a, b int) bool {
		if !preemptible[a].StateSince.Equal(preemptible[b].StateSince) {
			return preemptible[a].StateSince.After(preemptible[b].StateSince)
		}
		return preemptible[a].ID < preemptible[b].ID
	})
	return free, preemptible
}

// fewestVictims returns the first preemptible tasks, as many as must be stopped until need fits. Each
// must be preemptible without those before it, too: a team is not brought below its guarantee. It
// returns false if need does not fit even without all of them.
func (s *Search) fewestVictims(
	state *clusterstate.State, need, free sharding.Resources, preemptible []*clusterstate.Task,
) ([]*clusterstate.Task, bool) {
	var victims []*clusterstate.Task
	defer func() { s.charge(victims, 1) }()
	for _, t := range preemptible {
		if !s.isPreemptible(state, t) {
			continue
		}
		victims = append(victims, t)
		s.charge(victims[len(victims)-1:], -1)
		if free = free.Add(t.Job.Record.Spec.Resources()); free.Fits(need) {
			return slices.Clone(victims), true
		}
	}
	return nil, false
}

// charge adds tasks to the account, count times each.
func (s *Search) charge(tasks []*clusterstate.Task, count int) {
	for _, t := range tasks {
		spec := &t.Job.Record.Spec
		s.Account.Charge(spec.QuotaKey(), spec.Amount(), count)
	}
}
