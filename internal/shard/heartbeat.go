package shard

import (
	"encoding/json"
	"slices"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/cancellation"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// HTTP statuses of the replies to heartbeats and direct commands. Status 503 is set by
// http1.Unavailable.
const (
	statusOK          = 200
	statusBadRequest  = 400
	statusConflict    = 409 // the agent refused the command and executed nothing
	statusMisdirected = 421 // another controller owns the machine
)

// heartbeatVersion is the agent epoch and the sequence number of a heartbeat, which together order
// the heartbeats of a machine.
type heartbeatVersion [2]uint64

// Heartbeat handles a worker's heartbeat. Only the machine's owner replies with status 200, which
// renews the worker's lease, and only while it may renew leases. Other controllers redirect the
// worker to the owner.
func (s *Shard) Heartbeat(body []byte, respond func(http1.Reply)) {
	var heartbeat agent.Heartbeat
	if err := json.Unmarshal(body, &heartbeat); err != nil || !fleet.ValidName(heartbeat.Machine) {
		respond(http1.Reply{Status: statusBadRequest, Body: http1.ErrorBody("not a report")})
		return
	}
	if !s.view.MayAnswerAgents() {
		respond(http1.Unavailable("not in the view"))
		return
	}
	isNew := s.isNewHeartbeat(&heartbeat)
	owner := s.ownerOf(heartbeat.Machine)
	if owner != s.config.Name {
		s.Reconciling.Redirected(owner)
		if isNew {
			s.handleForeignHeartbeat(owner, &heartbeat)
		}
		respond(misdirectedReply(owner))
		return
	}
	session := s.sessionOf(heartbeat.Machine)
	if session == nil {
		respond(http1.Unavailable("too many machines"))
		return
	}
	if heartbeat.FencingToken > session.FencingToken() {
		// Another controller has issued a higher token, so this one is behind. A 200 would only
		// keep the worker here while its lease expires.
		session.ObserveToken(heartbeat.FencingToken, s.state.Now)
		respond(misdirectedReply(owner))
		return
	}
	session.LastHeartbeat = s.state.Now
	if s.accept(session, &heartbeat) {
		s.toReview[heartbeat.Machine] = true
		s.loop.Wake()
	}
	if !s.cancellations.MayRenewLeases() {
		// The reported status is applied, but the lease is not renewed: tasks whose cancellation
		// was acknowledged but is not known here must end when the lease expires.
		s.cancellations.LeaseWithheld()
		respond(http1.Unavailable("not all cancellations are known"))
		return
	}
	commands := limitCommands(s.prependStops(&heartbeat, s.repeatableCommands(session, &heartbeat)))
	reply := session.EncodeReply(commands)
	s.logCommands("heartbeat answered with commands", session, commands)
	respond(http1.Reply{Status: statusOK, Body: reply})
}

// ownerOf returns the controller that owns a machine: by its record if there is one, otherwise by
// the view.
func (s *Shard) ownerOf(machine string) string {
	if m := s.state.Machines[machine]; m != nil {
		return m.Owner
	}
	return s.view.OwnerOf(machine)
}

// repeatableCommands returns the commands for the reply to a machine's newest heartbeat: only those
// that are safe to repeat. Launches are sent by direct command instead, because only the answer to
// that shows whether they were executed.
func (s *Shard) repeatableCommands(session *agent.Session, heartbeat *agent.Heartbeat) []agent.Command {
	commands := []agent.Command{}
	isNewest := heartbeat.AgentEpoch == session.AgentEpoch && heartbeat.HeartbeatSeq == session.HeartbeatSeq
	if session.State != agent.Known || session.CommandPending || !isNewest {
		return commands
	}
	for _, command := range s.review(session, ignoreDifference).commands {
		if command.Verb == agent.Launch {
			s.toReview[session.Machine] = true
			continue
		}
		commands = append(commands, command)
	}
	return commands
}

// prependStops prepends to the commands a stop for each reported task whose job is known to be
// cancelled. Every reply that renews a lease carries these stops, even while the machine's
// heartbeats are not authoritative or a direct command to it is unanswered.
func (s *Shard) prependStops(heartbeat *agent.Heartbeat, commands []agent.Command) []agent.Command {
	stops := cancellation.StopCommands(heartbeat.Tasks, s.cancelled)
	if len(stops) == 0 {
		return commands
	}
	for _, command := range commands {
		stopped := slices.ContainsFunc(stops, func(stop agent.Command) bool {
			return stop.TaskID == command.TaskID && stop.Attempt == command.Attempt
		})
		if command.Verb != agent.Stop || !stopped {
			stops = append(stops, command)
		}
	}
	return stops
}

// cancelled reports whether a job is cancelled, either by its record or by an acknowledged
// cancellation that the record does not show yet.
func (s *Shard) cancelled(jobID string) bool {
	job := s.state.Jobs[jobID]
	return job != nil && job.Record != nil && job.Record.State == jobs.Cancelled || s.cancellations.Cancelled(jobID)
}

// isNewHeartbeat reports whether a heartbeat is the newest that this controller has received from a
// machine with a record. An old heartbeat that is delivered late, after the machine has moved to
// another owner, does not show that the machine cannot reach that owner.
func (s *Shard) isNewHeartbeat(heartbeat *agent.Heartbeat) bool {
	version := heartbeatVersion{heartbeat.AgentEpoch, heartbeat.HeartbeatSeq}
	last := s.newestHeartbeats[heartbeat.Machine]
	if s.state.Machines[heartbeat.Machine] == nil || slices.Compare(version[:], last[:]) <= 0 {
		return false
	}
	s.newestHeartbeats[heartbeat.Machine] = version
	return true
}

// limitCommands truncates commands to the maximum per message. The rest follows in later messages.
func limitCommands(commands []agent.Command) []agent.Command {
	if len(commands) > tuning.MaxCommands {
		return commands[:tuning.MaxCommands]
	}
	return commands
}

// misdirectedReply returns the reply that redirects a heartbeat to the machine's owner. An empty
// owner means that none is known.
func misdirectedReply(owner string) http1.Reply {
	if owner == "" {
		return http1.Reply{Status: statusMisdirected, Body: []byte("{}")}
	}
	body := jobs.Encode(map[string]string{"reports_to": owner})
	return http1.Reply{Status: statusMisdirected, Body: body}
}
