package clusterstate

import (
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/sharding"
)

// Usage is the resources allocated on a machine: to tasks on it, to released tasks that prefer it,
// and to reservations.
type Usage struct {
	Resources   sharding.Resources
	Allocations int // number of allocations that make up Resources
}

// Reservation is a release or placement whose transaction is not settled yet. It already occupies
// resources on its machine, counts towards its zone and is charged to its team.
type Reservation struct {
	Task      *Task
	Machine   string
	Zone      string
	Resources sharding.Resources
	QuotaKey  quota.Key // charged by this reservation; no team if the task is already charged
	Amount    quota.Amount
}

// usageOf returns the usage of a machine and creates it if necessary.
func (s *State) usageOf(machine string) *Usage {
	usage := s.Usages[machine]
	if usage == nil {
		usage = &Usage{}
		s.Usages[machine] = usage
	}
	return usage
}

// AllocateResources allocates resources on a machine until FreeResources is called with the same
// amount.
func (s *State) AllocateResources(machine string, need sharding.Resources) {
	usage := s.usageOf(machine)
	usage.Resources = usage.Resources.Add(need)
	usage.Allocations++
}

// FreeResources undoes one AllocateResources. Without remaining allocations the usage is reset to
// zero, so that rounding errors do not accumulate.
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

// UsedResources returns the resources allocated on a machine.
func (s *State) UsedResources(machine string) sharding.Resources {
	if usage := s.Usages[machine]; usage != nil {
		return usage.Resources
	}
	return sharding.Resources{}
}

// Reserve reserves the resources and the quota that a task needs, until its decision is settled.
// It replaces an earlier reservation of the task. Unreserve ends the reservation.
func (s *State) Reserve(t *Task, machine, zone string) {
	s.Unreserve(t.ID)
	spec := &t.Job.Record.Spec
	reservation := Reservation{Task: t, Machine: machine, Zone: zone, Resources: spec.Resources()}
	// A task whose release is not settled yet is not among its job's active tasks. Unless it is
	// charged here, the next scheduling cycle would assign its quota a second time.
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

// Unreserve ends the reservation of a task, if there is one. It is called when the transaction is
// settled.
func (s *State) Unreserve(taskID string) {
	reservation, ok := s.Reservations[taskID]
	if !ok {
		return
	}
	delete(s.Reservations, taskID)
	s.FreeResources(reservation.Machine, reservation.Resources)
	if t := reservation.Task; t.PreferenceDropped && t.Job.Tasks[t.Index] == t {
		t.PreferenceDropped = false // not placed: reserve the preferred machine again
		s.AllocateResources(t.PreferredMachine, t.Resources)
	}
	if reservation.QuotaKey.Team != "" {
		s.Account.Charge(reservation.QuotaKey, reservation.Amount, -1)
	}
}

// countsAsActive reports whether a task is charged to its team: it is released, may be on a
// machine, or cannot be read.
func (t *Task) countsAsActive() bool { return t.Charged() || t.State == Unreadable }

// charge charges a task's quota (sign is 1) or refunds it (sign is -1).
func (s *State) charge(t *Task, sign int) {
	if t.Job.Record != nil && t.countsAsActive() {
		s.Account.Charge(t.Job.Record.Spec.QuotaKey(), t.Job.Record.Spec.Amount(), sign)
	}
}

// countByPriority adds a task on a machine to PlacedByPriority (sign is 1) or removes it (sign is
// -1).
func (s *State) countByPriority(t *Task, sign int) {
	if t.Job.Record != nil {
		s.PlacedByPriority[t.Job.Record.Spec.PriorityOrder()] += sign
	}
}
