package pipelines

// groupOutcome returns the combined outcome of a group's steps, or false while one has not ended. A
// failure that the file allows (allow_failure) counts as success.
func groupOutcome(p *Plan, group int, steps []StepRun) (outcome, bool) {
	out, skippedSteps := succeeded, 0
	for _, i := range p.Groups[group].Steps {
		switch s := steps[i]; {
		case !s.State.Ended():
			return "", false
		case s.State == Failed && !p.Steps[i].AllowFailure:
			out = failed
		case s.State == Cancelled && out != failed:
			out = cancelled
		case s.State == Skipped:
			skippedSteps++
		}
	}
	if out == succeeded && skippedSteps > 0 && skippedSteps == len(p.Groups[group].Steps) {
		out = skipped
	}
	return out, true
}

// advanceSteps makes waiting steps ready, or skips them, once all steps that they depend on have
// ended. It reports whether a step changed. Groups are in topological order, so one pass handles
// whole chains of skipped steps.
func advanceSteps(p *Plan, steps []StepRun, nowMs int64) (changed bool) {
	outcomes := make([]outcome, len(p.Groups)) // "" for a group that has not ended
	for g := range p.Groups {
		if f, met := factsOf(p, g, outcomes); met {
			for _, i := range p.Groups[g].Steps {
				changed = evaluateWaiting(&p.Steps[i], &steps[i], f, nowMs) || changed
			}
		}
		outcomes[g], _ = groupOutcome(p, g, steps)
	}
	return changed
}

// factsOf returns the inputs of a group's conditions, or false while a group that it depends on has
// not ended.
func factsOf(p *Plan, group int, outcomes []outcome) (facts, bool) {
	f := facts{success: true, outcomes: map[string]outcome{}}
	for _, need := range p.Groups[group].Needs {
		if outcomes[need] == "" {
			return facts{}, false
		}
		f.success = f.success && outcomes[need] == succeeded
	}
	for _, ancestor := range p.Groups[group].Ancestors {
		f.outcomes[p.Groups[ancestor].Name] = outcomes[ancestor]
		f.failure = f.failure || outcomes[ancestor] == failed
	}
	return f, true
}

// evaluateWaiting makes a waiting step ready if its condition holds, and skips it otherwise. It
// reports whether the step changed.
func evaluateWaiting(step *Step, run *StepRun, f facts, nowMs int64) (changed bool) {
	if run.State != Waiting {
		return false
	}
	f.matrix = step.Matrix
	e := StepEvent{Kind: NeedsUnmet, Cause: WhenFalse, NowMs: nowMs}
	if ok, err := step.When.holds(f); err != nil {
		e.Cause = WhenBroken
	} else if ok {
		e.Kind = NeedsMet
	}
	next, changed := NextStep(*run, e)
	*run = next
	return changed
}

// runStateAfter returns a run's final state if all its steps have ended, else the unchanged state.
func runStateAfter(p *Plan, state RunState, steps []StepRun) RunState {
	event := AllEnded
	for i, s := range steps {
		if !s.State.Ended() {
			return state
		}
		if s.State == Cancelled || s.State == Failed && !p.Steps[i].AllowFailure {
			event = AllEndedBad
		}
	}
	next, _ := NextRun(state, event)
	return next
}
