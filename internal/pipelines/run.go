package pipelines

// RunState is the state of a run.
type RunState string

// States of a run. A run that is being cancelled starts no more steps.
const (
	RunLive       RunState = "running"
	RunCancelling RunState = "cancelling"
	RunSucceeded  RunState = "succeeded"
	RunFailed     RunState = "failed"
	RunCancelled  RunState = "cancelled"
)

// Ended reports whether the run has ended.
func (s RunState) Ended() bool { return s == RunSucceeded || s == RunFailed || s == RunCancelled }

// RunEvent is an event of a run.
type RunEvent string

// Events of a run.
const (
	CancelRun   RunEvent = "cancel"
	AllEnded    RunEvent = "all steps ended"
	AllEndedBad RunEvent = "all steps ended, one badly"
)

// NextRun applies an event to a run and reports whether its state changed. It is the only place
// where a run changes state.
func NextRun(s RunState, e RunEvent) (RunState, bool) {
	switch {
	case s == RunLive && e == CancelRun:
		return RunCancelling, true
	case s == RunLive && e == AllEnded:
		return RunSucceeded, true
	case s == RunLive && e == AllEndedBad:
		return RunFailed, true
	case s == RunCancelling && (e == AllEnded || e == AllEndedBad):
		return RunCancelled, true
	}
	return s, false
}
