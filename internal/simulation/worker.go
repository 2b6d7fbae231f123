package simulation

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/jobs"
)

// Agent simulates the agent on a machine.
type Agent struct {
	sim     *Simulator
	machine *cloudMachine
	images  map[string]bool // images that were fetched

	agentEpoch   uint64 // session, higher each time it lost all tasks
	heartbeatSeq uint64
	fencingToken uint64                // highest that it was shown
	tasks        map[string]*agentTask // by attemptKey
	reaped       map[string]bool       // attempts that were reaped

	nodeIndex  int       // controller that it reports to, in Simulator.Order
	inFlight   bool      // a report is not answered yet
	changed    bool      // there is something new to report
	sentAt     time.Time // of the last report
	answeredAt time.Time // when the last report that was answered was sent: its lease runs from there
	nextReport time.Time

	Hung         bool     // stands still; what arrives waits in queue
	queue        []func() // what arrives while hanging
	dead         bool
	warningS     *float64 // seconds until the cloud takes the machine, nil if it does not
	TokenChanges int      // times that it was shown a higher fencing token
}

// attemptKey names one attempt of a task. A report lists each until it is reaped.
func attemptKey(taskID string, attempt uint64) string { return fmt.Sprintf("%s#%d", taskID, attempt) }

// agentTask is one attempt of a task on its machine, from its launch until it is reaped.
type agentTask struct {
	taskID       string
	attempt      uint64
	index        int // of the task in its job
	job          *Job
	status       taskStatus
	cause        string    // of its end
	saved        bool      // its progress, as it ended
	generation   int       // counts changes of status: what was planned before one is void
	launchSentAt time.Time // the launch left its controller, zero if not known
	unstoppedAt  time.Time // an answer that should have stopped it left then
	reported     bool      // for being on its machine past cancel_s
}

// taskStatus is the state of an attempt on its machine, as reports show it.
type taskStatus string

// The protocol's states of an attempt.
const (
	statusPulling taskStatus = "pulling" // the machine fetches the image
	statusWaiting taskStatus = "waiting" // for the other tasks of its gang
	statusRunning taskStatus = "running"
	statusSaving  taskStatus = "saving" // before it stops
	statusEnded   taskStatus = "ended"
)

func (task *agentTask) onMachine() bool {
	return task.status == statusWaiting || task.status == statusRunning || task.status == statusSaving
}

// busy tells whether a task is on the machine.
func (ag *Agent) busy() bool {
	for _, task := range ag.tasks {
		if task.onMachine() {
			return true
		}
	}
	return false
}

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

func (sim *Simulator) stopAgent(id string) {
	if ag := sim.Agents[id]; ag != nil {
		ag.dead = true
		ag.tasks = map[string]*agentTask{}
		delete(sim.Agents, id)
	}
}

// Die stops a machine without a word; the cloud lists it as failed later.
func (ag *Agent) Die() {
	ag.sim.stopAgent(ag.machine.ID)
	ag.sim.After(30*time.Second, func() { ag.machine.status = "failed" })
}

// Reclaim announces that the cloud takes the machine in s seconds, and takes it.
func (ag *Agent) Reclaim(s float64) {
	if s > 0 {
		ag.warningS, ag.changed = &s, true
	}
	ag.sim.After(time.Duration(s*float64(time.Second)), func() { ag.sim.Cloud.Remove(ag.machine.ID) })
}

// Restart has the machine die and be back at once with the same address: its tasks are
// gone, so is what it knew of fencing tokens, and it begins its next session.
func (ag *Agent) Restart() {
	ag.tasks, ag.reaped = map[string]*agentTask{}, map[string]bool{}
	ag.agentEpoch++
	ag.fencingToken, ag.answeredAt, ag.changed = 0, ag.sim.Now, true
}

// Empty tells whether it holds no task in any state.
func (ag *Agent) Empty() bool { return len(ag.tasks) == 0 }

// LearnEpoch has the machine know a view's token already.
func (ag *Agent) LearnEpoch(epoch uint64) {
	ag.fencingToken = max(ag.fencingToken, epoch*agent.FencingTokenSpan)
}

// Resume ends a hang; what came meanwhile is handled, unless the machine is gone.
func (ag *Agent) Resume() {
	ag.Hung = false
	q := ag.queue
	ag.queue = nil
	if ag.dead {
		return
	}
	for _, f := range q {
		f()
	}
	ag.checkCancelledTasks()
}

func (ag *Agent) tick() {
	if ag.Hung {
		return
	}
	ag.checkCancelledTasks()
	now := ag.sim.Now
	if now.Sub(ag.answeredAt).Seconds() > ag.sim.LeaseS {
		if len(ag.tasks) > 0 {
			ag.sim.Expired++
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

func (ag *Agent) reportBody() []byte {
	ag.heartbeatSeq++
	var ps []map[string]any
	var names []string
	for n := range ag.tasks {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		task := ag.tasks[n]
		m := map[string]any{"piece": task.taskID, "try": task.attempt, "status": task.status}
		if task.status == statusEnded {
			m["cause"] = task.cause
			m["saved"] = task.saved
		}
		ps = append(ps, m)
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
		"pieces":    ps,
	})
}

// report sends a heartbeat to the controller that the agent reports to.
func (ag *Agent) report() {
	sim := ag.sim
	ag.inFlight, ag.changed, ag.sentAt = true, false, sim.Now
	ag.nextReport = sim.Now.Add(time.Duration(sim.ReportS * (0.75 + 0.5*sim.RNG.Float64()) * float64(time.Second)))
	r := &sentReport{
		agent:        ag,
		node:         sim.NodeNames[ag.nodeIndex%len(sim.NodeNames)],
		sentAt:       sim.Now,
		agentEpoch:   ag.agentEpoch,
		fencingToken: ag.fencingToken,
		body:         ag.reportBody(),
	}
	r.send(func(status int, b []byte, err error) {
		if ag.dead {
			return
		}
		if ag.Hung {
			// The machine resumes later than the answer's four seconds.
			ag.queue = append(ag.queue, func() {
				ag.inFlight = false
				ag.tryNextNode()
			})
			return
		}
		r.handleAnswer(status, b, err)
	})
}

// tryNextNode has the agent report to the next controller a second later.
func (ag *Agent) tryNextNode() {
	ag.nodeIndex++
	ag.nextReport = ag.sim.Now.Add(time.Second)
}

// sentReport is a heartbeat that is on its way, with what the agent knew as it left.
type sentReport struct {
	agent        *Agent
	node         string
	sentAt       time.Time
	agentEpoch   uint64
	fencingToken uint64
	body         []byte
	answerSentAt time.Time // when the answer left its controller, zero over sockets
}

// send sends the report, unless the machine reaches no controller.
func (r *sentReport) send(done func(int, []byte, error)) {
	sim, machine := r.agent.sim, r.agent.machine.ID
	if sim.Real != nil {
		sim.Real.Heartbeat(r.node, r.body, done)
		return
	}
	if sim.unreachable[machine] {
		sim.failReport(done)
		return
	}
	sim.call(machine, r.node, 4*time.Second, sim.maybeDelay("beat", func(answer func(int, []byte)) {
		sim.Nodes[r.node].request("POST", "/agent/beat", r.body, func(status int, b []byte) {
			r.answerSentAt = sim.Now
			answer(status, b)
		})
	}), done)
	sim.maybeReplay(r.node, r.body)
}

// answered takes the answer to the report.
func (r *sentReport) handleAnswer(status int, body []byte, err error) {
	ag := r.agent
	ag.inFlight = false
	if err != nil {
		ag.tryNextNode()
		return
	}
	ag.checkAnswer(r.node, status, body, r.fencingToken)
	switch status {
	case 200:
		r.handleAcknowledgement(body)
	case 421:
		r.handleRedirect(body)
	default:
		ag.tryNextNode()
	}
}

// redirected has the agent report at once to the controller that the answer names.
func (r *sentReport) handleRedirect(body []byte) {
	var answer struct {
		To string `json:"reports_to"`
	}
	_ = json.Unmarshal(body, &answer)
	ag := r.agent
	for i, n := range ag.sim.NodeNames {
		if n == answer.To && n != r.node {
			ag.nodeIndex = i
			ag.nextReport = ag.sim.Now
			return
		}
	}
	ag.tryNextNode()
}

// acknowledged renews the lease and carries out the commands of the answer.
func (r *sentReport) handleAcknowledgement(body []byte) {
	var answer struct {
		FencingToken *uint64   `json:"baton"`
		Commands     []command `json:"orders"`
	}
	ag := r.agent
	if json.Unmarshal(body, &answer) != nil || answer.FencingToken == nil ||
		*answer.FencingToken < ag.fencingToken || ag.agentEpoch != r.agentEpoch {
		return
	}
	ag.learnToken(*answer.FencingToken)
	ag.answeredAt = r.sentAt
	ag.execute(answer.Commands, r.answerSentAt)
	ag.markUnstopped(r.answerSentAt)
}

// learnToken notes a fencing token, which the next report shows if it is higher.
func (ag *Agent) learnToken(token uint64) {
	if token > ag.fencingToken {
		ag.TokenChanges++
		ag.fencingToken, ag.changed = token, true
	}
}

type command struct {
	Verb         string  `json:"verb"`
	TaskID       string  `json:"piece"`
	Attempt      uint64  `json:"try"`
	GracePeriodS float64 `json:"wind_down_s"`
}

// Call is a node's way to an agent.
func (sim *Simulator) Call(
	from string,
) func(endpoint, method, target string, body []byte, timeout time.Duration, done func(int, []byte, error)) {
	return func(endpoint, method, target string, body []byte, timeout time.Duration, done func(int, []byte, error)) {
		id, sent := strings.TrimPrefix(endpoint, "w:"), sim.Now
		take := func(answer func(int, []byte)) {
			ag := sim.Agents[id]
			if ag == nil {
				return // a machine without power is silent
			}
			serve := func() { answer(ag.serve(target, body, sent)) }
			if ag.Hung {
				ag.queue = append(ag.queue, serve)
				return
			}
			serve()
		}
		sim.call(from+":cmd", id, timeout, sim.maybeDelay("cmd", take), done)
	}
}

// Serve answers a request that came over a socket.
func (ag *Agent) Serve(_, target string, body []byte, answer func(int, []byte)) {
	answer(ag.serve(target, body, time.Time{}))
}

// serve takes a direct request that left its controller at some time.
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
		ag.sim.LimitBroken(
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
	ag.learnToken(*c.FencingToken)
	ag.execute(c.Commands, sent)
	return 200, ag.reportBody()
}

// execute takes commands that left their controller at some time.
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

// stop ends a task that gets the command to stop. One that takes snapshots saves first, if it has
// time for that; a gang in a simulation with loans saves together.
func (ag *Agent) stop(task *agentTask, gracePeriodS float64) {
	saves := task.job != nil && task.job.SnapshotS > 0 && gracePeriodS > 0
	if ag.sim.Loans == nil || !saves || !task.job.gang() {
		ag.end(task, "stopped", saves)
		return
	}
	if task.status != statusSaving {
		ag.stopGracefully(task)
	}
}

// inUse tells whether another attempt of a task is on the machine.
func (ag *Agent) hasOtherAttempt(o command) bool {
	for _, task := range ag.tasks {
		if task.taskID == o.TaskID && task.status != statusEnded {
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

func (ag *Agent) launch(c command, sent time.Time) {
	sim := ag.sim
	jobID, n, ok := jobs.SplitTaskID(c.TaskID)
	j := sim.Jobs[jobID]
	if j == nil && (sim.Real != nil || len(sim.Runs) > 0) {
		j = sim.jobFromRecord(jobID)
	}
	task := &agentTask{taskID: c.TaskID, attempt: c.Attempt, status: statusPulling, job: j, index: n, launchSentAt: sent}
	refused := ag.hasOtherAttempt(c)
	key := attemptKey(c.TaskID, c.Attempt)
	ag.tasks[key] = task
	if ag.reaped[key] {
		sim.LimitBroken("%s is launched on %s a second time as try %d", c.TaskID, ag.machine.ID, c.Attempt)
	}
	switch {
	case !ok || j == nil || n >= j.TaskCount:
		sim.LimitBroken("%s is launched, which no one submitted", c.TaskID)
		ag.end(task, "no_such", false)
		return
	case refused:
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
	ag.fetchImage(task)
}

// overcommitted tells whether the tasks on the machine need more accelerators than it has.
func (ag *Agent) overcommitted() bool {
	used := 0.0
	for _, task := range ag.tasks {
		if task.status != statusEnded && task.job != nil {
			used += task.job.Accelerators
		}
	}
	room := 4.0
	if ag.machine.MachineType == "g8" {
		room = 8
	}
	return used > room
}

// fetchImage has a task begin once the machine has its image.
func (ag *Agent) fetchImage(task *agentTask) {
	fetch := task.job.PullS
	if ag.sim.KeepImages && ag.images[task.job.Image] {
		fetch = 0
	}
	ag.after(task, fetch, func() {
		if ag.images == nil {
			ag.images = map[string]bool{}
		}
		ag.images[task.job.Image] = true
		ag.begin(task)
	})
}

// describe makes a job from its record in the store: over sockets the
// simulation's users are real ones, who upload the description to the agents. So
// do those of a run for its steps' jobs. The bundle "broken" fails everywhere.
func (sim *Simulator) jobFromRecord(jobID string) *Job {
	it, ok := sim.Store.items[jobs.JobPrefix+jobID]
	if !ok {
		return nil
	}
	r, err := jobs.DecodeRecord(jobID, it.Value)
	if err != nil {
		return nil
	}
	j := &Job{
		ID:           jobID,
		spec:         &r.Spec,
		Kind:         r.Spec.Kind,
		Team:         r.Spec.Team,
		TaskCount:    r.Spec.TaskCount,
		Accelerators: r.Spec.Accelerators,
		RunS:         r.Spec.ExpectedDurationS,
		PullS:        r.Spec.ImageGB,
		SameZone:     r.Spec.SameZone,
		SpreadZones:  r.Spec.SpreadZones,
		Spot:         r.Spec.Spot,
		Zone:         r.Spec.Zone,
		MachineTypes: r.Spec.MachineTypes,
		SnapshotS:    r.Spec.CheckpointIntervalS,
		Body:         it.Value,
		Accepted:     true,
		Done:         map[int]bool{},
	}
	if r.Spec.Image == "broken" {
		j.FailOn = "every"
	}
	sim.Jobs[jobID] = j
	return j
}

// after runs f unless the task has moved on or the machine is gone.
func (ag *Agent) after(task *agentTask, s float64, f func()) {
	gen := task.generation
	ag.sim.After(time.Duration(s*float64(time.Second)), func() {
		if ag.dead || task.generation != gen || ag.tasks[attemptKey(task.taskID, task.attempt)] != task {
			return
		}
		if ag.Hung {
			ag.queue = append(ag.queue, func() {
				if task.generation == gen { // else it has ended meanwhile, by what came before this
					ag.after(task, 0, f)
				}
			})
			return
		}
		f()
	})
}

// begin is the moment a task is on its machine: the rules are checked here.
func (ag *Agent) begin(task *agentTask) {
	ag.sim.checkStart(ag, task)
	task.generation++
	ag.changed = true
	if task.job.FailOn == "every" || task.job.FailOn == ag.machine.ID {
		ag.end(task, "error", false)
		return
	}
	if task.job.Kind == jobs.Gang && task.job.TaskCount > 1 {
		task.status = statusWaiting
		ag.after(task, ag.sim.GangWaitS, func() { ag.end(task, "alone", false) })
		ag.sim.startGangIfComplete(task.job, task.attempt)
		return
	}
	ag.run(task)
}

func (ag *Agent) run(task *agentTask) {
	task.status = statusRunning
	if task.job.BegunAt.IsZero() {
		task.job.BegunAt = ag.sim.Now
	}
	task.generation++
	ag.changed = true
	if task.job.Kind == jobs.Service {
		return
	}
	ag.after(task, task.job.RunS+float64(task.index)*task.job.ApartS, func() {
		if task.job.gang() {
			ag.sim.endGang(task.job, task.attempt)
			return
		}
		task.job.Done[task.index], task.job.LastDone = true, ag.sim.Now
		if len(task.job.Done) == task.job.TaskCount {
			ag.sim.jobEnded(task.job)
		}
		ag.end(task, "done", false)
	})
}
