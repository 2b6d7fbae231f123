package simulation

import (
	"slices"
	"time"
)

// checkStart checks the protocol's rules at a task's start.
func (sim *Simulator) checkStart(ag *Agent, task *agentTask) {
	j := task.job
	if j.Starts++; j.FirstStart.IsZero() {
		j.FirstStart = sim.Now
	}
	used, zones := sim.checkOtherTasks(ag, task)
	if limit := sim.TeamLimits[j.Team]; limit > 0 && used > limit {
		sim.RuleBroken("quota: %s uses %v of %v", j.Team, used, limit)
	}
	if j.misplaced(ag, zones) {
		sim.RuleBroken("wrong_place: %s on %s in %s", task.taskID, ag.machine.ID, ag.machine.Zone)
	}
	if !j.Accepted && j.Status == "" && !j.Submitted() {
		sim.RuleBroken("started %s, which no one submitted", task.taskID)
	}
	sim.checkStartAfterCancel(ag, task)
	sim.checkCancelled(ag, task)
}

// besides goes through all other tasks on machines as a task starts: it breaks on one that is
// the same task, and counts, with the new task, the accelerators of its team and the
// job's tasks in each zone.
func (sim *Simulator) checkOtherTasks(ag *Agent, task *agentTask) (used float64, zones map[string]int) {
	used = task.job.Accelerators
	zones = map[string]int{ag.machine.Zone: 1}
	for _, other := range sim.Agents {
		for _, q := range other.tasks {
			if q == task || !q.onMachine() || q.job == nil {
				continue
			}
			if q.taskID == task.taskID {
				sim.RuleBroken("ran_twice: %s starts on %s while on %s", task.taskID, ag.machine.ID, other.machine.ID)
			}
			if q.job.Team == task.job.Team {
				used += q.job.Accelerators
			}
			if q.job == task.job {
				zones[other.machine.Zone]++
			}
		}
	}
	return used, zones
}

// misplaced tells whether a machine is none that the job may have a task on, where zones
// counts the job's tasks in each zone.
func (j *Job) misplaced(ag *Agent, zones map[string]int) bool {
	machine := ag.machine
	switch {
	case j.Zone != "" && j.Zone != machine.Zone:
		return true
	case machine.Spot && !j.Spot:
		return true
	case j.SameZone && len(zones) > 1:
		return true
	case j.SpreadZones && zones[machine.Zone] > (j.TaskCount+1)/2:
		return true
	}
	return len(j.MachineTypes) > 0 && !slices.Contains(j.MachineTypes, machine.MachineType)
}

// Submitted tells whether a user has submitted the job.
func (j *Job) Submitted() bool { return j.Body != nil }

// checkCancelled breaks once on a task that is on its machine past cancel_s.
func (sim *Simulator) checkCancelled(ag *Agent, task *agentTask) {
	if !task.reported && task.job != nil && task.job.Cancelled &&
		sim.Now.Sub(task.job.CancelledAt).Seconds() > sim.CancelS {
		task.reported = true
		sim.RuleBroken("ran_cancelled: %s on %s", task.taskID, ag.machine.ID)
	}
}

// TasksOn counts all tasks that are on machines.
func (sim *Simulator) TasksOn() int {
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

// Running counts a job's tasks that are on machines.
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

// MachineOf is a machine that a job's task is on, in order of name.
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

// startAfterCancel counts the start of a task whose user had the answer that its job is
// cancelled. A launch that had left by then may be anywhere on its way, and a machine that
// fetches the image starts the task if no stop comes before: these are only counted. One
// that left later, or whose machine was answered later without a stop, breaks the rule.
func (sim *Simulator) checkStartAfterCancel(ag *Agent, task *agentTask) {
	j := task.job
	if !j.Cancelled {
		return
	}
	sim.StartsAfterCancel++
	switch {
	case task.launchSentAt.After(j.CancelledAt):
		sim.RuleBroken(
			"started_cancelled: %s on %s, by a launch that left %v after its user was told",
			task.taskID,
			ag.machine.ID,
			task.launchSentAt.Sub(j.CancelledAt),
		)
	case task.unstoppedAt.After(j.CancelledAt):
		sim.RuleBroken(
			"started_cancelled: %s on %s, which was answered %v after its user was told",
			task.taskID,
			ag.machine.ID,
			task.unstoppedAt.Sub(j.CancelledAt),
		)
	}
}

// noteUnstopped marks what an answer to a report, which left its controller at some time,
// leaves on the machine of jobs whose users long had the answer that they are cancelled.
func (ag *Agent) markUnstopped(sent time.Time) {
	for _, task := range ag.tasks {
		if j := task.job; j != nil && j.Cancelled && task.status == statusPulling && task.unstoppedAt.IsZero() &&
			sent.Sub(j.CancelledAt) > stopsWithin {
			task.unstoppedAt = sent
		}
	}
}

// checkCancelledTasks breaks on each cancelled task that is on the machine past cancel_s, be it
// because the machine resumed with it.
func (ag *Agent) checkCancelledTasks() {
	for _, task := range ag.tasks {
		if task.onMachine() {
			ag.sim.checkCancelled(ag, task)
		}
	}
}
