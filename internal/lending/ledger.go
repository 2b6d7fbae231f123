package lending

import (
	"cmp"
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/sharding"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Env is what the keeper is told from outside.
type Env struct {
	Limit int // bytes of a value of the shared state
	// Again: a job that lent is left alone for so long.
	Again time.Duration
	// ByPriority: where nobody can lend, PROTOCOL's preemption by rank goes on as without
	// lending, below guarantees too.
	ByPriority bool
	Log        *slog.Logger
	// Busy tells whether a record is under a transaction.
	Busy func(key string) bool
	// Ready tells whether a machine is heard and takes new tasks.
	Ready func(m *clusterstate.Machine) bool
	// Begins tells whether a job's work may begin now by the calendar; nil: all may.
	Begins func(s *jobs.Spec) bool
	// Elsewhere tells whether a replica finds room with its image on another machine.
	Elsewhere func(t *clusterstate.Task) bool
}

// Ledger is the leader's keeping of loans. What it keeps follows from the records: a
// new leader has the sheets and looks at each loan anew.
type Ledger struct {
	*clusterstate.State
	Env

	records   map[int]*LoanRecord // as stored; nil for one that cannot be read
	progress  map[int]ahead       // loans that have come further than what is stored
	written   map[int]bool        // sheets written by this look
	requested map[string]int      // tasks asked for by this look, by job
	nextID    int
	counted   Counts
	loggedAt  time.Time
}

// ahead is how far a loan has come since it was stored.
type ahead struct {
	from, to Loan
	at       time.Time
}

// Counts is what has happened to loans under this leader, for the log.
type Counts struct {
	Requested, Lent, CalledBack, Returned, BrokenOff          int
	AcceleratorsTaken, AcceleratorsReturned, AcceleratorsLost float64 // accelerators: taken, given back, gone with their machines
	SparedSearches                                            int     // looks that found a lender only among those that lent of late
}

// NewLedger makes the keeping of loans over a book.
func NewLedger(b *clusterstate.State, env Env) *Ledger {
	return &Ledger{
		State:     b,
		Env:       env,
		records:   map[int]*LoanRecord{},
		progress:  map[int]ahead{},
		written:   map[int]bool{},
		requested: map[string]int{},
	}
}

// ApplyRecord takes a sheet in, nil for one that is gone. One that cannot be read is told
// and set aside: its loans are left alone and nothing is written over it.
func (k *Ledger) ApplyRecord(key string, value json.RawMessage) {
	n, ok := RecordNumber(key)
	if !ok {
		return
	}
	if value == nil {
		delete(k.records, n)
		return
	}
	s, err := Decode(value)
	if err != nil {
		k.Log.Error("unreadable loans set aside", "key", key, "error", err)
	}
	k.records[n] = s
	if s != nil {
		for _, l := range s.Loans {
			k.nextID = max(k.nextID, l.ID+1)
		}
	}
}

// Loans lists the loans by age, as far as they have come.
func (k *Ledger) Loans() []Loan {
	var out []Loan
	for _, n := range sortedKeys(k.records) {
		if s := k.records[n]; s != nil {
			for _, l := range s.Loans {
				out = append(out, k.current(l))
			}
		}
	}
	slices.SortFunc(out, func(a, b Loan) int { return cmp.Or(cmp.Compare(a.BeganMs, b.BeganMs), cmp.Compare(a.ID, b.ID)) })
	return out
}

// progressOf is how far a loan has come since it was stored as it is, if it has.
func (k *Ledger) progressOf(l Loan) (ahead, bool) {
	a, ok := k.progress[l.ID]
	return a, ok && a.from.State == l.State && a.from.SinceMs == l.SinceMs && a.from.FreeMs == l.FreeMs
}

// current is a stored loan as far as it has come.
func (k *Ledger) current(l Loan) Loan {
	if a, ok := k.progressOf(l); ok {
		return a.to
	}
	return l
}

// facts is what the records say about a loan.
func (k *Ledger) facts(l *Loan) Facts {
	f := Facts{NowMs: k.NowMs()}
	m := k.Machines[l.Machine]
	f.MachineGone = m == nil || m.State == fleet.Deleting || m.State == fleet.Deleted
	f.MachineDoubtful = !f.MachineGone && (m.State == fleet.Warned || m.State == fleet.Faulty)
	if j := k.Jobs[l.Job]; j != nil {
		t := j.Active[l.TaskIndex]
		_, booked := k.Reservations[jobs.TaskID(l.Job, l.TaskIndex)]
		f.ReplicaOnMachine = t != nil && t.OnMachine() && t.Machine == l.Machine
		f.ReplicaReleased = t != nil && t.State == jobs.Released && t.PreferredMachine == l.Machine ||
			booked && k.Reservations[jobs.TaskID(l.Job, l.TaskIndex)].Machine == l.Machine
		f.ReplicaWaits = t == nil && !booked && k.mayBegin(j) && l.TaskIndex < j.Record.Spec.TaskCount
	}
	for _, s := range l.From {
		j := k.Jobs[s.Job]
		if j == nil {
			continue
		}
		f.LenderWaits = f.LenderWaits || k.mayBegin(j) && k.Queued[s.Job] == j
		for _, t := range k.TasksOnMachine[l.Machine] {
			if t.Job == j {
				f.LenderLeaving = f.LenderLeaving || t.State == jobs.Stopping
				f.LenderBack = f.LenderBack || t.State == jobs.Placed && l.FreeMs > 0 && t.Since.UnixMilli() >= l.FreeMs
			}
		}
	}
	return f
}

func live(j *clusterstate.Job) bool { return j.Record != nil && j.Record.State == jobs.Live }

// mayBegin tells whether a job's work may begin now. While its window is shut, or is only
// about to open, no room is kept for it and no replica called back: it could not come,
// and what it needs at its opening is prepared by the queue.
func (k *Ledger) mayBegin(j *clusterstate.Job) bool {
	return live(j) && (k.Begins == nil || k.Begins(&j.Record.Spec))
}

// Reconcile brings every loan as far as the records say, and returns what is to be written
// and whom to call back. waits tells whether a job found no room in the last look at
// the queue.
func (k *Ledger) Reconcile(account *quota.Account, waits func(jobID string) bool) []decide.Decision {
	clear(k.written)
	clear(k.requested)
	stored := map[int]bool{}
	for _, n := range sortedKeys(k.records) {
		if k.records[n] == nil {
			continue
		}
		for _, l := range k.records[n].Loans {
			stored[l.ID] = true
			k.advance(l)
		}
	}
	for id := range k.progress {
		if !stored[id] {
			delete(k.progress, id)
		}
	}
	ds := k.callBack(account, waits)
	for _, n := range sortedKeys(k.records) {
		if d, ok := k.saveRecord(n); ok {
			ds = append(ds, d)
		}
	}
	k.logCounts()
	return ds
}

// advance looks at one loan.
func (k *Ledger) advance(stored Loan) {
	l := k.current(stored)
	f := k.facts(&l)
	for moved := true; moved; {
		was := l.State
		if l, moved = Next(l, Observe, f); moved {
			k.keepProgress(stored, l)
			k.count(was, &l)
		}
	}
}

// keepProgress keeps how far a loan has come until it is stored.
func (k *Ledger) keepProgress(stored, l Loan) {
	at := k.Now
	if a, ok := k.progressOf(stored); ok {
		at = a.at
	}
	k.progress[l.ID] = ahead{stored, l, at}
}

// count notes a loan's new state.
func (k *Ledger) count(was State, l *Loan) {
	if was == l.State {
		return
	}
	switch l.State {
	case Asked:
		k.counted.Requested++
		k.counted.AcceleratorsTaken += l.GPUs
	case Lent:
		k.counted.Lent++
	case CalledBack:
		k.counted.CalledBack++
	case Returned:
		k.counted.Returned++
		k.counted.AcceleratorsReturned += l.GPUs
	case BrokenOff:
		k.counted.BrokenOff++
		k.counted.AcceleratorsLost += l.GPUs
	case Wanted, Vacated:
	}
	k.Log.Debug("loan",
		"id", l.ID, "state", string(l.State), "for", jobs.TaskID(l.Job, l.TaskIndex), "machine", l.Machine,
		"from", l.From[0].Job, "gpus", l.GPUs, "why", l.Reason)
}

// Counts is what has been counted so far.
func (k *Ledger) Counts() Counts { return k.counted }

// logCounts tells the counts once a minute, if any loan was asked for.
func (k *Ledger) logCounts() {
	if k.Now.Sub(k.loggedAt) < tuning.LoanLogEvery {
		return
	}
	k.loggedAt = k.Now
	if c := k.counted; c != (Counts{}) {
		k.Log.Info("loans",
			"asked", c.Requested, "lent", c.Lent, "called_back", c.CalledBack, "returned", c.Returned,
			"broken_off", c.BrokenOff, "gpus_taken", c.AcceleratorsTaken, "gpus_given", c.AcceleratorsReturned, "gpus_gone", c.AcceleratorsLost,
			"spared", c.SparedSearches)
	}
}

// currentRecord is what a sheet would be with all loans as far as they have come.
func (k *Ledger) currentRecord(n int) *LoanRecord {
	out := &LoanRecord{}
	if s := k.records[n]; s != nil {
		for _, l := range s.Loans {
			out.Loans = append(out.Loans, k.current(l))
		}
	}
	return out.withoutExpired(k.NowMs(), k.Again)
}

// recordWrite is the record of a sheet. It is conditional on the version that is known, as
// every write is, so an old leader's sheet comes to nothing.
func (k *Ledger) recordWrite(n int, s *LoanRecord) store.Write {
	k.written[n] = true
	if len(s.Loans) == 0 {
		return decide.Remove(RecordKey(n))
	}
	return decide.Put(RecordKey(n), s)
}

// saveRecord is the decision that stores what has changed on a sheet: gathered for a while,
// since every step is found again from the records.
func (k *Ledger) saveRecord(n int) (decide.Decision, bool) {
	s := k.records[n]
	if s == nil || k.written[n] || k.Busy(RecordKey(n)) {
		return decide.Decision{}, false
	}
	due := false
	for _, l := range s.Loans {
		a, changed := k.progressOf(l)
		due = due || changed && k.Now.Sub(a.at) >= tuning.LoanSave ||
			l.State.Over() && k.NowMs()-l.BeganMs > (k.Again+tuning.LoanLogEvery).Milliseconds()
	}
	if !due {
		return decide.Decision{}, false
	}
	return decide.Decision{Writes: []store.Write{k.recordWrite(n, k.currentRecord(n))}}, true
}

// openRecord is a sheet that takes another loan now.
func (k *Ledger) openRecord() (int, bool) {
	for n := range tuning.LoanRecords {
		s, known := k.records[n]
		if known && s == nil || k.written[n] || k.Busy(RecordKey(n)) {
			continue
		}
		if k.currentRecord(n).hasRoom(k.Limit) {
			return n, true
		}
	}
	return 0, false
}

// recentlyLent is how many tasks each job has lent of late.
func (k *Ledger) recentlyLent() map[string]int {
	out := maps.Clone(k.requested)
	for _, l := range k.Loans() {
		if k.NowMs()-l.BeganMs < k.Again.Milliseconds() {
			for _, f := range l.From {
				out[f.Job] += f.Tasks
			}
		}
	}
	return out
}

// maxLentTasks is how many of a job's tasks may be lent in the time that a job is left alone
// for: all of a gang or one task alone, once; of a sweep, whose tasks do not need one
// another, a share.
func maxLentTasks(spec *jobs.Spec) int {
	if spec.Kind != jobs.JobArray {
		return 1
	}
	return max(1, int(tuning.SweepLends*float64(spec.TaskCount)))
}

// For is the loan that makes room for a replica, if there is one.
func (k *Ledger) For(jobID string, n int) (Loan, bool) {
	for _, l := range k.Loans() {
		if l.Job == jobID && l.TaskIndex == n && l.ForBorrower() {
			return l, true
		}
	}
	return Loan{}, false
}

// Ask is the decision that begins a loan: its record and the stops of all that give,
// gangs whole, in one transaction. False if nobody can give, or none can be kept.
func (k *Ledger) Ask(s *Search) (decide.Decision, Plan, bool) {
	n, ok := k.openRecord()
	if !ok {
		return decide.Decision{}, Plan{}, false
	}
	lent := k.recentlyLent()
	met := false
	s.Spared = func(j *clusterstate.Job) bool {
		spared := lent[j.ID] >= maxLentTasks(&j.Record.Spec)
		met = met || spared
		return spared
	}
	s.Busy, s.Now = k.Busy, k.Now
	s.Known = func(m *clusterstate.Machine) bool { return k.Ready(m) }
	plan, ok := Choose(k.State, s)
	if !ok && plan.Machine != "" {
		plan.From = k.leavingGangShares(plan.Machine, s.Task.Job.Record.Spec.Accelerators)
	}
	if len(plan.From) == 0 {
		if met {
			k.counted.SparedSearches++
		}
		return decide.Decision{}, Plan{}, false
	}
	l := Loan{ID: k.nextID, Job: s.Task.Job.ID, TaskIndex: s.Task.Index, Machine: plan.Machine, From: plan.From}
	for _, f := range plan.From {
		l.GPUs += f.GPUs
	}
	l, _ = Next(l, Request, Facts{NowMs: k.NowMs()})
	d := decide.Decision{ReadSet: []string{jobs.JobPrefix + l.Job, fleet.MachinePrefix + l.Machine}}
	for _, t := range plan.Tasks {
		next, ok := jobs.NextTask(t.Task, jobs.TaskEvent{Kind: jobs.Stop, Reason: "lends its place to " + s.Task.ID})
		if !ok {
			return decide.Decision{}, Plan{}, false
		}
		d.Changes = append(d.Changes, decide.Change{Task: t, Next: next})
	}
	sheet := k.currentRecord(n)
	sheet.Loans = append(sheet.Loans, l)
	d.Writes = []store.Write{k.recordWrite(n, sheet)}
	d.OnSettled = func(ok bool) {
		if ok {
			k.count(Wanted, &l)
		}
	}
	for _, f := range plan.From {
		k.requested[f.Job] += f.Tasks
	}
	k.nextID++
	return d, plan, true
}

// leavingGangShares is what gangs that lend have on a machine and are leaving: one that gave
// whole for one replica gives its other machines to those that wait next.
func (k *Ledger) leavingGangShares(machine string, gpus float64) []Share {
	for _, taskID := range clusterstate.SortedKeys(k.TasksOnMachine[machine]) {
		t := k.TasksOnMachine[machine][taskID]
		if t.State == jobs.Stopping && t.Job.Record != nil && t.Job.Record.Spec.IsGang() && k.lends(t.Job.ID) {
			return []Share{{Job: t.Job.ID, GPUs: min(gpus, t.Job.Record.Spec.Accelerators)}}
		}
	}
	return nil
}

// lends tells whether a job gave for a loan that is not over.
func (k *Ledger) lends(jobID string) bool {
	return slices.ContainsFunc(k.Loans(), func(l Loan) bool {
		return !l.State.Over() && slices.ContainsFunc(l.From, func(s Share) bool { return s.Job == jobID })
	})
}

// KeptRoom is room on a machine that is for one job's tasks only.
type KeptRoom struct {
	Job       string
	Machine   string
	Resources sharding.Resources
	// TaskID is the replica that a room is for, none where it is a lender's.
	TaskID string
}

// Rooms lists the rooms that are kept, in order of the loans: for replicas while their
// room is made, then for a while for those that gave it.
func (k *Ledger) Rooms() []KeptRoom {
	var out []KeptRoom
	for _, l := range k.Loans() {
		if j := k.Jobs[l.Job]; l.ForBorrower() && j != nil && k.mayBegin(j) && j.Active[l.TaskIndex] == nil &&
			k.Machines[l.Machine] != nil {
			out = append(out, KeptRoom{l.Job, l.Machine, j.Record.Spec.Resources(), jobs.TaskID(l.Job, l.TaskIndex)})
		}
		if !l.ForLender() || k.Machines[l.Machine] == nil {
			continue
		}
		for _, s := range l.From {
			j := k.Jobs[s.Job]
			if j == nil || !k.mayBegin(j) || k.Queued[s.Job] != j {
				continue
			}
			need := j.Record.Spec.Resources()
			for left := s.GPUs; left > 0 || left == s.GPUs; left -= need.Accelerators {
				out = append(out, KeptRoom{s.Job, l.Machine, need, ""})
				if need.Accelerators <= 0 {
					break
				}
			}
		}
	}
	return out
}
