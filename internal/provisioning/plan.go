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

// planStep is one step of the plan: what is known at its start, and what follows from it.
type planStep struct {
	provisioner *Provisioner
	supply      supply
	demand      map[fleet.Group]float64 // in machines
	candidates  map[fleet.Group][]fleet.DrainCandidate
	waiting     []*queue.Waiting
	packing     *packing

	summary   Summary
	scaleOuts []scaleOut
	emptied   []string // drained machines, to be deleted
}

// plan plans each group and acts on the first step of its plan.
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

// waiting is what the queue has no capacity for, or has not examined.
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

// groups is all groups of the catalogue, by name.
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

// countDemand adds up the used capacity by group, and lists the machines that may drain.
// What accumulates for gangs counts as used.
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

// planGroup plans one group: its machines to request, to drain and to return.
func (s *planStep) planGroup(group fleet.Group) {
	p := s.provisioner
	machines, demand := s.supply.ofGroup(group), s.demand[group]
	history := s.history(group)
	if demand > 0 || machines > 0 || len(p.Summary.History[group.String()]) > 0 {
		s.summary.History[group.String()] = roundToThousandths(history)
	}
	action := s.act(group, history, machines)
	surplus := action.Surplus
	if waiting := s.waitingFor(group); waiting > 0 {
		// Draining while tasks wait that could go there gains nothing.
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

// history is a group's demand in the newest steps, this one the last.
func (s *planStep) history(group fleet.Group) []float64 {
	history := append(slices.Clone(s.provisioner.Summary.History[group.String()]), s.demand[group])
	return history[max(0, len(history)-tuning.SummaryHistory):]
}

// act is the autoscaler's first step for a group.
func (s *planStep) act(group fleet.Group, history []float64, machines int) autoscaler.Action {
	p := s.provisioner
	operator := &p.config.Operator
	plan := autoscaler.Plan(history, 0, 0, autoscaler.Params{
		Steps:      operator.PlanSteps,
		Samples:    operator.Samples,
		Tolerance:  operator.Tolerance,
		TrendSteps: operator.TrendSteps,
		Damping:    tuning.TrendDamping,
		Grain:      tuning.GrainShare * p.grain(group),
	}, p.config.Rand)
	bootSteps := 0
	if machineType := p.cloud.catalog[group.MachineType]; machineType != nil {
		bootSteps = int(math.Ceil(machineType.BootS / operator.StepS))
	}
	newLeader := p.cloud.steps <= operator.FreshSteps
	return autoscaler.Act(plan, s.demand[group], machines, bootSteps, newLeader)
}

// draining is the machines of a group that drain, with their stages.
func (s *planStep) draining(group fleet.Group) fleet.Draining {
	draining := fleet.Draining{}
	for _, candidate := range s.candidates[group] {
		if stage, drains := s.provisioner.Summary.Draining[candidate.Machine]; drains {
			draining[candidate.Machine] = stage
		}
	}
	return draining
}

// waitingFor is how many machines of a group the waiting tasks that may go there would fill,
// by share, without those that go on machines that are up. A gang that accumulates capacity
// is left out: its need is demand, as is what it has accumulated, and no more is kept for it.
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
		if share := spec.Resources().ShareOf(machineType.Capacity()); share <= 1+roundingError {
			sum += share * float64(entry.Count-s.packing.onUpMachines[entry])
		}
	}
	return sum
}

// decisions stores the summary and has the drained machines deleted.
func (s *planStep) decisions() []decide.Decision {
	var decisions []decide.Decision
	for _, write := range s.provisioner.summaryWrites(s.summary) {
		decisions = append(decisions, decide.Decision{Writes: []store.Write{write}, Urgent: true})
	}
	for _, name := range s.emptied {
		for _, decision := range s.provisioner.collaborators.Transitions.TransitionMachine(
			name, fleet.Decommission, "drained") {
			decision.Urgent = true // the summary names it as draining no more
			decisions = append(decisions, decision)
		}
	}
	return decisions
}

// grain is the machines of a group that one job there takes on average, weighted by demand:
// a job's tasks come together.
func (p *Provisioner) grain(group fleet.Group) float64 {
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
