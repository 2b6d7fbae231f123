package pipelines

import (
	"maps"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Reconcile examines the dirty runs and returns the changes to commit. owned reports whether this
// controller owns a run, busy whether a pending transaction includes the run, and hasBudget whether
// a number of operations can be committed now. A run whose change exceeds the budget stays dirty.
// reads contains the IDs of jobs that the cluster does not know: the caller reads them from the
// state service.
func (k *Keeper) Reconcile(
	now time.Time,
	nowMs int64,
	owned, busy func(id string) bool,
	hasBudget func(ops int) bool,
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
		if busy(id) || r.heldForCancellation(now) {
			continue
		}
		if !k.load(r) {
			delete(k.dirty, id)
			continue
		}
		change, unknownJobs := k.examine(r, now, nowMs, cluster)
		reads = append(reads, unknownJobs[:min(len(unknownJobs), tuning.RunReads-len(reads))]...)
		if change == nil {
			delete(k.dirty, id)
			continue
		}
		// Without budget the run stays dirty.
		ops := change.Ops()
		if hasBudget(spent+ops) && k.budget.AllowN(now, min(ops, k.budget.Burst())) {
			delete(k.dirty, id)
			spent += ops
			changes = append(changes, *change)
		}
	}
	return changes, reads
}

// sweep periodically marks all owned runs dirty: timeouts expire without any event.
func (k *Keeper) sweep(now time.Time) {
	if now.Sub(k.lastSweep) < tuning.RunSweepEvery {
		return
	}
	k.lastSweep = now
	for id, r := range k.runs {
		if r.jobIDs != nil {
			k.dirty[id] = true
		}
	}
}

// release clears the state of a run that only its owner keeps.
func (k *Keeper) release(r *run) {
	delete(k.dirty, r.id)
	k.forgetJobs(r)
	r.plan = nil
	r.jobStarts = map[int]time.Time{}
	r.doubtStarts = map[int]time.Time{}
}

// heldForCancellation reports whether the run waits for a user's cancellation to be committed.
func (r *run) heldForCancellation(now time.Time) bool {
	return now.Before(r.heldUntil) && r.record.State == RunLive
}

// examine returns the change of a run, or nil, and the IDs of its jobs that must be read.
func (k *Keeper) examine(r *run, now time.Time, nowMs int64, cluster Cluster) (*Change, []string) {
	d := newDraft(r, nowMs)
	var reads []string
	for i, jobID := range r.jobIDs {
		if jobID != "" && k.examineJob(d, i, now, cluster) {
			reads = append(reads, jobID)
		}
	}
	// A step waits only for other steps to end, and each step's end sets d.mustCommit.
	if (d.mustCommit || r.unexamined) && d.state == RunLive {
		d.mustCommit = advanceSteps(r.plan, d.steps, nowMs) || d.mustCommit
	}
	if d.state == RunLive {
		k.submit(d, cluster)
		if d.mustCommit {
			// A job that can't be submitted ends its step, so that others may become ready or
			// skipped.
			advanceSteps(r.plan, d.steps, nowMs)
		}
	}
	change := d.finish()
	// If there is a change, its commit may fail: then the whole run must be examined again.
	r.unexamined = change != nil
	return change, reads
}

// examineJob applies the state of a step's job. It reports whether the job must be read from the
// state service.
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
		d.applyForCommit(i, StepEvent{Kind: JobDone})
		return false
	case jobs.Cancelled:
		d.applyForCommit(i, StepEvent{Kind: JobEnded})
		return false
	case jobs.Live: // unknown states are handled like Live
	}
	k.examineLive(d, i, view, now)
	return false
}

// examineUnknown handles a step whose job the cluster does not know. It reports whether the job
// must be read from the state service.
func (d *draft) examineUnknown(i int, now time.Time) (read bool) {
	if d.run.missing[i] {
		// The job's record may exist but not have arrived here yet, so the change is
		// conditional on the job having no record.
		d.change.RequireAbsent = append(d.change.RequireAbsent, d.run.jobIDs[i])
		d.mustCommit = d.apply(i, StepEvent{Kind: Closed}) ||
			d.apply(i, StepEvent{Kind: GiveUp, Cause: JobNotFound}) ||
			d.mustCommit
		return false
	}
	if now.Sub(d.run.readAt[i]) < tuning.RunReadRetry {
		return false
	}
	d.run.readAt[i] = now
	return true
}

// examineLive applies the observed state of a live job, and gives the job up if it exceeds its
// timeout or has been failing on every machine for too long.
func (k *Keeper) examineLive(d *draft, i int, view JobView, now time.Time) {
	if d.steps[i].State == Cancelling {
		k.cancel(d, i, StepEvent{Kind: Closed})
		return
	}
	// Running is saved with the next change and causes none by itself.
	if view.Running > 0 {
		d.apply(i, StepEvent{Kind: Start})
	}
	if view.Probing {
		d.applyForCommit(i, StepEvent{Kind: Doubt})
	} else {
		d.apply(i, StepEvent{Kind: Trust})
	}
	step := &d.run.plan.Steps[i]
	ran := d.elapsed(d.run.jobStarts, i, d.steps[i].AcceptedMs, now)
	doubted := d.elapsed(d.run.doubtStarts, i, d.steps[i].DoubtedSinceMs, now)
	switch {
	case step.TimeoutS > 0 && ran.Seconds() > step.TimeoutS:
		k.cancel(d, i, StepEvent{Kind: GiveUp, Cause: TimedOut})
	case d.steps[i].DoubtedSinceMs != 0 && doubted.Seconds() > step.DoubtS:
		k.cancel(d, i, StepEvent{Kind: GiveUp, Cause: InDoubt})
	}
}

// elapsed returns the time since a wall-clock time, or 0 if fromMs is 0. The wall clock is used
// only once, when the run is taken over, and a negative difference counts as 0. From then on the
// monotonic clock is used, so that a jump of the wall clock can't end a step. starts caches the
// start times on the monotonic clock, by index of the step.
func (d *draft) elapsed(starts map[int]time.Time, i int, fromMs int64, now time.Time) time.Duration {
	if fromMs == 0 {
		delete(starts, i)
		return 0
	}
	if _, ok := starts[i]; !ok {
		starts[i] = now.Add(-time.Duration(max(d.nowMs-fromMs, 0)) * time.Millisecond)
	}
	return now.Sub(starts[i])
}

// cancel applies an event that ends a step's job and adds the job's cancellation to the change, if
// it fits.
func (k *Keeper) cancel(d *draft, i int, e StepEvent) {
	if d.fits(k.limits, 2, tuning.JobRecordBytes) && d.apply(i, e) {
		d.change.Cancel = append(d.change.Cancel, d.run.jobIDs[i])
		d.bytes += tuning.JobRecordBytes
		d.mustCommit = true
	}
}

// submit adds the jobs of ready steps to the change, as many as fit into one transaction: a matrix
// of hundreds of steps takes several changes.
func (k *Keeper) submit(d *draft, cluster Cluster) {
	for i := range d.steps {
		if d.steps[i].State != Ready {
			continue
		}
		step := &d.run.plan.Steps[i]
		spec := step.Spec
		spec.ID = JobID(d.run.id, d.run.record.Salt, step.Name, d.steps[i].Attempt)
		size := len(spec.Image) + len(spec.Class) + len(spec.Team) + tuning.JobRecordBytes
		if !d.fits(k.limits, 1, size) {
			return
		}
		if cluster.Infeasible(&spec) != "" {
			d.applyForCommit(i, StepEvent{Kind: Refuse, Cause: NeverRuns})
			continue
		}
		_, live := cluster.Job(spec.ID)
		_, final := cluster.Final(spec.ID)
		if live || final {
			d.applyForCommit(i, StepEvent{Kind: Refuse, Cause: JobIDTaken})
			continue
		}
		if d.apply(i, StepEvent{Kind: Submit}) {
			d.change.Submit = append(d.change.Submit, spec)
			d.bytes += size
			d.mustCommit = true
		}
	}
}

// CancelRun returns the change that cancels a run. After its commit no job of the run is submitted,
// since every submission is conditional on the record that it changes. Jobs that do not fit into
// the transaction are cancelled by the run's owner. CancelRun returns nil if the run is unknown, is
// already being cancelled, or can't be read.
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
	d.mustCommit = true
	// No further change of the run is made until then: a run that submits a matrix would
	// otherwise be busy whenever its user tries to cancel it.
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
