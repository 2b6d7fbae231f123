package simulation

import (
	"slices"
	"time"
)

// checkStart checks the protocol's rules at a task's start.
func (w *Simulator) checkStart(wk *Agent, p *agentTask) {
	j := p.job
	if j.Starts++; j.FirstStart.IsZero() {
		j.FirstStart = w.Now
	}
	used, zones := w.besides(wk, p)
	if limit := w.TeamLimits[j.Team]; limit > 0 && used > limit {
		w.RuleBroken("quota: %s uses %v of %v", j.Team, used, limit)
	}
	if j.misplaced(wk, zones) {
		w.RuleBroken("wrong_place: %s on %s in %s", p.taskID, wk.machine.ID, wk.machine.Zone)
	}
	if !j.Accepted && j.Status == "" && !j.Submitted() {
		w.RuleBroken("started %s, which no one submitted", p.taskID)
	}
	w.startAfterCancel(wk, p)
	w.checkCancelled(wk, p)
}

// besides goes through all other tasks on machines as a task starts: it breaks on one that is
// the same task, and counts, with the new task, the accelerators of its team and the
// job's tasks in each zone.
func (w *Simulator) besides(wk *Agent, p *agentTask) (used float64, zones map[string]int) {
	used = p.job.Accelerators
	zones = map[string]int{wk.machine.Zone: 1}
	for _, other := range w.Agents {
		for _, q := range other.tasks {
			if q == p || !q.onMachine() || q.job == nil {
				continue
			}
			if q.taskID == p.taskID {
				w.RuleBroken("ran_twice: %s starts on %s while on %s", p.taskID, wk.machine.ID, other.machine.ID)
			}
			if q.job.Team == p.job.Team {
				used += q.job.Accelerators
			}
			if q.job == p.job {
				zones[other.machine.Zone]++
			}
		}
	}
	return used, zones
}

// misplaced tells whether a machine is none that the job may have a task on, where zones
// counts the job's tasks in each zone.
func (j *Job) misplaced(wk *Agent, zones map[string]int) bool {
	m := wk.machine
	switch {
	case j.Zone != "" && j.Zone != m.Zone:
		return true
	case m.Spot && !j.Spot:
		return true
	case j.SameZone && len(zones) > 1:
		return true
	case j.SpreadZones && zones[m.Zone] > (j.TaskCount+1)/2:
		return true
	}
	return len(j.MachineTypes) > 0 && !slices.Contains(j.MachineTypes, m.MachineType)
}

// Submitted tells whether a user has submitted the job.
func (j *Job) Submitted() bool { return j.Body != nil }

// checkCancelled breaks once on a task that is on its machine past cancel_s.
func (w *Simulator) checkCancelled(wk *Agent, p *agentTask) {
	if !p.reported && p.job != nil && p.job.Cancelled && w.Now.Sub(p.job.CancelledAt).Seconds() > w.CancelS {
		p.reported = true
		w.RuleBroken("ran_cancelled: %s on %s", p.taskID, wk.machine.ID)
	}
}

// TasksOn counts all tasks that are on machines.
func (w *Simulator) TasksOn() int {
	c := 0
	for _, wk := range w.Agents {
		for _, p := range wk.tasks {
			if p.onMachine() {
				c++
			}
		}
	}
	return c
}

// Running counts a job's tasks that are on machines.
func (w *Simulator) Running(jobID string) int {
	c := 0
	for _, wk := range w.Agents {
		for _, p := range wk.tasks {
			if p.job != nil && p.job.ID == jobID && p.onMachine() {
				c++
			}
		}
	}
	return c
}

// MachineOf is a machine that a job's task is on, in order of name.
func (w *Simulator) MachineOf(jobID string) string {
	best := ""
	for id, wk := range w.Agents {
		for _, p := range wk.tasks {
			if p.job != nil && p.job.ID == jobID && p.status != statusEnded && (best == "" || id < best) {
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
func (w *Simulator) startAfterCancel(wk *Agent, p *agentTask) {
	j := p.job
	if !j.Cancelled {
		return
	}
	w.StartsAfterCancel++
	switch {
	case p.launchSentAt.After(j.CancelledAt):
		w.RuleBroken(
			"started_cancelled: %s on %s, by a launch that left %v after its user was told",
			p.taskID,
			wk.machine.ID,
			p.launchSentAt.Sub(j.CancelledAt),
		)
	case p.unstoppedAt.After(j.CancelledAt):
		w.RuleBroken(
			"started_cancelled: %s on %s, which was answered %v after its user was told",
			p.taskID,
			wk.machine.ID,
			p.unstoppedAt.Sub(j.CancelledAt),
		)
	}
}

// noteUnstopped marks what an answer to a report, which left its controller at some time,
// leaves on the machine of jobs whose users long had the answer that they are cancelled.
func (wk *Agent) noteUnstopped(sent time.Time) {
	for _, p := range wk.tasks {
		if j := p.job; j != nil && j.Cancelled && p.status == statusPulling && p.unstoppedAt.IsZero() &&
			sent.Sub(j.CancelledAt) > stopsWithin {
			p.unstoppedAt = sent
		}
	}
}

// checkCancelledTasks breaks on each cancelled task that is on the machine past cancel_s, be it
// because the machine resumed with it.
func (wk *Agent) checkCancelledTasks() {
	for _, p := range wk.tasks {
		if p.onMachine() {
			wk.sim.checkCancelled(wk, p)
		}
	}
}
