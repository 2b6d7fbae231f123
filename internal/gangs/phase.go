package gangs

import "github.com/harrierreel/harrierreel/internal/jobs"

// Phase is the state of a gang as a whole.
type Phase string

// The phases of a gang.
const (
	Idle     Phase = "resting"  // no task is released or on a machine: the gang may be placed
	Released Phase = "released" // tasks are released to a shard, none is on a machine yet
	Whole    Phase = "whole"    // every task is on a machine, with the same attempt number
	Partial  Phase = "broken"   // some tasks are on machines, but not all in the same attempt: they must be stopped
	Complete Phase = "complete" // a task is finished, so the gang has finished
)

// PhaseOf returns the phase of a gang of taskCount tasks, derived from the records of its tasks. A
// task of an earlier attempt counts as on a machine until it is known to have ended.
func PhaseOf(taskCount int, tasks []*jobs.Task) Phase {
	onMachines, released := 0, 0
	var attempt uint64
	sameAttempt, stopping := true, false
	for _, task := range tasks {
		switch {
		case task.State == jobs.Finished:
			return Complete
		case task.OnMachine():
			if onMachines > 0 && task.Attempt != attempt {
				sameAttempt = false
			}
			attempt = task.Attempt
			onMachines++
			stopping = stopping || task.State == jobs.Stopping
		case task.State == jobs.Assigned:
			released++
		}
	}
	switch {
	case onMachines == 0 && released == 0:
		return Idle
	case onMachines == 0:
		return Released
	case onMachines == taskCount && sameAttempt && !stopping:
		return Whole
	}
	return Partial
}

// NextAttempt returns the number of a gang's next attempt. It is greater than the attempt of each
// of its tasks, because all tasks of the next attempt share it.
func NextAttempt(tasks []*jobs.Task) uint64 {
	var highest uint64
	for _, task := range tasks {
		highest = max(highest, task.Attempt)
	}
	return highest + 1
}
