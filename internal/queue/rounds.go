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
type rounds struct {
	long     []round             // kept for longer than TurnFor
	starving []*clusterstate.Job // did not fit their team's limit
	second   bool                // the passed ones are looked at once more
}

// round is a job's, of so many tasks.
type round struct {
	job   *clusterstate.Job
	tasks int
}

// lacksRoom notes that a job finds no room, and tells whether it has found none for long.
func (q *Queue) lacksRoom(j *clusterstate.Job) bool {
	since, known := q.noRoom[j.ID]
	if !known {
		since = q.Now
		q.noRoom[j.ID] = since
	}
	return q.Now.Sub(since) > tuning.RoundFor
}

// runRounds looks once more at what did not fit its team's limit beside the turns that
// were kept for long. What finds no room now either keeps nothing and asks for no machine.
func (q *Queue) runRounds(p *cycle, most int) {
	t := &p.rounds
	if len(t.long) == 0 || len(t.starving) == 0 {
		return
	}
	charge := func(sign int) {
		for _, l := range t.long {
			p.account.Charge(l.job.Record.Spec.QuotaKey(), l.job.Record.Spec.Amount(), sign*l.tasks)
		}
	}
	charge(-1)
	clear(p.full)
	t.second = true
	for _, j := range t.starving {
		if most <= 0 || !q.Allows(p.writes(), 1) {
			break
		}
		most -= q.examine(j, p, most)
	}
	charge(1)
}
