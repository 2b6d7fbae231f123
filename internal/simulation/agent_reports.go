package simulation

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/agent"
)

// report sends a heartbeat to the controller that the agent reports to.
func (ag *Agent) report() {
	sim := ag.sim
	ag.inFlight, ag.changed, ag.sentAt = true, false, sim.Now
	ag.nextReport = sim.Now.Add(time.Duration(sim.HeartbeatS * (0.75 + 0.5*sim.RNG.Float64()) * float64(time.Second)))
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
			// The machine resumes after the four seconds in which it accepts an answer.
			ag.queue = append(ag.queue, func() {
				ag.inFlight = false
				ag.tryNextNode()
			})
			return
		}
		r.handleAnswer(status, b, err)
	})
}

// tryNextNode schedules the next report for one second later, to the next controller.
func (ag *Agent) tryNextNode() {
	ag.nodeIndex++
	ag.nextReport = ag.sim.Now.Add(time.Second)
}

// sentReport is a heartbeat in flight, with the state of the agent at the time it was sent.
type sentReport struct {
	agent        *Agent
	node         string
	sentAt       time.Time
	agentEpoch   uint64
	fencingToken uint64
	body         []byte
	answerSentAt time.Time // when the answer left its controller, zero over sockets
}

// send sends the report, or lets it fail if the machine can't reach any controller.
func (r *sentReport) send(done func(int, []byte, error)) {
	sim, machine := r.agent.sim, r.agent.machine.ID
	if sim.Sockets != nil {
		sim.Sockets.Heartbeat(r.node, r.body, done)
		return
	}
	if sim.unreachable[machine] {
		sim.failReport(done)
		return
	}
	serve := sim.withCopies(Heartbeats, func(answer func(int, []byte)) {
		sim.Nodes[r.node].request("POST", "/agent/beat", r.body, func(status int, b []byte) {
			if r.answerSentAt.IsZero() { // a copy's answer is dropped
				r.answerSentAt = sim.Now
			}
			answer(status, b)
		})
	})
	sim.call(machine, r.node, 4*time.Second, sim.maybeDelay("beat", serve), done)
	sim.maybeReplay(r.node, r.body)
}

// handleAnswer handles the answer to the report.
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

// handleRedirect makes the agent report at once to the controller that the answer names.
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

// handleAcknowledgement renews the lease and executes the commands in the answer.
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
	ag.learnToken(*answer.FencingToken, answer.Commands)
	ag.answeredAt = r.sentAt
	ag.execute(answer.Commands, r.answerSentAt)
	ag.markUnstopped(r.answerSentAt)
}

// learnToken adopts the fencing token of a message with commands if it is higher, and then triggers a report
// that shows it.
func (ag *Agent) learnToken(token uint64, commands []command) {
	if token <= ag.fencingToken {
		return
	}
	sameEpoch := token/agent.FencingTokenSpan == ag.fencingToken/agent.FencingTokenSpan
	forgets := slices.ContainsFunc(commands, func(c command) bool { return c.Verb == "reap" })
	if !sameEpoch || !forgets {
		ag.TokenChanges++
	}
	ag.fencingToken, ag.changed = token, true
}
