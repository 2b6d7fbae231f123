package queue

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/book"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/preempt"
	"github.com/harrierreel/harrierreel/internal/reclaim"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// making is room being made for a task by stopping others.
type making struct {
	until  time.Time // not again before
	cached bool      // on a machine that holds its image
}

// lowerRuns tells whether any task of a lower rank is on a machine.
func (q *Queue) lowerRuns(rank int) bool {
	for _, count := range q.OnRank[rank+1:] {
		if count > 0 {
			return true
		}
	}
	return false
}

// preempt makes room for waiting tasks by stopping tasks of lower rank, and for
// those inside their team's guarantee also by stopping what other teams run
// beyond theirs. One machine at a time is cleared for a task, and not again for
// a while.
func (q *Queue) preempt(p *pass) {
	for _, w := range q.Waiting {
		spec := &w.Task.Job.Rec.Spec
		if !w.within() && !q.lowerRuns(w.Rank) || spec.Gang() || w.Soon {
			continue
		}
		for _, t := range w.Tasks {
			if _, asked := p.lent.of[t.Piece]; !asked && !q.Now.Before(q.preempted[t.Piece].until) {
				q.stopFor(&Waiting{Task: t, Rank: w.Rank, Entitled: w.Entitled}, false, p)
			}
		}
	}
	for piece, m := range q.preempted {
		if q.Now.After(m.until) {
			delete(q.preempted, piece)
		}
	}
	for uid, h := range q.holds {
		if q.Now.Sub(h.at) > tuning.HoldAgain {
			delete(q.holds, uid)
		}
	}
}

// stopFor stops tasks to make room for a waiting one. It tells whether it did.
func (q *Queue) stopFor(w *Waiting, onlyCached bool, p *pass) bool {
	if q.loans != nil && w.Task.Job.Rec.Spec.Shape == jobs.Standing {
		if !onlyCached && q.lend(w, false, 0, p) {
			return true
		}
		if !q.loans.ByRank {
			return false
		}
	}
	if p.searches >= tuning.MostSearches {
		return false
	}
	p.searches++
	var ds []decide.Decision
	victims := preempt.Victims(q.Book, preempt.Search{Task: w.Task, Rank: w.Rank, Entitled: w.Entitled, Account: p.account, Zones: q.Zones(w.Task.Job), OnlyCached: onlyCached,
		Open: func(m *book.Machine) bool { return q.offers(w.Task, m) }, Busy: q.Busy, Stopping: p.stopping})
	for _, v := range victims {
		if next, ok := jobs.NextTask(v.Task, jobs.TaskEvent{Kind: jobs.Stop, Why: "makes room for " + w.Task.Piece}); ok {
			ds = append(ds, decide.Decision{Changes: decide.Become(v, next)})
			p.stopping[v] = true
		}
	}
	if len(ds) > 0 {
		q.preempted[w.Task.Piece] = making{q.Now.Add(tuning.PreemptAgain), onlyCached}
	}
	p.ds = append(p.ds, ds...)
	return len(ds) > 0
}

// clearCached tells whether a task should wait a moment for room on a machine
// that holds its image rather than go to one that would have to fetch it: when
// the fetch would take it past its aim, and it may stop others there.
func (q *Queue) clearCached(w *Waiting, host string, p *pass) bool {
	rec := w.Task.Job.Rec
	if q.loans != nil && rec.Spec.Shape == jobs.Standing && q.lendCached(w, host, p) {
		p.keep(q, host, rec.Spec.Need())
		return true
	}
	if (w.Rank > 1 && !w.within()) || q.Cached(host, rec.Spec.Bundle) {
		return false
	}
	rate := q.Builds[q.Machines[host].Build].PullRate
	aim := q.startAim(rec, w.within())
	if rate <= 0 || aim < q.Ms() || q.Ms()+int64(rec.Spec.PullGB/rate*1000) <= aim {
		return false
	}
	if m := q.preempted[w.Task.Piece]; q.Now.Before(m.until) {
		// Room is being made; if it does not come at once, go elsewhere. What
		// has been found already is kept meanwhile: others would take it.
		if !m.cached || m.until.Sub(q.Now) < tuning.PreemptAgain-tuning.ClearWait {
			return false
		}
		p.keep(q, host, rec.Spec.Need())
		return true
	}
	if !q.stopFor(w, true, p) {
		return false
	}
	p.keep(q, host, rec.Spec.Need())
	return true
}

// giveBack stops what others borrowed, where that alone keeps a job out of what it is
// guaranteed: in a tree the limit that it meets may be one that it shares.
func (q *Queue) giveBack(j *book.Job, p *pass) {
	spec := &j.Rec.Spec
	entitled := p.account.Entitled(q.Leaf(spec), spec.Amount(), 1)
	if entitled < 0 || !p.account.Tree().Shaped() || q.Now.Before(q.preempted[j.UID].until) {
		return
	}
	count := 0
	for try := p.account.Clone(); count < min(q.unstarted(j), tuning.GiveBackEach) && try.Entitled(q.Leaf(spec), spec.Amount(), 1) >= 0; count++ {
		try.Charge(spec.Key(), spec.Amount(), 1)
	}
	for _, s := range reclaim.For(q.Book, p.account, entitled, spec, count) {
		if next, ok := jobs.Withdraw(s.Task.Task, "gives back of "+s.Path+" what "+j.UID+" is guaranteed"); ok && !p.stopping[s.Task] && !q.Busy(s.Task.Slice.Key) {
			p.ds = append(p.ds, decide.Decision{Changes: decide.Become(s.Task, next)})
			p.stopping[s.Task] = true
			q.preempted[j.UID] = making{until: q.Now.Add(tuning.ReclaimEvery)}
		}
	}
}
