package pipelines

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// JobView is what a controller knows of a live job, or of one whose record has
// not been cleared yet.
type JobView struct {
	State         jobs.JobState
	Running, Done int
	Probing       bool // fails everywhere so far (jobs.TrustOf)
}

// Cluster is what the keeper may ask about jobs. Both may lag behind the state
// service: what is decided from them is conditional on the records.
type Cluster interface {
	// Job is a job with a record in the mirror.
	Job(jobID string) (JobView, bool)
	// Why says in words what a live job waits for, "" for nothing.
	Why(jobID string) string
	// Final is a job's final state, if it is in memory.
	Final(jobID string) (jobs.JobState, bool)
	// Judge explains why a job can never run, or returns "".
	Judge(spec *jobs.Spec) string
}

// Limits bound what the controllers take on.
type Limits struct {
	Runs, Steps int // live runs, and their steps that have not ended
	ValueBytes  int // of a record
	TxnOps      int // puts and deletes of a transaction
}

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

// run is a live run in memory.
type run struct {
	id     string
	rec    *Record
	plan   *Plan    // while owned
	jobIDs []string // of each step's present job, while owned
	// What the steps' jobs have run for is measured by the steady clock from
	// where this node took the run over, so that no jump of the time of day
	// ends a step.
	since, doubt map[int]time.Time
	asked        map[int]time.Time
	gone         map[int]bool // jobs that a read found in no record
	fresh        bool         // not looked at as a whole since it was loaded
	held         time.Time    // until then a user's cancellation goes first
}

// Keeper holds the live runs and moves those that its controller owns.
type Keeper struct {
	limits Limits
	runs   map[string]*run
	aside  map[string]bool   // records that can't be read
	jobs   map[string]string // uid of an owned run's job to the run
	dirty  map[string]bool
	swept  time.Time
	budget *rate.Limiter
	open   int              // steps that have not ended
	plans  map[string]*Plan // of documents, for looks at runs of others
	order  []string
}

// NewKeeper makes an empty keeper.
func NewKeeper(l Limits) *Keeper {
	return &Keeper{
		limits: l, runs: map[string]*run{}, aside: map[string]bool{}, jobs: map[string]string{}, dirty: map[string]bool{},
		budget: rate.NewLimiter(rate.Limit(1), l.TxnOps+1), plans: map[string]*Plan{},
	}
}

// SetRate sets how many changes a second the runs may take.
func (k *Keeper) SetRate(now time.Time, perSecond float64) {
	k.budget.SetLimitAt(now, rate.Limit(perSecond))
}

// Changed takes a run's record in, nil for one that was removed. A record that
// can't be read is an error: it is set aside, and others go on.
func (k *Keeper) Changed(id string, value json.RawMessage) error {
	old := k.runs[id]
	k.forgetJobs(old)
	if old != nil {
		k.open -= old.rec.open()
	}
	delete(k.runs, id)
	delete(k.aside, id)
	delete(k.dirty, id)
	if value == nil {
		return nil
	}
	rec, err := decodeLike(value, old)
	if err != nil {
		k.aside[id] = true
		return err
	}
	r := &run{
		id:    id,
		rec:   rec,
		since: map[int]time.Time{},
		doubt: map[int]time.Time{},
		asked: map[int]time.Time{},
		gone:  map[int]bool{},
		fresh: true,
	}
	if old != nil && old.rec.Sum == rec.Sum {
		r.plan, r.held = old.plan, old.held
		for i := range rec.Steps {
			// The clocks of a job that is still the same run on.
			if i >= len(old.rec.Steps) || old.rec.Steps[i].Repeat != rec.Steps[i].Repeat || !rec.Steps[i].State.HasJob() {
				continue
			}
			if t, ok := old.since[i]; ok {
				r.since[i] = t
			}
			if t, ok := old.doubt[i]; ok && rec.Steps[i].DoubtMs != 0 {
				r.doubt[i] = t
			}
		}
	}
	k.runs[id] = r
	k.open += rec.open()
	k.dirty[id] = true
	return nil
}

// decodeLike is Decode, sparing to unpack a document that is there already.
func decodeLike(value json.RawMessage, old *run) (*Record, error) {
	if old != nil {
		var s stored
		if json.Unmarshal(value, &s) == nil && s.Sum == old.rec.Sum && s.Salt == old.rec.Salt {
			return s.record(old.rec.Doc, old.rec.docPack)
		}
	}
	return Decode(value)
}

func (k *Keeper) forgetJobs(r *run) {
	if r == nil {
		return
	}
	for _, jobID := range r.jobIDs {
		delete(k.jobs, jobID)
	}
	r.jobIDs = nil
}

// JobChanged notes that something became known of a job.
func (k *Keeper) JobChanged(jobID string) {
	if id, ok := k.jobs[jobID]; ok {
		k.dirty[id] = true
	}
}

// JobMissing notes that a read found a job in no record at all.
func (k *Keeper) JobMissing(jobID string) {
	if r := k.runs[k.jobs[jobID]]; r != nil {
		r.gone[slices.Index(r.jobIDs, jobID)] = true
		k.dirty[r.id] = true
	}
}

// Touch has a run looked at again.
func (k *Keeper) Touch(id string) { k.dirty[id] = true }

// OwnersChanged has every run looked at again: some have another owner now.
func (k *Keeper) OwnersChanged() {
	for id := range k.runs {
		k.dirty[id] = true
	}
}

// Known tells whether a live run has this id, and whether its record can't be read.
func (k *Keeper) Known(id string) (rec *Record, aside bool) {
	if r := k.runs[id]; r != nil {
		return r.rec, false
	}
	return nil, k.aside[id]
}

// Room tells whether one more run with so many steps can be held.
func (k *Keeper) Room(steps int) bool {
	return len(k.runs) < k.limits.Runs && k.open+steps <= k.limits.Steps
}

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

// load makes a run's plan and the uids of its jobs. A document that this version
// refuses, though one accepted it, is set aside.
func (k *Keeper) load(r *run) bool {
	if r.plan == nil {
		r.plan = k.planOf(r.rec)
	}
	if r.plan == nil || len(r.plan.Steps) != len(r.rec.Steps) {
		delete(k.runs, r.id)
		k.open -= r.rec.open()
		k.aside[r.id] = true
		return false
	}
	if r.jobIDs == nil {
		r.jobIDs = make([]string, len(r.plan.Steps))
		for i := range r.plan.Steps {
			if r.rec.Steps[i].State.HasJob() {
				r.jobIDs[i] = JobID(r.id, r.rec.Salt, r.plan.Steps[i].Name, r.rec.Steps[i].Repeat)
				k.jobs[r.jobIDs[i]] = r.id
			}
		}
	}
	return true
}

// planOf is the plan of a record's document, from a small cache.
func (k *Keeper) planOf(rec *Record) *Plan {
	if p, ok := k.plans[rec.Sum]; ok {
		return p
	}
	p, _ := CompileJSON(rec.Doc)
	if len(k.order) >= tuning.PlanCache {
		delete(k.plans, k.order[0])
		k.order = k.order[1:]
	}
	k.plans[rec.Sum] = p
	k.order = append(k.order, rec.Sum)
	return p
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
