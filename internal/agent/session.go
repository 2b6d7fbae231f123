// Package agent is the conversation with one worker: its reports, the
// baton, and which of its tasks are known to be on it.
package agent

import (
	"cmp"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
)

// FencingTokenSpan is the room for a machine's counter below the view's epoch.
const FencingTokenSpan = 1 << 20

// Task states and causes as workers report them.
const (
	Ended   = "ended"
	Running = "running"
	Pulling = "pulling"
	Waiting = "waiting"
	Saving  = "saving"

	CauseDone   = "done"
	CauseError  = "error"
	CauseNoRoom = "no_room"
	CauseInUse  = "in_use"
	CauseNoSuch = "no_such"
)

// TaskStatus is a task in a report.
type TaskStatus struct {
	TaskID       string `json:"piece"`
	Attempt      uint64 `json:"try"`
	Status       string `json:"status"`
	Cause        string `json:"cause,omitempty"`
	Checkpointed bool   `json:"saved,omitempty"`
}

// Heartbeat is what a worker says of itself.
type Heartbeat struct {
	Machine           string       `json:"host"`
	Endpoint          string       `json:"endpoint"`
	MachineType       string       `json:"build"`
	Zone              string       `json:"site"`
	Spot              bool         `json:"loaner"`
	AgentEpoch        uint64       `json:"tenure"`
	HeartbeatSeq      uint64       `json:"tick"`
	FencingToken      uint64       `json:"baton"`
	PreemptionNoticeS *float64     `json:"warning_s"`
	Tasks             []TaskStatus `json:"pieces"`
}

// Command is a command.
type Command struct {
	Verb         string   `json:"verb"`
	TaskID       string   `json:"piece"`
	Attempt      uint64   `json:"try"`
	GracePeriodS *float64 `json:"wind_down_s,omitempty"`
}

// Verbs of orders.
const (
	Launch = "launch"
	Stop   = "stop"
	Forget = "reap"
)

// EncodeCommands is the body of a direct command under a fencing token, for one session of the
// worker.
func EncodeCommands(token, session uint64, orders []Command) []byte {
	return jobs.Encode(struct {
		Baton  uint64    `json:"baton"`
		Tenure uint64    `json:"tenure"`
		Orders []Command `json:"orders"`
	}{token, session, orders})
}

// State is the state of a session.
type State string

// States of a session. Only in Known do reports count as the truth about the
// machine's tasks.
const (
	Unseen State = "unseen" // the worker has not shown our baton yet
	Known  State = "known"  // the last report carried our baton
)

// Session is the owner's state for one machine.
type Session struct {
	Machine, Endpoint, MachineType, Zone string
	Spot                                 bool
	State                                State
	Epoch                                uint64 // view epoch that the baton is made of
	Counter                              uint64
	AgentEpoch, HeartbeatSeq             uint64
	Tasks                                map[string][]TaskStatus // newest try first
	PreemptionNoticeS                    *float64
	PreemptionNoticeAt                   time.Time

	LastStatus       time.Time // newest report by beat or command
	LastHeartbeat    time.Time // newest report by beat: an answered command renews no lease
	LastCall         time.Time // last direct command sent
	HigherTokenSince time.Time // since when it shows a later baton than ours, zero if it doesn't
	CommandPending   bool      // a direct command is under way
	FailedCalls      int
	Connected        bool // it has answered a direct command, so it was there under this owner

	// launched holds the tries whose launch was sent under this baton; one
	// that a later report lacks has been on the machine and is gone.
	launched map[string]launch
	// missing holds tasks that were recorded on the machine when it became
	// known without reporting them: their tries are over.
	missing map[string]uint64
}

type launch struct {
	attempt uint64
	busy    bool // the command carrying it is unanswered
}

// NewSession starts a session for a machine under a view epoch.
func NewSession(machine string, epoch uint64, now time.Time) *Session {
	s := &Session{Machine: machine, Tasks: map[string][]TaskStatus{}, LastStatus: now, LastHeartbeat: now}
	s.restart(epoch, 0)
	return s
}

// FencingToken is the token in force.
func (s *Session) FencingToken() uint64 { return s.Epoch*FencingTokenSpan + s.Counter }

// restart is the one place where a session loses its standing: a new epoch or
// a raised counter means that the worker must show the new baton first.
func (s *Session) restart(epoch, counter uint64) {
	s.Epoch, s.Counter = epoch, counter
	s.State = Unseen
	s.launched = map[string]launch{}
	s.missing = map[string]uint64{}
}

// NewEpoch moves the session to a later view. What was ahead of the former one is compared
// anew: a controller that was out of the view for longer than a lease would otherwise take
// machines that others spoke to meanwhile for ones that nobody can speak to.
func (s *Session) NewEpoch(epoch uint64) {
	if epoch > s.Epoch {
		s.HigherTokenSince = time.Time{}
		s.restart(epoch, 0)
	}
}

// ObserveToken takes note of the highest baton that the worker has seen.
func (s *Session) ObserveToken(fencingToken uint64, now time.Time) {
	switch {
	case fencingToken <= s.FencingToken():
		s.HigherTokenSince = time.Time{}
	case s.HigherTokenSince.IsZero():
		s.HigherTokenSince = now
	}
}

// IsNewer tells whether a report is newer than all seen so far.
func (s *Session) IsNewer(r *Heartbeat) bool {
	return r.AgentEpoch > s.AgentEpoch || (r.AgentEpoch == s.AgentEpoch && r.HeartbeatSeq > s.HeartbeatSeq)
}

// Accept enters a report. placed names the tasks recorded on the machine with
// their tries; it is asked for when the machine becomes known. Accept returns
// false when the report is old and changes nothing.
func (s *Session) Accept(r *Heartbeat, now time.Time, placed map[string]uint64) bool {
	if !s.IsNewer(r) {
		return false
	}
	if r.AgentEpoch > s.AgentEpoch && s.AgentEpoch != 0 && s.State == Known {
		// The lease ran out: the worker killed and forgot everything,
		// including tries whose launch is still on its way (the session no
		// longer matches).
		for p, l := range s.launched {
			s.missing[p] = l.attempt
		}
		for p, attempt := range placed {
			s.missing[p] = attempt
		}
	}
	s.ObserveToken(r.FencingToken, now)
	s.AgentEpoch, s.HeartbeatSeq = r.AgentEpoch, r.HeartbeatSeq
	s.LastStatus = now
	s.Endpoint, s.MachineType, s.Zone, s.Spot = r.Endpoint, r.MachineType, r.Zone, r.Spot
	if r.PreemptionNoticeS != nil && s.PreemptionNoticeS == nil {
		s.PreemptionNoticeAt = now
	}
	s.PreemptionNoticeS = r.PreemptionNoticeS
	// A report lists each attempt until it is reaped: an ended one may stand beside the
	// next one of the same task, in any order.
	s.Tasks = make(map[string][]TaskStatus, len(r.Tasks))
	for _, p := range r.Tasks {
		s.Tasks[p.TaskID] = append(s.Tasks[p.TaskID], p)
	}
	for _, ps := range s.Tasks {
		slices.SortStableFunc(ps, func(a, b TaskStatus) int { return cmp.Compare(b.Attempt, a.Attempt) })
	}
	if r.FencingToken == s.FencingToken() && s.State == Unseen {
		s.State = Known
		for p, attempt := range placed {
			if _, ok := s.reported(p, attempt); !ok {
				s.missing[p] = attempt
			}
		}
	}
	return true
}

// CommandSent notes that a launch goes out in a direct command.
func (s *Session) CommandSent(orders []Command, now time.Time) {
	s.CommandPending, s.LastCall = true, now
	for _, o := range orders {
		if o.Verb == Launch {
			s.launched[o.TaskID] = launch{o.Attempt, true}
		}
	}
}

// CommandAnswered notes that the direct command was executed.
func (s *Session) CommandAnswered() {
	s.CommandPending, s.FailedCalls, s.Connected = false, 0, true
	for p, l := range s.launched {
		l.busy = false
		s.launched[p] = l
	}
}

// CommandRefused notes a 409: nothing was executed. The session starts again under the
// same baton and believes the next report that carries it.
func (s *Session) CommandRefused() {
	s.CommandPending, s.FailedCalls, s.Connected = false, 0, true
	s.restart(s.Epoch, s.Counter)
}

// CommandUnanswered notes that a direct command got no answer. It may still be
// executed, or even come back much later, as long as its token is the highest:
// so the counter goes up before the machine's reports are believed again.
func (s *Session) CommandUnanswered() {
	s.CommandPending = false
	s.FailedCalls++
	if s.Counter+1 >= FencingTokenSpan {
		return // the next view makes room again
	}
	s.restart(s.Epoch, s.Counter+1)
}

// Stalled discounts time in which the owner did not run: a machine is not
// silent for that. The notice that the cloud gave runs on all the same.
func (s *Session) Stalled(gap time.Duration) {
	s.LastStatus, s.LastHeartbeat, s.LastCall = s.LastStatus.Add(gap), s.LastHeartbeat.Add(gap), s.LastCall.Add(gap)
	if s.PreemptionNoticeS != nil {
		left := *s.PreemptionNoticeS - gap.Seconds()
		s.PreemptionNoticeS = &left
	}
}

// Verdict says what a session knows of a recorded try.
type Verdict string

// Verdicts on a task recorded on the machine.
const (
	Unclear  Verdict = "unclear"   // wait for a report under our baton
	ToLaunch Verdict = "to launch" // never sent
	Sent     Verdict = "sent"      // launch under way
	OnIt     Verdict = "on it"     // reported, not ended
	Over     Verdict = "over"      // reported ended
	Missing  Verdict = "missing"   // was sent or recorded, and is not there
)

// Judge tells where a recorded try stands. The reported piece is returned for
// OnIt and Over.
func (s *Session) Judge(taskID string, attempt uint64) (Verdict, TaskStatus) {
	if s.State != Known {
		return Unclear, TaskStatus{}
	}
	if lost, ok := s.missing[taskID]; ok && lost == attempt {
		return Missing, TaskStatus{}
	}
	if p, ok := s.reported(taskID, attempt); ok {
		if p.Status == Ended {
			return Over, p
		}
		return OnIt, p
	}
	l, sent := s.launched[taskID]
	switch {
	case sent && l.attempt == attempt && l.busy:
		return Sent, TaskStatus{}
	case sent && l.attempt == attempt:
		return Missing, TaskStatus{}
	}
	for _, p := range s.Tasks[taskID] {
		if p.Status != Ended {
			return Unclear, p // another try is still on the machine
		}
	}
	return ToLaunch, TaskStatus{}
}

// reported finds an attempt in the newest report.
func (s *Session) reported(taskID string, attempt uint64) (TaskStatus, bool) {
	for _, p := range s.Tasks[taskID] {
		if p.Attempt == attempt {
			return p, true
		}
	}
	return TaskStatus{}, false
}

// ForgetTask drops the notes on a try whose end has been committed.
func (s *Session) ForgetTask(taskID string, attempt uint64) {
	if l, ok := s.launched[taskID]; ok && l.attempt <= attempt {
		delete(s.launched, taskID)
	}
	if t, ok := s.missing[taskID]; ok && t <= attempt {
		delete(s.missing, taskID)
	}
}
