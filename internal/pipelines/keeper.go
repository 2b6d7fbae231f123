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
	Running, Done int  // tasks
	Probing       bool // fails everywhere so far (jobs.TrustOf)
}

// Cluster is what the keeper may ask about jobs. Its answers may lag behind the state
// service: what is decided from them is conditional on the records.
type Cluster interface {
	// Job is a job with a record in the mirror.
	Job(jobID string) (JobView, bool)
	// Why says in words what a live job waits for, "" for nothing.
	Why(jobID string) string
	// Final is a job's final state, if it is in memory.
	Final(jobID string) (jobs.JobState, bool)
	// Infeasible explains why a job can never run, or returns "".
	Infeasible(spec *jobs.Spec) string
}

// Limits bound what the controllers take on.
type Limits struct {
	Runs       int // live at once
	Steps      int // of live runs, not ended
	ValueBytes int // of a record
	TxnOps     int // puts and deletes of a transaction
}

// run is a live run in memory.
type run struct {
	id     string
	record *Record
	plan   *Plan    // while owned
	jobIDs []string // of each step's present job, while owned; "" without one
	// How long the steps' jobs have run and have been failing everywhere is measured
	// by the monotonic clock from where this controller took the run over, so that no
	// jump of the time of day ends a step. By index of the step, like what follows.
	jobClocks   map[int]time.Time
	doubtClocks map[int]time.Time
	readAt      map[int]time.Time // when a read of its job was last requested
	missing     map[int]bool      // jobs that a read found in no record
	unexamined  bool              // not looked at as a whole since it was loaded
	heldUntil   time.Time         // until then a user's cancellation goes first
}

// Keeper holds the live runs and moves those that its controller owns. It is not safe
// for concurrent use.
type Keeper struct {
	limits      Limits
	runs        map[string]*run
	quarantined map[string]bool   // runs whose records can't be read
	runOfJob    map[string]string // ID of an owned run's job to that of the run
	dirty       map[string]bool   // runs to be looked at
	lastSweep   time.Time
	budget      *rate.Limiter    // of changes
	openSteps   int              // steps that have not ended
	plans       map[string]*Plan // by checksum of the document, for status of others' runs
	planOrder   []string         // keys of plans, the oldest first
}

// NewKeeper makes an empty keeper. Until SetRate is called it makes one change a
// second.
func NewKeeper(l Limits) *Keeper {
	return &Keeper{
		limits:      l,
		runs:        map[string]*run{},
		quarantined: map[string]bool{},
		runOfJob:    map[string]string{},
		dirty:       map[string]bool{},
		budget:      rate.NewLimiter(rate.Limit(1), l.TxnOps+1),
		plans:       map[string]*Plan{},
	}
}

// SetRate sets how many changes a second the runs may take.
func (k *Keeper) SetRate(now time.Time, perSecond float64) {
	k.budget.SetLimitAt(now, rate.Limit(perSecond))
}

// Changed takes a run's record in, nil for one that was removed. A record that
// can't be read is an error: it is quarantined, and other runs go on.
func (k *Keeper) Changed(id string, value json.RawMessage) error {
	old := k.runs[id]
	k.forgetJobs(old)
	if old != nil {
		k.openSteps -= old.record.openSteps()
	}
	delete(k.runs, id)
	delete(k.quarantined, id)
	delete(k.dirty, id)
	if value == nil {
		return nil
	}
	record, err := decodeReusing(value, old)
	if err != nil {
		k.quarantined[id] = true
		return err
	}
	r := newRun(id, record)
	if old != nil && old.record.Checksum == record.Checksum {
		r.takeFrom(old)
	}
	k.runs[id] = r
	k.openSteps += record.openSteps()
	k.dirty[id] = true
	return nil
}

func newRun(id string, record *Record) *run {
	return &run{
		id:          id,
		record:      record,
		jobClocks:   map[int]time.Time{},
		doubtClocks: map[int]time.Time{},
		readAt:      map[int]time.Time{},
		missing:     map[int]bool{},
		unexamined:  true,
	}
}

// takeFrom keeps what holds on from a run's former record. The clocks of a job that is
// still the same go on.
func (r *run) takeFrom(old *run) {
	r.plan = old.plan
	r.heldUntil = old.heldUntil
	for i, step := range r.record.Steps {
		if i >= len(old.record.Steps) || old.record.Steps[i].Repeat != step.Repeat || !step.State.HasJob() {
			continue
		}
		if t, ok := old.jobClocks[i]; ok {
			r.jobClocks[i] = t
		}
		if t, ok := old.doubtClocks[i]; ok && step.DoubtedSinceMs != 0 {
			r.doubtClocks[i] = t
		}
	}
}

// decodeReusing is Decode, but does not unpack a document that the run's former record
// holds already.
func decodeReusing(value json.RawMessage, old *run) (*Record, error) {
	if old != nil {
		var s stored
		if json.Unmarshal(value, &s) == nil && s.Sum == old.record.Checksum && s.Salt == old.record.Salt {
			return s.record(old.record.Document, old.record.packedDoc)
		}
	}
	return Decode(value)
}

func (k *Keeper) forgetJobs(r *run) {
	if r == nil {
		return
	}
	for _, jobID := range r.jobIDs {
		delete(k.runOfJob, jobID)
	}
	r.jobIDs = nil
}

// JobChanged notes that something became known of a job.
func (k *Keeper) JobChanged(jobID string) {
	if id, ok := k.runOfJob[jobID]; ok {
		k.dirty[id] = true
	}
}

// JobMissing notes that a read found a job in no record at all.
func (k *Keeper) JobMissing(jobID string) {
	if r := k.runs[k.runOfJob[jobID]]; r != nil {
		r.missing[slices.Index(r.jobIDs, jobID)] = true
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

// Known is the record of a live run with this ID, nil if there is none, and whether
// its record is quarantined since it can't be read.
func (k *Keeper) Known(id string) (record *Record, quarantined bool) {
	if r := k.runs[id]; r != nil {
		return r.record, false
	}
	return nil, k.quarantined[id]
}

// Room tells whether one more run with so many steps can be held.
func (k *Keeper) Room(steps int) bool {
	return len(k.runs) < k.limits.Runs && k.openSteps+steps <= k.limits.Steps
}

// load makes a run's plan and the IDs of its jobs. A document that this version
// refuses, though one accepted it, is quarantined.
func (k *Keeper) load(r *run) bool {
	if r.plan == nil {
		r.plan = k.planOf(r.record)
	}
	if r.plan == nil || len(r.plan.Steps) != len(r.record.Steps) {
		delete(k.runs, r.id)
		k.openSteps -= r.record.openSteps()
		k.quarantined[r.id] = true
		return false
	}
	if r.jobIDs != nil {
		return true
	}
	r.jobIDs = make([]string, len(r.plan.Steps))
	for i, step := range r.record.Steps {
		if step.State.HasJob() {
			r.jobIDs[i] = JobID(r.id, r.record.Salt, r.plan.Steps[i].Name, step.Repeat)
			k.runOfJob[r.jobIDs[i]] = r.id
		}
	}
	return true
}

// planOf is the plan of a record's document, from a small cache; nil if the document
// is refused.
func (k *Keeper) planOf(record *Record) *Plan {
	if p, ok := k.plans[record.Checksum]; ok {
		return p
	}
	p, _ := CompileJSON(record.Document)
	if len(k.planOrder) >= tuning.PlanCache {
		delete(k.plans, k.planOrder[0])
		k.planOrder = k.planOrder[1:]
	}
	k.plans[record.Checksum] = p
	k.planOrder = append(k.planOrder, record.Checksum)
	return p
}
