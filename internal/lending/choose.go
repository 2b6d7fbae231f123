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

// Search is a replica that others may lend room to.
type Search struct {
	Task     *clusterstate.Task
	Priority int
	// Entitled is the node of the quota tree within whose guarantee the replica lies, below 0
	// for none.
	Entitled int
	// Account is what is charged, without what is on its way out.
	Account *quota.Account
	Zones   map[string]int // tasks of its job by zone
	// OnlyWithImage: only on machines that have its image.
	OnlyWithImage bool
	// MaxStartDelayS is the longest delay until the replica runs, in seconds; 0 for any.
	MaxStartDelayS float64
	// Open tells whether the replica may go on a machine at all.
	Open func(machine *clusterstate.Machine) bool
	// Stopping are the tasks that this pass stops already.
	Stopping map[*clusterstate.Task]bool

	// The ledger fills in the rest.

	ready  func(machine *clusterstate.Machine) bool // it is reachable and takes commands now
	busy   func(key string) bool                    // a record is under a transaction
	spared func(job *clusterstate.Job) bool         // a job has lent what it may for a while
	now    time.Time
}

// Plan is who lends on which machine.
type Plan struct {
	Machine string
	Tasks   []*clusterstate.Task // to stop, gangs whole, with their tasks on other machines
	From    []Share              // what each job lends of what the replica takes
	// StartDelayS is the estimate of the seconds until the replica runs there.
	StartDelayS float64
	// LostS is the estimate of the work lost, in seconds of one accelerator.
	LostS       float64
	usesOwnTeam bool // it stops lower-priority tasks of the borrower's own team
}

// Choose finds the machine where lending costs the least. False if there is none, or if room is
// being freed already; in the second case the plan names only the machine.
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

// Holds tells whether a type's image cache can hold a job's image.
func Holds(spec *jobs.Spec, machineType *jobs.MachineType) bool {
	return machineType.CacheGB <= 0 || spec.ImageGB <= machineType.CacheGB
}

// spec is the job of the replica.
func (s *Search) spec() *jobs.Spec { return &s.Task.Job.Record.Spec }

// mayUse tells whether the replica could run on a machine if it were empty.
func (s *Search) mayUse(
	state *clusterstate.State,
	machine *clusterstate.Machine,
	machineType *jobs.MachineType,
) bool {
	spec := s.spec()
	if machine.State != fleet.Up || !s.Open(machine) || !clusterstate.ZoneAllowed(spec, s.Zones, machine.Zone) {
		return false
	}
	// An image that a type's cache cannot hold would be pulled for every start.
	if machineType == nil || !machineType.Capacity().Fits(spec.Resources()) || !Holds(spec, machineType) {
		return false
	}
	return !s.OnlyWithImage || state.HasImage(machine.Name, spec.Image)
}

// cost is what a plan costs in seconds of one accelerator: the work that lenders lose, and the
// replica's wait. An image that takes minutes to pull outweighs all else.
func (s *Search) cost(plan *Plan) float64 {
	accelerators := max(s.spec().Accelerators, 1)
	cost := plan.LostS + plan.StartDelayS*tuning.LoanServes*accelerators
	if plan.usesOwnTeam {
		cost += tuning.LoanOwn.Seconds() * accelerators
	}
	return cost
}

// freeResources is what is free on a machine, with what is on its way out.
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

// planFor is the plan for one machine.
func (s *Search) planFor(
	state *clusterstate.State,
	machine *clusterstate.Machine,
	machineType *jobs.MachineType,
	free sharding.Resources,
) (Plan, bool) {
	need := s.spec().Resources()
	units := s.stopUnits(state, machine)
	// What loses the least for what it frees here goes first.
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
		plan.StartDelayS = max(plan.StartDelayS, unit.leaveDelayS)
		plan.usesOwnTeam = plan.usesOwnTeam || unit.ofBorrowerTeam
		plan.LostS += unit.lostS
	}
	plan.StartDelayS += ImagePullS(state, s.now, machine, machineType, s.spec())
	// Accelerators freed beyond the need may find no task of their size: whole machines are
	// not broken up if another place costs less.
	plan.LostS += free.Sub(need).Accelerators * tuning.LoanWaste.Seconds()
	return plan, len(chosen) > 0
}

// chooseUnits takes units in their order until a need fits, and drops those that the later ones
// made needless. It returns them and what is free then, which fits the need only if the
// units were enough.
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
		// Each is weighed with those chosen before it gone: two of which each is within what a
		// team has beyond its guarantee need not be so together.
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

// addShare notes what a unit lends of the accelerators that are left to lend, by job.
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

// mayStop tells whether a unit may be stopped for the replica by the preemption rules of
// PROTOCOL: no team goes below its guarantee but for its own tasks of higher priority.
func (s *Search) mayStop(state *clusterstate.State, account *quota.Account, unit *stopUnit) bool {
	spec := unit.spec()
	leaf := state.QuotaLeaf(spec)
	amount := quota.Amount{}.Add(spec.Amount(), len(unit.tasks))
	if spec.PriorityOrder() > s.Priority {
		return account.CanSpare(state.QuotaLeaf(s.spec()), leaf, amount)
	}
	return account.Yields(s.Entitled, leaf, amount)
}

// AccountWithoutLeaving is a copy of an account without what is on its way out: what is stopped for one loan
// is not there for the next.
func AccountWithoutLeaving(
	state *clusterstate.State,
	account *quota.Account,
	stopping map[*clusterstate.Task]bool,
) *quota.Account {
	rest := account.Clone()
	// Nor what is only reserved: releases under way, which may fail, and room reserved for a
	// window that is about to open. A team that seemed beyond its guarantee by those would
	// lend of what it is guaranteed.
	for _, reservation := range state.Reservations {
		if reservation.QuotaKey != (quota.Key{}) {
			rest.Charge(reservation.QuotaKey, reservation.Amount, -1)
		}
	}
	for _, tasks := range state.TasksOnMachine {
		for _, task := range tasks {
			if task.Job.Record != nil && (task.State == jobs.Stopping || stopping[task]) {
				rest.Charge(task.Job.Record.Spec.QuotaKey(), task.Job.Record.Spec.Amount(), -1)
			}
		}
	}
	return rest
}
