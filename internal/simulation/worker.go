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

func (p *agentTask) onMachine() bool {
	return p.status == statusWaiting || p.status == statusRunning || p.status == statusSaving
}

// busy tells whether a task is on the machine.
func (wk *Agent) busy() bool {
	for _, p := range wk.tasks {
		if p.onMachine() {
			return true
		}
	}
	return false
}

func (w *Simulator) startWorker(h *cloudMachine) {
	wk := &Agent{
		sim:        w,
		machine:    h,
		agentEpoch: 1,
		tasks:      map[string]*agentTask{},
		reaped:     map[string]bool{},
		nodeIndex:  w.RNG.IntN(max(1, len(w.NodeNames))),
		answeredAt: w.Now,
	}
	w.Agents[h.ID] = wk
	var loop func()
	loop = func() {
		if wk.dead {
			return
		}
		wk.tick()
		w.After(100*time.Millisecond, loop)
	}
	w.After(time.Duration(w.RNG.IntN(500))*time.Millisecond, loop)
}

func (w *Simulator) stopWorker(id string) {
	if wk := w.Agents[id]; wk != nil {
		wk.dead = true
		wk.tasks = map[string]*agentTask{}
		delete(w.Agents, id)
	}
}

// Die stops a machine without a word; the cloud lists it as failed later.
func (wk *Agent) Die() {
	wk.sim.stopWorker(wk.machine.ID)
	wk.sim.After(30*time.Second, func() { wk.machine.status = "failed" })
}

// Reclaim announces that the cloud takes the machine in s seconds, and takes it.
func (wk *Agent) Reclaim(s float64) {
	if s > 0 {
		wk.warningS, wk.changed = &s, true
	}
	wk.sim.After(time.Duration(s*float64(time.Second)), func() { wk.sim.Cloud.Remove(wk.machine.ID) })
}

// Restart has the machine die and be back at once with the same address: its tasks are
// gone, so is what it knew of fencing tokens, and it begins its next session.
func (wk *Agent) Restart() {
	wk.tasks, wk.reaped = map[string]*agentTask{}, map[string]bool{}
	wk.agentEpoch++
	wk.fencingToken, wk.answeredAt, wk.changed = 0, wk.sim.Now, true
}

// Empty tells whether it holds no task in any state.
func (wk *Agent) Empty() bool { return len(wk.tasks) == 0 }

// LearnEpoch has the machine know a view's token already.
func (wk *Agent) LearnEpoch(epoch uint64) {
	wk.fencingToken = max(wk.fencingToken, epoch*agent.FencingTokenSpan)
}

// Resume ends a hang; what came meanwhile is handled, unless the machine is gone.
func (wk *Agent) Resume() {
	wk.Hung = false
	q := wk.queue
	wk.queue = nil
	if wk.dead {
		return
	}
	for _, f := range q {
		f()
	}
	wk.checkCancelledTasks()
}

func (wk *Agent) tick() {
	if wk.Hung {
		return
	}
	wk.checkCancelledTasks()
	now := wk.sim.Now
	if now.Sub(wk.answeredAt).Seconds() > wk.sim.LeaseS {
		if len(wk.tasks) > 0 {
			wk.sim.Expired++
		}
		wk.tasks = map[string]*agentTask{}
		wk.agentEpoch++
		wk.answeredAt, wk.changed = now, true
	}
	if wk.inFlight {
		return
	}
	if now.After(wk.nextReport) || (wk.changed && now.Sub(wk.sentAt) >= 500*time.Millisecond) {
		wk.report()
	}
}

func (wk *Agent) body() []byte {
	wk.heartbeatSeq++
	var ps []map[string]any
	var names []string
	for n := range wk.tasks {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		p := wk.tasks[n]
		m := map[string]any{"piece": p.taskID, "try": p.attempt, "status": p.status}
		if p.status == statusEnded {
			m["cause"] = p.cause
			m["saved"] = p.saved
		}
		ps = append(ps, m)
	}
	return encode(map[string]any{
		"host":      wk.machine.ID,
		"endpoint":  wk.sim.endpoint(wk.machine.ID),
		"build":     wk.machine.MachineType,
		"site":      wk.machine.Zone,
		"loaner":    wk.machine.Spot,
		"tenure":    wk.agentEpoch,
		"tick":      wk.heartbeatSeq,
		"baton":     wk.fencingToken,
		"warning_s": wk.warningS,
		"pieces":    ps,
	})
}

// report sends a heartbeat to the controller that the agent reports to.
func (wk *Agent) report() {
	w := wk.sim
	wk.inFlight, wk.changed, wk.sentAt = true, false, w.Now
	wk.nextReport = w.Now.Add(time.Duration(w.ReportS * (0.75 + 0.5*w.RNG.Float64()) * float64(time.Second)))
	r := &sentReport{
		worker:       wk,
		node:         w.NodeNames[wk.nodeIndex%len(w.NodeNames)],
		sentAt:       w.Now,
		agentEpoch:   wk.agentEpoch,
		fencingToken: wk.fencingToken,
		body:         wk.body(),
	}
	r.send(func(status int, b []byte, err error) {
		if wk.dead {
			return
		}
		if wk.Hung {
			// The machine resumes later than the answer's four seconds.
			wk.queue = append(wk.queue, func() {
				wk.inFlight = false
				wk.tryNextNode()
			})
			return
		}
		r.answered(status, b, err)
	})
}

// tryNextNode has the agent report to the next controller a second later.
func (wk *Agent) tryNextNode() {
	wk.nodeIndex++
	wk.nextReport = wk.sim.Now.Add(time.Second)
}

// sentReport is a heartbeat that is on its way, with what the agent knew as it left.
type sentReport struct {
	worker       *Agent
	node         string
	sentAt       time.Time
	agentEpoch   uint64
	fencingToken uint64
	body         []byte
	answerLeft   time.Time // when the answer left its controller, zero over sockets
}

// send sends the report, unless the machine reaches no controller.
func (r *sentReport) send(done func(int, []byte, error)) {
	w, machine := r.worker.sim, r.worker.machine.ID
	if w.Real != nil {
		w.Real.Heartbeat(r.node, r.body, done)
		return
	}
	if w.unreachable[machine] {
		w.failReport(done)
		return
	}
	w.call(machine, r.node, 4*time.Second, w.maybeLate("beat", func(answer func(int, []byte)) {
		w.Nodes[r.node].request("POST", "/agent/beat", r.body, func(status int, b []byte) {
			r.answerLeft = w.Now
			answer(status, b)
		})
	}), done)
	w.maybeReplay(r.node, r.body)
}

// answered takes the answer to the report.
func (r *sentReport) answered(status int, body []byte, err error) {
	wk := r.worker
	wk.inFlight = false
	if err != nil {
		wk.tryNextNode()
		return
	}
	wk.checkAnswer(r.node, status, body, r.fencingToken)
	switch status {
	case 200:
		r.acknowledged(body)
	case 421:
		r.redirected(body)
	default:
		wk.tryNextNode()
	}
}

// redirected has the agent report at once to the controller that the answer names.
func (r *sentReport) redirected(body []byte) {
	var answer struct {
		To string `json:"reports_to"`
	}
	_ = json.Unmarshal(body, &answer)
	wk := r.worker
	for i, n := range wk.sim.NodeNames {
		if n == answer.To && n != r.node {
			wk.nodeIndex = i
			wk.nextReport = wk.sim.Now
			return
		}
	}
	wk.tryNextNode()
}

// acknowledged renews the lease and carries out the commands of the answer.
func (r *sentReport) acknowledged(body []byte) {
	var answer struct {
		FencingToken *uint64   `json:"baton"`
		Commands     []command `json:"orders"`
	}
	wk := r.worker
	if json.Unmarshal(body, &answer) != nil || answer.FencingToken == nil ||
		*answer.FencingToken < wk.fencingToken || wk.agentEpoch != r.agentEpoch {
		return
	}
	wk.learnToken(*answer.FencingToken)
	wk.answeredAt = r.sentAt
	wk.execute(answer.Commands, r.answerLeft)
	wk.noteUnstopped(r.answerLeft)
}

// learnToken notes a fencing token, which the next report shows if it is higher.
func (wk *Agent) learnToken(token uint64) {
	if token > wk.fencingToken {
		wk.TokenChanges++
		wk.fencingToken, wk.changed = token, true
	}
}

type command struct {
	Verb         string  `json:"verb"`
	TaskID       string  `json:"piece"`
	Attempt      uint64  `json:"try"`
	GracePeriodS float64 `json:"wind_down_s"`
}

// Call is a node's way to an agent.
func (w *Simulator) Call(
	from string,
) func(endpoint, method, target string, body []byte, timeout time.Duration, done func(int, []byte, error)) {
	return func(endpoint, method, target string, body []byte, timeout time.Duration, done func(int, []byte, error)) {
		id, sent := strings.TrimPrefix(endpoint, "w:"), w.Now
		take := func(answer func(int, []byte)) {
			wk := w.Agents[id]
			if wk == nil {
				return // a machine without power is silent
			}
			serve := func() { answer(wk.serve(target, body, sent)) }
			if wk.Hung {
				wk.queue = append(wk.queue, serve)
				return
			}
			serve()
		}
		w.call(from+":cmd", id, timeout, w.maybeLate("cmd", take), done)
	}
}

// Serve answers a request that came over a socket.
func (wk *Agent) Serve(_, target string, body []byte, answer func(int, []byte)) {
	answer(wk.serve(target, body, time.Time{}))
}

// serve takes a direct request that left its controller at some time.
func (wk *Agent) serve(target string, body []byte, sent time.Time) (int, []byte) {
	if target == "/show" {
		return 200, wk.body()
	}
	var c struct {
		FencingToken *uint64   `json:"baton"`
		AgentEpoch   *uint64   `json:"tenure"`
		Commands     []command `json:"orders"`
	}
	if json.Unmarshal(body, &c) != nil || c.FencingToken == nil || c.AgentEpoch == nil || len(body) > maxBodyBytes ||
		target != "/commands" ||
		commandsFault(c.Commands) != "" {
		wk.sim.LimitBroken(
			"%s refuses commands: %s of %d bytes %s",
			wk.machine.ID,
			target,
			len(body),
			commandsFault(c.Commands),
		)
		return 400, []byte("{}")
	}
	if *c.FencingToken < wk.fencingToken || *c.AgentEpoch != wk.agentEpoch {
		return 409, wk.body()
	}
	wk.learnToken(*c.FencingToken)
	wk.execute(c.Commands, sent)
	return 200, wk.body()
}

// execute takes commands that left their controller at some time.
func (wk *Agent) execute(commands []command, sent time.Time) {
	wk.sim.commandCount += len(commands)
	for _, c := range commands {
		key := attemptKey(c.TaskID, c.Attempt)
		task := wk.tasks[key]
		switch c.Verb {
		case "launch":
			if task == nil {
				wk.changed = true
				wk.launch(c, sent)
			}
		case "stop":
			if task != nil && task.status != statusEnded {
				wk.stop(task, c.GracePeriodS)
			}
		case "reap":
			if task != nil && task.status == statusEnded {
				delete(wk.tasks, key)
				wk.reaped[key] = true
				wk.changed = true
			}
		}
	}
}

// stop ends a task that gets the command to stop. One that takes snapshots saves first, if it has
// time for that; a gang in a simulation with loans saves together.
func (wk *Agent) stop(p *agentTask, gracePeriodS float64) {
	saves := p.job != nil && p.job.SnapshotS > 0 && gracePeriodS > 0
	if wk.sim.Loans == nil || !saves || !p.job.gang() {
		wk.end(p, "stopped", saves)
		return
	}
	if p.status != statusSaving {
		wk.stopGracefully(p)
	}
}

// inUse tells whether another attempt of a task is on the machine.
func (wk *Agent) inUse(o command) bool {
	for _, p := range wk.tasks {
		if p.taskID == o.TaskID && p.status != statusEnded {
			return true
		}
	}
	return false
}

func (wk *Agent) end(p *agentTask, cause string, saved bool) {
	p.status, p.cause, p.saved = statusEnded, cause, saved
	p.generation++
	wk.changed = true
}

func (wk *Agent) launch(c command, sent time.Time) {
	w := wk.sim
	jobID, n, ok := jobs.SplitTaskID(c.TaskID)
	j := w.Jobs[jobID]
	if j == nil && (w.Real != nil || len(w.Runs) > 0) {
		j = w.describe(jobID)
	}
	p := &agentTask{taskID: c.TaskID, attempt: c.Attempt, status: statusPulling, job: j, index: n, launchSentAt: sent}
	refused := wk.inUse(c)
	key := attemptKey(c.TaskID, c.Attempt)
	wk.tasks[key] = p
	if wk.reaped[key] {
		w.LimitBroken("%s is launched on %s a second time as try %d", c.TaskID, wk.machine.ID, c.Attempt)
	}
	switch {
	case !ok || j == nil || n >= j.TaskCount:
		w.LimitBroken("%s is launched, which no one submitted", c.TaskID)
		wk.end(p, "no_such", false)
		return
	case refused:
		wk.end(p, "in_use", false)
		return
	case wk.overcommitted():
		wk.end(p, "no_room", false)
		return
	}
	if w.Launched != nil {
		w.Launched(c.TaskID)
	}
	w.fireEvent(Launched)
	wk.fetchImage(p)
}

// overcommitted tells whether the tasks on the machine need more accelerators than it has.
func (wk *Agent) overcommitted() bool {
	used := 0.0
	for _, p := range wk.tasks {
		if p.status != statusEnded && p.job != nil {
			used += p.job.Accelerators
		}
	}
	room := 4.0
	if wk.machine.MachineType == "g8" {
		room = 8
	}
	return used > room
}

// fetchImage has a task begin once the machine has its image.
func (wk *Agent) fetchImage(p *agentTask) {
	fetch := p.job.PullS
	if wk.sim.KeepImages && wk.images[p.job.Image] {
		fetch = 0
	}
	wk.after(p, fetch, func() {
		if wk.images == nil {
			wk.images = map[string]bool{}
		}
		wk.images[p.job.Image] = true
		wk.begin(p)
	})
}

// describe makes a job from its record in the store: over sockets the
// simulation's users are real ones, who upload the description to the agents. So
// do those of a run for its steps' jobs. The bundle "broken" fails everywhere.
func (w *Simulator) describe(jobID string) *Job {
	it, ok := w.Store.items[jobs.JobPrefix+jobID]
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
	w.Jobs[jobID] = j
	return j
}

// after runs f unless the task has moved on or the machine is gone.
func (wk *Agent) after(p *agentTask, s float64, f func()) {
	gen := p.generation
	wk.sim.After(time.Duration(s*float64(time.Second)), func() {
		if wk.dead || p.generation != gen || wk.tasks[attemptKey(p.taskID, p.attempt)] != p {
			return
		}
		if wk.Hung {
			wk.queue = append(wk.queue, func() {
				if p.generation == gen { // else it has ended meanwhile, by what came before this
					wk.after(p, 0, f)
				}
			})
			return
		}
		f()
	})
}

// begin is the moment a task is on its machine: the rules are checked here.
func (wk *Agent) begin(p *agentTask) {
	wk.sim.checkStart(wk, p)
	p.generation++
	wk.changed = true
	if p.job.FailOn == "every" || p.job.FailOn == wk.machine.ID {
		wk.end(p, "error", false)
		return
	}
	if p.job.Kind == jobs.Gang && p.job.TaskCount > 1 {
		p.status = statusWaiting
		wk.after(p, wk.sim.GangWaitS, func() { wk.end(p, "alone", false) })
		wk.sim.startGang(p.job, p.attempt)
		return
	}
	wk.run(p)
}

func (wk *Agent) run(p *agentTask) {
	p.status = statusRunning
	if p.job.BegunAt.IsZero() {
		p.job.BegunAt = wk.sim.Now
	}
	p.generation++
	wk.changed = true
	if p.job.Kind == jobs.Service {
		return
	}
	wk.after(p, p.job.RunS+float64(p.index)*p.job.ApartS, func() {
		if p.job.gang() {
			wk.sim.endGang(p.job, p.attempt)
			return
		}
		p.job.Done[p.index], p.job.LastDone = true, wk.sim.Now
		if len(p.job.Done) == p.job.TaskCount {
			wk.sim.jobEnded(p.job)
		}
		wk.end(p, "done", false)
	})
}
