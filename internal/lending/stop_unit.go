package lending

import (
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/gangs"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/sharding"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// stopUnit is a set of tasks that can only be stopped together: one task, or all tasks of a gang.
type stopUnit struct {
	tasks          []*clusterstate.Task
	freed          sharding.Resources // resources freed on the machine of the plan
	jobID          string
	lostS          float64 // estimated loss of work, in accelerator-seconds
	exitDelayS     float64 // seconds until the tasks have saved a checkpoint and exited
	ofBorrowerTeam bool
}

// minResourceShare avoids a division by zero in lostPerShare if a unit frees no needed resource.
const minResourceShare = 1e-9

// spec returns the spec of the unit's job.
func (u *stopUnit) spec() *jobs.Spec { return &u.tasks[0].Job.Record.Spec }

// lostPerShare returns the work that a unit loses, divided by the share of the need that it frees.
func (u *stopUnit) lostPerShare(need sharding.Resources) float64 {
	return u.lostS / max(u.freed.ShareOf(need), minResourceShare)
}

// stopUnits returns the units that could be stopped on a machine.
func (s *Search) stopUnits(state *clusterstate.State, machine *clusterstate.Machine) []stopUnit {
	var units []stopUnit
	listedGangs := map[string]bool{}
	tasks := state.TasksOnMachine[machine.Name]
	for _, taskID := range clusterstate.SortedKeys(tasks) {
		task := tasks[taskID]
		if !s.mayLend(task.Job) {
			continue
		}
		unit := stopUnit{tasks: []*clusterstate.Task{task}, jobID: task.Job.ID}
		if task.Job.Record.Spec.IsGang() {
			if listedGangs[task.Job.ID] {
				continue
			}
			listedGangs[task.Job.ID] = true
			if unit.tasks = s.gangTasks(state, task.Job); unit.tasks == nil {
				continue
			}
		}
		if s.estimate(state, machine, &unit) {
			units = append(units, unit)
		}
	}
	return units
}

// mayLend reports whether a job may lend to the replica; services never lend.
func (s *Search) mayLend(job *clusterstate.Job) bool {
	return live(job) && job.Record.Spec.Kind != jobs.Service && job != s.Task.Job && !s.exempt(job)
}

// gangTasks returns all tasks of a gang, or nil if it cannot be stopped cleanly now. A gang that
// has lost a task or is stopping already, or that has a task on a machine that takes no commands,
// could not save a checkpoint and would lose its progress since the last one.
func (s *Search) gangTasks(state *clusterstate.State, job *clusterstate.Job) []*clusterstate.Task {
	records := make([]*jobs.Task, 0, len(job.Tasks))
	tasks := make([]*clusterstate.Task, 0, len(job.Tasks))
	for _, index := range sortedKeys(job.Tasks) {
		task := job.Tasks[index]
		records = append(records, &task.Task)
		tasks = append(tasks, task)
	}
	if gangs.PhaseOf(job.Record.Spec.TaskCount, records) != gangs.Whole {
		return nil
	}
	for _, task := range tasks {
		if machine := state.Machines[task.Machine]; machine == nil || !s.ready(machine) {
			return nil
		}
	}
	return tasks
}

// estimate sets what a unit loses and frees. It returns false if the unit may not be stopped now.
func (s *Search) estimate(state *clusterstate.State, machine *clusterstate.Machine, unit *stopUnit) bool {
	spec := unit.spec()
	ranS := 0.0
	for _, task := range unit.tasks {
		if task.State != jobs.Placed || s.Stopping[task] || s.busy(task.StoredIn.Key) {
			return false
		}
		ranS = max(ranS, s.now.Sub(task.StateSince).Seconds())
		if task.Machine == machine.Name {
			unit.freed = unit.freed.Add(spec.Resources())
		}
	}
	if spec.ExpectedDurationS > 0 && remainingS(spec, ranS) < tuning.LoanNearEnd.Seconds() {
		return false
	}
	lostS := ranS
	if spec.CheckpointIntervalS > 0 {
		lostS = 0
		unit.exitDelayS = spec.CheckpointTimeS
	}
	machineType := state.MachineTypes[machine.MachineType]
	restartS := machineType.BootS // worst case: the unit needs a new machine
	if machineType.ImageGBPerS > 0 {
		restartS += spec.ImageGB / machineType.ImageGBPerS
	}
	// A task without accelerators is weighted by the share of the machine that it takes.
	accelerators := max(
		spec.Accelerators,
		spec.Resources().ShareOf(machineType.Capacity())*machineType.Accelerators,
	)
	unit.lostS = (lostS + spec.CheckpointTimeS + restartS) * float64(len(unit.tasks)) * accelerators
	unit.ofBorrowerTeam = spec.Team == s.spec().Team
	return true
}

// remainingS estimates the seconds until a task ends that has run for ranS seconds. Expected
// durations are often wrong by half, so a task that has run longer than expected is assumed to need
// a fraction tuning.LoanOverrunShare of ranS more.
func remainingS(spec *jobs.Spec, ranS float64) float64 {
	if remaining := spec.ExpectedDurationS - ranS; remaining >= 0 {
		return remaining
	}
	return ranS * tuning.LoanOverrunShare
}
