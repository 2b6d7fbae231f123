package queue

import (
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// schedulingRounds is what the second round of a cycle needs to know of the first.
//
// A job that finds no room is charged to its team's limit all the same, so that later work does not
// take what it is about to use. Where its zone has no room for long, that left the team's other
// jobs waiting beside free machines (scenario meet-place-turn, docs/incidents/turn-kept.md): once a
// job has found no room for tuning.RoundFor, what has room now goes first. The job loses nothing by
// that but the limit, and is first in the queue for the capacity that comes free.
type schedulingRounds struct {
	expired   []round             // charges that stood for longer than tuning.RoundFor
	overLimit []*clusterstate.Job // jobs that did not fit their team's limit
	second    bool                // the second round is under way: overLimit is examined once more
}

// round is the charge of a job that found no room, for so many tasks.
type round struct {
	job       *clusterstate.Job
	taskCount int
}

// lacksCapacity notes that a job finds no room, and reports whether it has found none for longer
// than tuning.RoundFor.
func (q *Queue) lacksCapacity(job *clusterstate.Job) bool {
	since, known := q.noCapacitySince[job.ID]
	if !known {
		since = q.state.Now
		q.noCapacitySince[job.ID] = since
	}
	return q.state.Now.Sub(since) > tuning.RoundFor
}

// runRounds examines once more the jobs that did not fit their team's limit beside charges that
// have stood for too long. What finds no room in this second round charges nothing and asks for no
// machine.
func (q *Queue) runRounds(cycle *schedulingCycle, limit int) {
	t := &cycle.rounds
	if len(t.expired) == 0 || len(t.overLimit) == 0 {
		return
	}
	charge := func(sign int) {
		for _, l := range t.expired {
			cycle.account.Charge(l.job.Record.Spec.QuotaKey(), l.job.Record.Spec.Amount(), sign*l.taskCount)
		}
	}
	charge(-1)
	clear(cycle.leavesAtLimit)
	t.second = true
	for _, job := range t.overLimit {
		if limit <= 0 || !q.budget.Allows(cycle.writeCount(), 1) {
			break
		}
		limit -= q.examine(job, cycle, limit)
	}
	charge(1)
}
