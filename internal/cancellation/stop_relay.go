package cancellation

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// StopRelay sends stop commands for the cancellations that this process has acknowledged to machines whose owners have
// not confirmed them. A worker executes a command that carries its current fencing token, whichever controller sends
// it, and stopping a cancelled task is safe under every token: it changes nothing that the owner decides, and the
// owner frees the task's machine by the worker's own heartbeat.
type StopRelay struct {
	undelivered []pendingStop            // oldest first
	attempts    map[string]*relayAttempt // by machine
	calls       int                      // under way
	nextScan    time.Time                // not before
}

// pendingStop is an acknowledged cancellation whose tasks this process may still have to stop.
type pendingStop struct {
	jobID          string
	seq            uint64 // of its entry in the log
	acknowledgedAt time.Time
}

// relayAttempt is how far the stop commands for one machine are.
type relayAttempt struct {
	state   relayState
	retryAt time.Time // not before
}

// relayState is the step of an attempt.
type relayState uint8

const (
	relayIdle     relayState = iota // until its retry time
	relayQuerying                   // asked the machine for its token, epoch and tasks
	relayStopping                   // stop commands are under way
)

// add enters a cancellation that was acknowledged now.
func (r *StopRelay) add(jobID string, seq uint64, now time.Time) {
	r.undelivered = append(r.undelivered, pendingStop{jobID, seq, now})
}

// attempt returns the attempt for a machine, a new idle one if there is none.
func (r *StopRelay) attempt(machine string) *relayAttempt {
	attempt := r.attempts[machine]
	if attempt == nil {
		if r.attempts == nil {
			r.attempts = map[string]*relayAttempt{}
		}
		attempt = &relayAttempt{state: relayIdle}
		r.attempts[machine] = attempt
	}
	return attempt
}

// relayStops finds the machines that hold tasks of acknowledged cancellations which their owners have not confirmed,
// and stops the tasks.
func (s *Service) relayStops() {
	r, now := &s.relay, s.state.Now
	if len(r.undelivered) == 0 || now.Before(r.nextScan) {
		return
	}
	r.nextScan = now.Add(tuning.StopRelayEvery)
	rest := r.undelivered[:0]
	for _, stop := range r.undelivered {
		age := now.Sub(stop.acknowledgedAt)
		if age > s.config.CancelWithin {
			continue // by now lease expiry has ended its tasks
		}
		if !s.confirmedByAll(stop.seq) {
			rest = append(rest, stop)
			if age >= tuning.StopRelayAfter {
				s.relayToMachines(stop)
			}
		}
	}
	clear(r.undelivered[len(rest):])
	r.undelivered = rest
	for machine, attempt := range r.attempts {
		if attempt.state == relayIdle && now.Sub(attempt.retryAt) > s.config.CancelWithin {
			delete(r.attempts, machine)
		}
	}
}

// relayToMachines begins attempts for the machines that hold tasks of a job, of owners that have not confirmed its
// cancellation.
func (s *Service) relayToMachines(stop pendingStop) {
	job := s.state.Jobs[stop.jobID]
	if job == nil {
		return
	}
	for _, task := range job.Active {
		owner := s.shards.OwnerOf(task.Machine)
		if !task.OnMachine() || owner == s.config.Name || s.confirmed(owner, stop.seq) {
			continue
		}
		if m := s.state.Machines[task.Machine]; m != nil && m.Endpoint != "" {
			s.relayToMachine(task.Machine, m.Endpoint)
		}
	}
}

// relayToMachine asks a machine which tasks it holds, and commands it to stop those that are cancelled.
func (s *Service) relayToMachine(machine, endpoint string) {
	r := &s.relay
	attempt := r.attempt(machine)
	if attempt.state != relayIdle || s.state.Now.Before(attempt.retryAt) || r.calls >= tuning.MaxStopRelayCalls {
		return
	}
	attempt.state = relayQuerying
	r.calls++
	onAnswer := func(status int, answer []byte, err error) {
		r.calls--
		var heartbeat agent.Heartbeat
		if err != nil || status != http.StatusOK || json.Unmarshal(answer, &heartbeat) != nil ||
			heartbeat.Machine != machine {
			s.rest(attempt, tuning.StopRelayRetry)
			return
		}
		s.stopCancelled(attempt, endpoint, &heartbeat)
	}
	s.agents.CallAgent(endpoint, http.MethodGet, "/show", nil, tuning.CommandTimeout, onAnswer)
}

// stopCancelled commands a machine to stop the cancelled tasks of its heartbeat.
func (s *Service) stopCancelled(attempt *relayAttempt, endpoint string, heartbeat *agent.Heartbeat) {
	commands := StopCommands(heartbeat.Tasks, func(jobID string) bool {
		return s.log.known[jobID] || s.Cancelled(jobID)
	})
	if len(commands) == 0 {
		s.rest(attempt, tuning.StopRelayRetryClean) // a launch by the owner may still be under way
		return
	}
	attempt.state = relayStopping
	s.relay.calls++
	s.StopsRelayed += len(commands)
	body := agent.EncodeCommands(heartbeat.FencingToken, heartbeat.AgentEpoch, commands)
	onAnswer := func(int, []byte, error) {
		s.relay.calls--
		s.rest(attempt, tuning.StopRelayRetry)
	}
	s.agents.CallAgent(endpoint, http.MethodPost, "/commands", body, tuning.CommandTimeout, onAnswer)
}

// rest ends an attempt; the machine is not called again during the pause.
func (s *Service) rest(attempt *relayAttempt, pause time.Duration) {
	attempt.state, attempt.retryAt = relayIdle, s.state.Now.Add(pause)
}

// StopCommands returns a stop command without grace period for each reported task that has not ended and whose job is
// cancelled, at most tuning.MaxCommands.
func StopCommands(tasks []agent.TaskStatus, cancelled func(jobID string) bool) []agent.Command {
	var commands []agent.Command
	for _, task := range tasks {
		if task.Status == agent.Ended || len(commands) >= tuning.MaxCommands {
			continue
		}
		if jobID, _, ok := jobs.SplitTaskID(task.TaskID); ok && cancelled(jobID) {
			gracePeriodS := 0.0
			commands = append(commands, agent.Command{
				Verb:         agent.Stop,
				TaskID:       task.TaskID,
				Attempt:      task.Attempt,
				GracePeriodS: &gracePeriodS,
			})
		}
	}
	return commands
}
