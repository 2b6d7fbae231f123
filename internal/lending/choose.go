package lending

import (
	"cmp"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/gangs"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/sharding"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Search is a replica that others may lend to.
type Search struct {
	Task     *clusterstate.Task
	Priority int
	Entitled int // node of the quotas' tree within whose guarantee it lies, below 0 for none
	// Account is what is charged without what is on its way out.
	Account *quota.Account
	Zones   map[string]int // of its job's tasks
	// OnlyWithImage: only where its image is; within so many seconds if InS is not 0.
	OnlyWithImage bool
	InS           float64
	// Open tells whether it may go on a machine at all; Told whether a machine will
	// take an order now.
	Open, Known func(m *clusterstate.Machine) bool
	// Busy tells whether a record is under a transaction.
	Busy func(key string) bool
	// Spared tells whether a job has lent what it may for a while.
	Spared func(j *clusterstate.Job) bool
	// Stopping are tasks that this look stops already.
	Stopping map[*clusterstate.Task]bool
	Now      time.Time
}

// Plan is who gives on which machine.
type Plan struct {
	Machine     string
	Tasks       []*clusterstate.Task // to stop, whole gangs, those elsewhere included
	From        []Share              // by job, of what the replica takes
	StartDelayS float64              // seconds until the replica runs there, as a guess
	LostS       float64              // seconds of an accelerator's work lost, as a guess
	usesOwnTeam bool                 // it needs the team's own work of lower rank
	cost        float64              // of all that, see costs
}

// stopUnit is what stops together: a task, or a gang.
type stopUnit struct {
	tasks          []*clusterstate.Task
	freed          sharding.Resources // what it frees on the machine
	jobID          string
	lostS          float64 // of accelerators' work
	leaveDelayS    float64 // until it has left
	ofBorrowerTeam bool    // the borrower's own team's
}

// Choose finds the machine where lending costs the least. False if there is none, or if
// room is coming already; the plan then names only the machine.
func Choose(b *clusterstate.State, s *Search) (Plan, bool) {
	spec := &s.Task.Job.Record.Spec
	var best *Plan
	for _, m := range b.MachinesByName() {
		if m.State != fleet.Up || !s.Open(m) || !clusterstate.ZoneAllowed(spec, s.Zones, m.Zone) {
			continue
		}
		build := b.MachineTypes[m.MachineType]
		has := b.HasImage(m.Name, spec.Image)
		// An image that a type's cache cannot hold would be fetched for every start.
		if build == nil || !build.Capacity().Fits(spec.Resources()) || !Holds(spec, build) || s.OnlyWithImage && !has {
			continue
		}
		free := s.freeResources(b, m, build)
		if free.Fits(spec.Resources()) {
			return Plan{Machine: m.Name}, false // room is coming already
		}
		p, ok := s.planFor(b, m, build, free)
		if !ok || s.InS > 0 && p.StartDelayS > s.InS {
			continue
		}
		if p.cost = s.cost(&p); best == nil || p.cost < best.cost {
			best = &p
		}
	}
	if best == nil {
		return Plan{}, false
	}
	return *best, true
}

// Holds tells whether a type's cache can hold a job's image.
func Holds(spec *jobs.Spec, build *jobs.MachineType) bool {
	return build.CacheGB <= 0 || spec.ImageGB <= build.CacheGB
}

// cost is what a plan costs in seconds of an accelerator: what lenders lose, and what
// the replica's waiting is worth; an image that takes minutes outweighs all else.
func (s *Search) cost(p *Plan) float64 {
	cost := p.LostS + p.StartDelayS*tuning.LoanServes*max(s.Task.Job.Record.Spec.Accelerators, 1)
	if p.usesOwnTeam {
		cost += tuning.LoanOwn.Seconds() * max(s.Task.Job.Record.Spec.Accelerators, 1)
	}
	return cost
}

// freeResources is what is free on a machine, with what is on its way out.
func (s *Search) freeResources(b *clusterstate.State, m *clusterstate.Machine, build *jobs.MachineType) sharding.Resources {
	free := build.Capacity().Sub(m.Usage.Resources)
	for _, t := range b.TasksOnMachine[m.Name] {
		if t.Job.Record != nil && (t.State == jobs.Stopping || s.Stopping[t]) {
			free = free.Add(t.Job.Record.Spec.Resources())
		}
	}
	return free
}

// planFor is the plan for one machine.
func (s *Search) planFor(
	b *clusterstate.State,
	m *clusterstate.Machine,
	build *jobs.MachineType,
	free sharding.Resources,
) (Plan, bool) {
	spec := &s.Task.Job.Record.Spec
	need := spec.Resources()
	units := s.stopUnits(b, m)
	// The least lost for what it frees here goes first.
	slices.SortFunc(units, func(x, y stopUnit) int {
		return cmp.Or(
			cmp.Compare(x.lostS/max(x.freed.ShareOf(need), 1e-9), y.lostS/max(y.freed.ShareOf(need), 1e-9)),
			cmp.Compare(x.tasks[0].ID, y.tasks[0].ID),
		)
	})
	account := s.Account.Clone()
	var chosen []stopUnit
	for _, u := range units {
		if free.Fits(need) {
			break
		}
		// Each is weighed with those chosen before it gone: two that are within what a
		// team has beyond its guarantee need not be so together.
		if !s.mayStop(b, account, &u) {
			continue
		}
		account.Charge(u.tasks[0].Job.Record.Spec.QuotaKey(), u.tasks[0].Job.Record.Spec.Amount(), -len(u.tasks))
		chosen, free = append(chosen, u), free.Add(u.freed)
	}
	if !free.Fits(need) {
		return Plan{}, false
	}
	// What the later, dearer ones made needless stays.
	chosen = slices.DeleteFunc(chosen, func(u stopUnit) bool {
		if rest := free.Sub(u.freed); rest.Fits(need) {
			free = rest
			return true
		}
		return false
	})
	p := Plan{Machine: m.Name}
	left := need.Accelerators
	for _, u := range chosen {
		p.Tasks = append(p.Tasks, u.tasks...)
		p.addShare(&u, &left)
		p.StartDelayS, p.usesOwnTeam = max(p.StartDelayS, u.leaveDelayS), p.usesOwnTeam || u.ofBorrowerTeam
		p.LostS += u.lostS
	}
	p.StartDelayS += ImagePullS(b, s.Now, m, build, spec)
	// What is freed beyond the need may find no one of its size: whole machines are
	// not broken up if another place costs less.
	p.LostS += free.Sub(need).Accelerators * tuning.LoanWaste.Seconds()
	return p, len(chosen) > 0
}

// addShare notes what a unit gives of what is left to give, by job.
func (p *Plan) addShare(u *stopUnit, left *float64) {
	gpus := min(u.freed.Accelerators, *left)
	*left -= gpus
	i := slices.IndexFunc(p.From, func(s Share) bool { return s.Job == u.jobID })
	if i < 0 {
		i, p.From = len(p.From), append(p.From, Share{Job: u.jobID})
	}
	p.From[i].GPUs += gpus
	p.From[i].Tasks += len(u.tasks)
}

// mayStop tells whether a unit may be stopped for the replica: PROTOCOL's preemption, and no
// team goes below its guarantee but for its own work of higher rank.
func (s *Search) mayStop(b *clusterstate.State, account *quota.Account, u *stopUnit) bool {
	spec := &u.tasks[0].Job.Record.Spec
	leaf, all := b.QuotaLeaf(spec), quota.Amount{}.Add(spec.Amount(), len(u.tasks))
	if spec.PriorityOrder() > s.Priority {
		return account.Spares(b.QuotaLeaf(&s.Task.Job.Record.Spec), leaf, all)
	}
	return account.Yields(s.Entitled, leaf, all)
}

// stopUnits lists what could be stopped on a machine.
func (s *Search) stopUnits(b *clusterstate.State, m *clusterstate.Machine) []stopUnit {
	var out []stopUnit
	seen := map[string]bool{}
	for _, taskID := range clusterstate.SortedKeys(b.TasksOnMachine[m.Name]) {
		t := b.TasksOnMachine[m.Name][taskID]
		if t.Job.Record == nil || t.Job.Record.State != jobs.Live || t.Job.Record.Spec.Kind == jobs.Service ||
			t.Job == s.Task.Job ||
			s.Spared(t.Job) {
			continue
		}
		u := stopUnit{tasks: []*clusterstate.Task{t}, jobID: t.Job.ID}
		if t.Job.Record.Spec.IsGang() {
			if seen[t.Job.ID] {
				continue
			}
			seen[t.Job.ID] = true
			if u.tasks = s.gangTasks(b, t.Job); u.tasks == nil {
				continue
			}
		}
		if s.estimate(b, m, &u) {
			out = append(out, u)
		}
	}
	return out
}

// gangTasks lists a gang's tasks, nil if it cannot be stopped in order now: one that is not
// whole (a member is lost, or it is stopped already) or of which a machine could not be
// told in time would lose its progress since its last save.
func (s *Search) gangTasks(b *clusterstate.State, j *clusterstate.Job) []*clusterstate.Task {
	records := make([]*jobs.Task, 0, len(j.Tasks))
	var out []*clusterstate.Task
	for _, n := range sortedKeys(j.Tasks) {
		t := j.Tasks[n]
		records, out = append(records, &t.Task), append(out, t)
	}
	if gangs.PhaseOf(j.Record.Spec.TaskCount, records) != gangs.Whole {
		return nil
	}
	for _, t := range out {
		if m := b.Machines[t.Machine]; m == nil || !s.Known(m) {
			return nil
		}
	}
	return out
}

// estimate works out what a unit loses and frees; false if it may not be stopped now.
func (s *Search) estimate(b *clusterstate.State, m *clusterstate.Machine, u *stopUnit) bool {
	spec := &u.tasks[0].Job.Record.Spec
	ran := 0.0
	for _, t := range u.tasks {
		if t.State != jobs.Placed || s.Stopping[t] || s.Busy(t.Stored.Key) {
			return false
		}
		ran = max(ran, s.Now.Sub(t.Since).Seconds())
		if t.Machine == m.Name {
			u.freed = u.freed.Add(spec.Resources())
		}
	}
	// Estimates are often wrong by half: what has run past its own is taken to need a
	// fifth more.
	left := spec.ExpectedDurationS - ran
	if left < 0 {
		left = ran * tuning.LoanPast
	}
	if spec.ExpectedDurationS > 0 && left < tuning.LoanNearEnd.Seconds() {
		return false
	}
	lost := ran
	if spec.CheckpointIntervalS > 0 {
		lost, u.leaveDelayS = 0, spec.CheckpointTimeS
	}
	build := b.MachineTypes[m.MachineType]
	again := build.BootS // a machine of its own, at worst
	if build.ImageGBPerS > 0 {
		again += spec.ImageGB / build.ImageGBPerS
	}
	u.lostS = (lost + spec.CheckpointTimeS + again) * float64(
		len(u.tasks),
	) * max(
		spec.Accelerators,
		spec.Resources().ShareOf(build.Capacity())*build.Accelerators,
	)
	u.ofBorrowerTeam = spec.Team == s.Task.Job.Record.Spec.Team
	return true
}

// ImagePullS is how long a machine takes to have a job's image, in seconds: fetches on one
// machine share its rate, so those under way count.
func ImagePullS(
	b *clusterstate.State,
	now time.Time,
	m *clusterstate.Machine,
	build *jobs.MachineType,
	spec *jobs.Spec,
) float64 {
	if b.HasImage(m.Name, spec.Image) || build.ImageGBPerS <= 0 {
		return 0
	}
	left := map[string]float64{}
	for _, t := range b.TasksOnMachine[m.Name] {
		if t.Job.Record == nil || t.State != jobs.Placed {
			continue
		}
		other := &t.Job.Record.Spec
		gb := 0.0 // one that runs has it
		if !t.ObservedRunning {
			gb = max(other.ImageGB-now.Sub(t.Since).Seconds()*build.ImageGBPerS, 0)
		}
		if was, known := left[other.Image]; !known || gb < was {
			left[other.Image] = gb // the oldest of its tasks tells
		}
	}
	sum := spec.ImageGB
	for _, gb := range left {
		sum += min(gb, spec.ImageGB) // by halves and thirds until the shorter is done
	}
	return sum / build.ImageGBPerS
}

func sortedKeys[V any](m map[int]V) []int {
	out := make([]int, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// Leaving is a copy of an account without what is on its way out: what is stopped for
// one loan is not there for the next.
func Leaving(b *clusterstate.State, account *quota.Account, stopping map[*clusterstate.Task]bool) *quota.Account {
	out := account.Clone()
	// Nor what is only booked: releases under way, which may come to nothing, and room
	// kept for a window that is about to open. A team that seemed beyond its guarantee
	// by those would lend of what it is guaranteed.
	for _, r := range b.Reservations {
		if r.QuotaKey != (quota.Key{}) {
			out.Charge(r.QuotaKey, r.Amount, -1)
		}
	}
	for _, on := range b.TasksOnMachine {
		for _, t := range on {
			if t.Job.Record != nil && (t.State == jobs.Stopping || stopping[t]) {
				out.Charge(t.Job.Record.Spec.QuotaKey(), t.Job.Record.Spec.Amount(), -1)
			}
		}
	}
	return out
}
