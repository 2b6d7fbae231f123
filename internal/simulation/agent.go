package simulation

import (
	"fmt"
	"sort"
	"time"

	"github.com/harrierreel/harrierreel/internal/agent"
)

// Agent simulates the agent on a machine.
type Agent struct {
	sim     *Simulator
	machine *cloudMachine
	images  map[string]bool // images that were pulled
	// PullFactor is the multiple of the catalogue's time that pulling an image takes, 0 for 1.
	PullFactor float64

	agentEpoch   uint64 // session number, incremented each time all tasks are lost
	heartbeatSeq uint64
	fencingToken uint64                // highest token received
	tasks        map[string]*agentTask // by attemptKey
	reaped       map[string]bool       // keys of attempts that were reaped

	nodeIndex  int       // index in Simulator.NodeNames of the controller that it reports to
	inFlight   bool      // a report has not been answered yet
	changed    bool      // the state has changed since the last report
	sentAt     time.Time // when the last report was sent
	answeredAt time.Time // when the last answered report was sent, which starts the agent's lease
	nextReport time.Time

	Hung         bool     // the machine hangs; arriving requests are queued
	queue        []func() // requests and timers that wait for the end of the hang
	dead         bool
	warningS     *float64 // announced seconds until the cloud reclaims the machine, nil if unannounced
	TokenChanges int      // times that it received a higher fencing token, except to forget attempts
}

// attemptKey returns the key of an attempt of a task.
func attemptKey(taskID string, attempt uint64) string { return fmt.Sprintf("%s#%d", taskID, attempt) }

// agentTask is an attempt of a task on a machine, from its launch until it is reaped. Reports list
// it for that time.
type agentTask struct {
	taskID       string
	attempt      uint64
	index        int // index of the task in its job
	job          *Job
	status       taskStatus
	cause        string    // cause of its end
	saved        bool      // whether its progress was saved when it ended
	generation   int       // incremented at each change of status, which cancels earlier timers
	launchSentAt time.Time // when the launch command left its controller, zero if unknown
	unstoppedAt  time.Time // when an answer left its controller that should have stopped the task
	reported     bool      // already reported as on its machine longer than cancel_s after cancellation
}

// taskStatus is the status of an attempt in reports.
type taskStatus string

// Statuses of an attempt in the protocol.
const (
	statusPulling taskStatus = "pulling" // the machine pulls the image
	statusWaiting taskStatus = "waiting" // for the other tasks of its gang
	statusRunning taskStatus = "running"
	statusSaving  taskStatus = "saving" // saves its progress before it stops
	statusEnded   taskStatus = "ended"
)

// onMachine reports whether the attempt waits for its gang, runs or saves.
func (task *agentTask) onMachine() bool {
	return task.status == statusWaiting || task.status == statusRunning || task.status == statusSaving
}

// busy reports whether a task is on the machine.
func (ag *Agent) busy() bool {
	for _, task := range ag.tasks {
		if task.onMachine() {
			return true
		}
	}
	return false
}

// startAgent starts the agent on a machine that has booted.
func (sim *Simulator) startAgent(machine *cloudMachine) {
	ag := &Agent{
		sim:        sim,
		machine:    machine,
		agentEpoch: 1,
		tasks:      map[string]*agentTask{},
		reaped:     map[string]bool{},
		nodeIndex:  sim.RNG.IntN(max(1, len(sim.NodeNames))),
		answeredAt: sim.Now,
	}
	sim.Agents[machine.ID] = ag
	sim.replacements.factsChanged()
	var loop func()
	loop = func() {
		if ag.dead {
			return
		}
		ag.tick()
		sim.After(100*time.Millisecond, loop)
	}
	sim.After(time.Duration(sim.RNG.IntN(500))*time.Millisecond, loop)
}

// stopAgent removes a machine's agent together with its tasks.
func (sim *Simulator) stopAgent(id string) {
	if ag := sim.Agents[id]; ag != nil {
		ag.dead = true
		ag.tasks = map[string]*agentTask{}
		delete(sim.Agents, id)
		sim.replacements.factsChanged()
	}
}

// Die stops the machine without notice; the cloud lists it as failed 30 s later.
func (ag *Agent) Die() {
	ag.sim.stopAgent(ag.machine.ID)
	ag.sim.After(30*time.Second, func() { ag.machine.status = "failed" })
}

// Reclaim has the cloud reclaim the machine in s seconds, with a warning if s is positive.
func (ag *Agent) Reclaim(s float64) {
	if s > 0 {
		ag.warningS, ag.changed = &s, true
	}
	ag.sim.After(time.Duration(s*float64(time.Second)), func() { ag.sim.Cloud.Remove(ag.machine.ID) })
}

// Restart simulates a reboot with the same address: all tasks and the known fencing token are
// lost, and the next session begins.
func (ag *Agent) Restart() {
	ag.tasks, ag.reaped = map[string]*agentTask{}, map[string]bool{}
	ag.agentEpoch++
	ag.fencingToken, ag.answeredAt, ag.changed = 0, ag.sim.Now, true
	ag.sim.replacements.factsChanged()
}

// Empty reports whether the agent holds no task in any state.
func (ag *Agent) Empty() bool { return len(ag.tasks) == 0 }

// LearnEpoch raises the agent's fencing token to the first one of a view's epoch.
func (ag *Agent) LearnEpoch(epoch uint64) {
	ag.fencingToken = max(ag.fencingToken, epoch*agent.FencingTokenSpan)
}

// Resume ends a hang and handles what was queued, unless the machine is gone.
func (ag *Agent) Resume() {
	ag.Hung = false
	q := ag.queue
	ag.queue = nil
	ag.sim.replacements.factsChanged()
	if ag.dead {
		return
	}
	for _, f := range q {
		f()
	}
	ag.checkCancelledTasks()
}

// tick checks the lease and sends a report when one is due.
func (ag *Agent) tick() {
	if ag.Hung {
		return
	}
	ag.checkCancelledTasks()
	now := ag.sim.Now
	if now.Sub(ag.answeredAt).Seconds() > ag.sim.LeaseS {
		if len(ag.tasks) > 0 {
			ag.sim.ExpiredLeases++
		}
		ag.tasks = map[string]*agentTask{}
		ag.agentEpoch++
		ag.answeredAt, ag.changed = now, true
	}
	if ag.inFlight {
		return
	}
	if now.After(ag.nextReport) || (ag.changed && now.Sub(ag.sentAt) >= 500*time.Millisecond) {
		ag.report()
	}
}

// reportBody returns the body of the next report.
func (ag *Agent) reportBody() []byte {
	ag.heartbeatSeq++
	var entries []map[string]any
	var keys []string
	for key := range ag.tasks {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		task := ag.tasks[key]
		fields := map[string]any{"piece": task.taskID, "try": task.attempt, "status": task.status}
		if task.status == statusEnded {
			fields["cause"] = task.cause
			fields["saved"] = task.saved
		}
		entries = append(entries, fields)
	}
	return encode(map[string]any{
		"host":      ag.machine.ID,
		"endpoint":  ag.sim.endpoint(ag.machine.ID),
		"build":     ag.machine.MachineType,
		"site":      ag.machine.Zone,
		"loaner":    ag.machine.Spot,
		"tenure":    ag.agentEpoch,
		"tick":      ag.heartbeatSeq,
		"baton":     ag.fencingToken,
		"warning_s": ag.warningS,
		"pieces":    entries,
	})
}
