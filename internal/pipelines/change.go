package pipelines

import (
	"encoding/json"
	"slices"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Change is a decision about a run, to be committed whole, conditional on the
// run's record and on each job's. Every controller may decide about a run it
// believes to own: the record's revision lets one of them through.
type Change struct {
	ID     string // of the run
	Record json.RawMessage
	Over   bool        // the record moves to where ended runs are kept
	Submit []jobs.Spec // jobs to accept
	Cancel []string    // IDs of jobs to cancel
	Absent []string    // IDs of jobs in no record, which must still be so
	Steps  int         // that ended with it, for the log
	Urgent bool        // a user waits for it
}

// Ops is how many records a change writes: the run's, its removal from among the live
// ones, one for each job that it accepts and two for each that it cancels.
func (c *Change) Ops() int {
	n := 1 + len(c.Submit) + 2*len(c.Cancel)
	if c.Over {
		n++
	}
	return n
}

// draft is a run's next record in the making.
type draft struct {
	run    *run
	state  RunState
	steps  []StepRun
	change Change
	moved  bool // something that must be kept
	nowMs  int64
	bytes  int // that the change takes so far
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

// apply applies an event to a step; false if it changes nothing.
func (d *draft) apply(i int, e StepEvent) bool {
	e.NowMs = d.nowMs
	e.Repeats = d.run.plan.Steps[i].Repeats
	next, ok := NextStep(d.steps[i], e)
	if ok {
		d.steps[i] = next
	}
	return ok
}

// move applies an event to a step and has the run's record kept if it changes
// anything.
func (d *draft) move(i int, e StepEvent) {
	d.moved = d.apply(i, e) || d.moved
}

// fits tells whether more records fit into the change's transaction.
func (d *draft) fits(limits Limits, ops, bytes int) bool {
	return d.change.Ops()+1+ops <= limits.TxnOps && d.bytes+bytes <= tuning.TxnBytes
}

// finish turns a draft into its change, nil if there is nothing to keep.
func (d *draft) finish() *Change {
	former := d.run.record
	state := conclude(d.run.plan, d.state, d.steps)
	if !d.moved && state == former.State {
		return nil
	}
	record := *former
	record.State = state
	record.Steps = d.steps
	if d.change.Over = state.Over(); d.change.Over {
		record.EndMs = d.nowMs
	}
	for i := range d.steps {
		if d.steps[i].State.Over() && !former.Steps[i].State.Over() {
			d.change.Steps++
		}
	}
	d.change.Record = record.Encode()
	return &d.change
}
