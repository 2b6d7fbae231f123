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

// Config holds the settings of a ledger.
type Config struct {
	// ValueBytes is the size limit of a value in the state service.
	ValueBytes int
	// RepeatAfter is how long a job that has lent is not asked to lend again.
	RepeatAfter time.Duration
	// ByPriority enables PROTOCOL's preemption by priority, which also applies without lending, for
	// replicas that no job can lend to. Such preemption may take teams below their guarantees.
	ByPriority bool
	Log        *slog.Logger
}

// Collaborators holds the interfaces through which a ledger uses the controller's queue.
type Collaborators struct {
	Transactions TransactionStatus
	Calendar     StartGate
	Placement    Placement
}

// TransactionStatus reports which records are part of a pending transaction.
type TransactionStatus interface {
	// Busy reports whether the record with a key is part of a pending transaction.
	Busy(key string) bool
}

// StartGate is the part of the release calendar that a ledger uses.
type StartGate interface {
	// MayBegin reports whether a job's tasks may start now.
	MayBegin(spec *jobs.Spec) bool
}

// Placement reports where tasks can be placed.
type Placement interface {
	// Ready reports whether a machine is reachable and takes new tasks.
	Ready(machine *clusterstate.Machine) bool
	// FitsElsewhere reports whether a replica fits on another machine that has its image.
	FitsElsewhere(replica *clusterstate.Task) bool
}

// Ledger is the leader's view of all loans. All of its decisions follow from the stored records: a
// new leader reads them and observes each loan again. It is not safe for concurrent use.
type Ledger struct {
	// ByPriority is Config.ByPriority.
	ByPriority bool

	state     *clusterstate.State
	config    Config
	pending   TransactionStatus
	calendar  StartGate
	placement Placement

	records   map[int]*LoanRecord // as stored, by number; nil for an unreadable record
	progress  map[int]progress    // loans that have advanced since they were stored, by loan ID
	written   map[int]bool        // numbers of the records written since the last Reconcile began
	requested map[string]int      // tasks stopped for loans since the last Reconcile began, by job
	nextID    int
	counts    Counts
	loggedAt  time.Time
}

// progress is how far a loan has advanced since it was stored.
type progress struct {
	stored  Loan
	current Loan
	since   time.Time // time of the first change that is not stored
}

// Counts holds the numbers of loan events under this leader, for the log.
type Counts struct {
	Requested int
	Lent      int
	Recalled  int
	Returned  int
	BrokenOff int
	// AcceleratorsTaken is the sum of the accelerators of all loans that began,
	// AcceleratorsReturned of those returned, AcceleratorsLost of those broken off.
	AcceleratorsTaken    float64
	AcceleratorsReturned float64
	AcceleratorsLost     float64
	// ExemptSearches is the number of searches that found no lender and skipped at least one job
	// because it had lent recently.
	ExemptSearches int
}

// NewLedger returns a ledger without loans for a controller's state; ApplyRecord adds the loans.
func NewLedger(state *clusterstate.State, config Config, collaborators Collaborators) *Ledger {
	return &Ledger{
		ByPriority: config.ByPriority,
		state:      state,
		config:     config,
		pending:    collaborators.Transactions,
		calendar:   collaborators.Calendar,
		placement:  collaborators.Placement,
		records:    map[int]*LoanRecord{},
		progress:   map[int]progress{},
		written:    map[int]bool{},
		requested:  map[string]int{},
	}
}

// ApplyRecord updates the ledger with a stored record; a nil value means that the record was
// deleted. A record that cannot be decoded is logged and quarantined: its loans are ignored and the
// record is never overwritten.
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

// Loans returns all loans in their current state, the oldest first.
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

// Counts returns the counts so far.
func (l *Ledger) Counts() Counts { return l.counts }

// progressOf returns the progress of a loan since it was stored. It returns false if there is none,
// or if the progress was made from another stored state.
func (l *Ledger) progressOf(stored Loan) (progress, bool) {
	known, ok := l.progress[stored.ID]
	same := known.stored.State == stored.State &&
		known.stored.SinceMs == stored.SinceMs &&
		known.stored.FreeMs == stored.FreeMs
	return known, ok && same
}

// current returns a stored loan in its current state.
func (l *Ledger) current(stored Loan) Loan {
	if known, ok := l.progressOf(stored); ok {
		return known.current
	}
	return stored
}

func live(job *clusterstate.Job) bool { return job.Record != nil && job.Record.State == jobs.Live }

// mayBegin reports whether a job's tasks may start now. While the job's calendar window is closed
// or only about to open, no room is reserved for it and no replica is called back for it: it could
// not use the room, and the queue prepares what it needs when the window opens.
func (l *Ledger) mayBegin(job *clusterstate.Job) bool {
	return live(job) && l.calendar.MayBegin(&job.Record.Spec)
}

// Reconcile advances every loan according to the records, and returns the decisions that store the
// loans and that call replicas back. waits reports whether a job found no room in the last pass of
// the queue.
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

// advance applies Observe to one loan until its state no longer changes.
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

// setProgress remembers a loan's current state until it is stored.
func (l *Ledger) setProgress(stored, current Loan) {
	since := l.state.Now
	if earlier, ok := l.progressOf(stored); ok {
		since = earlier.since
	}
	l.progress[current.ID] = progress{stored: stored, current: current, since: since}
}

// count counts and logs a loan's new state, if it differs from the state before.
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
	case Recalled:
		l.counts.Recalled++
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

// logCounts logs the counts every tuning.LoanLogEvery, if there has been any loan.
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
		"called_back", l.counts.Recalled,
		"returned", l.counts.Returned,
		"broken_off", l.counts.BrokenOff,
		"gpus_taken", l.counts.AcceleratorsTaken,
		"gpus_returned", l.counts.AcceleratorsReturned,
		"gpus_lost", l.counts.AcceleratorsLost,
		"spared", l.counts.ExemptSearches)
}

// currentRecord returns a record with the current state of its loans, without the expired ones.
func (l *Ledger) currentRecord(number int) *LoanRecord {
	current := &LoanRecord{}
	if record := l.records[number]; record != nil {
		for _, loan := range record.Loans {
			current.Loans = append(current.Loans, l.current(loan))
		}
	}
	return current.withoutExpired(l.state.NowMs(), l.config.RepeatAfter)
}

// recordWrite returns the write that stores a record, or deletes it if it has no loans. Like every
// write, it is conditional on the known revision of the record, so that the write of a former
// leader fails.
func (l *Ledger) recordWrite(number int, record *LoanRecord) store.Write {
	l.written[number] = true
	if len(record.Loans) == 0 {
		return decide.Remove(RecordKey(number))
	}
	return decide.Put(RecordKey(number), record)
}

// saveRecord returns the decision that stores the changes of a record's loans. Changes are
// collected for up to tuning.LoanSaveDelay before they are written, since a new leader can derive
// each of them again from the other records.
func (l *Ledger) saveRecord(number int) (decide.Decision, bool) {
	record := l.records[number]
	if record == nil || l.written[number] || l.pending.Busy(RecordKey(number)) {
		return decide.Decision{}, false
	}
	if !slices.ContainsFunc(record.Loans, l.saveDue) {
		return decide.Decision{}, false
	}
	return decide.Decision{Writes: []store.Write{l.recordWrite(number, l.currentRecord(number))}}, true
}

// saveDue reports whether a loan's record must be written: the loan has had unstored changes for
// tuning.LoanSaveDelay, or it is over and has expired, so that it can be removed.
func (l *Ledger) saveDue(stored Loan) bool {
	known, changed := l.progressOf(stored)
	if changed && l.state.Now.Sub(known.since) >= tuning.LoanSaveDelay {
		return true
	}
	ageMs := l.state.NowMs() - stored.BeganMs
	return stored.State.Final() && ageMs > (l.config.RepeatAfter+tuning.LoanLogEvery).Milliseconds()
}

func sortedKeys[V any](m map[int]V) []int {
	keys := make([]int, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
