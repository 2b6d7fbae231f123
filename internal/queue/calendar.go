package queue

import (
	"github.com/harrierreel/harrierreel/internal/calendar"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
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
	for _, taskID := range q.kept {
		q.Unreserve(taskID)
	}
	q.kept = nil
}

// prepare keeps room for a job whose window is about to open, and counts what finds
// none as waiting, so that machines are rented for it. Nothing is stopped for it yet.
// It returns how many tasks it looked at.
func (q *Queue) prepare(j *clusterstate.Job, p *cycle, most int) int {
	spec := &j.Record.Spec
	leaf := q.QuotaLeaf(spec)
	waits := func(t *clusterstate.Task, entitled, count int) {
		if count > 0 {
			p.account.Charge(spec.QuotaKey(), spec.Amount(), count)
			q.Waiting = append(
				q.Waiting,
				&Waiting{Task: t, Count: count, Priority: spec.PriorityOrder(), Entitled: entitled, WindowOpensSoon: true},
			)
		}
	}
	if spec.IsGang() {
		all := q.pending(j, spec.TaskCount)
		if len(all) < spec.TaskCount || !p.account.Allows(leaf, spec.Amount(), spec.TaskCount) {
			return 1
		}
		entitled := p.account.Entitled(leaf, spec.Amount(), spec.TaskCount)
		offers, _ := q.fitGang(all, p)
		if offers == nil {
			waits(all[0], entitled, spec.TaskCount)
			return 1
		}
		p.account.Charge(spec.QuotaKey(), spec.Amount(), spec.TaskCount)
		for _, o := range offers {
			q.reserveFor(o.t, o.machine)
		}
		return 1
	}
	tasks := q.pending(j, min(most, q.unstarted(j)))
	if len(tasks) == 0 {
		return 1
	}
	zones := q.TasksByZone(j)
	cands := p.candidates(q, &clusterstate.Task{Job: j})
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
		q.reserveFor(t, c.Machine)
		p.account.Charge(spec.QuotaKey(), spec.Amount(), 1)
		c.Free = c.Free.Sub(spec.Resources())
		zones[c.Zone]++
	}
	return len(tasks)
}

// reserveFor books room for a task until the next look, under a name of its own: the task
// is under no transaction.
func (q *Queue) reserveFor(t *clusterstate.Task, machine string) {
	kept := &clusterstate.Task{Task: t.Task, ID: calendar.Kept + t.ID, Index: t.Index, Job: t.Job}
	q.Reserve(kept, machine, q.Machines[machine].Zone)
	q.kept = append(q.kept, kept.ID)
}
