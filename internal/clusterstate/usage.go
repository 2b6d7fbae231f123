package clusterstate

import (
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/sharding"
)

// Usage is the room taken on a machine: by tasks on it, by released tasks that
// the leader has room in mind for, and by decisions under way.
type Usage struct {
	Resources   sharding.Resources
	Allocations int
}

// Reservation is a release or placement whose transaction runs: it takes room
// on its machine, counts for its zone and is charged to its team already.
type Reservation struct {
	Task      *Task
	Machine   string
	Zone      string
	Resources sharding.Resources
	QuotaKey  quota.Key // charged, if any
	Amount    quota.Amount
}

// usageOf is a machine's usage, begun if need be.
func (b *State) usageOf(machine string) *Usage {
	u := b.Usages[machine]
	if u == nil {
		u = &Usage{}
		b.Usages[machine] = u
	}
	return u
}

func (b *State) AllocateResources(machine string, need sharding.Resources) {
	u := b.usageOf(machine)
	u.Resources = u.Resources.Add(need)
	u.Allocations++
}

// FreeResources gives room back; a machine that holds nothing starts from zero again,
// so that rounding does not add up.
func (b *State) FreeResources(machine string, need sharding.Resources) {
	u := b.usageOf(machine)
	u.Resources = u.Resources.Sub(need)
	if u.Allocations--; u.Allocations <= 0 {
		*u = Usage{}
		if b.Machines[machine] == nil {
			delete(b.Usages, machine)
		}
	}
}

// UsedResources is the room taken on a machine.
func (b *State) UsedResources(machine string) sharding.Resources {
	if u := b.Usages[machine]; u != nil {
		return u.Resources
	}
	return sharding.Resources{}
}

// Reserve books what a decision under way will take.
func (b *State) Reserve(t *Task, machine, zone string) {
	b.Unreserve(t.ID)
	spec := &t.Job.Record.Spec
	r := Reservation{Task: t, Machine: machine, Zone: zone, Resources: spec.Resources()}
	// A release under way is in no job's active tasks yet; left out here, the
	// next pass would give its share away a second time.
	if t.Job.Active[t.Index] == nil {
		r.QuotaKey, r.Amount = spec.QuotaKey(), spec.Amount()
		b.Account.Charge(r.QuotaKey, r.Amount, 1)
	}
	b.Reservations[t.ID] = r
	b.AllocateResources(machine, r.Resources)
	if t.State == jobs.Released && t.PreferredMachine != "" && !t.PreferenceReleased {
		t.PreferenceReleased = true
		b.FreeResources(t.PreferredMachine, t.Resources)
	}
}

func (b *State) Unreserve(taskID string) {
	r, ok := b.Reservations[taskID]
	if !ok {
		return
	}
	delete(b.Reservations, taskID)
	b.FreeResources(r.Machine, r.Resources)
	if t := r.Task; t.PreferenceReleased && t.Job.Tasks[t.Index] == t {
		t.PreferenceReleased = false // not placed: the leader's booking stands again
		b.AllocateResources(t.PreferredMachine, t.Resources)
	}
	if r.QuotaKey.Team != "" {
		b.Account.Charge(r.QuotaKey, r.Amount, -1)
	}
}

// charge books a task that is released or may be on a machine.
func (b *State) charge(t *Task, k int) {
	if t.Job.Record != nil && (t.Charged() || t.State == Unreadable) {
		b.Account.Charge(t.Job.Record.Spec.QuotaKey(), t.Job.Record.Spec.Amount(), k)
	}
}
