package simulation

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
)

// command is a command to an agent.
type command struct {
	Verb         string  `json:"verb"`
	TaskID       string  `json:"piece"`
	Attempt      uint64  `json:"try"`
	GracePeriodS float64 `json:"wind_down_s"`
}

// Call returns the function through which a node sends requests to agents.
func (sim *Simulator) Call(
	from string,
) func(endpoint, method, target string, body []byte, timeout time.Duration, done func(int, []byte, error)) {
	return func(endpoint, method, target string, body []byte, timeout time.Duration, done func(int, []byte, error)) {
		id, sent := strings.TrimPrefix(endpoint, "w:"), sim.Now
		deliver := func(answer func(int, []byte)) {
			ag := sim.Agents[id]
			if ag == nil {
				return // a machine that is off doesn't answer
			}
			serve := func() { answer(ag.serve(target, body, sent)) }
			if ag.Hung {
				ag.queue = append(ag.queue, serve)
				return
			}
			serve()
		}
		sim.call(from+":cmd", id, timeout, sim.maybeDelay("cmd", sim.withCopies(AgentCommands, deliver)), done)
	}
}

// Serve answers a request that arrived over a socket.
func (ag *Agent) Serve(_, target string, body []byte, answer func(int, []byte)) {
	answer(ag.serve(target, body, time.Time{}))
}

// serve answers a controller's request; sent is when it left the controller.
func (ag *Agent) serve(target string, body []byte, sent time.Time) (int, []byte) {
	if target == "/show" {
		return 200, ag.reportBody()
	}
	var c struct {
		FencingToken *uint64   `json:"baton"`
		AgentEpoch   *uint64   `json:"tenure"`
		Commands     []command `json:"orders"`
	}
	if json.Unmarshal(body, &c) != nil || c.FencingToken == nil || c.AgentEpoch == nil || len(body) > maxBodyBytes ||
		target != "/commands" ||
		commandsFault(c.Commands) != "" {
		ag.sim.ReportLimitViolation(
			"%s refuses commands: %s of %d bytes %s",
			ag.machine.ID,
			target,
			len(body),
			commandsFault(c.Commands),
		)
		return 400, []byte("{}")
	}
	if *c.FencingToken < ag.fencingToken || *c.AgentEpoch != ag.agentEpoch {
		return 409, ag.reportBody()
	}
	ag.learnToken(*c.FencingToken, c.Commands)
	ag.execute(c.Commands, sent)
	return 200, ag.reportBody()
}

// execute executes commands; sent is when they left their controller.
func (ag *Agent) execute(commands []command, sent time.Time) {
	ag.sim.commandCount += len(commands)
	for _, c := range commands {
		key := attemptKey(c.TaskID, c.Attempt)
		task := ag.tasks[key]
		switch c.Verb {
		case "launch":
			if task == nil {
				ag.changed = true
				ag.launch(c, sent)
			}
		case "stop":
			if task != nil && task.status != statusEnded {
				ag.sim.replacements.taskStopped(task.taskID, ag.machine.ID)
				ag.stop(task, c.GracePeriodS)
			}
		case "reap":
			if task != nil && task.status == statusEnded {
				delete(ag.tasks, key)
				ag.reaped[key] = true
				ag.changed = true
			}
		}
	}
}

// stop handles the command to stop a task. A task with checkpoints saves first if there is a grace
// period; in a simulation with loans the tasks of a gang save together.
func (ag *Agent) stop(task *agentTask, gracePeriodS float64) {
	saves := task.job != nil && task.job.CheckpointIntervalS > 0 && gracePeriodS > 0
	if ag.sim.Loans == nil || !saves || !task.job.gang() {
		ag.end(task, "stopped", saves)
		return
	}
	if task.status != statusSaving {
		ag.stopGracefully(task)
	}
}

// hasOtherAttempt reports whether the machine holds an attempt of the task that has not ended.
func (ag *Agent) hasOtherAttempt(c command) bool {
	for _, task := range ag.tasks {
		if task.taskID == c.TaskID && task.status != statusEnded {
			return true
		}
	}
	return false
}

func (ag *Agent) end(task *agentTask, cause string, saved bool) {
	task.status, task.cause, task.saved = statusEnded, cause, saved
	task.generation++
	ag.changed = true
}

// launch handles the command to launch a task.
func (ag *Agent) launch(c command, sent time.Time) {
	sim := ag.sim
	jobID, n, ok := jobs.SplitTaskID(c.TaskID)
	j := sim.Jobs[jobID]
	if j == nil && (sim.Sockets != nil || len(sim.Runs) > 0) {
		j = sim.jobFromRecord(jobID)
	}
	task := &agentTask{taskID: c.TaskID, attempt: c.Attempt, status: statusPulling, job: j, index: n, launchSentAt: sent}
	inUse := ag.hasOtherAttempt(c)
	key := attemptKey(c.TaskID, c.Attempt)
	ag.tasks[key] = task
	if ag.reaped[key] {
		sim.ReportLimitViolation("%s is launched on %s a second time as try %d", c.TaskID, ag.machine.ID, c.Attempt)
	}
	switch {
	case !ok || j == nil || n >= j.TaskCount:
		sim.ReportLimitViolation("%s is launched, which no one submitted", c.TaskID)
		ag.end(task, "no_such", false)
		return
	case inUse:
		ag.end(task, "in_use", false)
		return
	case ag.overcommitted():
		ag.end(task, "no_room", false)
		return
	}
	if sim.Launched != nil {
		sim.Launched(c.TaskID)
	}
	sim.fireEvent(Launched)
	sim.taskLaunched(c.TaskID, ag.machine.ID)
	ag.pullImage(task)
}

// overcommitted reports whether the tasks on the machine need more accelerators than it has.
func (ag *Agent) overcommitted() bool {
	used := 0.0
	for _, task := range ag.tasks {
		if task.status != statusEnded && task.job != nil {
			used += task.job.Accelerators
		}
	}
	capacity := 4.0
	if ag.machine.MachineType == "g8" {
		capacity = 8
	}
	return used > capacity
}
