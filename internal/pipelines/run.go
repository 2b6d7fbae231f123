package pipelines

// RunState is the state of a run.
type RunState string

// States of a run. A run that is being cancelled starts nothing any more.
const (
	RunLive       RunState = "running"
	RunCancelling RunState = "cancelling"
	RunSucceeded  RunState = "succeeded"
	RunFailed     RunState = "failed"
	RunCancelled  RunState = "cancelled"
)

// Over tells whether a run has ended.
func (s RunState) Over() bool { return s == RunSucceeded || s == RunFailed || s == RunCancelled }

// RunEvent is what can happen to a run.
type RunEvent string

// Events of a run.
const (
	CancelRun   RunEvent = "cancel"
	AllEnded    RunEvent = "all steps ended"
	AllEndedBad RunEvent = "all steps ended, one badly"
)

// NextRun is the one place where a run changes state.
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
