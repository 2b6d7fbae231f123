package pipelines

// StepState is the state of a step.
type StepState string

// States of a step.
const (
	Waiting    StepState = "waiting"   // some step that it depends on has not ended
	Ready      StepState = "ready"     // its job can be submitted
	Submitted  StepState = "submitted" // its job has been accepted
	Running    StepState = "running"   // tasks of its job were seen on machines
	Succeeded  StepState = "succeeded"
	Failed     StepState = "failed"
	Skipped    StepState = "skipped" // its condition did not hold
	Cancelling StepState = "cancelling"
	Cancelled  StepState = "cancelled"
)

// Ended reports whether the step has ended.
func (s StepState) Ended() bool {
	return s == Succeeded || s == Failed || s == Skipped || s == Cancelled
}

// HasJob reports whether a job of the step may be live.
func (s StepState) HasJob() bool { return s == Submitted || s == Running || s == Cancelling }

// Cause is the cause of a step's current state or of its last retry.
type Cause string

// Causes. Users see these texts; records contain the causes' numbers.
const (
	NoCause     Cause = ""
	WhenFalse   Cause = "its condition did not hold"
	WhenBroken  Cause = "its condition could not be evaluated"
	TimedOut    Cause = "not done within timeout_s"
	InDoubt     Cause = "failed on every machine for doubt_s"
	JobAborted  Cause = "its job was cancelled by itself"
	RunAborted  Cause = "the run was cancelled"
	NeverRuns   Cause = "its job can never run under the present limits"
	JobIDTaken  Cause = "another job has its job's uid"
	JobNotFound Cause = "its job is in no record"
)

// StepRun is the state of a step in a run's record.
type StepRun struct {
	State   StepState
	Attempt int // number of the current or last attempt, counted from 0
	Cause   Cause
	// Wall-clock times in Unix ms, 0 if not set.
	AcceptedMs     int64 // when its current job was accepted
	EndMs          int64 // when the step ended
	DoubtedSinceMs int64 // since when its job has been failing on every machine
}

// StepEvent is an event of a step.
type StepEvent struct {
	Kind       StepEventKind
	Cause      Cause
	NowMs      int64
	MaxRetries int // maximum number of retries
}

// StepEventKind is the kind of a StepEvent.
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
	GiveUp     StepEventKind = "job given up" // and cancelled by the same change
	Abort      StepEventKind = "run cancelled"
	Closed     StepEventKind = "job cancelled for the run"
)

// NextStep applies an event to a step and reports whether the step changed. It is the only place
// where a step changes state. A step that has ended never changes again, and a job is submitted
// only from Ready, so no step ever has two live jobs.
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

// jobLive reports whether the step's job is live and not being cancelled.
func (s StepRun) jobLive() bool { return s.State == Submitted || s.State == Running }

// ended returns the step in the given final state.
func (s StepRun) ended(state StepState, cause Cause, e StepEvent) (StepRun, bool) {
	s.State = state
	s.Cause = cause
	s.EndMs = e.NowMs
	s.DoubtedSinceMs = 0
	return s, true
}

// afterNeeds handles a waiting step once all steps that it depends on have ended.
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

// afterSubmission handles a ready step whose job was submitted or can't be submitted.
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

// afterObservation handles an observation of a live job.
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

// afterJobEnd handles a step whose job is done or was cancelled.
func (s StepRun) afterJobEnd(e StepEvent) (StepRun, bool) {
	switch {
	case e.Kind == JobDone && s.State.HasJob():
		return s.ended(Succeeded, NoCause, e)
	case e.Kind == JobEnded && s.jobLive():
		// The job was cancelled on purpose, so it is not retried.
		return s.ended(Cancelled, JobAborted, e)
	case e.Kind != JobDone && s.State == Cancelling:
		return s.ended(Cancelled, RunAborted, e)
	}
	return s, false
}

// afterGivingUp handles a live job that failed or took too long: it is retried as often as the file
// allows.
func (s StepRun) afterGivingUp(e StepEvent) (StepRun, bool) {
	if !s.jobLive() {
		return s, false
	}
	if s.Attempt >= e.MaxRetries {
		return s.ended(Failed, e.Cause, e)
	}
	s.State = Ready
	s.Attempt++
	s.Cause = e.Cause
	s.AcceptedMs = 0
	s.DoubtedSinceMs = 0
	return s, true
}

// afterAbort handles a step of a run that is cancelled.
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
