package pipelines

import (
	"maps"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Reconcile decides what can be decided about the runs that are owned and not busy, that
// is under a transaction. room tells whether so many changes can be made now; a run
// that finds none is looked at again. reads lists the IDs of jobs that the cluster
// does not know, to be read from the state service.
func (k *Keeper) Reconcile(
	now time.Time,
	nowMs int64,
	owned, busy func(id string) bool,
	room func(changes int) bool,
	cluster Cluster,
) (changes []Change, reads []string) {
	k.sweep(now)
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
			k.release(r)
			continue
		}
		if busy(id) || r.held(now) {
			continue
		}
		if !k.load(r) {
			delete(k.dirty, id)
			continue
		}
		change, more := k.examine(r, now, nowMs, cluster)
		reads = append(reads, more[:min(len(more), tuning.RunReads-len(reads))]...)
		if change == nil {
			delete(k.dirty, id)
			continue
		}
		// A change without room stays dirty.
		ops := change.Ops()
		if room(spent+ops) && k.budget.AllowN(now, min(ops, k.budget.Burst())) {
			delete(k.dirty, id)
			spent += ops
			changes = append(changes, *change)
		}
	}
	return changes, reads
}

// sweep has all owned runs looked at from time to time: clocks run out without any
// event.
func (k *Keeper) sweep(now time.Time) {
	if now.Sub(k.lastSweep) < tuning.RunSweep {
		return
	}
	k.lastSweep = now
	for id, r := range k.runs {
		if r.jobIDs != nil {
			k.dirty[id] = true
		}
	}
}

// release forgets what is held of a run for its owner only.
func (k *Keeper) release(r *run) {
	delete(k.dirty, r.id)
	k.forgetJobs(r)
	r.plan = nil
	r.jobClocks = map[int]time.Time{}
	r.doubtClocks = map[int]time.Time{}
}

// held tells whether the run waits for its user's cancellation.
func (r *run) held(now time.Time) bool {
	return now.Before(r.heldUntil) && r.record.State == RunLive
}

// examine decides about one run, and lists jobs of it that must be read.
func (k *Keeper) examine(r *run, now time.Time, nowMs int64, cluster Cluster) (*Change, []string) {
	d := newDraft(r, nowMs)
	var reads []string
	for i, jobID := range r.jobIDs {
		if jobID != "" && k.examineJob(d, i, now, cluster) {
			reads = append(reads, jobID)
		}
	}
	// Steps wait only for steps that end, which moves the run.
	if (d.moved || r.unexamined) && d.state == RunLive {
		d.moved = unfold(r.plan, d.steps, nowMs) || d.moved
	}
	if d.state == RunLive {
		k.submit(d, cluster)
		if d.moved {
			// A job that can't be submitted ends its step, which may end others.
			unfold(r.plan, d.steps, nowMs)
		}
	}
	change := d.finish()
	// Only once nothing came of it: a change may be lost, and then the run must
	// be looked at as a whole again.
	r.unexamined = change != nil
	return change, reads
}

// examineJob takes in what became of a step's job; true if it must be read.
func (k *Keeper) examineJob(d *draft, i int, now time.Time, cluster Cluster) (read bool) {
	jobID := d.run.jobIDs[i]
	view, ok := cluster.Job(jobID)
	if !ok {
		view.State, ok = cluster.Final(jobID)
	}
	if !ok {
		return d.examineUnknown(i, now)
	}
	switch view.State {
	case jobs.Done:
		d.move(i, StepEvent{Kind: JobDone})
		return false
	case jobs.Cancelled:
		d.move(i, StepEvent{Kind: JobEnded})
		return false
	case jobs.Live: // and any state that this version does not know
	}
	k.examineLive(d, i, view, now)
	return false
}

// examineUnknown is for a step whose job the cluster does not know; true if it must
// be read.
func (d *draft) examineUnknown(i int, now time.Time) (read bool) {
	if d.run.missing[i] {
		// Its record may only not have come yet: the change is conditional on the job
		// being in none.
		d.change.Absent = append(d.change.Absent, d.run.jobIDs[i])
		d.moved = d.apply(i, StepEvent{Kind: Closed}) ||
			d.apply(i, StepEvent{Kind: GiveUp, Cause: JobForgotten}) ||
			d.moved
		return false
	}
	if now.Sub(d.run.readAt[i]) < tuning.RunRead {
		return false
	}
	d.run.readAt[i] = now
	return true
}

// examineLive takes in what is seen of a live job, and gives it up if it takes too
// long or fails everywhere for too long.
func (k *Keeper) examineLive(d *draft, i int, view JobView, now time.Time) {
	if d.steps[i].State == Cancelling {
		k.cancel(d, i, StepEvent{Kind: Closed})
		return
	}
	// That it runs is kept with the next change, not by one of its own.
	if view.Running > 0 {
		d.apply(i, StepEvent{Kind: Start})
	}
	if view.Probing {
		d.move(i, StepEvent{Kind: Doubt})
	} else {
		d.apply(i, StepEvent{Kind: Trust})
	}
	step := &d.run.plan.Steps[i]
	ran := d.measure(d.run.jobClocks, i, d.steps[i].AcceptedMs, now)
	doubted := d.measure(d.run.doubtClocks, i, d.steps[i].DoubtedSinceMs, now)
	switch {
	case step.TimeoutS > 0 && ran.Seconds() > step.TimeoutS:
		k.cancel(d, i, StepEvent{Kind: GiveUp, Cause: TimedOut})
	case d.steps[i].DoubtedSinceMs != 0 && doubted.Seconds() > step.DoubtS:
		k.cancel(d, i, StepEvent{Kind: GiveUp, Cause: InDoubt})
	}
}

// measure tells for how long something lasts that began at a time of day, 0 for
// not at all. Only when the run is taken over does the time of day count, and
// never for less than nothing; from then on the monotonic clock measures, so that
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
	if d.fits(k.limits, 2, tuning.JobRecordBytes) && d.apply(i, e) {
		d.change.Cancel = append(d.change.Cancel, d.run.jobIDs[i])
		d.bytes += tuning.JobRecordBytes
		d.moved = true
	}
}

// submit accepts the jobs of the steps that are ready, as many as one transaction
// holds: a matrix of hundreds goes out over several changes.
func (k *Keeper) submit(d *draft, cluster Cluster) {
	for i := range d.steps {
		if d.steps[i].State != Ready {
			continue
		}
		step := &d.run.plan.Steps[i]
		spec := step.Spec
		spec.ID = JobID(d.run.id, d.run.record.Salt, step.Name, d.steps[i].Repeat)
		size := len(spec.Image) + len(spec.Class) + len(spec.Team) + tuning.JobRecordBytes
		if !d.fits(k.limits, 1, size) {
			return
		}
		if cluster.Infeasible(&spec) != "" {
			d.move(i, StepEvent{Kind: Refuse, Cause: NeverRuns})
			continue
		}
		_, live := cluster.Job(spec.ID)
		_, final := cluster.Final(spec.ID)
		if live || final {
			d.move(i, StepEvent{Kind: Refuse, Cause: JobIDTaken})
			continue
		}
		if d.apply(i, StepEvent{Kind: Submit}) {
			d.change.Submit = append(d.change.Submit, spec)
			d.bytes += size
			d.moved = true
		}
	}
}

// CancelRun is the change that cancels a run: nothing of it is submitted from
// then on, since every submission is conditional on the record that this
// changes. Jobs that do not fit into the transaction are cancelled by the
// run's owner. Nil if the run is being cancelled already, or can't be read.
func (k *Keeper) CancelRun(id string, now time.Time, nowMs int64, cluster Cluster) *Change {
	r := k.runs[id]
	if r == nil || !k.load(r) {
		return nil
	}
	d := newDraft(r, nowMs)
	next, ok := NextRun(d.state, CancelRun)
	if !ok {
		return nil
	}
	d.state = next
	d.moved = true
	// Should a change of the run be under way here, none follows it: a run that
	// submits a matrix would otherwise always be busy when its user asks.
	r.heldUntil = now.Add(tuning.CancelFirst)
	for i := range d.steps {
		d.apply(i, StepEvent{Kind: Abort})
		if d.steps[i].State != Cancelling {
			continue
		}
		if view, ok := cluster.Job(r.jobIDs[i]); ok && view.State == jobs.Live {
			k.cancel(d, i, StepEvent{Kind: Closed})
		}
	}
	k.dirty[id] = true
	change := d.finish()
	change.Urgent = true
	return change
}
