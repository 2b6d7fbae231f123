package lending

import (
	"cmp"
	"encoding/json"
	"log/slog"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Config is the settings of a ledger.
type Config struct {
	// ValueBytes is the size limit of a value in the state service.
	ValueBytes int
	// RepeatAfter is how long a job that lent is not asked to lend again.
	RepeatAfter time.Duration
	// ByPriority: where nobody can lend, the preemption by priority of PROTOCOL goes on as
	// without lending, below guarantees too.
	ByPriority bool
	Log        *slog.Logger
}

// Collaborators are what a ledger needs of its queue.
type Collaborators struct {
	Records   TransactionStatus
	Calendar  StartGate
	Placement Placement
}

// TransactionStatus knows which records are under a transaction.
type TransactionStatus interface {
	// Busy tells whether a record is under a transaction.
	Busy(key string) bool
}

// StartGate is the release calendar.
type StartGate interface {
	// MayBegin tells whether a job's tasks may start now.
	MayBegin(spec *jobs.Spec) bool
}

// Placement knows where tasks can go.
type Placement interface {
	// Ready tells whether a machine is reachable and takes new tasks.
	Ready(machine *clusterstate.Machine) bool
	// FitsElsewhere tells whether a replica finds room on another machine that has its image.
	FitsElsewhere(replica *clusterstate.Task) bool
}

// Ledger is the leader's view of all loans. All that it decides from follows from the records:
// a new leader reads them and observes each loan anew. It is not safe for concurrent use.
type Ledger struct {
	// ByPriority is Config.ByPriority.
	ByPriority bool

	state     *clusterstate.State
	config    Config
	locks     TransactionStatus
	calendar  StartGate
	placement Placement

	records   map[int]*LoanRecord // as stored; nil for one that cannot be read
	progress  map[int]progress    // by loan ID: loans that have advanced since they were stored
	written   map[int]bool        // records written by this reconciliation
	requested map[string]int      // tasks that this reconciliation stops for loans, by job
	nextID    int
	counts    Counts
	loggedAt  time.Time
}

// progress is how far a loan has advanced since it was stored.
type progress struct {
	stored  Loan
	current Loan
	since   time.Time // of the first step that is not stored
}

// Counts is what has happened to loans under this leader, for the log.
type Counts struct {
	Requested  int
	Lent       int
	CalledBack int
	Returned   int
	BrokenOff  int
	// AcceleratorsTaken is the accelerators of all loans begun, AcceleratorsReturned of those
	// given back, AcceleratorsLost of those whose machine was gone before.
	AcceleratorsTaken    float64
	AcceleratorsReturned float64
	AcceleratorsLost     float64
	// SparedSearches counts the searches that found lenders only among the jobs that had
	// lent a short while ago.
	SparedSearches int
}

// NewLedger makes a ledger without loans over a controller's state; ApplyRecord fills it.
func NewLedger(state *clusterstate.State, config Config, collaborators Collaborators) *Ledger {
	return &Ledger{
		ByPriority: config.ByPriority,
		state:      state,
		config:     config,
		locks:      collaborators.Records,
		calendar:   collaborators.Calendar,
		placement:  collaborators.Placement,
		records:    map[int]*LoanRecord{},
		progress:   map[int]progress{},
		written:    map[int]bool{},
		requested:  map[string]int{},
	}
}

// ApplyRecord takes a stored record in, nil for one that is deleted. One that cannot be read is
// logged and quarantined: its loans are left alone and nothing is written over it.
func (l *Ledger) ApplyRecord(key string, value json.RawMessage) {
	number, ok := RecordNumber(key)
	if !ok {
		return
	}
	if value == nil {
		delete(l.records, number)
		return
	}
	record, err := Decode(value)
	if err != nil {
		l.config.Log.Error("loan record quarantined", "key", key, "error", err)
	}
	l.records[number] = record
	if record == nil {
		return
	}
	for _, loan := range record.Loans {
		l.nextID = max(l.nextID, loan.ID+1)
	}
}

// Loans lists the loans by age, as far as they have advanced.
func (l *Ledger) Loans() []Loan {
	var loans []Loan
	for _, number := range sortedKeys(l.records) {
		if record := l.records[number]; record != nil {
			for _, loan := range record.Loans {
				loans = append(loans, l.current(loan))
			}
		}
	}
	slices.SortFunc(loans, func(a, b Loan) int {
		return cmp.Or(cmp.Compare(a.BeganMs, b.BeganMs), cmp.Compare(a.ID, b.ID))
	})
	return loans
}

// Counts is what has been counted so far.
func (l *Ledger) Counts() Counts { return l.counts }

// progressOf is how far a loan has advanced since it was stored in this form, if it has.
func (l *Ledger) progressOf(stored Loan) (progress, bool) {
	found, ok := l.progress[stored.ID]
	same := found.stored.State == stored.State &&
		found.stored.SinceMs == stored.SinceMs &&
		found.stored.FreeMs == stored.FreeMs
	return found, ok && same
}

// current is a stored loan as far as it has advanced.
func (l *Ledger) current(stored Loan) Loan {
	if found, ok := l.progressOf(stored); ok {
		return found.current
	}
	return stored
}

func live(job *clusterstate.Job) bool { return job.Record != nil && job.Record.State == jobs.Live }

// mayBegin tells whether a job's tasks may start now. While its window is closed, or is only
// about to open, no room is reserved for it and no replica called back: it could not use the
// room, and what it needs at the opening is prepared by the queue.
func (l *Ledger) mayBegin(job *clusterstate.Job) bool {
	return live(job) && l.calendar.MayBegin(&job.Record.Spec)
}

// Reconcile advances every loan as far as the records say, and returns the decisions that store
// it and that call replicas back. waits tells whether a job found no room in the last pass
// of the queue.
func (l *Ledger) Reconcile(account *quota.Account, waits func(jobID string) bool) []decide.Decision {
	clear(l.written)
	clear(l.requested)
	stored := map[int]bool{}
	for _, number := range sortedKeys(l.records) {
		if l.records[number] == nil {
			continue
		}
		for _, loan := range l.records[number].Loans {
			stored[loan.ID] = true
			l.advance(loan)
		}
	}
	for id := range l.progress {
		if !stored[id] {
			delete(l.progress, id)
		}
	}
	decisions := l.callBack(account, waits)
	for _, number := range sortedKeys(l.records) {
		if decision, ok := l.saveRecord(number); ok {
			decisions = append(decisions, decision)
		}
	}
	l.logCounts()
	return decisions
}

// advance takes one loan as far as the records say.
func (l *Ledger) advance(stored Loan) {
	loan := l.current(stored)
	facts := l.facts(&loan)
	for {
		before := loan.State
		var changed bool
		if loan, changed = Next(loan, Observe, facts); !changed {
			return
		}
		l.setProgress(stored, loan)
		l.count(before, &loan)
	}
}

// setProgress keeps how far a loan has advanced until it is stored.
func (l *Ledger) setProgress(stored, current Loan) {
	since := l.state.Now
	if earlier, ok := l.progressOf(stored); ok {
		since = earlier.since
	}
	l.progress[current.ID] = progress{stored: stored, current: current, since: since}
}

// count counts and logs a loan's new state.
func (l *Ledger) count(before State, loan *Loan) {
	if before == loan.State {
		return
	}
	switch loan.State {
	case Requested:
		l.counts.Requested++
		l.counts.AcceleratorsTaken += loan.GPUs
	case Lent:
		l.counts.Lent++
	case CalledBack:
		l.counts.CalledBack++
	case Returned:
		l.counts.Returned++
		l.counts.AcceleratorsReturned += loan.GPUs
	case BrokenOff:
		l.counts.BrokenOff++
		l.counts.AcceleratorsLost += loan.GPUs
	case Wanted, Vacated:
	}
	l.config.Log.Debug("loan changed state",
		"loan_id", loan.ID,
		"state", string(loan.State),
		"task_id", jobs.TaskID(loan.Job, loan.TaskIndex),
		"machine", loan.Machine,
		"lender_job_id", loan.From[0].Job,
		"gpus", loan.GPUs,
		"reason", loan.Reason)
}

// logCounts logs the counts once a tuning.LoanLogEvery, if there was any loan.
func (l *Ledger) logCounts() {
	if l.state.Now.Sub(l.loggedAt) < tuning.LoanLogEvery {
		return
	}
	l.loggedAt = l.state.Now
	if l.counts == (Counts{}) {
		return
	}
	l.config.Log.Info("loans counted",
		"requested", l.counts.Requested,
		"lent", l.counts.Lent,
		"called_back", l.counts.CalledBack,
		"returned", l.counts.Returned,
		"broken_off", l.counts.BrokenOff,
		"gpus_taken", l.counts.AcceleratorsTaken,
		"gpus_returned", l.counts.AcceleratorsReturned,
		"gpus_lost", l.counts.AcceleratorsLost,
		"spared", l.counts.SparedSearches)
}

// currentRecord is what a record would be with all its loans as far as they have advanced.
func (l *Ledger) currentRecord(number int) *LoanRecord {
	current := &LoanRecord{}
	if record := l.records[number]; record != nil {
		for _, loan := range record.Loans {
			current.Loans = append(current.Loans, l.current(loan))
		}
	}
	return current.withoutExpired(l.state.NowMs(), l.config.RepeatAfter)
}

// recordWrite is the write of a record. As every write it is conditional on the revision that
// is known, so that a former leader's write fails.
func (l *Ledger) recordWrite(number int, record *LoanRecord) store.Write {
	l.written[number] = true
	if len(record.Loans) == 0 {
		return decide.Remove(RecordKey(number))
	}
	return decide.Put(RecordKey(number), record)
}

// saveRecord is the decision that stores what has changed in a record. Changes are gathered
// for tuning.LoanSave, since a new leader finds every step again from the records.
func (l *Ledger) saveRecord(number int) (decide.Decision, bool) {
	record := l.records[number]
	if record == nil || l.written[number] || l.locks.Busy(RecordKey(number)) {
		return decide.Decision{}, false
	}
	if !slices.ContainsFunc(record.Loans, l.saveDue) {
		return decide.Decision{}, false
	}
	return decide.Decision{Writes: []store.Write{l.recordWrite(number, l.currentRecord(number))}}, true
}

// saveDue tells whether a stored loan's record must be written for it: its progress has waited
// long enough, or it is over and can be dropped.
func (l *Ledger) saveDue(stored Loan) bool {
	found, changed := l.progressOf(stored)
	if changed && l.state.Now.Sub(found.since) >= tuning.LoanSave {
		return true
	}
	ageMs := l.state.NowMs() - stored.BeganMs
	return stored.State.Over() && ageMs > (l.config.RepeatAfter+tuning.LoanLogEvery).Milliseconds()
}

func sortedKeys[V any](m map[int]V) []int {
	keys := make([]int, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
