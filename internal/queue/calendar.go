package queue

import (
	"github.com/harrierreel/harrierreel/internal/book"
	"github.com/harrierreel/harrierreel/internal/calendar"
	"github.com/harrierreel/harrierreel/internal/jobs"
)

// gate tells whether a job's work may begin by the calendar.
func (q *Queue) gate(spec *jobs.Spec) calendar.Verdict {
	if q.Gate == nil {
		return calendar.Free
	}
	return q.Gate(spec)
}

// MayBegin tells whether a job's work may begin now by the calendar.
func (q *Queue) MayBegin(spec *jobs.Spec) bool {
	v := q.gate(spec)
	return v == calendar.Free || v == calendar.Allowed
}

// letGo gives back the room kept for windows that are about to open: each look at the
// queue keeps it anew.
func (q *Queue) letGo() {
	for _, piece := range q.kept {
		q.Unreserve(piece)
	}
	q.kept = nil
}

// prepare keeps room for a job whose window is about to open, and counts what finds
// none as waiting, so that machines are rented for it. Nothing is stopped for it yet.
// It returns how many tasks it looked at.
func (q *Queue) prepare(j *book.Job, p *pass, most int) int {
	spec := &j.Rec.Spec
	leaf := q.Leaf(spec)
	waits := func(t *book.Task, entitled, count int) {
		if count > 0 {
			p.account.Charge(spec.Key(), spec.Amount(), count)
			q.Waiting = append(q.Waiting, &Waiting{Task: t, Count: count, Rank: spec.RankOrder(), Entitled: entitled, Soon: true})
		}
	}
	if spec.Gang() {
		all := q.pending(j, spec.Pieces)
		if len(all) < spec.Pieces || !p.account.Allows(leaf, spec.Amount(), spec.Pieces) {
			return 1
		}
		entitled := p.account.Entitled(leaf, spec.Amount(), spec.Pieces)
		offers, _ := q.fitGang(all, p)
		if offers == nil {
			waits(all[0], entitled, spec.Pieces)
			return 1
		}
		p.account.Charge(spec.Key(), spec.Amount(), spec.Pieces)
		for _, o := range offers {
			q.keepFor(o.t, o.host)
		}
		return 1
	}
	tasks := q.pending(j, min(most, q.unstarted(j)))
	if len(tasks) == 0 {
		return 1
	}
	zones := q.Zones(j)
	cands := p.board(q, &book.Task{Job: j})
	for i, t := range tasks {
		if !p.account.Allows(leaf, spec.Amount(), 1) {
			return i + 1
		}
		k := q.pickFor(t, cands, zones)
		if k < 0 {
			waits(t, p.account.Entitled(leaf, spec.Amount(), 1), p.account.More(leaf, spec.Amount(), q.unstarted(j)-i))
			return i + 1
		}
		c := &cands[k]
		q.keepFor(t, c.Host)
		p.account.Charge(spec.Key(), spec.Amount(), 1)
		c.Free = c.Free.Sub(spec.Need())
		zones[c.Site]++
	}
	return len(tasks)
}

// keepFor books room for a task until the next look, under a name of its own: the task
// is under no transaction.
func (q *Queue) keepFor(t *book.Task, host string) {
	kept := &book.Task{Task: t.Task, Piece: calendar.Kept + t.Piece, N: t.N, Job: t.Job}
	q.Reserve(kept, host, q.Machines[host].Site)
	q.kept = append(q.kept, kept.Piece)
}
