package pipelines

import (
	"encoding/json"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// JobView is a controller's view of a job that is live or whose record has not been removed yet.
type JobView struct {
	State         jobs.JobState
	Running, Done int  // numbers of tasks
	Probing       bool // has failed on every machine so far (jobs.TrustOf)
}

// Cluster gives the keeper information about jobs. It may lag behind the state service, so
// decisions based on it are conditional on the records.
type Cluster interface {
	// Job returns the view of a job that has a record in the mirror.
	Job(jobID string) (JobView, bool)
	// Why returns a description of what a live job waits for, or "".
	Why(jobID string) string
	// Final returns a job's final state, if it is in memory.
	Final(jobID string) (jobs.JobState, bool)
	// Infeasible returns the reason why a job can never run, or "".
	Infeasible(spec *jobs.Spec) string
}

// Limits are the limits on runs and on their records.
type Limits struct {
	Runs       int // live runs
	Steps      int // steps of live runs that have not ended
	ValueBytes int // size of a record
	TxnOps     int // puts and deletes in a transaction
}

// run is the in-memory state of a live run.
type run struct {
	id     string
	record *Record
	plan   *Plan    // nil unless owned
	jobIDs []string // current job of each step, "" for none; nil unless owned
	// jobStarts and doubtStarts hold, by index of the step, since when the steps' jobs have been
	// running and have been failing on every machine. The times are on the monotonic clock, from
	// when this controller took the run over, so that a jump of the wall clock can't end a step.
	jobStarts   map[int]time.Time
	doubtStarts map[int]time.Time
	readAt      map[int]time.Time // when a read of the step's job was last requested
	missing     map[int]bool      // steps whose job was found to have no record
	unexamined  bool              // not fully examined since it was loaded
	heldUntil   time.Time         // until then a user's cancellation takes precedence
}

// Keeper holds the live runs and advances those that its controller owns. It is not safe for
// concurrent use.
type Keeper struct {
	limits      Limits
	runs        map[string]*run
	quarantined map[string]bool   // runs whose records can't be read
	runOfJob    map[string]string // maps the jobs of owned runs to the IDs of the runs
	dirty       map[string]bool   // runs to examine
	lastSweep   time.Time
	budget      *rate.Limiter    // limits the operations per second
	openSteps   int              // steps of all runs that have not ended
	plans       map[string]*Plan // cache by document checksum, for the status of runs that others own
	planOrder   []string         // keys of plans, oldest first
}

// NewKeeper returns an empty keeper. Until SetRate is called, its rate is one operation per second.
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

// SetRate sets how many operations per second the runs may use.
func (k *Keeper) SetRate(now time.Time, perSecond float64) {
	k.budget.SetLimitAt(now, rate.Limit(perSecond))
}

// Changed applies a run's record; nil means that it was removed. If the record can't be read, an
// error is returned and the run is quarantined; other runs are not affected.
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
		r.inheritFrom(old)
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
		jobStarts:   map[int]time.Time{},
		doubtStarts: map[int]time.Time{},
		readAt:      map[int]time.Time{},
		missing:     map[int]bool{},
		unexamined:  true,
	}
}

// inheritFrom copies the state that stays valid from the run under its previous record. The start
// times of unchanged jobs are kept.
func (r *run) inheritFrom(old *run) {
	r.plan = old.plan
	r.heldUntil = old.heldUntil
	for i, step := range r.record.Steps {
		if i >= len(old.record.Steps) || old.record.Steps[i].Attempt != step.Attempt || !step.State.HasJob() {
			continue
		}
		if t, ok := old.jobStarts[i]; ok {
			r.jobStarts[i] = t
		}
		if t, ok := old.doubtStarts[i]; ok && step.DoubtedSinceMs != 0 {
			r.doubtStarts[i] = t
		}
	}
}

// decodeReusing is like Decode, but reuses the document of the run's previous record if it is the
// same.
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

// JobChanged marks the run of a job dirty because the job has changed.
func (k *Keeper) JobChanged(jobID string) {
	if id, ok := k.runOfJob[jobID]; ok {
		k.dirty[id] = true
	}
}

// JobMissing records that a read found no record of a job.
func (k *Keeper) JobMissing(jobID string) {
	if r := k.runs[k.runOfJob[jobID]]; r != nil {
		r.missing[slices.Index(r.jobIDs, jobID)] = true
		k.dirty[r.id] = true
	}
}

// Touch marks a run dirty.
func (k *Keeper) Touch(id string) { k.dirty[id] = true }

// OwnersChanged marks all runs dirty because some have another owner now.
func (k *Keeper) OwnersChanged() {
	for id := range k.runs {
		k.dirty[id] = true
	}
}

// Known returns the record of the live run with the given ID, or nil, and whether the run is
// quarantined because its record can't be read.
func (k *Keeper) Known(id string) (record *Record, quarantined bool) {
	if r := k.runs[id]; r != nil {
		return r.record, false
	}
	return nil, k.quarantined[id]
}

// HasRoom reports whether there is room for one more run with the given number of steps.
func (k *Keeper) HasRoom(steps int) bool {
	return len(k.runs) < k.limits.Runs && k.openSteps+steps <= k.limits.Steps
}

// load sets a run's plan and the IDs of its jobs. If this version rejects a document that another
// version has accepted, load quarantines the run and returns false.
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
			r.jobIDs[i] = JobID(r.id, r.record.Salt, r.plan.Steps[i].Name, step.Attempt)
			k.runOfJob[r.jobIDs[i]] = r.id
		}
	}
	return true
}

// planOf returns the plan of a record's document, from a small cache, or nil if the document is
// invalid.
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
