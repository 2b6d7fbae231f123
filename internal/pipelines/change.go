package pipelines

import (
	"encoding/json"
	"slices"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Change is a decision about a run, to be committed whole, conditional on the
// run's record and on each job's. Every controller may decide about a run it
// believes to own: the record's stamp lets one of them through.
type Change struct {
	ID     string
	Record json.RawMessage
	Over   bool        // the record moves to where ended runs are kept
	Submit []jobs.Spec // jobs to accept
	Cancel []string    // jobs to cancel
	Absent []string    // jobs in no record, which must still be so
	Steps  int         // that ended with it, for the log
	Urgent bool        // a user waits for it
}

// Ops is how many records a change writes.
func (c *Change) Ops() int {
	n := 1 + len(c.Submit) + 2*len(c.Cancel)
	if c.Over {
		n++
	}
	return n
}

// draft is a run's next record in the making.
type draft struct {
	*run
	state  RunState
	steps  []StepRun
	change Change
	moved  bool // something that must be kept
	nowMs  int64
	bytes  int
}

// step applies an event to a step.
func (d *draft) step(i int, e StepEvent) bool {
	e.NowMs, e.Repeats = d.nowMs, d.plan.Steps[i].Repeats
	next, ok := NextStep(d.steps[i], e)
	if ok {
		d.steps[i] = next
	}
	return ok
}

// fits tells whether more records fit into the change's transaction.
func (d *draft) fits(k *Keeper, ops, bytes int) bool {
	return d.change.Ops()+1+ops <= k.limits.TxnOps && d.bytes+bytes <= tuning.TxnBytes
}

func (k *Keeper) draft(r *run, nowMs int64) *draft {
	return &draft{
		run:    r,
		state:  r.rec.State,
		steps:  slices.Clone(r.rec.Steps),
		nowMs:  nowMs,
		change: Change{ID: r.id},
		bytes:  r.rec.MaxBytes(),
	}
}

// finish turns a draft into its change, nil if there is nothing to keep.
func (d *draft) finish() *Change {
	state := conclude(d.plan, d.state, d.steps)
	if !d.moved && state == d.rec.State {
		return nil
	}
	rec := *d.rec
	rec.State, rec.Steps = state, d.steps
	if d.change.Over = state.Over(); d.change.Over {
		rec.EndMs = d.nowMs
	}
	for i := range d.steps {
		if d.steps[i].State.Over() && !d.rec.Steps[i].State.Over() {
			d.change.Steps++
		}
	}
	d.change.Record = rec.Encode()
	return &d.change
}
