package queue

import (
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// schedulingRounds is the state that the first round of a cycle passes to the second.
//
// A job that finds no capacity is still charged to its team's limit, so that jobs further back in
// the queue do not use the quota that it is about to need. When a zone had no capacity for a long
// time, these charges kept the team's other jobs waiting although there were free machines for them
// (scenario meet-place-turn, docs/incidents/turn-kept.md). Therefore, once a job has found no
// capacity for tuning.UnplacedChargeTimeout, the second round examines the jobs that were over the
// limit again, without its charge. The waiting job loses only the quota charged for it, and keeps
// its position in the queue for capacity that becomes free.
type schedulingRounds struct {
	expired       []unplacedCharge    // charges older than tuning.UnplacedChargeTimeout
	overLimit     []*clusterstate.Job // jobs that would have exceeded their team's limit
	inSecondRound bool                // the second round is running: overLimit is examined again
}

// unplacedCharge is the quota charge of a job that found no capacity, for the given number of
// tasks.
type unplacedCharge struct {
	job       *clusterstate.Job
	taskCount int
}

// noteNoCapacity records that a job finds no capacity, and reports whether it has found none for
// longer than tuning.UnplacedChargeTimeout.
func (q *Queue) noteNoCapacity(job *clusterstate.Job) bool {
	since, known := q.noCapacitySince[job.ID]
	if !known {
		since = q.state.Now
		q.noCapacitySince[job.ID] = since
	}
	return q.state.Now.Sub(since) > tuning.UnplacedChargeTimeout
}

// runSecondRound examines the jobs that would have exceeded their team's limit again, without the
// expired charges. A job that finds no capacity in this second round is not
// charged, and no machine is requested for it.
func (q *Queue) runSecondRound(cycle *schedulingCycle, limit int) {
	rounds := &cycle.rounds
	if len(rounds.expired) == 0 || len(rounds.overLimit) == 0 {
		return
	}
	charge := func(sign int) {
		for _, unplaced := range rounds.expired {
			cycle.account.Charge(unplaced.job.Record.Spec.QuotaKey(), unplaced.job.Record.Spec.Amount(), sign*unplaced.taskCount)
		}
	}
	charge(-1)
	clear(cycle.quotaLeavesAtLimit)
	rounds.inSecondRound = true
	for _, job := range rounds.overLimit {
		if limit <= 0 || !q.budget.Allows(cycle.writeCount(), 1) {
			break
		}
		limit -= q.examine(job, cycle, limit)
	}
	charge(1)
}
