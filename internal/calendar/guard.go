package calendar

import (
	"slices"
	"strings"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
)

// Guard drops the decisions by which tasks would begin whose window is not open, and makes the
// others conditional on its being open. Every decision of this controller comes through here,
// so none can be forgotten.
func (s *Service) Guard(decisions []decide.Decision) []decide.Decision {
	if s == nil {
		return decisions
	}
	guard := guard{service: s, now: s.now(), results: map[quota.Key]gateResult{}}
	admitted := make([]decide.Decision, 0, len(decisions))
	for _, decision := range decisions {
		keys, ok := guard.judge(&decision)
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

// guard judges the decisions of one moment.
type guard struct {
	service *Service
	now     Now
	results map[quota.Key]gateResult
}

// gateResult is what the gate says of a class.
type gateResult struct {
	verdict Verdict
	keys    []string
}

// judge tells whether a decision may be taken, and the keys that this depends on.
func (g *guard) judge(decision *decide.Decision) ([]string, bool) {
	allowed := true
	var keys []string
	for _, job := range g.jobsThatBegin(decision) {
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

// gate judges a class, once in a moment.
func (g *guard) gate(class quota.Key) gateResult {
	result, known := g.results[class]
	if !known {
		result.verdict, result.keys = g.service.keeper.Gate(g.now, class)
		g.results[class] = result
	}
	return result
}

// jobsThatBegin lists the jobs of which an attempt begins by a decision, in whatever way it does:
// by a change of a task, by an entry of a batch or by a new task range. A job may be listed
// more than once.
func (g *guard) jobsThatBegin(decision *decide.Decision) []*clusterstate.Job {
	var begin []*clusterstate.Job
	add := func(job *clusterstate.Job) {
		if job != nil && job.Record != nil {
			begin = append(begin, job)
		}
	}
	known := g.service.state.Jobs
	for _, change := range decision.Changes {
		newState := change.Next.State != change.Task.State
		newAttempt := change.Next.Attempt != change.Task.Attempt
		if !holdsMachine(&change.Next) || !newState && !newAttempt {
			continue
		}
		add(change.Task.Job)
	}
	for _, batch := range decision.BatchEntries {
		if holdsMachine(&batch.Entry.Task) {
			add(known[batch.Entry.JobID])
		}
	}
	for _, write := range decision.Writes {
		jobID, _, isRange := jobs.SplitTaskID(strings.TrimPrefix(write.Put, jobs.TaskPrefix))
		if isRange {
			add(known[jobID])
		}
	}
	return begin
}

// holdsMachine tells whether a task is released or placed.
func holdsMachine(task *jobs.Task) bool {
	return task.State == jobs.Assigned || task.State == jobs.Placed
}
