// Package agent implements the controller's side of the protocol with a worker's agent: heartbeats
// with the status of tasks, fencing tokens, commands, and the knowledge of which task attempts are
// on the machine. Commands are sent either in the reply to a heartbeat or in a direct command,
// which is a request from the controller to the agent. The package performs no IO and reads no
// clock.
package agent

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// FencingTokenSpan is the number of values of a session's counter within one epoch of the view: a
// fencing token is epoch*FencingTokenSpan + counter.
const FencingTokenSpan = 1 << 20

// State is the state of a session.
type State string

// States of a session. Heartbeats are authoritative about the machine's tasks only in state Known.
const (
	Unseen State = "unseen" // no heartbeat has carried the current token yet
	Known  State = "known"  // a heartbeat has carried the current token
)

// Session is the state that a machine's owner keeps about the machine's agent. Its fencing token
// never decreases. After each increase the session is Unseen until a heartbeat carries the new
// token, except after one for commands that make the agent forget attempts (see fence.go).
type Session struct {
	// The machine, as its newest heartbeat describes it.
	Machine     string
	Endpoint    string
	MachineType string
	Zone        string
	Spot        bool

	State        State
	Epoch        uint64 // of the view, upper part of the fencing token
	Counter      uint64 // lower part of the fencing token
	AgentEpoch   uint64 // of the newest heartbeat
	HeartbeatSeq uint64 // of the newest heartbeat
	// Tasks holds the attempts that the newest heartbeat lists, by task, the highest attempt first.
	Tasks map[string][]TaskStatus

	// PreemptionNoticeS is the time, in seconds from LastStatus, until the cloud preempts the
	// machine. It is nil without a notice.
	PreemptionNoticeS  *float64
	PreemptionNoticeAt time.Time // when the notice was first seen

	LastStatus    time.Time // of the newest status, from a heartbeat or the answer to a command
	LastHeartbeat time.Time // of the newest heartbeat; answers to commands renew no lease
	LastCall      time.Time // when the last direct command was sent
	// HigherTokenSince is the time since which the worker has shown a token above the current one.
	// It is zero if the worker shows none.
	HigherTokenSince time.Time
	CommandPending   bool // a direct command has not been answered yet
	FailedCalls      int  // consecutive direct commands without an answer
	Connected        bool // the agent has answered a direct command, so the machine existed under this owner

	// launched holds, by task, the attempts whose launch was sent since the session last restarted.
	// An attempt that a later heartbeat does not list was on the machine and has gone.
	launched map[string]sentLaunch
	// launchedUnderToken is set if a launch may have been sent under the current token.
	launchedUnderToken bool
	// missing holds, by task, the attempts that were recorded on the machine but not listed by the
	// heartbeat with which it became known. They have ended.
	missing map[string]uint64
}

// sentLaunch is a launch that was sent in a direct command.
type sentLaunch struct {
	attempt uint64
	pending bool // the command has not been answered yet
}

// NewSession starts a session with a machine's agent under a view's epoch. No former session with the
// machine may have used the counter, or a higher one, in that epoch; an exhausted counter is the exception.
func NewSession(machine string, epoch, counter uint64, now time.Time) *Session {
	s := &Session{
		Machine:       machine,
		Tasks:         map[string][]TaskStatus{},
		LastStatus:    now,
		LastHeartbeat: now,
	}
	s.restart(epoch, min(counter, FencingTokenSpan-1))
	s.launchedUnderToken = counter >= FencingTokenSpan
	return s
}

// FencingToken returns the session's current fencing token.
func (s *Session) FencingToken() uint64 { return s.Epoch*FencingTokenSpan + s.Counter }

// restart makes a session Unseen, under the token of epoch and counter: the worker must show that
// token before its heartbeats are authoritative again. No other function takes a session out of
// state Known.
func (s *Session) restart(epoch, counter uint64) {
	if epoch != s.Epoch || counter != s.Counter {
		s.launchedUnderToken = false
	}
	s.Epoch, s.Counter = epoch, counter
	s.State = Unseen
	s.launched = map[string]sentLaunch{}
	s.missing = map[string]uint64{}
}

// NewEpoch moves the session to a later view. An epoch that is not later changes nothing.
//
// HigherTokenSince is reset: a controller that was outside the view for longer than a lease would
// otherwise conclude that no controller can command the machines that others have commanded in the
// meantime.
func (s *Session) NewEpoch(epoch uint64) {
	if epoch > s.Epoch {
		s.HigherTokenSince = time.Time{}
		s.restart(epoch, 0)
	}
}

// ObserveToken compares the highest token that the worker has seen with the current one and updates
// HigherTokenSince.
func (s *Session) ObserveToken(fencingToken uint64, now time.Time) {
	switch {
	case fencingToken <= s.FencingToken():
		s.HigherTokenSince = time.Time{}
	case s.HigherTokenSince.IsZero():
		s.HigherTokenSince = now
	}
}

// IsNewer reports whether a heartbeat is newer than all accepted so far.
func (s *Session) IsNewer(heartbeat *Heartbeat) bool {
	if heartbeat.AgentEpoch != s.AgentEpoch {
		return heartbeat.AgentEpoch > s.AgentEpoch
	}
	return heartbeat.HeartbeatSeq > s.HeartbeatSeq
}

// Accept applies a heartbeat to the session and reports whether it is newer than all before. An old
// heartbeat changes nothing. The map placed holds the attempts that are recorded on the machine, by
// task.
func (s *Session) Accept(heartbeat *Heartbeat, now time.Time, placed map[string]uint64) bool {
	if !s.IsNewer(heartbeat) {
		return false
	}
	if heartbeat.AgentEpoch > s.AgentEpoch && s.AgentEpoch != 0 && s.State == Known {
		s.leaseExpired(placed)
	}
	s.ObserveToken(heartbeat.FencingToken, now)
	s.AgentEpoch, s.HeartbeatSeq = heartbeat.AgentEpoch, heartbeat.HeartbeatSeq
	s.LastStatus = now
	s.Endpoint = heartbeat.Endpoint
	s.MachineType = heartbeat.MachineType
	s.Zone = heartbeat.Zone
	s.Spot = heartbeat.Spot
	if heartbeat.PreemptionNoticeS != nil && s.PreemptionNoticeS == nil {
		s.PreemptionNoticeAt = now
	}
	s.PreemptionNoticeS = heartbeat.PreemptionNoticeS
	s.Tasks = groupByTask(heartbeat.Tasks)
	if heartbeat.FencingToken == s.FencingToken() && s.State == Unseen {
		s.State = Known
		for taskID, attempt := range placed {
			if _, ok := s.reported(taskID, attempt); !ok {
				s.missing[taskID] = attempt
			}
		}
	}
	return true
}

// leaseExpired marks all attempts as missing after the worker's lease has expired. The worker has
// then killed and forgotten all of them. Attempts whose launch is still in flight are included,
// because that launch was sent for an agent epoch that no longer matches.
func (s *Session) leaseExpired(placed map[string]uint64) {
	for taskID, sent := range s.launched {
		s.missing[taskID] = sent.attempt
	}
	for taskID, attempt := range placed {
		s.missing[taskID] = attempt
	}
}

// groupByTask groups the attempts of a heartbeat by task, the highest attempt first. A heartbeat
// lists an attempt until the worker is told to forget it, so it may list an ended attempt beside
// the next one of the same task, in any order.
func groupByTask(statuses []TaskStatus) map[string][]TaskStatus {
	tasks := make(map[string][]TaskStatus, len(statuses))
	for _, status := range statuses {
		tasks[status.TaskID] = append(tasks[status.TaskID], status)
	}
	for _, attempts := range tasks {
		slices.SortStableFunc(attempts, func(a, b TaskStatus) int { return cmp.Compare(b.Attempt, a.Attempt) })
	}
	return tasks
}

// CommandSent records that a direct command is being sent, and which launches it contains.
func (s *Session) CommandSent(commands []Command, now time.Time) {
	s.CommandPending, s.LastCall = true, now
	for _, command := range commands {
		if command.Verb == Launch {
			s.launched[command.TaskID] = sentLaunch{attempt: command.Attempt, pending: true}
			s.launchedUnderToken = true
		}
	}
}

// CommandAnswered records that the pending direct command was executed.
func (s *Session) CommandAnswered() {
	s.CommandPending, s.FailedCalls, s.Connected = false, 0, true
	for taskID, sent := range s.launched {
		sent.pending = false
		s.launched[taskID] = sent
	}
}

// CommandRefused records that the worker refused the pending direct command with status 409 and
// executed nothing. The session restarts under the same token, and becomes Known again with the
// next heartbeat that carries it.
func (s *Session) CommandRefused() {
	s.CommandPending, s.FailedCalls, s.Connected = false, 0, true
	s.restart(s.Epoch, s.Counter)
}

// CommandNotSent records that the pending direct command was never sent. Its launches can be sent
// again under the same attempts.
func (s *Session) CommandNotSent() {
	s.CommandPending, s.LastCall = false, time.Time{}
	maps.DeleteFunc(s.launched, func(_ string, sent sentLaunch) bool { return sent.pending })
}

// CommandUnanswered records that the pending direct command got no answer. The command may still be
// executed, even much later, as long as the worker has seen no higher token. The counter is
// therefore incremented before the machine's heartbeats are authoritative again.
func (s *Session) CommandUnanswered() {
	s.CommandPending = false
	s.FailedCalls++
	if s.Counter+1 >= FencingTokenSpan {
		return // the counter restarts with the next view
	}
	s.restart(s.Epoch, s.Counter+1)
}

// Stalled discounts a gap during which the owner did not run, since it does not count as silence of
// the machine. The time of a preemption notice continues to run.
func (s *Session) Stalled(gap time.Duration) {
	s.LastStatus = s.LastStatus.Add(gap)
	s.LastHeartbeat = s.LastHeartbeat.Add(gap)
	s.LastCall = s.LastCall.Add(gap)
	if s.PreemptionNoticeS != nil {
		left := *s.PreemptionNoticeS - gap.Seconds()
		s.PreemptionNoticeS = &left
	}
}
