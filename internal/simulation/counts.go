package simulation

import (
	"sort"
	"time"
)

// OnMachines returns the number of tasks that wait for their gang, run or save on all machines.
func (sim *Simulator) OnMachines() int {
	n := 0
	for _, ag := range sim.Agents {
		n += ag.TaskCount()
	}
	return n
}

// TaskCount returns the number of tasks that wait for their gang, run or save on the machine.
func (ag *Agent) TaskCount() int {
	n := 0
	for _, task := range ag.tasks {
		if task.onMachine() {
			n++
		}
	}
	return n
}

// TaskStarts returns the number of task starts so far, over all jobs.
func (sim *Simulator) TaskStarts() int {
	n := 0
	for _, j := range sim.Jobs {
		n += j.Starts
	}
	return n
}

// CommandCount returns the number of commands that agents have received so far.
func (sim *Simulator) CommandCount() int { return sim.commandCount }

// AgentsAtEpoch returns the number of agents that have received a fencing token of this epoch or a
// later one.
func (sim *Simulator) AgentsAtEpoch(epoch uint64) int {
	n := 0
	for _, ag := range sim.Agents {
		if ag.fencingToken>>20 >= epoch {
			n++
		}
	}
	return n
}

// Machines returns the sorted IDs of the machines that are running.
func (sim *Simulator) Machines() []string {
	var out []string
	for id := range sim.Agents {
		out = append(out, id)
	}
	sort.Strings(out)
	return out
}

// PollForever requests the status of job wk-000001 at an interval, without end even after an
// answer, and calls answered for each answer with status 200.
func (sim *Simulator) PollForever(every time.Duration, answered func()) {
	sim.request("GET", "/work/wk-000001", nil, func(status int, _ []byte, err error) {
		if err == nil && status == 200 {
			answered()
		}
	})
	sim.After(every, func() { sim.PollForever(every, answered) })
}
