package agent

// Verdict says what a session knows of a recorded attempt.
type Verdict string

// Verdicts on an attempt that is recorded on the machine.
const (
	Unclear     Verdict = "unclear"   // wait for a heartbeat that carries the token in force
	ToLaunch    Verdict = "to launch" // its launch was never sent
	Sent        Verdict = "sent"      // its launch is under way
	OnMachine   Verdict = "on it"     // reported, not ended
	EndReported Verdict = "over"      // reported ended
	Missing     Verdict = "missing"   // was sent or recorded, and is not on the machine
)

// Judge tells where a recorded attempt stands. The reported status is returned with OnIt
// and Over, and with Unclear if another attempt of the task is still on the machine.
func (s *Session) Judge(taskID string, attempt uint64) (Verdict, TaskStatus) {
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

// reported finds an attempt in the newest heartbeat.
func (s *Session) reported(taskID string, attempt uint64) (TaskStatus, bool) {
	for _, status := range s.Tasks[taskID] {
		if status.Attempt == attempt {
			return status, true
		}
	}
	return TaskStatus{}, false
}

// ForgetTask drops what is noted of an attempt, and of earlier ones, once its end has been
// committed.
func (s *Session) ForgetTask(taskID string, attempt uint64) {
	if sent, ok := s.launched[taskID]; ok && sent.attempt <= attempt {
		delete(s.launched, taskID)
	}
	if missing, ok := s.missing[taskID]; ok && missing <= attempt {
		delete(s.missing, taskID)
	}
}
