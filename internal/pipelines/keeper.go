package pipelines

import (
	"encoding/json"
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
