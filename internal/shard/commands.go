package shard

import (
	"encoding/json"
	"time"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/cancellation"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/reconcile"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// command sends commands to a machine's agent directly, or shows it the fencing token.
func (s *Shard) command(session *agent.Session, commands []agent.Command) {
	if session.CommandPending || session.Endpoint == "" {
		return
	}
	if s.calls >= tuning.MaxWorkerCalls || !s.mayCall(session) {
		s.deferCall(session)
		return
	}
	sinceLastCall := s.state.Now.Sub(session.LastCall)
	if session.State != agent.Known || s.awaitsFirstAnswer(session) {
		if sinceLastCall < tuning.AdoptAgain<<min(session.FailedCalls, 3) {
			return
		}
		commands = s.stopsOfCancelled(session.Machine)
	} else if !s.commandDue(session, commands, sinceLastCall) {
		return
	}
	commands = limitCommands(commands)
	if commands == nil {
		commands = []agent.Command{}
	}
	s.call(session, commands)
}

// commandDue tells whether a known machine is sent commands now. One that is overdue is
// called also without any.
func (s *Shard) commandDue(session *agent.Session, commands []agent.Command, sinceLastCall time.Duration) bool {
	if s.overdue(session) && sinceLastCall >= tuning.AdoptAgain {
		return true
	}
	for _, command := range commands {
		if command.Verb == agent.Launch {
			return true
		}
	}
	return len(commands) > 0 && sinceLastCall >= tuning.CommandGap
}

// call sends a direct command.
func (s *Shard) call(session *agent.Session, commands []agent.Command) {
	fencingToken, agentEpoch := session.FencingToken(), max(session.AgentEpoch, 1)
	body := agent.EncodeCommands(fencingToken, agentEpoch, commands)
	session.CommandSent(commands, s.state.Now)
	s.calls++
	callEnded := s.countCall(session)
	done := func(status int, answer []byte, err error) {
		s.calls--
		callEnded()
		s.loop.Wake()
		s.toReview[session.Machine] = true
		if s.sessions[session.Machine] != session {
			return
		}
		if session.FencingToken() != fencingToken {
			// A new view came meanwhile; what this command did shows in the first heartbeat
			// under the new token.
			session.CommandPending = false
			return
		}
		s.answered(session, agentEpoch, status, answer, err)
	}
	s.agents.Call(session.Endpoint, "POST", "/commands", body, tuning.CommandTimeout, done)
}

// answered takes in the answer to a direct command that was sent for an agent epoch.
func (s *Shard) answered(session *agent.Session, agentEpoch uint64, status int, answer []byte, err error) {
	executed, refused := status == statusOK, status == statusConflict
	var heartbeat agent.Heartbeat
	if err != nil || (!executed && !refused) ||
		json.Unmarshal(answer, &heartbeat) != nil || heartbeat.Machine != session.Machine {
		s.config.Log.Debug("command unanswered", "machine", session.Machine, "status", status, "error", err)
		session.CommandUnanswered()
		s.Reconciling.Record(session.Machine, reconcile.CallUnanswered, s.state.Now)
		s.healthOf(session.Machine).BackOffUntil(s.state.Now.Add(tuning.UnansweredRest))
		return
	}
	if executed {
		session.CommandAnswered()
		s.accept(session, &heartbeat)
		return
	}
	session.CommandRefused()
	s.accept(session, &heartbeat)
	if heartbeat.AgentEpoch != agentEpoch {
		session.LastCall = time.Time{} // try again with the right agent epoch
	}
}

// stopsOfCancelled are stops of what the records place on a machine, though it is
// cancelled. A machine that does not answer may have a launch waiting that left before the
// cancellation was acknowledged, and carries out in order what came behind it: without the
// stop that would start (meet-hung-cancelled-launch). A stop is safe, whatever the machine
// holds.
func (s *Shard) stopsOfCancelled(machine string) []agent.Command {
	var placed []agent.TaskStatus
	for _, taskID := range clusterstate.SortedKeys(s.state.TasksOnMachine[machine]) {
		attempt := s.state.TasksOnMachine[machine][taskID].Attempt
		placed = append(placed, agent.TaskStatus{TaskID: taskID, Attempt: attempt})
	}
	return cancellation.StopCommands(placed, s.cancelled)
}

// mayCall tells whether a call may be spent on a machine while this controller reconciles:
// those that died must not delay the calls to those that run.
func (s *Shard) mayCall(session *agent.Session) bool {
	switch {
	case s.Reconciling.Steady():
		return true
	case session.FailedCalls > 0:
		return s.callsToUnanswered < tuning.DoubtedCalls && !s.provisioner.GivenUp(session.Machine)
	case session.HeartbeatSeq == 0:
		return s.callsToUnseen < tuning.AwaitedCalls && !s.provisioner.GivenUp(session.Machine)
	}
	return true
}

// deferCall has a machine reviewed again when a call comes free, and not with the next
// sweep: 64 machines every 0.4 s were ten seconds for all of a fleet's.
func (s *Shard) deferCall(session *agent.Session) {
	if !s.Reconciling.Steady() {
		s.awaitingCall = append(s.awaitingCall, session.Machine)
	}
}

// countCall counts a call to a machine; the caller calls ended once the call is over.
func (s *Shard) countCall(session *agent.Session) (ended func()) {
	count := &s.callsToUnseen
	switch {
	case session.FailedCalls > 0:
		count = &s.callsToUnanswered
	case session.HeartbeatSeq != 0:
		return func() {}
	}
	*count++
	return func() { *count-- }
}
