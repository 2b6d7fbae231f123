package lending

import (
	"cmp"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/sharding"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Search describes a replica for which Choose searches room that other jobs can lend.
type Search struct {
	Task     *clusterstate.Task
	Priority int
	// Entitled is the node of the quota tree within whose guarantee the replica is, negative if
	// there is none.
	Entitled int
	// Account is the account of the quota tree without stopping tasks and reservations.
	Account *quota.Account
	Zones   map[string]int // number of tasks of the replica's job by zone
	// OnlyWithImage restricts the search to machines that have the replica's image.
	OnlyWithImage bool
	// MaxStartDelayS is the longest acceptable delay until the replica runs, in seconds; 0 for any.
	MaxStartDelayS float64
	// CanPlaceOn reports whether the replica may be placed on a machine at all.
	CanPlaceOn func(machine *clusterstate.Machine) bool
	// Stopping holds the tasks that the current scheduling pass has already decided to stop.
	Stopping map[*clusterstate.Task]bool

	// The ledger sets the other fields.

	ready  func(machine *clusterstate.Machine) bool // reports whether a machine is reachable and takes commands
	busy   func(key string) bool                    // reports whether a record is part of a pending transaction
	exempt func(job *clusterstate.Job) bool         // reports whether a job has lent too much recently
	now    time.Time
}

// Plan says which jobs lend room on which machine.
type Plan struct {
	Machine string
	Tasks   []*clusterstate.Task // tasks to stop; of a gang all tasks, also those on other machines
	From    []Share              // what each job lends of the replica's accelerators
	// StartDelayS is the estimated delay until the replica runs, in seconds.
	StartDelayS float64
	// LostS is the estimated loss of work, in accelerator-seconds.
	LostS       float64
	usesOwnTeam bool // Tasks includes tasks of the borrower's own team
}

// Choose returns the plan for the machine where lending costs the least. It returns false if there
// is none, or if a machine has enough free room, including that of its stopping tasks; in the
// second case the plan has only the machine's name.
func Choose(state *clusterstate.State, search *Search) (Plan, bool) {
	need := search.spec().Resources()
	var best Plan
	found, bestCost := false, 0.0
	for _, machine := range state.MachinesByName() {
		machineType := state.MachineTypes[machine.MachineType]
		if !search.mayUse(state, machine, machineType) {
			continue
		}
		free := search.freeResources(state, machine, machineType)
		if free.Fits(need) {
			return Plan{Machine: machine.Name}, false
		}
		plan, ok := search.planFor(state, machine, machineType, free)
		if !ok || search.MaxStartDelayS > 0 && plan.StartDelayS > search.MaxStartDelayS {
			continue
		}
		if cost := search.cost(&plan); !found || cost < bestCost {
			best, bestCost, found = plan, cost, true
		}
	}
	return best, found
}

// ImageFitsCache reports whether the image cache of a machine type can hold a job's image.
func ImageFitsCache(spec *jobs.Spec, machineType *jobs.MachineType) bool {
	return machineType.CacheGB <= 0 || spec.ImageGB <= machineType.CacheGB
}

// spec returns the spec of the replica's job.
func (s *Search) spec() *jobs.Spec { return &s.Task.Job.Record.Spec }

// mayUse reports whether the replica could run on a machine if the machine were empty.
func (s *Search) mayUse(
	state *clusterstate.State,
	machine *clusterstate.Machine,
	machineType *jobs.MachineType,
) bool {
	spec := s.spec()
	if machine.State != fleet.Up || !s.CanPlaceOn(machine) || !clusterstate.ZoneAllowed(spec, s.Zones, machine.Zone) {
		return false
	}
	// An image that does not fit in the cache would be pulled again for every start.
	if machineType == nil || !machineType.Capacity().Fits(spec.Resources()) || !ImageFitsCache(spec, machineType) {
		return false
	}
	return !s.OnlyWithImage || state.HasImage(machine.Name, spec.Image)
}

// cost returns the cost of a plan in accelerator-seconds: the work that the lenders lose plus the
// replica's wait. An image pull of minutes outweighs everything else.
func (s *Search) cost(plan *Plan) float64 {
	accelerators := max(s.spec().Accelerators, 1)
	cost := plan.LostS + plan.StartDelayS*tuning.LoanWaitWeight*accelerators
	if plan.usesOwnTeam {
		cost += tuning.LoanOwnTeamCost.Seconds() * accelerators
	}
	return cost
}

// freeResources returns the resources that are free on a machine, including those of stopping
// tasks.
func (s *Search) freeResources(
	state *clusterstate.State,
	machine *clusterstate.Machine,
	machineType *jobs.MachineType,
) sharding.Resources {
	free := machineType.Capacity().Sub(machine.Usage.Resources)
	for _, task := range state.TasksOnMachine[machine.Name] {
		if task.Job.Record != nil && (task.State == jobs.Stopping || s.Stopping[task]) {
			free = free.Add(task.Job.Record.Spec.Resources())
		}
	}
	return free
}

// planFor returns the plan for one machine, and false if stopping tasks there can't make room.
func (s *Search) planFor(
	state *clusterstate.State,
	machine *clusterstate.Machine,
	machineType *jobs.MachineType,
	free sharding.Resources,
) (Plan, bool) {
	need := s.spec().Resources()
	units := s.stopUnits(state, machine)
	// The units that lose the least work for the resources that they free here go first.
	slices.SortFunc(units, func(a, b stopUnit) int {
		return cmp.Or(
			cmp.Compare(a.lostPerShare(need), b.lostPerShare(need)),
			cmp.Compare(a.tasks[0].ID, b.tasks[0].ID),
		)
	})
	chosen, free := s.chooseUnits(state, units, need, free)
	if !free.Fits(need) {
		return Plan{}, false
	}
	plan := Plan{Machine: machine.Name}
	left := need.Accelerators
	for _, unit := range chosen {
		plan.Tasks = append(plan.Tasks, unit.tasks...)
		plan.addShare(&unit, &left)
		plan.StartDelayS = max(plan.StartDelayS, unit.exitDelayS)
		plan.usesOwnTeam = plan.usesOwnTeam || unit.ofBorrowerTeam
		plan.LostS += unit.lostS
	}
	plan.StartDelayS += ImagePullS(state, s.now, machine, machineType, s.spec())
	// Accelerators freed beyond the need may stay idle because no waiting task fits them. This cost
	// avoids breaking up a whole machine if another choice is cheaper.
	plan.LostS += free.Sub(need).Accelerators * tuning.LoanWasteCost.Seconds()
	return plan, len(chosen) > 0
}

// chooseUnits takes units in their order until the need fits, and then drops those that later ones
// made unnecessary. It returns the chosen units and the resources that are free after stopping
// them, which fit the need only if the units were enough.
func (s *Search) chooseUnits(
	state *clusterstate.State,
	units []stopUnit,
	need, free sharding.Resources,
) ([]stopUnit, sharding.Resources) {
	account := s.Account.Clone()
	var chosen []stopUnit
	for _, unit := range units {
		if free.Fits(need) {
			break
		}
		// Each unit is checked against the account without those chosen before it: a team may have
		// enough beyond its guarantee to give up either of two units, but not both.
		if !s.mayStop(state, account, &unit) {
			continue
		}
		spec := unit.spec()
		account.Charge(spec.QuotaKey(), spec.Amount(), -len(unit.tasks))
		chosen = append(chosen, unit)
		free = free.Add(unit.freed)
	}
	if !free.Fits(need) {
		return nil, free
	}
	chosen = slices.DeleteFunc(chosen, func(unit stopUnit) bool {
		without := free.Sub(unit.freed)
		if !without.Fits(need) {
			return false
		}
		free = without
		return true
	})
	return chosen, free
}

// addShare adds the accelerators that a unit lends, at most those that are still needed, to the
// share of its job, and subtracts them from left.
func (p *Plan) addShare(unit *stopUnit, left *float64) {
	accelerators := min(unit.freed.Accelerators, *left)
	*left -= accelerators
	i := slices.IndexFunc(p.From, func(share Share) bool { return share.Job == unit.jobID })
	if i < 0 {
		i = len(p.From)
		p.From = append(p.From, Share{Job: unit.jobID})
	}
	p.From[i].GPUs += accelerators
	p.From[i].Tasks += len(unit.tasks)
}

// mayStop reports whether the preemption rules of PROTOCOL allow stopping a unit for the replica:
// no team falls below its guarantee, except in favour of a replica of its own that has a higher
// priority.
func (s *Search) mayStop(state *clusterstate.State, account *quota.Account, unit *stopUnit) bool {
	spec := unit.spec()
	leaf := state.QuotaLeaf(spec)
	amount := quota.Amount{}.Add(spec.Amount(), len(unit.tasks))
	if spec.PriorityOrder() > s.Priority {
		return account.CanSpare(state.QuotaLeaf(s.spec()), leaf, amount)
	}
	return account.MayPreempt(s.Entitled, leaf, amount)
}

// AccountWithoutStopping returns a copy of an account without the charges of stopping tasks, so
// that tasks stopped for one loan are not counted again for the next, and without those of
// reservations.
func AccountWithoutStopping(
	state *clusterstate.State,
	account *quota.Account,
	stopping map[*clusterstate.Task]bool,
) *quota.Account {
	remaining := account.Clone()
	// Reservations are releases in progress, which may fail, and room for a window that is about to
	// open. With their charges a team could seem to be beyond its guarantee, and would have to lend
	// some of what it is guaranteed.
	for _, reservation := range state.Reservations {
		if reservation.QuotaKey != (quota.Key{}) {
			remaining.Charge(reservation.QuotaKey, reservation.Amount, -1)
		}
	}
	for _, tasks := range state.TasksOnMachine {
		for _, task := range tasks {
			if task.Job.Record != nil && (task.State == jobs.Stopping || stopping[task]) {
				remaining.Charge(task.Job.Record.Spec.QuotaKey(), task.Job.Record.Spec.Amount(), -1)
			}
		}
	}
	return remaining
}
