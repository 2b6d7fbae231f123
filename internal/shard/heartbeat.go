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

// Statuses of HTTP that heartbeats and direct commands are answered with; 503 is
// http1.Unavailable's.
const (
	statusOK          = 200
	statusBadRequest  = 400
	statusConflict    = 409 // a command was refused, nothing was executed
	statusMisdirected = 421 // another controller owns the machine
)

// heartbeatMark is the agent epoch and the sequence number of a heartbeat, which order
// those of a machine.
type heartbeatMark [2]uint64

// Heartbeat answers a worker's heartbeat. Only the machine's owner answers 200, which
// renews the worker's lease, and only while it may; others send the worker to the owner.
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
			s.noteForeignHeartbeat(owner, &heartbeat)
		}
		respond(misdirected(owner))
		return
	}
	session := s.sessionOf(heartbeat.Machine)
	if session == nil {
		respond(http1.Unavailable("too many machines"))
		return
	}
	if heartbeat.FencingToken > session.FencingToken() {
		// Another controller holds a higher token: this one is behind, and a 200 would only
		// keep the worker here while its lease expires.
		session.ObserveToken(heartbeat.FencingToken, s.state.Now)
		respond(misdirected(owner))
		return
	}
	session.LastHeartbeat = s.state.Now
	if s.accept(session, &heartbeat) {
		s.toReview[heartbeat.Machine] = true
		s.loop.Wake()
	}
	if !s.cancellations.MayRenewLeases() {
		// The status counts, its lease does not: what was acknowledged as cancelled and is
		// not known here must end with it.
		s.cancellations.LeaseWithheld()
		respond(http1.Unavailable("not all cancellations are known"))
		return
	}
	commands := limitCommands(s.stopsFirst(&heartbeat, s.repeatableCommands(session, &heartbeat)))
	respond(http1.Reply{Status: statusOK, Body: jobs.Encode(struct {
		FencingToken uint64          `json:"baton"`
		Commands     []agent.Command `json:"orders"`
	}{session.FencingToken(), commands})})
}

// ownerOf is the controller that owns a machine: by its record, else by the view.
func (s *Shard) ownerOf(machine string) string {
	if m := s.state.Machines[machine]; m != nil {
		return m.Owner
	}
	return s.view.OwnerOf(machine)
}

// repeatableCommands are the commands that the answer to the newest heartbeat carries:
// only those that may be repeated. Launches are sent to the agent directly, so that there
// is one place where the answer tells whether they were executed.
func (s *Shard) repeatableCommands(session *agent.Session, heartbeat *agent.Heartbeat) []agent.Command {
	commands := []agent.Command{}
	isNewest := heartbeat.AgentEpoch == session.AgentEpoch && heartbeat.HeartbeatSeq == session.HeartbeatSeq
	if session.State != agent.Known || session.CommandPending || !isNewest {
		return commands
	}
	for _, command := range s.review(session, ignoreDifference).commands {
		if command.Verb != agent.Launch {
			commands = append(commands, command)
		}
	}
	return commands
}

// stopsFirst puts before the commands a stop for each reported task whose job is known to
// be cancelled, also while the machine's heartbeats prove nothing or a command to it is
// unanswered: each answer that renews a lease carries them.
func (s *Shard) stopsFirst(heartbeat *agent.Heartbeat, commands []agent.Command) []agent.Command {
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

// cancelled tells whether a job is cancelled, as its record shows or as was acknowledged.
func (s *Shard) cancelled(jobID string) bool {
	job := s.state.Jobs[jobID]
	return job != nil && job.Record != nil && job.Record.State == jobs.Cancelled || s.cancellations.Cancelled(jobID)
}

// isNewHeartbeat tells whether a heartbeat is newer than all that came here of a machine
// with a record. An old one that comes late, once the machine has another owner, doesn't
// tell that the machine can't reach that one.
func (s *Shard) isNewHeartbeat(heartbeat *agent.Heartbeat) bool {
	mark := heartbeatMark{heartbeat.AgentEpoch, heartbeat.HeartbeatSeq}
	last := s.newestHeartbeats[heartbeat.Machine]
	if s.state.Machines[heartbeat.Machine] == nil || slices.Compare(mark[:], last[:]) <= 0 {
		return false
	}
	s.newestHeartbeats[heartbeat.Machine] = mark
	return true
}

// limitCommands cuts commands to what one message may carry; the next carries the rest.
func limitCommands(commands []agent.Command) []agent.Command {
	if len(commands) > tuning.MaxCommands {
		return commands[:tuning.MaxCommands]
	}
	return commands
}

// misdirected is the answer to a heartbeat that the owner should get; "" if none is known.
func misdirected(owner string) http1.Reply {
	if owner == "" {
		return http1.Reply{Status: statusMisdirected, Body: []byte("{}")}
	}
	body := jobs.Encode(map[string]string{"reports_to": owner})
	return http1.Reply{Status: statusMisdirected, Body: body}
}
