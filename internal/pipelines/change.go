package pipelines

import (
	"encoding/json"
	"slices"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Change is a decision about a run. It is committed atomically, on condition that the records of
// the run and of the jobs concerned are unchanged. Several controllers may decide about a run if
// each believes that it owns the run: the condition on the record's revision lets only one of them
// succeed.
type Change struct {
	ID            string // ID of the run
	Record        json.RawMessage
	Ended         bool        // the run ends: its record moves to EndedRunPrefix
	Submit        []jobs.Spec // jobs to accept
	Cancel        []string    // IDs of jobs to cancel
	RequireAbsent []string    // IDs of jobs that must have no record at commit
	EndedSteps    int         // number of steps that end with the change, for the log
	Urgent        bool        // a user waits for it
}

// Ops returns the number of puts and deletes of the change: the run's record, its deletion from
// among the live runs if it ends, one for each submitted job and two for each cancelled one.
func (c *Change) Ops() int {
	n := 1 + len(c.Submit) + 2*len(c.Cancel)
	if c.Ended {
		n++
	}
	return n
}

// draft builds the next record of a run and the change that commits it.
type draft struct {
	run        *run
	state      RunState
	steps      []StepRun
	change     Change
	mustCommit bool // the draft contains a change that must be committed
	nowMs      int64
	bytes      int // estimated size of the change so far
}

func newDraft(r *run, nowMs int64) *draft {
	return &draft{
		run:    r,
		state:  r.record.State,
		steps:  slices.Clone(r.record.Steps),
		nowMs:  nowMs,
		change: Change{ID: r.id},
		bytes:  r.record.MaxBytes(),
	}
}

// apply applies an event to a step and reports whether the step changed.
func (d *draft) apply(i int, e StepEvent) bool {
	e.NowMs = d.nowMs
	e.MaxRetries = d.run.plan.Steps[i].MaxRetries
	next, ok := NextStep(d.steps[i], e)
	if ok {
		d.steps[i] = next
	}
	return ok
}

// applyForCommit applies an event to a step. If the step changes, the draft must be committed.
func (d *draft) applyForCommit(i int, e StepEvent) {
	d.mustCommit = d.apply(i, e) || d.mustCommit
}

// fits reports whether more operations and bytes fit into the change's transaction.
func (d *draft) fits(limits Limits, ops, bytes int) bool {
	return d.change.Ops()+1+ops <= limits.TxnOps && d.bytes+bytes <= tuning.TxnBytes
}

// finish returns the draft's change, or nil if there is nothing to commit.
func (d *draft) finish() *Change {
	previous := d.run.record
	state := runStateAfter(d.run.plan, d.state, d.steps)
	if !d.mustCommit && state == previous.State {
		return nil
	}
	record := *previous
	record.State = state
	record.Steps = d.steps
	if d.change.Ended = state.Ended(); d.change.Ended {
		record.EndMs = d.nowMs
	}
	for i := range d.steps {
		if d.steps[i].State.Ended() && !previous.Steps[i].State.Ended() {
			d.change.EndedSteps++
		}
	}
	d.change.Record = record.Encode()
	return &d.change
}
