package shard

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/cancellation"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/reconcile"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// command sends a direct command to a machine's agent if one is due. A machine that is not known
// yet is sent one to show it the current fencing token.
func (s *Shard) command(session *agent.Session, commands []agent.Command) {
	if session.CommandPending || session.Endpoint == "" {
		return
	}
	if s.calls >= tuning.MaxAgentCalls || !s.mayCall(session) {
		s.deferCall(session)
		return
	}
	sinceLastCall := s.state.Now.Sub(session.LastCall)
	if session.State != agent.Known || s.awaitsFirstAnswer(session) {
		if sinceLastCall < tuning.CallRetry<<min(session.FailedCalls, 3) {
			return
		}
		commands = s.stopsForCancelled(session.Machine)
	} else if !s.commandDue(session, commands, sinceLastCall) {
		return
	}
	commands = limitCommands(commands)
	if commands == nil {
		commands = []agent.Command{}
	}
	s.call(session, commands)
}

// commandDue reports whether a known machine is to be sent commands now. An overdue machine is
// called even if there are none.
func (s *Shard) commandDue(session *agent.Session, commands []agent.Command, sinceLastCall time.Duration) bool {
	if s.overdue(session) && sinceLastCall >= tuning.CallRetry {
		return true
	}
	for _, command := range commands {
		if command.Verb == agent.Launch {
			return true
		}
	}
	return len(commands) > 0 && sinceLastCall >= tuning.CommandRetry
}

// call sends a direct command.
func (s *Shard) call(session *agent.Session, commands []agent.Command) {
	body := session.EncodeDirect(commands)
	fencingToken, agentEpoch := session.FencingToken(), max(session.AgentEpoch, 1)
	session.CommandSent(commands, s.state.Now)
	permit := s.beginLaunch(session.Machine, commands)
	s.logCommands("command sent", session, commands)
	s.calls++
	callEnded := s.countCall(session)
	done := func(status int, answer []byte, err error) {
		s.calls--
		callEnded()
		s.endLaunch(session.Machine, permit)
		s.loop.Wake()
		s.toReview[session.Machine] = true
		if s.sessions[session.Machine] != session {
			return
		}
		if session.FencingToken() != fencingToken {
			// The token changed while the call was in flight. The effect of this command shows in
			// the first heartbeat that carries the new token.
			session.CommandPending = false
			return
		}
		if errors.Is(err, http1.ErrNotSent) {
			s.config.Log.Debug("launch not sent", "machine", session.Machine)
			session.CommandNotSent()
			return
		}
		s.handleAnswer(session, agentEpoch, status, answer, err)
	}
	s.agents.Call(agent.Request{
		Endpoint: session.Endpoint,
		Method:   http.MethodPost,
		Target:   "/commands",
		Body:     body,
		Timeout:  tuning.CommandTimeout,
		Permit:   permit,
	}, done)
}

// handleAnswer handles the answer to a direct command that was sent for an agent epoch.
func (s *Shard) handleAnswer(session *agent.Session, agentEpoch uint64, status int, answer []byte, err error) {
	executed, refused := status == statusOK, status == statusConflict
	var heartbeat agent.Heartbeat
	if err != nil || (!executed && !refused) ||
		json.Unmarshal(answer, &heartbeat) != nil || heartbeat.Machine != session.Machine {
		s.config.Log.Debug("command unanswered", "machine", session.Machine, "status", status, "error", err)
		session.CommandUnanswered()
		s.Reconciling.ApplyEvent(session.Machine, reconcile.CallUnanswered, s.state.Now)
		s.healthOf(session.Machine).BackOffUntil(s.state.Now.Add(tuning.UnansweredBackoff))
		return
	}
	if executed {
		session.CommandAnswered()
		s.accept(session, &heartbeat)
		return
	}
	s.config.Log.Debug(
		"command refused",
		"machine", session.Machine,
		"fencing_token", session.FencingToken(),
		"agent_epoch", agentEpoch,
		"agent_fencing_token", heartbeat.FencingToken,
		"agent_epoch_shown", heartbeat.AgentEpoch,
	)
	session.CommandRefused()
	s.accept(session, &heartbeat)
	if heartbeat.AgentEpoch != agentEpoch {
		session.LastCall = time.Time{} // retry at once with the current agent epoch
	}
}

// stopsForCancelled returns stop commands for the cancelled tasks that the records still place on a
// machine. An unresponsive machine may have queued a launch that was sent before the cancellation
// was acknowledged. It executes queued commands in order, so without a stop behind that launch the
// task would run (scenario meet-hung-cancelled-launch). A stop is safe whatever is on the machine.
func (s *Shard) stopsForCancelled(machine string) []agent.Command {
	var placed []agent.TaskStatus
	for _, taskID := range clusterstate.SortedKeys(s.state.TasksOnMachine[machine]) {
		attempt := s.state.TasksOnMachine[machine][taskID].Attempt
		placed = append(placed, agent.TaskStatus{TaskID: taskID, Attempt: attempt})
	}
	return cancellation.StopCommands(placed, s.cancelled)
}

// mayCall reports whether a machine may be called now. While this controller reconciles after its
// start, calls to machines that may have died are limited, so that they do not delay the calls to
// running machines.
func (s *Shard) mayCall(session *agent.Session) bool {
	switch {
	case s.Reconciling.Steady():
		return true
	case session.FailedCalls > 0:
		return s.callsToUnanswered < tuning.MaxCallsToUnanswered && !s.provisioner.Decommissioning(session.Machine)
	case session.HeartbeatSeq == 0:
		return s.callsToUnseen < tuning.MaxCallsToUnseen && !s.provisioner.Decommissioning(session.Machine)
	}
	return true
}

// deferCall schedules a machine for another review as soon as the call limits allow, instead of at
// the next sweep: 64 machines every 0.4 s took ten seconds for a whole fleet.
func (s *Shard) deferCall(session *agent.Session) {
	if !s.Reconciling.Steady() {
		s.awaitingCallSlot = append(s.awaitingCallSlot, session.Machine)
	}
}

// countCall counts a call to a machine against its limit until the returned function is called.
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
