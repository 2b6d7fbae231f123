package lending

import (
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/gangs"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/sharding"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// stopUnit is what stops together: one task, or a gang.
type stopUnit struct {
	tasks          []*clusterstate.Task
	freed          sharding.Resources // on the machine of the plan
	jobID          string
	lostS          float64 // work lost, in seconds of one accelerator
	leaveDelayS    float64 // until it has saved and left
	ofBorrowerTeam bool
}

// minResourceShare keeps the loss for a share defined where a unit frees nothing that is needed.
const minResourceShare = 1e-9

// spec is the job of a unit.
func (u *stopUnit) spec() *jobs.Spec { return &u.tasks[0].Job.Record.Spec }

// lostPerShare is what a unit loses for the share of a need that it frees.
func (u *stopUnit) lostPerShare(need sharding.Resources) float64 {
	return u.lostS / max(u.freed.ShareOf(need), minResourceShare)
}

// stopUnits lists what could be stopped on a machine.
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

// mayLend tells whether a job may lend at all: services never do.
func (s *Search) mayLend(job *clusterstate.Job) bool {
	return live(job) && job.Record.Spec.Kind != jobs.Service && job != s.Task.Job && !s.spared(job)
}

// gangTasks lists a gang's tasks, nil if it cannot be stopped in order now. A gang that is not
// whole (a task is lost, or it is stopped already), or with a machine that cannot be ordered
// in time, would lose its progress since its last checkpoint.
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

// estimate fills in what a unit loses and frees; false if it may not be stopped now.
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
		unit.leaveDelayS = spec.CheckpointTimeS
	}
	machineType := state.MachineTypes[machine.MachineType]
	restartS := machineType.BootS // at worst it needs a new machine
	if machineType.ImageGBPerS > 0 {
		restartS += spec.ImageGB / machineType.ImageGBPerS
	}
	// A task without accelerators counts by the share of the machine that it takes.
	accelerators := max(
		spec.Accelerators,
		spec.Resources().ShareOf(machineType.Capacity())*machineType.Accelerators,
	)
	unit.lostS = (lostS + spec.CheckpointTimeS + restartS) * float64(len(unit.tasks)) * accelerators
	unit.ofBorrowerTeam = spec.Team == s.spec().Team
	return true
}

// remainingS is the estimate of the seconds until a task ends that has run for some. Expected
// durations are often wrong by half: a task that has run past its own is taken to need a
// share more (tuning.LoanPast).
func remainingS(spec *jobs.Spec, ranS float64) float64 {
	if remaining := spec.ExpectedDurationS - ranS; remaining >= 0 {
		return remaining
	}
	return ranS * tuning.LoanPast
}
