package cancellation

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// StopRelay sends stop commands for the cancellations that this process has acknowledged to
// machines whose owners have not confirmed them. A worker executes any command with its current
// fencing token, whichever controller sends it. Stopping a cancelled task is safe under every
// token: it overrides no decision of the owner, and the owner frees the task's machine only when
// the worker's own heartbeat shows that the task has ended.
type StopRelay struct {
	undelivered []pendingStop            // oldest first
	attempts    map[string]*relayAttempt // by machine
	calls       int                      // in flight
	nextScan    time.Time                // earliest time of the next scan
}

// pendingStop is an acknowledged cancellation whose tasks this process may still have to stop.
type pendingStop struct {
	jobID          string
	seq            uint64 // of its entry in the log
	acknowledgedAt time.Time
}

// relayAttempt is the state of the stop commands for one machine.
type relayAttempt struct {
	state   relayState
	retryAt time.Time // earliest time of the next attempt
}

// relayState is the state of a relayAttempt.
type relayState uint8

const (
	relayIdle     relayState = iota // no call is in flight; the machine may be called again at retryAt
	relayQuerying                   // querying the machine for its fencing token, epoch and tasks
	relayStopping                   // stop commands are in flight
)

// add adds a cancellation that is being acknowledged now.
func (r *StopRelay) add(jobID string, seq uint64, now time.Time) {
	r.undelivered = append(r.undelivered, pendingStop{jobID, seq, now})
}

// attempt returns the attempt for a machine, creating an idle one if there is none.
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

// relayStops finds the machines with tasks of acknowledged cancellations that their owners have not
// confirmed, and stops these tasks.
func (s *Service) relayStops() {
	r, now := &s.relay, s.state.Now
	if len(r.undelivered) == 0 || now.Before(r.nextScan) {
		return
	}
	r.nextScan = now.Add(tuning.StopRelayEvery)
	remaining := r.undelivered[:0]
	for _, stop := range r.undelivered {
		age := now.Sub(stop.acknowledgedAt)
		if age > s.config.CancelWithin {
			continue // its tasks have ended by lease expiry
		}
		if !s.confirmedByAll(stop.seq) {
			remaining = append(remaining, stop)
			if age >= tuning.StopRelayAfter {
				s.relayToMachines(stop)
			}
		}
	}
	clear(r.undelivered[len(remaining):])
	r.undelivered = remaining
	for machine, attempt := range r.attempts {
		if attempt.state == relayIdle && now.Sub(attempt.retryAt) > s.config.CancelWithin {
			delete(r.attempts, machine)
		}
	}
}

// relayToMachines begins attempts for the machines with tasks of a job whose owners have not
// confirmed its cancellation, in the order of the tasks.
func (s *Service) relayToMachines(stop pendingStop) {
	job := s.state.Jobs[stop.jobID]
	if job == nil {
		return
	}
	for _, index := range slices.Sorted(maps.Keys(job.Active)) {
		task := job.Active[index]
		owner := s.shards.OwnerOf(task.Machine)
		if !task.OnMachine() || owner == s.config.Name || s.confirmed(owner, stop.seq) {
			continue
		}
		if m := s.state.Machines[task.Machine]; m != nil && m.Endpoint != "" {
			s.relayToMachine(task.Machine, m.Endpoint)
		}
	}
}

// relayToMachine queries a machine for its tasks and commands it to stop those that are cancelled.
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
			s.finishAttempt(attempt, tuning.StopRelayRetry)
			return
		}
		s.stopCancelled(attempt, endpoint, &heartbeat)
	}
	s.agents.CallAgent(endpoint, http.MethodGet, "/show", nil, tuning.CommandTimeout, onAnswer)
}

// stopCancelled sends stop commands for the cancelled tasks in the heartbeat of a machine.
func (s *Service) stopCancelled(attempt *relayAttempt, endpoint string, heartbeat *agent.Heartbeat) {
	commands := StopCommands(heartbeat.Tasks, func(jobID string) bool {
		return s.log.known[jobID] || s.Cancelled(jobID)
	})
	if len(commands) == 0 {
		s.finishAttempt(attempt, tuning.StopRelayRetryClean) // the owner may still be launching tasks
		return
	}
	attempt.state = relayStopping
	s.relay.calls++
	s.StopsRelayed += len(commands)
	body := agent.EncodeCommands(heartbeat.FencingToken, heartbeat.AgentEpoch, commands)
	onAnswer := func(int, []byte, error) {
		s.relay.calls--
		s.finishAttempt(attempt, tuning.StopRelayRetry)
	}
	s.agents.CallAgent(endpoint, http.MethodPost, "/commands", body, tuning.CommandTimeout, onAnswer)
}

// finishAttempt ends an attempt. The machine is not called again until the pause is over.
func (s *Service) finishAttempt(attempt *relayAttempt, pause time.Duration) {
	attempt.state, attempt.retryAt = relayIdle, s.state.Now.Add(pause)
}

// StopCommands returns stop commands without a grace period for the reported tasks that have not
// ended and whose jobs are cancelled, at most tuning.MaxCommands.
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
