package pipelines

// groupOutcome sums up the steps of a group; false while one has not ended.
// A failure that the file allows counts as success.
func groupOutcome(p *Plan, g int, steps []StepRun) (outcome, bool) {
	out, skips := succeeded, 0
	for _, i := range p.Groups[g].Steps {
		switch s := steps[i]; {
		case !s.State.Over():
			return "", false
		case s.State == Failed && !p.Steps[i].AllowFailure:
			out = failed
		case s.State == Cancelled && out != failed:
			out = cancelled
		case s.State == Skipped:
			skips++
		}
	}
	if out == succeeded && skips > 0 && skips == len(p.Groups[g].Steps) {
		out = skipped
	}
	return out, true
}

// unfold moves the steps on as far as what has ended allows: those whose needs
// have all ended become ready or are skipped. Groups stand in order, so that one
// look settles whole chains of skipped steps.
func unfold(p *Plan, steps []StepRun, nowMs int64) (changed bool) {
	outcomes := make([]outcome, len(p.Groups))
	for g := range p.Groups {
		f := facts{success: true, outcomes: map[string]outcome{}}
		met := true
		for _, need := range p.Groups[g].Needs {
			met = met && outcomes[need] != ""
			f.success = f.success && outcomes[need] == succeeded
		}
		if met {
			for _, a := range p.Groups[g].Ancestors {
				f.outcomes[p.Groups[a].Name] = outcomes[a]
				f.failure = f.failure || outcomes[a] == failed
			}
			for _, i := range p.Groups[g].Steps {
				if steps[i].State != Waiting {
					continue
				}
				f.matrix = p.Steps[i].Matrix
				e := StepEvent{Kind: NeedsUnmet, Why: WhenFalse, NowMs: nowMs}
				if ok, err := p.Steps[i].When.holds(f); err != nil {
					e.Why = WhenBroken
				} else if ok {
					e.Kind = NeedsMet
				}
				if next, ok := NextStep(steps[i], e); ok {
					steps[i], changed = next, true
				}
			}
		}
		outcomes[g], _ = groupOutcome(p, g, steps)
	}
	return changed
}

// conclude is a run's state once its steps have ended.
func conclude(p *Plan, state RunState, steps []StepRun) RunState {
	e := AllEnded
	for i, s := range steps {
		if !s.State.Over() {
			return state
		}
		if s.State == Cancelled || s.State == Failed && !p.Steps[i].AllowFailure {
			e = AllEndedBad
		}
	}
	next, _ := NextRun(state, e)
	return next
}
