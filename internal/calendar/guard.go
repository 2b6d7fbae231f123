package calendar

import (
	"slices"
	"strings"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
)

// Guard drops the decisions that would start tasks outside their window, and makes decisions that
// start tasks in an open window conditional on the window's still being open. All decisions of this
// controller pass through Guard, whichever component made them.
func (s *Service) Guard(decisions []decide.Decision) []decide.Decision {
	if s == nil {
		return decisions
	}
	guard := guard{service: s, now: s.now(), results: map[quota.Key]gateResult{}}
	admitted := make([]decide.Decision, 0, len(decisions))
	for _, decision := range decisions {
		keys, ok := guard.check(&decision)
		if !ok {
			decision.Drop()
			continue
		}
		if len(keys) > 0 {
			decision.ReadSet = append(slices.Clone(decision.ReadSet), keys...)
		}
		admitted = append(admitted, decision)
	}
	return admitted
}

// guard checks a batch of decisions at one point in time, and caches the verdicts.
type guard struct {
	service *Service
	now     Now
	results map[quota.Key]gateResult
}

// gateResult is the result of Keeper.Gate for a class.
type gateResult struct {
	verdict Verdict
	keys    []string
}

// check reports whether a decision is allowed, and returns the keys that this depends on.
func (g *guard) check(decision *decide.Decision) ([]string, bool) {
	allowed := true
	var keys []string
	for _, job := range g.jobsStarting(decision) {
		result := g.gate(job.Record.Spec.QuotaKey())
		allowed = allowed && (result.verdict == Free || result.verdict == Allowed)
		for _, key := range result.keys {
			if !slices.Contains(keys, key) {
				keys = append(keys, key)
			}
		}
	}
	return keys, allowed
}

// gate returns the cached result for a class, or computes it.
func (g *guard) gate(class quota.Key) gateResult {
	result, cached := g.results[class]
	if !cached {
		result.verdict, result.keys = g.service.keeper.Gate(g.now, class)
		g.results[class] = result
	}
	return result
}

// jobsStarting returns the jobs of which a decision starts an attempt: by a task change, by a batch
// entry or by a new task range. A job may be listed more than once.
func (g *guard) jobsStarting(decision *decide.Decision) []*clusterstate.Job {
	var starting []*clusterstate.Job
	add := func(job *clusterstate.Job) {
		if job != nil && job.Record != nil {
			starting = append(starting, job)
		}
	}
	jobsByID := g.service.state.Jobs
	for _, change := range decision.Changes {
		newState := change.Next.State != change.Task.State
		newAttempt := change.Next.Attempt != change.Task.Attempt
		if !isReleasedOrPlaced(&change.Next) || !newState && !newAttempt {
			continue
		}
		add(change.Task.Job)
	}
	for _, batch := range decision.BatchEntries {
		if isReleasedOrPlaced(&batch.Entry.Task) {
			add(jobsByID[batch.Entry.JobID])
		}
	}
	for _, write := range decision.Writes {
		jobID, _, isRange := jobs.SplitTaskID(strings.TrimPrefix(write.Put, jobs.TaskPrefix))
		if isRange {
			add(jobsByID[jobID])
		}
	}
	return starting
}

// isReleasedOrPlaced reports whether a task is released to a controller or placed on a machine.
func isReleasedOrPlaced(task *jobs.Task) bool {
	return task.State == jobs.Assigned || task.State == jobs.Placed
}
