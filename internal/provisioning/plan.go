package provisioning

import (
	"fmt"
	"math"
	"slices"

	"github.com/harrierreel/harrierreel/internal/autoscaler"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/queue"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// planStep is one planning step: the inputs at its start, and its results.
type planStep struct {
	provisioner *Provisioner
	supply      supply
	demand      map[fleet.Group]float64 // in machines
	candidates  map[fleet.Group][]fleet.DrainCandidate
	waiting     []*queue.Waiting
	packing     *packing

	summary   Summary
	scaleOuts []scaleOut
	emptied   []string // drained machines that are empty and will be deleted
}

// plan plans each group and carries out the first step of its plan.
func (p *Provisioner) plan() {
	p.cloud.steps++
	step := &planStep{
		provisioner: p,
		supply:      p.countSupply(),
		demand:      map[fleet.Group]float64{},
		candidates:  map[fleet.Group][]fleet.DrainCandidate{},
		summary: Summary{
			Step:     p.Summary.Step + 1,
			History:  map[string][]float64{},
			Draining: fleet.Draining{},
		},
	}
	p.logQueue()
	step.countDemand()
	step.waiting = p.waiting()
	step.packing = p.packQueue(step.supply, step.demand, step.waiting)
	for _, group := range p.groups() {
		step.planGroup(group)
	}
	p.startScaleOuts(step.scaleOuts)
	step.summary.Requests = slices.Clone(p.cloud.requests)
	p.collaborators.Commits.Commit(step.decisions())
}

// waiting returns the tasks for which the queue found no capacity or that it has not examined yet.
func (p *Provisioner) waiting() []*queue.Waiting {
	return append(p.collaborators.Queue.StillWaiting(), p.collaborators.Queue.NotExamined()...)
}

func (p *Provisioner) logQueue() {
	tasksByClass := map[string]int{}
	for _, entry := range p.collaborators.Queue.StillWaiting() {
		tasksByClass[entry.Task.Job.Record.Spec.Class] += entry.Count
	}
	p.config.Log.Debug("queue counted",
		"waiting", fmt.Sprint(tasksByClass),
		"jobs", len(p.state.Queued),
		"released", len(p.state.Assigned),
		"under_way", len(p.state.Reservations),
		"calls_held", p.collaborators.Budget.Waiting(),
		"spare", p.collaborators.Budget.HasSpareWrites())
}

// groups returns all groups of the catalogue, sorted by name.
func (p *Provisioner) groups() []fleet.Group {
	var groups []fleet.Group
	for name := range p.cloud.catalog {
		groups = append(groups,
			fleet.Group{MachineType: name},
			fleet.Group{MachineType: name, Spot: true})
	}
	slices.SortFunc(groups, compareGroups)
	return groups
}

// countDemand sums the used capacity by group and collects the machines that may drain. Capacity
// that is being accumulated for gangs counts as used.
func (s *planStep) countDemand() {
	p := s.provisioner
	accumulated := p.collaborators.Queue.AccumulatedCapacity()
	for _, name := range clusterstate.SortedKeys(p.state.Machines) {
		machine := p.state.Machines[name]
		machineType := p.state.MachineTypes[machine.MachineType]
		if machineType == nil || !p.collaborators.Machines.InUse(machine) {
			continue
		}
		group := groupOf(machine)
		share := p.state.UsedResources(name).Add(accumulated[name]).ShareOf(machineType.Capacity())
		if _, draining := p.Summary.Draining[name]; !draining {
			s.demand[group] += share
		}
		s.candidates[group] = append(s.candidates[group], fleet.DrainCandidate{
			Machine:     name,
			UsedShare:   share,
			HourlyPrice: p.price(group),
		})
	}
}

// planGroup plans one group: the machines to request, to drain and to delete.
func (s *planStep) planGroup(group fleet.Group) {
	p := s.provisioner
	machines, demand := s.supply.ofGroup(group), s.demand[group]
	history := s.history(group)
	if demand > 0 || machines > 0 || len(p.Summary.History[group.String()]) > 0 {
		s.summary.History[group.String()] = roundToThousandths(history)
	}
	action := s.firstAction(group, history, machines)
	surplus := action.Surplus
	if waiting := s.waitingFor(group); waiting > 0 {
		// Draining is pointless while tasks wait that could run on these machines.
		surplus = min(surplus, -int(math.Ceil(waiting)))
	}
	next, emptied, revived := fleet.DrainStep(
		s.draining(group), s.candidates[group], surplus,
		p.config.Operator.DrainSteps, p.config.Operator.ReviveSteps)
	for name, stage := range next {
		s.summary.Draining[name] = stage
	}
	s.emptied = append(s.emptied, emptied...)
	wanted := max(action.ScaleOut, s.packing.needed[group]) - len(revived)
	if wanted > 0 {
		s.scaleOuts = append(s.scaleOuts, p.scaleOutsFor(group, wanted, s.supply.all)...)
	}
	if machines > 0 || demand > 0 || wanted > 0 {
		p.config.Log.Debug("group planned",
			"group", group.String(),
			"demand", demand,
			"supply", machines,
			"scale_out", wanted,
			"surplus", surplus,
			"draining", len(next),
			"emptied", len(emptied))
	}
}

// history returns a group's demand in the latest steps, ending with this one.
func (s *planStep) history(group fleet.Group) []float64 {
	history := append(slices.Clone(s.provisioner.Summary.History[group.String()]), s.demand[group])
	return history[max(0, len(history)-tuning.SummaryHistory):]
}

// firstAction returns the autoscaler's action for a group in this step.
func (s *planStep) firstAction(group fleet.Group, history []float64, machines int) autoscaler.Action {
	p := s.provisioner
	operator := &p.config.Operator
	plan := autoscaler.Plan(history, 0, 0, autoscaler.Params{
		Steps:      operator.PlanSteps,
		Samples:    operator.Samples,
		Tolerance:  operator.Tolerance,
		TrendSteps: operator.TrendSteps,
		Damping:    tuning.TrendDamping,
		UnitDemand: tuning.ArrivalVarianceShare * p.meanJobDemand(group),
	}, p.config.Rand)
	bootSteps := 0
	if machineType := p.cloud.catalog[group.MachineType]; machineType != nil {
		bootSteps = int(math.Ceil(machineType.BootS / operator.StepS))
	}
	newLeader := p.cloud.steps <= operator.NewLeaderSteps
	return autoscaler.FirstAction(plan, s.demand[group], machines, bootSteps, newLeader)
}

// draining returns the draining machines of a group with their stages.
func (s *planStep) draining(group fleet.Group) fleet.Draining {
	draining := fleet.Draining{}
	for _, candidate := range s.candidates[group] {
		if stage, drains := s.provisioner.Summary.Draining[candidate.Machine]; drains {
			draining[candidate.Machine] = stage
		}
	}
	return draining
}

// waitingFor returns how many machines of a group the waiting tasks that may run there would fill,
// without the tasks that fit on machines that are up. A gang that accumulates capacity is left out:
// both its need and the capacity accumulated for it are already part of demand, and no further
// capacity is kept for it.
func (s *planStep) waitingFor(group fleet.Group) float64 {
	machineType := s.provisioner.state.MachineTypes[group.MachineType]
	if machineType == nil {
		return 0
	}
	sum := 0.0
	for _, entry := range s.waiting {
		spec := &entry.Task.Job.Record.Spec
		if entry.Accumulates || !spec.AllowsMachineType(group.MachineType) || group.Spot && !spec.Spot {
			continue
		}
		if share := spec.Resources().ShareOf(machineType.Capacity()); share <= 1+roundingTolerance {
			sum += share * float64(entry.Count-s.packing.onUpMachines[entry])
		}
	}
	return sum
}

// decisions returns the decisions that store the summary and delete the drained machines.
func (s *planStep) decisions() []decide.Decision {
	var decisions []decide.Decision
	for _, write := range s.provisioner.summaryWrites(s.summary) {
		decisions = append(decisions, decide.Decision{Writes: []store.Write{write}, Urgent: true})
	}
	for _, name := range s.emptied {
		for _, decision := range s.provisioner.collaborators.Transitions.TransitionMachine(
			name, fleet.Decommission, "drained") {
			decision.Urgent = true // the summary no longer lists it as draining
			decisions = append(decisions, decision)
		}
	}
	return decisions
}

// meanJobDemand returns the average demand of a job in a group, in machines, weighted by demand.
// Jobs are used as the unit of arrivals because the tasks of a job arrive together.
func (p *Provisioner) meanJobDemand(group fleet.Group) float64 {
	machineType := p.state.MachineTypes[group.MachineType]
	if machineType == nil {
		return 0
	}
	demandOf := map[*clusterstate.Job]float64{}
	for name, tasks := range p.state.TasksOnMachine {
		machine := p.state.Machines[name]
		if machine == nil || groupOf(machine) != group {
			continue
		}
		for _, task := range tasks {
			if task.Job.Record != nil {
				demandOf[task.Job] += task.Resources.ShareOf(machineType.Capacity())
			}
		}
	}
	sum, squares := 0.0, 0.0
	for _, demand := range demandOf {
		sum += demand
		squares += demand * demand
	}
	if sum == 0 {
		return 0
	}
	return squares / sum
}

func roundToThousandths(values []float64) []float64 {
	rounded := make([]float64, len(values))
	for i, value := range values {
		rounded[i] = math.Round(value*1000) / 1000
	}
	return rounded
}
