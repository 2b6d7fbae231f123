package simulation

import (
	"slices"
	"time"
)

// checkStart checks the rules of the protocol at the start of a task.
func (sim *Simulator) checkStart(ag *Agent, task *agentTask) {
	j := task.job
	if j.Starts++; j.FirstStart.IsZero() {
		j.FirstStart = sim.Now
	}
	used, zoneTasks := sim.checkOtherTasks(ag, task)
	if limit := sim.TeamLimits[j.Team]; limit > 0 && used > limit {
		sim.ReportViolation("quota: %s uses %v of %v", j.Team, used, limit)
	}
	if j.misplaced(ag, zoneTasks) {
		sim.ReportViolation("wrong_place: %s on %s in %s", task.taskID, ag.machine.ID, ag.machine.Zone)
	}
	if !j.Accepted && j.Status == "" && !j.Submitted() {
		sim.ReportViolation("started %s, which no one submitted", task.taskID)
	}
	sim.checkStartAfterCancel(ag, task)
	sim.checkCancelled(ag, task)
}

// checkOtherTasks compares a starting task with all tasks on machines. It reports another attempt
// of the same task, and returns the accelerators in use by the team and the number of the job's
// tasks by zone, both including the starting task.
func (sim *Simulator) checkOtherTasks(ag *Agent, task *agentTask) (used float64, zoneTasks map[string]int) {
	used = task.job.Accelerators
	zoneTasks = map[string]int{ag.machine.Zone: 1}
	for _, other := range sim.Agents {
		for _, otherTask := range other.tasks {
			if otherTask == task || !otherTask.onMachine() || otherTask.job == nil {
				continue
			}
			if otherTask.taskID == task.taskID {
				sim.ReportViolation("ran_twice: %s starts on %s while on %s", task.taskID, ag.machine.ID, other.machine.ID)
			}
			if otherTask.job.Team == task.job.Team {
				used += otherTask.job.Accelerators
			}
			if otherTask.job == task.job {
				zoneTasks[other.machine.Zone]++
			}
		}
	}
	return used, zoneTasks
}

// misplaced reports whether the job's constraints rule out the machine, given the number of the
// job's tasks by zone.
func (j *Job) misplaced(ag *Agent, zoneTasks map[string]int) bool {
	machine := ag.machine
	switch {
	case j.Zone != "" && j.Zone != machine.Zone:
		return true
	case machine.Spot && !j.Spot:
		return true
	case j.SameZone && len(zoneTasks) > 1:
		return true
	case j.SpreadZones && zoneTasks[machine.Zone] > (j.TaskCount+1)/2:
		return true
	}
	return len(j.MachineTypes) > 0 && !slices.Contains(j.MachineTypes, machine.MachineType)
}

// Submitted reports whether a user has submitted the job.
func (j *Job) Submitted() bool { return j.Body != nil }

// checkCancelled reports, once, a task that is on its machine for longer than cancel_s after its
// user was told of the cancellation.
func (sim *Simulator) checkCancelled(ag *Agent, task *agentTask) {
	if !task.reported && task.job != nil && task.job.Cancelled &&
		sim.Now.Sub(task.job.CancelledAt).Seconds() > sim.CancelS {
		task.reported = true
		sim.ReportViolation("ran_cancelled: %s on %s", task.taskID, ag.machine.ID)
	}
}

// CountTasksOnMachines returns the number of tasks on machines.
func (sim *Simulator) CountTasksOnMachines() int {
	c := 0
	for _, ag := range sim.Agents {
		for _, task := range ag.tasks {
			if task.onMachine() {
				c++
			}
		}
	}
	return c
}

// Running returns the number of a job's tasks on machines.
func (sim *Simulator) Running(jobID string) int {
	c := 0
	for _, ag := range sim.Agents {
		for _, task := range ag.tasks {
			if task.job != nil && task.job.ID == jobID && task.onMachine() {
				c++
			}
		}
	}
	return c
}

// MachineOf returns the first machine, by ID, that holds a task of a job, "" if there is none.
func (sim *Simulator) MachineOf(jobID string) string {
	best := ""
	for id, ag := range sim.Agents {
		for _, task := range ag.tasks {
			if task.job != nil && task.job.ID == jobID && task.status != statusEnded && (best == "" || id < best) {
				best = id
			}
		}
	}
	return best
}

// checkStartAfterCancel counts the start of a task whose user has been told that the job is
// cancelled. The launch may have been in flight by then, and a machine that pulls the image starts
// the task unless a stop command arrives first: such starts are only counted. It is a violation if
// the launch was sent later, or if a later answer to the machine's report contained no stop
// command.
func (sim *Simulator) checkStartAfterCancel(ag *Agent, task *agentTask) {
	j := task.job
	if !j.Cancelled {
		return
	}
	sim.StartsAfterCancel++
	switch {
	case task.launchSentAt.After(j.CancelledAt):
		sim.ReportViolation(
			"started_cancelled: %s on %s, by a launch that left %v after its user was told",
			task.taskID,
			ag.machine.ID,
			task.launchSentAt.Sub(j.CancelledAt),
		)
	case task.unstoppedAt.After(j.CancelledAt):
		sim.ReportViolation(
			"started_cancelled: %s on %s, which was answered %v after its user was told",
			task.taskID,
			ag.machine.ID,
			task.unstoppedAt.Sub(j.CancelledAt),
		)
	}
}

// markUnstopped marks the tasks that an answer to a report should have stopped: those whose image
// is being pulled and whose user was told of the cancellation more than stopsWithin before the
// answer left its controller, at sent.
func (ag *Agent) markUnstopped(sent time.Time) {
	for _, task := range ag.tasks {
		if j := task.job; j != nil && j.Cancelled && task.status == statusPulling && task.unstoppedAt.IsZero() &&
			sent.Sub(j.CancelledAt) > stopsWithin {
			task.unstoppedAt = sent
		}
	}
}

// checkCancelledTasks reports each cancelled task that is on the machine for longer than cancel_s,
// including tasks with which a hung machine resumed.
func (ag *Agent) checkCancelledTasks() {
	for _, task := range ag.tasks {
		if task.onMachine() {
			ag.sim.checkCancelled(ag, task)
		}
	}
}
