package pipelines

import (
	"maps"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Pass decides what can be decided about the runs that are owned and not busy, that
// is under a transaction. room tells whether so many changes can be made now; what
// finds none is looked at again. ask lists jobs that are in no list, to be read.
func (k *Keeper) Pass(
	now time.Time,
	nowMs int64,
	owned, busy func(id string) bool,
	room func(changes int) bool,
	w Cluster,
) (changes []Change, ask []string) {
	if now.Sub(k.swept) >= tuning.RunSweep {
		k.swept = now
		for id, r := range k.runs {
			if r.jobIDs != nil {
				k.dirty[id] = true
			}
		}
	}
	spent := 0
	for i, id := range slices.Sorted(maps.Keys(k.dirty)) {
		if i >= tuning.RunsPerPass {
			break
		}
		r := k.runs[id]
		if r == nil {
			delete(k.dirty, id)
			continue
		}
		if !owned(id) {
			delete(k.dirty, id)
			k.forgetJobs(r)
			r.plan, r.since, r.doubt = nil, map[int]time.Time{}, map[int]time.Time{}
			continue
		}
		if busy(id) || now.Before(r.held) && r.rec.State == RunLive {
			continue
		}
		if !k.load(r) {
			delete(k.dirty, id)
			continue
		}
		c, more := k.examine(r, now, nowMs, w)
		for _, jobID := range more {
			if len(ask) < tuning.RunReads {
				ask = append(ask, jobID)
			}
		}
		if c == nil {
			delete(k.dirty, id)
			continue
		}
		// What finds no room stays dirty.
		if ops := c.Ops(); room(spent+ops) && k.budget.AllowN(now, min(ops, k.budget.Burst())) {
			delete(k.dirty, id)
			spent += ops
			changes = append(changes, *c)
		}
	}
	return changes, ask
}

// examine decides about one run, and lists jobs of it that must be read.
func (k *Keeper) examine(r *run, now time.Time, nowMs int64, w Cluster) (*Change, []string) {
	d := k.draft(r, nowMs)
	var ask []string
	for i := range d.steps {
		if r.jobIDs[i] != "" {
			if k.examineJob(d, i, now, w) {
				ask = append(ask, r.jobIDs[i])
			}
		}
	}
	// Steps wait only for steps that end, which moves the run.
	if (d.moved || r.fresh) && d.state == RunLive {
		d.moved = unfold(r.plan, d.steps, nowMs) || d.moved
	}
	if d.state == RunLive {
		k.submit(d, w)
		if d.moved {
			// A job that can't be submitted ends its step, which may end others.
			unfold(r.plan, d.steps, nowMs)
		}
	}
	c := d.finish()
	// Only once nothing came of it: a change may be lost, and then the run must
	// be looked at as a whole again.
	r.fresh = c != nil
	return c, ask
}

// examineJob takes in what became of a step's job; true if it must be read.
func (k *Keeper) examineJob(d *draft, i int, now time.Time, w Cluster) bool {
	jobID := d.jobIDs[i]
	view, ok := w.Job(jobID)
	if !ok {
		if view.State, ok = w.Final(jobID); !ok {
			if d.gone[i] {
				// Not while its record may only not have come yet: the change is
				// conditional on the job being in none.
				d.change.Absent = append(d.change.Absent, jobID)
				d.moved = d.step(i, StepEvent{Kind: Closed}) || d.step(i, StepEvent{Kind: GiveUp, Why: JobForgotten}) || d.moved
				return false
			}
			if now.Sub(d.asked[i]) < tuning.RunRead {
				return false
			}
			d.asked[i] = now
			return true
		}
	}
	switch view.State {
	case jobs.Done:
		d.moved = d.step(i, StepEvent{Kind: JobDone}) || d.moved
		return false
	case jobs.Cancelled:
		d.moved = d.step(i, StepEvent{Kind: JobEnded}) || d.moved
		return false
	}
	if d.steps[i].State == Cancelling {
		k.cancel(d, i, StepEvent{Kind: Closed})
		return false
	}
	// Seen running is kept with the next change, not by one of its own.
	if view.Running > 0 {
		d.step(i, StepEvent{Kind: Start})
	}
	if view.Probing {
		d.moved = d.step(i, StepEvent{Kind: Doubt}) || d.moved
	} else {
		d.step(i, StepEvent{Kind: Trust})
	}
	p := &d.plan.Steps[i]
	ran := d.measure(d.since, i, d.steps[i].AtMs, now)
	doubted := d.measure(d.doubt, i, d.steps[i].DoubtMs, now)
	switch {
	case p.TimeoutS > 0 && ran.Seconds() > p.TimeoutS:
		k.cancel(d, i, StepEvent{Kind: GiveUp, Why: TimedOut})
	case d.steps[i].DoubtMs != 0 && doubted.Seconds() > p.DoubtS:
		k.cancel(d, i, StepEvent{Kind: GiveUp, Why: InDoubt})
	}
	return false
}

// measure tells for how long something lasts that began at a time of day, 0 for
// not at all. Only when the run is taken over does the time of day count, and
// never for less than nothing; from then on the steady clock measures, so that
// no jump of the other ends a step.
func (d *draft) measure(clocks map[int]time.Time, i int, fromMs int64, now time.Time) time.Duration {
	if fromMs == 0 {
		delete(clocks, i)
		return 0
	}
	if _, ok := clocks[i]; !ok {
		clocks[i] = now.Add(-time.Duration(max(d.nowMs-fromMs, 0)) * time.Millisecond)
	}
	return now.Sub(clocks[i])
}

// cancel has a step's job cancelled with this change, if it fits into it.
func (k *Keeper) cancel(d *draft, i int, e StepEvent) {
	if size := tuning.JobRecordBytes; d.fits(k, 2, size) && d.step(i, e) {
		d.change.Cancel = append(d.change.Cancel, d.jobIDs[i])
		d.bytes += size
		d.moved = true
	}
}

// submit accepts the jobs of the steps that are ready, as many as one
// transaction holds: a matrix of hundreds goes out by and by.
func (k *Keeper) submit(d *draft, w Cluster) {
	for i := range d.steps {
		if d.steps[i].State != Ready {
			continue
		}
		p := &d.plan.Steps[i]
		spec := p.Spec
		spec.ID = JobID(d.id, d.rec.Salt, p.Name, d.steps[i].Repeat)
		size := len(spec.Image) + len(spec.Class) + len(spec.Team) + tuning.JobRecordBytes
		if !d.fits(k, 1, size) {
			return
		}
		if w.Judge(&spec) != "" {
			d.moved = d.step(i, StepEvent{Kind: Refuse, Why: NeverRuns}) || d.moved
			continue
		}
		_, live := w.Job(spec.ID)
		_, final := w.Final(spec.ID)
		if live || final {
			d.moved = d.step(i, StepEvent{Kind: Refuse, Why: JobIDTaken}) || d.moved
			continue
		}
		if d.step(i, StepEvent{Kind: Submit}) {
			d.change.Submit = append(d.change.Submit, spec)
			d.bytes += size
			d.moved = true
		}
	}
}

// CancelRun is the change that cancels a run: nothing of it is submitted from
// then on, since every submission is conditional on the record that this
// changes. Jobs that do not fit into the transaction are cancelled by the
// run's owner. Nil if the run is being cancelled already.
func (k *Keeper) CancelRun(id string, now time.Time, nowMs int64, w Cluster) *Change {
	r := k.runs[id]
	if r == nil || !k.load(r) {
		return nil
	}
	d := k.draft(r, nowMs)
	next, ok := NextRun(d.state, CancelRun)
	if !ok {
		return nil
	}
	d.state, d.moved = next, true
	// Should a change of the run be under way here, none follows it: a run that
	// submits a matrix would otherwise always be busy when its user asks.
	r.held = now.Add(tuning.CancelFirst)
	for i := range d.steps {
		d.step(i, StepEvent{Kind: Abort})
		if d.steps[i].State == Cancelling {
			if view, ok := w.Job(r.jobIDs[i]); ok && view.State == jobs.Live {
				k.cancel(d, i, StepEvent{Kind: Closed})
			}
		}
	}
	k.dirty[id] = true
	c := d.finish()
	c.Urgent = true
	return c
}
