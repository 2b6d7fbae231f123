package clusterstate

import (
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/sharding"
)

// Usage is what is taken of a machine: by tasks on it, by released tasks that prefer it, and by
// decisions under way.
type Usage struct {
	Resources   sharding.Resources
	Allocations int // how many of those there are
}

// Reservation is a release or placement whose transaction runs: it takes resources on its
// machine, counts for its zone and is charged to its team already.
type Reservation struct {
	Task      *Task
	Machine   string
	Zone      string
	Resources sharding.Resources
	QuotaKey  quota.Key // charged by this reservation; no team if the task is charged already
	Amount    quota.Amount
}

// usageOf is a machine's usage, begun if need be.
func (s *State) usageOf(machine string) *Usage {
	usage := s.Usages[machine]
	if usage == nil {
		usage = &Usage{}
		s.Usages[machine] = usage
	}
	return usage
}

// AllocateResources counts resources as taken on a machine until FreeResources with the same
// amount.
func (s *State) AllocateResources(machine string, need sharding.Resources) {
	usage := s.usageOf(machine)
	usage.Resources = usage.Resources.Add(need)
	usage.Allocations++
}

// FreeResources undoes one AllocateResources. A machine without allocations starts from zero
// again, so that rounding errors do not add up.
func (s *State) FreeResources(machine string, need sharding.Resources) {
	usage := s.usageOf(machine)
	usage.Resources = usage.Resources.Sub(need)
	usage.Allocations--
	if usage.Allocations > 0 {
		return
	}
	*usage = Usage{}
	if s.Machines[machine] == nil {
		delete(s.Usages, machine)
	}
}

// UsedResources is what is taken of a machine.
func (s *State) UsedResources(machine string) sharding.Resources {
	if usage := s.Usages[machine]; usage != nil {
		return usage.Resources
	}
	return sharding.Resources{}
}

// Reserve counts what a decision under way will take. It replaces an earlier reservation for
// the task; Unreserve ends it.
func (s *State) Reserve(t *Task, machine, zone string) {
	s.Unreserve(t.ID)
	spec := &t.Job.Record.Spec
	reservation := Reservation{Task: t, Machine: machine, Zone: zone, Resources: spec.Resources()}
	// A release under way is not among its job's active tasks yet; left out here, the next
	// scheduling cycle would give its share away a second time.
	if t.Job.Active[t.Index] == nil {
		reservation.QuotaKey = spec.QuotaKey()
		reservation.Amount = spec.Amount()
		s.Account.Charge(reservation.QuotaKey, reservation.Amount, 1)
	}
	s.Reservations[t.ID] = reservation
	s.AllocateResources(machine, reservation.Resources)
	if t.holdsPreference() {
		t.PreferenceDropped = true
		s.FreeResources(t.PreferredMachine, t.Resources)
	}
}

// Unreserve ends the reservation for a task, if there is one, once its transaction is answered.
func (s *State) Unreserve(taskID string) {
	reservation, ok := s.Reservations[taskID]
	if !ok {
		return
	}
	delete(s.Reservations, taskID)
	s.FreeResources(reservation.Machine, reservation.Resources)
	if t := reservation.Task; t.PreferenceDropped && t.Job.Tasks[t.Index] == t {
		t.PreferenceDropped = false // not placed: the leader's preference holds again
		s.AllocateResources(t.PreferredMachine, t.Resources)
	}
	if reservation.QuotaKey.Team != "" {
		s.Account.Charge(reservation.QuotaKey, reservation.Amount, -1)
	}
}

// countsAsActive tells whether a task is charged to its team: it is released, may be on a
// machine, or cannot be read.
func (t *Task) countsAsActive() bool { return t.Charged() || t.State == Unreadable }

// charge adds (times = 1) or takes back (times = -1) what a task is charged.
func (s *State) charge(t *Task, times int) {
	if t.Job.Record != nil && t.countsAsActive() {
		s.Account.Charge(t.Job.Record.Spec.QuotaKey(), t.Job.Record.Spec.Amount(), times)
	}
}

// countPriority counts tasks on machines by the priority of their job.
func (s *State) countPriority(t *Task, times int) {
	if t.Job.Record != nil {
		s.PlacedByPriority[t.Job.Record.Spec.PriorityOrder()] += times
	}
}
