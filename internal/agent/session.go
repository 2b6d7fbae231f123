// Package agent is the conversation with one worker's agent: its heartbeats with status,
// the fencing token, the commands, and which attempts of tasks are known to be on the
// machine. It has no IO and no clock.
package agent

import (
	"cmp"
	"slices"
	"time"
)

// FencingTokenSpan is how many values a session's counter has below the view's epoch: a
// fencing token is epoch*FencingTokenSpan + counter.
const FencingTokenSpan = 1 << 20

// State is the state of a session.
type State string

// States of a session. Only in Known do heartbeats count as the truth about the machine's
// tasks.
const (
	Unseen State = "unseen" // the worker has not shown the token in force yet
	Known  State = "known"  // a heartbeat has carried the token in force
)

// Session is what the controller that owns a machine keeps of the conversation with its
// agent. Its token only ever goes up; after each raise the session is Unseen until the
// worker has shown the new token.
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
	// Tasks are the attempts of the newest heartbeat by task, the highest attempt first.
	Tasks map[string][]TaskStatus

	// PreemptionNoticeS is the time, in seconds from LastStatus, after which the cloud
	// takes the machine; nil without a notice.
	PreemptionNoticeS  *float64
	PreemptionNoticeAt time.Time // when the notice was first seen

	LastStatus    time.Time // newest status, by heartbeat or as the answer to a command
	LastHeartbeat time.Time // newest heartbeat: an answered command renews no lease
	LastCall      time.Time // last direct command sent
	// HigherTokenSince is since when the worker shows a token above the one in force; zero
	// if it doesn't.
	HigherTokenSince time.Time
	CommandPending   bool // a direct command is unanswered
	FailedCalls      int  // direct commands without an answer, in a row
	Connected        bool // it has answered a direct command, so it was there under this owner

	// launched holds the attempts whose launch was sent under the token in force, by task;
	// one that a later heartbeat lacks has been on the machine and is gone.
	launched map[string]sentLaunch
	// missing holds the attempts that were recorded on the machine when it became known
	// without reporting them, by task: they are over.
	missing map[string]uint64
}

// sentLaunch is a launch that went out in a direct command.
type sentLaunch struct {
	attempt uint64
	pending bool // the command is unanswered
}

// NewSession starts a session with a machine's agent under a view's epoch.
func NewSession(machine string, epoch uint64, now time.Time) *Session {
	s := &Session{
		Machine:       machine,
		Tasks:         map[string][]TaskStatus{},
		LastStatus:    now,
		LastHeartbeat: now,
	}
	s.restart(epoch, 0)
	return s
}

// FencingToken is the token in force.
func (s *Session) FencingToken() uint64 { return s.Epoch*FencingTokenSpan + s.Counter }

// restart is the one place where a session ceases to be Known: a new epoch or a raised
// counter means that the worker must show the new token first.
func (s *Session) restart(epoch, counter uint64) {
	s.Epoch, s.Counter = epoch, counter
	s.State = Unseen
	s.launched = map[string]sentLaunch{}
	s.missing = map[string]uint64{}
}

// NewEpoch moves the session to a later view; an epoch that is not later changes nothing.
// Whether the worker has seen a higher token is compared anew: a controller that was out
// of the view for longer than a lease would otherwise take machines that others commanded
// meanwhile for ones that nobody can command.
func (s *Session) NewEpoch(epoch uint64) {
	if epoch > s.Epoch {
		s.HigherTokenSince = time.Time{}
		s.restart(epoch, 0)
	}
}

// ObserveToken takes note of the highest token that the worker has seen.
func (s *Session) ObserveToken(fencingToken uint64, now time.Time) {
	switch {
	case fencingToken <= s.FencingToken():
		s.HigherTokenSince = time.Time{}
	case s.HigherTokenSince.IsZero():
		s.HigherTokenSince = now
	}
}

// IsNewer tells whether a heartbeat is newer than all accepted so far.
func (s *Session) IsNewer(heartbeat *Heartbeat) bool {
	if heartbeat.AgentEpoch != s.AgentEpoch {
		return heartbeat.AgentEpoch > s.AgentEpoch
	}
	return heartbeat.HeartbeatSeq > s.HeartbeatSeq
}

// Accept enters a heartbeat. placed names the tasks recorded on the machine with their
// attempts. Accept returns false when the heartbeat is old and changes nothing.
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
	s.Tasks = byTask(heartbeat.Tasks)
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

// leaseExpired notes that the worker's lease expired: it killed and forgot everything,
// including attempts whose launch is still on its way, since the agent epoch that it was
// sent for no longer matches.
func (s *Session) leaseExpired(placed map[string]uint64) {
	for taskID, sent := range s.launched {
		s.missing[taskID] = sent.attempt
	}
	for taskID, attempt := range placed {
		s.missing[taskID] = attempt
	}
}

// byTask sorts the attempts of a heartbeat by task, the highest attempt first. A heartbeat
// lists each attempt until it is told to forget it: an ended one may stand beside the next
// one of the same task, in any order.
func byTask(statuses []TaskStatus) map[string][]TaskStatus {
	tasks := make(map[string][]TaskStatus, len(statuses))
	for _, status := range statuses {
		tasks[status.TaskID] = append(tasks[status.TaskID], status)
	}
	for _, attempts := range tasks {
		slices.SortStableFunc(attempts, func(a, b TaskStatus) int { return cmp.Compare(b.Attempt, a.Attempt) })
	}
	return tasks
}

// CommandSent notes that commands go out in a direct command, and which of them launch.
func (s *Session) CommandSent(commands []Command, now time.Time) {
	s.CommandPending, s.LastCall = true, now
	for _, command := range commands {
		if command.Verb == Launch {
			s.launched[command.TaskID] = sentLaunch{attempt: command.Attempt, pending: true}
		}
	}
}

// CommandAnswered notes that the direct command was executed.
func (s *Session) CommandAnswered() {
	s.CommandPending, s.FailedCalls, s.Connected = false, 0, true
	for taskID, sent := range s.launched {
		sent.pending = false
		s.launched[taskID] = sent
	}
}

// CommandRefused notes that the worker answered 409: nothing was executed. The session
// starts again under the same token and believes the next heartbeat that carries it.
func (s *Session) CommandRefused() {
	s.CommandPending, s.FailedCalls, s.Connected = false, 0, true
	s.restart(s.Epoch, s.Counter)
}

// CommandUnanswered notes that a direct command got no answer. It may still be executed,
// or even arrive much later, as long as its token is the highest: so the counter goes up
// before the machine's heartbeats are believed again.
func (s *Session) CommandUnanswered() {
	s.CommandPending = false
	s.FailedCalls++
	if s.Counter+1 >= FencingTokenSpan {
		return // the next view starts the counter again
	}
	s.restart(s.Epoch, s.Counter+1)
}

// Stalled discounts time in which the owner did not run: the machine was not unresponsive
// in it. The notice that the cloud gave runs on all the same.
func (s *Session) Stalled(gap time.Duration) {
	s.LastStatus = s.LastStatus.Add(gap)
	s.LastHeartbeat = s.LastHeartbeat.Add(gap)
	s.LastCall = s.LastCall.Add(gap)
	if s.PreemptionNoticeS != nil {
		left := *s.PreemptionNoticeS - gap.Seconds()
		s.PreemptionNoticeS = &left
	}
}
