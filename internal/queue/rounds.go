package queue

import (
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// What finds no room keeps its turn: its team's limit is charged for it, so that later work
// does not take what it is about to use. Where its zone has no room for long, that left the
// team's other jobs waiting beside free machines (meet-place-turn,
// docs/incidents/turn-kept.md): once a job has found no room for tuning.RoundFor, what has
// room now goes first. It loses nothing by that but the limit, and is first in the queue
// for what comes free of it.

// rounds are the turns kept in one pass.
type schedulingRounds struct {
	expired   []round             // kept for longer than TurnFor
	overLimit []*clusterstate.Job // did not fit their team's limit
	second    bool                // the passed ones are looked at once more
}

// round is a job's, of so many tasks.
type round struct {
	job       *clusterstate.Job
	taskCount int
}

// lacksRoom notes that a job finds no room, and tells whether it has found none for long.
func (q *Queue) lacksCapacity(job *clusterstate.Job) bool {
	since, known := q.noCapacitySince[job.ID]
	if !known {
		since = q.state.Now
		q.noCapacitySince[job.ID] = since
	}
	return q.state.Now.Sub(since) > tuning.RoundFor
}

// runRounds looks once more at what did not fit its team's limit beside the turns that
// were kept for long. What finds no room now either keeps nothing and asks for no machine.
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
