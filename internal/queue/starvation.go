package queue

import (
	"cmp"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// starvation is a job none of whose tasks is under way: after each look for so long there was
// room left for it, and its team was under its limit with it, but both were kept for others.
type starvation struct {
	since            time.Time // zero if none has been left lately
	hadCapacitySince time.Time // when some was left last
	examinedAt       time.Time
}

// serveStarving gives room to jobs that have been passed over for too long. What a look keeps,
// it keeps for as long as those wait that it is kept for: a machine for a task that fits
// nowhere, room for a large gang, what a team has left for a job that needs more, and the
// turn of tasks that have no room themselves. Some of those never come, as only replicas
// stand in their way. So whatever it is kept for, nobody waits for longer than PassedAfter
// for room that stands empty (docs/incidents/passed-over.md).
//
// It comes last in a look: what has just come free has gone to those whose turn it is, and
// what is still there is kept. Jobs that the look did not come to still have their turn.
func (q *Queue) serveStarving(p *cycle, seen map[*clusterstate.Job]bool) {
	for jobID := range q.starving {
		if j := q.Queued[jobID]; j == nil || len(j.Active) > 0 {
			delete(q.starving, jobID)
		}
	}
	p.lift(q)
	now := q.passable(seen)
	for _, j := range now[:min(len(now), tuning.MaxStarvingExamined)] {
		w := q.starving[j.ID]
		w.examinedAt = q.Now
		begin := q.beginning(j, p)
		if begin != nil {
			w.hadCapacitySince = q.Now
		}
		waits := q.Now.Sub(w.since)
		switch {
		case q.Now.Sub(w.hadCapacitySince) > tuning.StarvingGap:
			w.since = time.Time{}
		case w.since.IsZero():
			w.since = q.Now
		case begin != nil && (waits >= tuning.StarvingAfter || waits >= tuning.StarvingCapacityFor && q.Now.Before(q.starvationCheckedAt)) && q.Allows(p.writes(), 1):
			if waits >= tuning.StarvingAfter {
				q.starvationCheckedAt = q.Now.Add(tuning.StarvingEvery)
			}
			q.Log.Debug("was passed over", "job", j.ID, "class", j.Record.Spec.Class, "for_s", q.Now.Sub(w.since).Seconds())
			begin()
		}
		q.starving[j.ID] = w
	}
}

// passable lists the jobs that wait, have nothing under way and were not looked at lately,
// those that were passed over first before others.
func (q *Queue) passable(seen map[*clusterstate.Job]bool) []*clusterstate.Job {
	booked := map[*clusterstate.Job]bool{}
	for _, r := range q.Reservations {
		booked[r.Task.Job] = true
	}
	var out []*clusterstate.Job
	for j := range seen {
		jobID := j.ID
		spec := &j.Record.Spec
		waited := time.Duration(q.NowMs()-j.Record.AcceptedMs) * time.Millisecond
		if q.Queued[jobID] != j || waited < tuning.StarvingMinAge || len(j.Active) > 0 || booked[j] || q.Now.Sub(q.starving[jobID].examinedAt) < tuning.StarvingEvery ||
			!q.MayBegin(spec) || q.Claiming(jobID) ||
			q.Trust(j, "") == jobs.Probing {
			continue
		}
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b *clusterstate.Job) int {
		x, y := q.starving[a.ID], q.starving[b.ID]
		if x.since.IsZero() != y.since.IsZero() {
			if x.since.IsZero() {
				return 1
			}
			return -1
		}
		return cmp.Or(
			x.since.Compare(y.since),
			x.examinedAt.Compare(y.examinedAt),
			cmp.Compare(a.Record.AcceptedMs, b.Record.AcceptedMs),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return out
}

// beginning is what begins a job now: a gang whole, anything else with one task. nil if
// there is no room for that, or its limits do not allow it.
func (q *Queue) beginning(j *clusterstate.Job, p *cycle) func() {
	spec := &j.Record.Spec
	leaf := q.QuotaLeaf(spec)
	if spec.IsGang() {
		all, attempt := q.resting(j)
		if all == nil || !q.Account.Allows(leaf, spec.Amount(), spec.TaskCount) {
			return nil
		}
		offers, whole := q.fitGang(all, p)
		if offers == nil {
			return nil
		}
		return func() { q.beginGang(j, all, offers, whole, attempt, p) }
	}
	tasks := q.pending(j, 1)
	if len(tasks) == 0 || !q.Account.Allows(leaf, spec.Amount(), 1) || p.hopeless(spec, 1) {
		return nil
	}
	cands := p.candidates(q, tasks[0])
	if len(cands) == 0 {
		p.refuse(spec, 1)
	}
	k := q.pickFor(tasks[0], cands, q.TasksByZone(j))
	if k < 0 {
		return nil
	}
	machine := cands[k].Machine
	return func() { p.ds = append(p.ds, q.releasing(j, []placement{{tasks[0], machine}})...) }
}
