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

// Cause is the cause of a step's present state, or of its last repeat.
type Cause string

// Causes, in the words that users get; records hold their numbers.
const (
	NoCause      Cause = ""
	WhenFalse    Cause = "its condition did not hold"
	WhenBroken   Cause = "its condition could not be evaluated"
	TimedOut     Cause = "not done within timeout_s"
	InDoubt      Cause = "failed on every machine for doubt_s"
	JobAborted   Cause = "its job was cancelled by itself"
	RunAborted   Cause = "the run was cancelled"
	NeverRuns    Cause = "its job can never run under the present limits"
	JobIDTaken   Cause = "another job has its job's uid"
	JobForgotten Cause = "its job is in no record"
)

// StepRun is a step's part of a run's record.
type StepRun struct {
	State  StepState
	Repeat int // job under way, or the last one, counted from 0
	Cause  Cause
	// Times of day in ms, 0 for not yet.
	AcceptedMs     int64 // when its present job was accepted
	EndMs          int64 // when it ended
	DoubtedSinceMs int64 // since when its job fails everywhere
}

// StepEvent is what can happen to a step.
type StepEvent struct {
	Kind    StepEventKind
	Cause   Cause
	NowMs   int64
	Repeats int // times that it may be retried
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

// NextStep is the one place where a step changes state; false if the event changes
// nothing. A step that ended never changes again, and a job is submitted only from
// Ready: so no step ever has two live jobs.
func NextStep(s StepRun, e StepEvent) (StepRun, bool) {
	switch e.Kind {
	case NeedsMet, NeedsUnmet:
		return s.afterNeeds(e)
	case Submit, Refuse:
		return s.afterSubmission(e)
	case Start, Doubt, Trust:
		return s.afterObservation(e)
	case JobDone, JobEnded, Closed:
		return s.afterJobEnd(e)
	case GiveUp:
		return s.afterGivingUp(e)
	case Abort:
		return s.afterAbort(e)
	}
	return s, false
}

// jobLive tells whether the step's job is under way and not being cancelled.
func (s StepRun) jobLive() bool { return s.State == Submitted || s.State == Running }

// ended is the step as it ends now.
func (s StepRun) ended(state StepState, why Cause, e StepEvent) (StepRun, bool) {
	s.State = state
	s.Cause = why
	s.EndMs = e.NowMs
	s.DoubtedSinceMs = 0
	return s, true
}

// afterNeeds is for a waiting step once all that it needs has ended.
func (s StepRun) afterNeeds(e StepEvent) (StepRun, bool) {
	if s.State != Waiting {
		return s, false
	}
	if e.Kind == NeedsUnmet {
		return s.ended(Skipped, e.Cause, e)
	}
	s.State = Ready
	return s, true
}

// afterSubmission is for a ready step whose job was accepted or can't be.
func (s StepRun) afterSubmission(e StepEvent) (StepRun, bool) {
	if s.State != Ready {
		return s, false
	}
	if e.Kind == Refuse {
		return s.ended(Failed, e.Cause, e)
	}
	s.State = Submitted
	s.AcceptedMs = e.NowMs
	s.DoubtedSinceMs = 0
	return s, true
}

// afterObservation notes what is seen of a live job.
func (s StepRun) afterObservation(e StepEvent) (StepRun, bool) {
	switch {
	case e.Kind == Start && s.State == Submitted:
		s.State = Running
	case e.Kind == Doubt && s.jobLive() && s.DoubtedSinceMs == 0:
		s.DoubtedSinceMs = e.NowMs
	case e.Kind == Trust && s.jobLive() && s.DoubtedSinceMs != 0:
		s.DoubtedSinceMs = 0
	default:
		return s, false
	}
	return s, true
}

// afterJobEnd is for a step whose job ended, by itself or since it was cancelled.
func (s StepRun) afterJobEnd(e StepEvent) (StepRun, bool) {
	switch {
	case e.Kind == JobDone && s.State.HasJob():
		return s.ended(Succeeded, NoCause, e)
	case e.Kind == JobEnded && s.jobLive():
		// Whoever cancelled it did not want it repeated.
		return s.ended(Cancelled, JobAborted, e)
	case e.Kind != JobDone && s.State == Cancelling:
		return s.ended(Cancelled, RunAborted, e)
	}
	return s, false
}

// afterGivingUp is for a live job that failed or took too long: it is repeated as
// often as the file allows.
func (s StepRun) afterGivingUp(e StepEvent) (StepRun, bool) {
	if !s.jobLive() {
		return s, false
	}
	if s.Repeat >= e.Repeats {
		return s.ended(Failed, e.Cause, e)
	}
	s.State = Ready
	s.Repeat++
	s.Cause = e.Cause
	s.AcceptedMs = 0
	s.DoubtedSinceMs = 0
	return s, true
}

// afterAbort is for a step of a run that is cancelled.
func (s StepRun) afterAbort(e StepEvent) (StepRun, bool) {
	switch {
	case s.State == Waiting || s.State == Ready:
		return s.ended(Cancelled, RunAborted, e)
	case s.jobLive():
		s.State = Cancelling
		s.Cause = RunAborted
		return s, true
	}
	return s, false
}
