package cancellation

import (
	"encoding/json"
	"time"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// StopRelay brings the stops of what this process has told to the machines of owners that
// have not confirmed it. A worker executes a command under the token that it shows, from
// any controller, and a stop of a cancelled task is safe under every token: it changes
// nothing that its owner decides, who frees the place by the worker's own report.
type StopRelay struct {
	undelivered []pendingStop // oldest first
	attempts    map[string]*relayAttempt
	calls       int
	next        time.Time
}

// pendingStop is a told cancellation that may still need this process's help.
type pendingStop struct {
	jobID          string
	seq            uint64 // of its entry in the log
	acknowledgedAt time.Time
}

// relayAttempt is where the courier stands with one machine.
type relayAttempt struct {
	state relayState
	next  time.Time // not before
}

// relayState names the step of a visit.
type relayState string

// States of a visit.
const (
	resting  relayState = "resting"  // until its time
	showing  relayState = "showing"  // asked for token, session and tasks
	stopping relayState = "stopping" // stops are under way
)

// add enters what was told.
func (c *StopRelay) add(jobID string, seq uint64, now time.Time) {
	c.undelivered = append(c.undelivered, pendingStop{jobID, seq, now})
}

// relayStops looks which machines hold tasks of what was told, whose owners have not confirmed
// it, and visits them.
func (s *Service) relayStops() {
	c := &s.relay
	if len(c.undelivered) == 0 || s.Now.Before(c.next) {
		return
	}
	c.next = s.Now.Add(tuning.StopRelayEvery)
	rest := c.undelivered[:0]
	for _, d := range c.undelivered {
		age := s.Now.Sub(d.acknowledgedAt)
		if age > s.CancelFor {
			continue // by now the leases have ended it
		}
		if !s.confirmedByAll(d.seq) {
			rest = append(rest, d)
			if age >= tuning.StopRelayAfter {
				s.relayToMachines(d)
			}
		}
	}
	clear(c.undelivered[len(rest):])
	c.undelivered = rest
	for machine, v := range c.attempts {
		if v.state == resting && s.Now.Sub(v.next) > s.CancelFor {
			delete(c.attempts, machine)
		}
	}
}

// relayToMachines visits the machines that hold a job's tasks, of owners that have not
// confirmed that it is cancelled.
func (s *Service) relayToMachines(d pendingStop) {
	j := s.Jobs[d.jobID]
	if j == nil {
		return
	}
	for _, t := range j.Active {
		owner := s.OwnerOf(t.Machine)
		if !t.OnMachine() || owner == s.Name || s.confirmed(owner, d.seq) {
			continue
		}
		if m := s.Machines[t.Machine]; m != nil && m.Endpoint != "" {
			s.relayToMachine(t.Machine, m.Endpoint)
		}
	}
}

// relayToMachine asks a machine what it holds, and has it stop what is cancelled.
func (s *Service) relayToMachine(machine, endpoint string) {
	c := &s.relay
	v := c.attempts[machine]
	if v == nil {
		if c.attempts == nil {
			c.attempts = map[string]*relayAttempt{}
		}
		v = &relayAttempt{state: resting}
		c.attempts[machine] = v
	}
	if v.state != resting || s.Now.Before(v.next) || c.calls >= tuning.MaxStopRelayCalls {
		return
	}
	v.state = showing
	rest := func(pause time.Duration) { v.state, v.next = resting, s.Now.Add(pause) }
	c.calls++
	s.Call(endpoint, "GET", "/show", nil, tuning.CommandTimeout, func(status int, answer []byte, err error) {
		c.calls--
		var r agent.Heartbeat
		if err != nil || status != 200 || json.Unmarshal(answer, &r) != nil || r.Machine != machine {
			rest(tuning.StopRelayRetry)
			return
		}
		orders := StopCommands(r.Tasks, func(jobID string) bool { return s.log.known[jobID] || s.Cancelled(jobID) })
		if len(orders) == 0 {
			rest(tuning.StopRelayRetryClean) // a launch may be on its way still
			return
		}
		v.state = stopping
		c.calls++
		s.StopsRelayed += len(orders)
		s.Call(endpoint, "POST", "/commands", agent.EncodeCommands(r.FencingToken, r.AgentEpoch, orders), tuning.CommandTimeout, func(int, []byte, error) {
			c.calls--
			rest(tuning.StopRelayRetry)
		})
	})
}

// StopCommands is a stop at once for each reported task that is not ended and whose job is
// cancelled.
func StopCommands(pieces []agent.TaskStatus, cancelled func(jobID string) bool) []agent.Command {
	var out []agent.Command
	for _, p := range pieces {
		if p.Status == agent.Ended || len(out) >= tuning.MaxCommands {
			continue
		}
		if jobID, _, ok := jobs.SplitTaskID(p.TaskID); ok && cancelled(jobID) {
			zero := 0.0
			out = append(out, agent.Command{Verb: agent.Stop, TaskID: p.TaskID, Attempt: p.Attempt, GracePeriodS: &zero})
		}
	}
	return out
}
