package agent

// AttemptState is what a session knows about an attempt that is recorded on its machine.
type AttemptState string

// States of a recorded attempt.
const (
	Unclear     AttemptState = "unclear"   // not known until a heartbeat carries the current token
	ToLaunch    AttemptState = "to launch" // its launch was never sent
	Sent        AttemptState = "sent"      // its launch is in flight
	OnMachine   AttemptState = "on it"     // reported and not ended
	EndReported AttemptState = "over"      // reported as ended
	Missing     AttemptState = "missing"   // was launched or recorded, but is not on the machine
)

// AttemptState returns the state of a recorded attempt. With OnMachine and EndReported it also
// returns the attempt's reported status, and with Unclear that of another attempt of the task if
// one is still on the machine.
func (s *Session) AttemptState(taskID string, attempt uint64) (AttemptState, TaskStatus) {
	if s.State != Known {
		return Unclear, TaskStatus{}
	}
	if missing, ok := s.missing[taskID]; ok && missing == attempt {
		return Missing, TaskStatus{}
	}
	if status, ok := s.reported(taskID, attempt); ok {
		if status.Status == Ended {
			return EndReported, status
		}
		return OnMachine, status
	}
	sent, ok := s.launched[taskID]
	switch {
	case ok && sent.attempt == attempt && sent.pending:
		return Sent, TaskStatus{}
	case ok && sent.attempt == attempt:
		return Missing, TaskStatus{}
	}
	for _, status := range s.Tasks[taskID] {
		if status.Status != Ended {
			return Unclear, status // another attempt is still on the machine
		}
	}
	return ToLaunch, TaskStatus{}
}

// reported returns the status of an attempt in the newest heartbeat, and whether it is listed
// there.
func (s *Session) reported(taskID string, attempt uint64) (TaskStatus, bool) {
	for _, status := range s.Tasks[taskID] {
		if status.Attempt == attempt {
			return status, true
		}
	}
	return TaskStatus{}, false
}

// ForgetTask forgets an attempt, and earlier ones of the same task, once its end has been
// committed.
func (s *Session) ForgetTask(taskID string, attempt uint64) {
	if sent, ok := s.launched[taskID]; ok && sent.attempt <= attempt {
		delete(s.launched, taskID)
	}
	if missing, ok := s.missing[taskID]; ok && missing <= attempt {
		delete(s.missing, taskID)
	}
}
