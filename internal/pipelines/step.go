package pipelines

// StepState is the state of a step.
type StepState string

// States of a step.
const (
	Waiting    StepState = "waiting"   // for the steps that it needs
	Ready      StepState = "ready"     // its job may be submitted
	Submitted  StepState = "submitted" // its job is accepted
	Running    StepState = "running"   // tasks of its job were seen on machines
	Succeeded  StepState = "succeeded"
	Failed     StepState = "failed"
	Skipped    StepState = "skipped" // its condition did not hold
	Cancelling StepState = "cancelling"
	Cancelled  StepState = "cancelled"
)

// Over tells whether a step has ended.
func (s StepState) Over() bool {
	return s == Succeeded || s == Failed || s == Skipped || s == Cancelled
}

// HasJob tells whether a job of the step may be live.
func (s StepState) HasJob() bool { return s == Submitted || s == Running || s == Cancelling }

// Why is the cause of a step's present state, or of its last repeat.
type Why string

// Causes.
const (
	NoCause      Why = ""
	WhenFalse    Why = "its condition did not hold"
	WhenBroken   Why = "its condition could not be evaluated"
	TimedOut     Why = "not done within timeout_s"
	InDoubt      Why = "failed on every machine for doubt_s"
	JobAborted   Why = "its job was cancelled by itself"
	RunAborted   Why = "the run was cancelled"
	NeverRuns    Why = "its job can never run under the present limits"
	JobIDTaken   Why = "another job has its job's uid"
	JobForgotten Why = "its job is in no record"
)

// StepRun is a step's part of a run's record.
type StepRun struct {
	State  StepState
	Repeat int // job under way, or the last one, counted from 0
	Why    Why
	// Times of day in ms, 0 for not yet: when its present job was accepted, when
	// it ended, and since when its job fails everywhere.
	AtMs, EndMs, DoubtMs int64
}

// StepEvent is what can happen to a step.
type StepEvent struct {
	Kind    StepEventKind
	Why     Why
	NowMs   int64
	Repeats int // times that it may be tried anew
}

// StepEventKind names a step's event.
type StepEventKind string

// Events of a step.
const (
	NeedsMet   StepEventKind = "needs met"
	NeedsUnmet StepEventKind = "condition does not hold"
	Submit     StepEventKind = "job submitted"
	Refuse     StepEventKind = "job can't be submitted"
	Start      StepEventKind = "job seen on machines"
	Doubt      StepEventKind = "job fails everywhere"
	Trust      StepEventKind = "job no longer fails everywhere"
	JobDone    StepEventKind = "job done"
	JobEnded   StepEventKind = "job cancelled by somebody"
	GiveUp     StepEventKind = "job given up" // and cancelled with this change
	Abort      StepEventKind = "run cancelled"
	Closed     StepEventKind = "job cancelled for the run"
)

// NextStep is the one place where a step changes state. A step that ended
// never changes again, and a job is submitted only from ready: so no step ever
// has two live jobs.
func NextStep(s StepRun, e StepEvent) (StepRun, bool) {
	live := s.State == Submitted || s.State == Running
	end := func(state StepState, why Why) (StepRun, bool) {
		s.State, s.Why, s.EndMs, s.DoubtMs = state, why, e.NowMs, 0
		return s, true
	}
	switch e.Kind {
	case NeedsMet:
		if s.State != Waiting {
			return s, false
		}
		s.State = Ready
	case NeedsUnmet:
		if s.State != Waiting {
			return s, false
		}
		return end(Skipped, e.Why)
	case Submit:
		if s.State != Ready {
			return s, false
		}
		s.State, s.AtMs, s.DoubtMs = Submitted, e.NowMs, 0
	case Refuse:
		if s.State != Ready {
			return s, false
		}
		return end(Failed, e.Why)
	case Start:
		if s.State != Submitted {
			return s, false
		}
		s.State = Running
	case Doubt:
		if !live || s.DoubtMs != 0 {
			return s, false
		}
		s.DoubtMs = e.NowMs
	case Trust:
		if !live || s.DoubtMs == 0 {
			return s, false
		}
		s.DoubtMs = 0
	case JobDone:
		if !s.State.HasJob() {
			return s, false
		}
		return end(Succeeded, NoCause)
	case JobEnded:
		switch {
		case live: // whoever cancelled it did not want it repeated
			return end(Cancelled, JobAborted)
		case s.State == Cancelling:
			return end(Cancelled, RunAborted)
		}
		return s, false
	case GiveUp:
		if !live {
			return s, false
		}
		if s.Repeat < e.Repeats {
			s.State, s.Repeat, s.Why, s.DoubtMs, s.AtMs = Ready, s.Repeat+1, e.Why, 0, 0
			return s, true
		}
		return end(Failed, e.Why)
	case Abort:
		switch {
		case s.State == Waiting || s.State == Ready:
			return end(Cancelled, RunAborted)
		case live:
			s.State, s.Why = Cancelling, RunAborted
			return s, true
		}
		return s, false
	case Closed:
		if s.State != Cancelling {
			return s, false
		}
		return end(Cancelled, RunAborted)
	default:
		return s, false
	}
	return s, true
}
