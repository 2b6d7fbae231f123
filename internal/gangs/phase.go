package gangs

import "github.com/harrierreel/harrierreel/internal/jobs"

// Phase is where a gang stands as a whole.
type Phase string

// The phases of a gang.
const (
	Resting  Phase = "resting"  // no task released or on a machine: it may be placed
	Released Phase = "released" // released to a shard, no task placed yet
	Whole    Phase = "whole"    // every task on a machine under one attempt
	Broken   Phase = "broken"   // some tasks on machines, others not: those must be stopped
	Complete Phase = "complete" // a task is done, so every task is
)

// PhaseOf derives the phase of a gang of taskCount tasks from the records of its tasks. Earlier attempts that are still
// on a machine count until they are certainly gone.
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
		return Resting
	case onMachines == 0:
		return Released
	case onMachines == taskCount && sameAttempt && !stopping:
		return Whole
	}
	return Broken
}

// NextAttempt is the number of a gang's next attempt: above that of each of its tasks, since all its tasks share it.
func NextAttempt(tasks []*jobs.Task) uint64 {
	var highest uint64
	for _, task := range tasks {
		highest = max(highest, task.Attempt)
	}
	return highest + 1
}
