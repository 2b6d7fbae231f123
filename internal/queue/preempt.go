package queue

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/preempt"
	"github.com/harrierreel/harrierreel/internal/quotareclaim"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// making is room being made for a task by stopping others.
type making struct {
	until  time.Time // not again before
	cached bool      // on a machine that holds its image
}

// lowerRuns tells whether any task of a lower rank is on a machine.
func (q *Queue) lowerRuns(priority int) bool {
	for _, count := range q.PlacedByPriority[priority+1:] {
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
func (q *Queue) preempt(p *cycle) {
	for _, w := range q.Waiting {
		spec := &w.Task.Job.Record.Spec
		if !w.within() && !q.lowerRuns(w.Priority) || spec.IsGang() || w.WindowOpensSoon {
			continue
		}
		for _, t := range w.Tasks {
			if _, asked := p.lent.of[t.ID]; !asked && !q.Now.Before(q.preempted[t.ID].until) {
				q.stopFor(&Waiting{Task: t, Priority: w.Priority, Entitled: w.Entitled}, false, p)
			}
		}
	}
	for taskID, m := range q.preempted {
		if q.Now.After(m.until) {
			delete(q.preempted, taskID)
		}
	}
	for jobID, h := range q.holds {
		if q.Now.Sub(h.at) > tuning.HoldAgain {
			delete(q.holds, jobID)
		}
	}
}

// stopFor stops tasks to make room for a waiting one. It tells whether it did.
func (q *Queue) stopFor(w *Waiting, onlyCached bool, p *cycle) bool {
	if q.loans != nil && w.Task.Job.Record.Spec.Kind == jobs.Service {
		if !onlyCached && q.lend(w, false, 0, p) {
			return true
		}
		if !q.loans.ByPriority {
			return false
		}
	}
	if p.searches >= tuning.MaxSearches {
		return false
	}
	p.searches++
	var ds []decide.Decision
	victims := preempt.Victims(q.State, preempt.Search{
		Task:          w.Task,
		Priority:      w.Priority,
		Entitled:      w.Entitled,
		Account:       p.account,
		Zones:         q.TasksByZone(w.Task.Job),
		OnlyWithImage: onlyCached,
		Open:          func(m *clusterstate.Machine) bool { return q.offers(w.Task, m) },
		Busy:          q.Busy,
		Stopping:      p.stopping,
	})
	for _, v := range victims {
		if next, ok := jobs.NextTask(v.Task, jobs.TaskEvent{Kind: jobs.Stop, Reason: "makes room for " + w.Task.ID}); ok {
			ds = append(ds, decide.Decision{Changes: decide.TransitionTask(v, next)})
			p.stopping[v] = true
		}
	}
	if len(ds) > 0 {
		q.preempted[w.Task.ID] = making{q.Now.Add(tuning.PreemptAgain), onlyCached}
	}
	p.ds = append(p.ds, ds...)
	return len(ds) > 0
}

// clearCached tells whether a task should wait a moment for room on a machine
// that holds its image rather than go to one that would have to fetch it: when
// the fetch would take it past its aim, and it may stop others there.
func (q *Queue) clearCached(w *Waiting, machine string, p *cycle) bool {
	rec := w.Task.Job.Record
	if q.loans != nil && rec.Spec.Kind == jobs.Service && q.lendCached(w, machine, p) {
		p.keep(q, machine, rec.Spec.Resources())
		return true
	}
	if (w.Priority > 1 && !w.within()) || q.HasImage(machine, rec.Spec.Image) {
		return false
	}
	rate := q.MachineTypes[q.Machines[machine].MachineType].ImageGBPerS
	aim := q.startAim(rec, w.within())
	if rate <= 0 || aim < q.NowMs() || q.NowMs()+int64(rec.Spec.ImageGB/rate*1000) <= aim {
		return false
	}
	if m := q.preempted[w.Task.ID]; q.Now.Before(m.until) {
		// Room is being made; if it does not come at once, go elsewhere. What
		// has been found already is kept meanwhile: others would take it.
		if !m.cached || m.until.Sub(q.Now) < tuning.PreemptAgain-tuning.ClearWait {
			return false
		}
		p.keep(q, machine, rec.Spec.Resources())
		return true
	}
	if !q.stopFor(w, true, p) {
		return false
	}
	p.keep(q, machine, rec.Spec.Resources())
	return true
}

// giveBack stops what others borrowed, where that alone keeps a job out of what it is
// guaranteed: in a tree the limit that it meets may be one that it shares.
func (q *Queue) giveBack(j *clusterstate.Job, p *cycle) {
	spec := &j.Record.Spec
	entitled := p.account.Entitled(q.QuotaLeaf(spec), spec.Amount(), 1)
	if entitled < 0 || !p.account.Tree().Shaped() || q.Now.Before(q.preempted[j.ID].until) {
		return
	}
	count := 0
	for attempt := p.account.Clone(); count < min(q.unstarted(j), tuning.GiveBackEach) && attempt.Entitled(q.QuotaLeaf(spec), spec.Amount(), 1) >= 0; count++ {
		attempt.Charge(spec.QuotaKey(), spec.Amount(), 1)
	}
	for _, s := range quotareclaim.For(q.State, p.account, entitled, spec, count) {
		if next, ok := jobs.Withdraw(
			s.Task.Task,
			"gives back of "+s.Path+" what "+j.ID+" is guaranteed",
		); ok && !p.stopping[s.Task] &&
			!q.Busy(s.Task.Stored.Key) {
			p.ds = append(p.ds, decide.Decision{Changes: decide.TransitionTask(s.Task, next)})
			p.stopping[s.Task] = true
			q.preempted[j.ID] = making{until: q.Now.Add(tuning.ReclaimEvery)}
		}
	}
}
