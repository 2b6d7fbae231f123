package lending

import (
	"cmp"
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/book"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/parts"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Env is what the keeper is told from outside.
type Env struct {
	Limit int // bytes of a value of the shared state
	// Again: a job that lent is left alone for so long.
	Again time.Duration
	// ByRank: where nobody can lend, PROTOCOL's preemption by rank goes on as without
	// lending, below guarantees too.
	ByRank bool
	Log    *slog.Logger
	// Busy tells whether a record is under a transaction.
	Busy func(key string) bool
	// Ready tells whether a machine is heard and takes new tasks.
	Ready func(m *book.Machine) bool
	// Begins tells whether a job's work may begin now by the calendar; nil: all may.
	Begins func(s *jobs.Spec) bool
	// Elsewhere tells whether a replica finds room with its image on another machine.
	Elsewhere func(t *book.Task) bool
}

// Keeper is the leader's keeping of loans. What it keeps follows from the records: a
// new leader has the sheets and looks at each loan anew.
type Keeper struct {
	*book.Book
	Env

	sheets  map[int]*Sheet // as stored; nil for one that cannot be read
	ahead   map[int]ahead  // loans that have come further than what is stored
	taken   map[int]bool   // sheets written by this look
	asking  map[string]int // tasks asked for by this look, by job
	nextID  int
	counted Counts
	said    time.Time
}

// ahead is how far a loan has come since it was stored.
type ahead struct {
	from, to Loan
	at       time.Time
}

// Counts is what has happened to loans under this leader, for the log.
type Counts struct {
	Asked, Lent, CalledBack, Returned, BrokenOff int
	Taken, Given, Lost                           float64 // accelerators: taken, given back, gone with their machines
	Spared                                       int     // looks that found a lender only among those that lent of late
}

// NewKeeper makes the keeping of loans over a book.
func NewKeeper(b *book.Book, env Env) *Keeper {
	return &Keeper{Book: b, Env: env, sheets: map[int]*Sheet{}, ahead: map[int]ahead{}, taken: map[int]bool{}, asking: map[string]int{}}
}

// Changed takes a sheet in, nil for one that is gone. One that cannot be read is told
// and set aside: its loans are left alone and nothing is written over it.
func (k *Keeper) Changed(key string, value json.RawMessage) {
	n, ok := SheetOf(key)
	if !ok {
		return
	}
	if value == nil {
		delete(k.sheets, n)
		return
	}
	s, err := Decode(value)
	if err != nil {
		k.Log.Error("unreadable loans set aside", "key", key, "error", err)
	}
	k.sheets[n] = s
	if s != nil {
		for _, l := range s.Loans {
			k.nextID = max(k.nextID, l.ID+1)
		}
	}
}

// Loans lists the loans by age, as far as they have come.
func (k *Keeper) Loans() []Loan {
	var out []Loan
	for _, n := range sortedKeys(k.sheets) {
		if s := k.sheets[n]; s != nil {
			for _, l := range s.Loans {
				out = append(out, k.now(l))
			}
		}
	}
	slices.SortFunc(out, func(a, b Loan) int { return cmp.Or(cmp.Compare(a.BeganMs, b.BeganMs), cmp.Compare(a.ID, b.ID)) })
	return out
}

// come is how far a loan has come since it was stored as it is, if it has.
func (k *Keeper) come(l Loan) (ahead, bool) {
	a, ok := k.ahead[l.ID]
	return a, ok && a.from.State == l.State && a.from.SinceMs == l.SinceMs && a.from.FreeMs == l.FreeMs
}

// now is a stored loan as far as it has come.
func (k *Keeper) now(l Loan) Loan {
	if a, ok := k.come(l); ok {
		return a.to
	}
	return l
}

// facts is what the records say about a loan.
func (k *Keeper) facts(l *Loan) Facts {
	f := Facts{NowMs: k.Ms()}
	m := k.Machines[l.Host]
	f.Gone = m == nil || m.State == fleet.Deleting || m.State == fleet.Deleted
	f.Doubtful = !f.Gone && (m.State == fleet.Warned || m.State == fleet.Faulty)
	if j := k.Jobs[l.Job]; j != nil {
		t := j.Active[l.N]
		_, booked := k.Reserved[jobs.Piece(l.Job, l.N)]
		f.On = t != nil && t.On() && t.Host == l.Host
		f.Coming = t != nil && t.State == jobs.Released && t.Want == l.Host || booked && k.Reserved[jobs.Piece(l.Job, l.N)].Host == l.Host
		f.Waits = t == nil && !booked && k.begins(j) && l.N < j.Rec.Spec.Pieces
	}
	for _, s := range l.From {
		j := k.Jobs[s.Job]
		if j == nil {
			continue
		}
		f.LenderWaits = f.LenderWaits || k.begins(j) && k.Queued[s.Job] == j
		for _, t := range k.OnHost[l.Host] {
			if t.Job == j {
				f.Leaving = f.Leaving || t.State == jobs.Stopping
				f.LenderBack = f.LenderBack || t.State == jobs.Placed && l.FreeMs > 0 && t.Since.UnixMilli() >= l.FreeMs
			}
		}
	}
	return f
}

func live(j *book.Job) bool { return j.Rec != nil && j.Rec.State == jobs.Live }

// begins tells whether a job's work may begin now. While its window is shut, or is only
// about to open, no room is kept for it and no replica called back: it could not come,
// and what it needs at its opening is prepared by the queue.
func (k *Keeper) begins(j *book.Job) bool {
	return live(j) && (k.Begins == nil || k.Begins(&j.Rec.Spec))
}

// Look brings every loan as far as the records say, and returns what is to be written
// and whom to call back. waits tells whether a job found no room in the last look at
// the queue.
func (k *Keeper) Look(account *quota.Account, waits func(uid string) bool) []decide.Decision {
	clear(k.taken)
	clear(k.asking)
	stored := map[int]bool{}
	for _, n := range sortedKeys(k.sheets) {
		if k.sheets[n] == nil {
			continue
		}
		for _, l := range k.sheets[n].Loans {
			stored[l.ID] = true
			k.step(l)
		}
	}
	for id := range k.ahead {
		if !stored[id] {
			delete(k.ahead, id)
		}
	}
	ds := k.callBack(account, waits)
	for _, n := range sortedKeys(k.sheets) {
		if d, ok := k.save(n); ok {
			ds = append(ds, d)
		}
	}
	k.say()
	return ds
}

// step looks at one loan.
func (k *Keeper) step(stored Loan) {
	l := k.now(stored)
	f := k.facts(&l)
	for moved := true; moved; {
		was := l.State
		if l, moved = Next(l, Look, f); moved {
			k.note(stored, l)
			k.count(was, &l)
		}
	}
}

// note keeps how far a loan has come until it is stored.
func (k *Keeper) note(stored, l Loan) {
	at := k.Now
	if a, ok := k.come(stored); ok {
		at = a.at
	}
	k.ahead[l.ID] = ahead{stored, l, at}
}

// count notes a loan's new state.
func (k *Keeper) count(was State, l *Loan) {
	if was == l.State {
		return
	}
	switch l.State {
	case Asked:
		k.counted.Asked++
		k.counted.Taken += l.GPUs
	case Lent:
		k.counted.Lent++
	case CalledBack:
		k.counted.CalledBack++
	case Returned:
		k.counted.Returned++
		k.counted.Given += l.GPUs
	case BrokenOff:
		k.counted.BrokenOff++
		k.counted.Lost += l.GPUs
	case Wanted, Vacated:
	}
	k.Log.Debug("loan", "id", l.ID, "state", string(l.State), "for", jobs.Piece(l.Job, l.N), "machine", l.Host, "from", l.From[0].Job, "gpus", l.GPUs, "why", l.Why)
}

// Counts is what has been counted so far.
func (k *Keeper) Counts() Counts { return k.counted }

// say tells the counts once a minute, if any loan was asked for.
func (k *Keeper) say() {
	if k.Now.Sub(k.said) < tuning.LoansSaid {
		return
	}
	k.said = k.Now
	if c := k.counted; c != (Counts{}) {
		k.Log.Info("loans", "asked", c.Asked, "lent", c.Lent, "called_back", c.CalledBack, "returned", c.Returned, "broken_off", c.BrokenOff,
			"gpus_taken", c.Taken, "gpus_given", c.Given, "gpus_gone", c.Lost, "spared", c.Spared)
	}
}

// sheet is what a sheet would be with all loans as far as they have come.
func (k *Keeper) sheet(n int) *Sheet {
	out := &Sheet{}
	if s := k.sheets[n]; s != nil {
		for _, l := range s.Loans {
			out.Loans = append(out.Loans, k.now(l))
		}
	}
	return out.without(k.Ms(), k.Again)
}

// write is the record of a sheet. It is conditional on the version that is known, as
// every write is, so an old leader's sheet comes to nothing.
func (k *Keeper) write(n int, s *Sheet) store.Write {
	k.taken[n] = true
	if len(s.Loans) == 0 {
		return decide.Remove(Key(n))
	}
	return decide.Put(Key(n), s)
}

// save is the decision that stores what has changed on a sheet: gathered for a while,
// since every step is found again from the records.
func (k *Keeper) save(n int) (decide.Decision, bool) {
	s := k.sheets[n]
	if s == nil || k.taken[n] || k.Busy(Key(n)) {
		return decide.Decision{}, false
	}
	due := false
	for _, l := range s.Loans {
		a, changed := k.come(l)
		due = due || changed && k.Now.Sub(a.at) >= tuning.LoanSave ||
			l.State.Over() && k.Ms()-l.BeganMs > (k.Again+tuning.LoansSaid).Milliseconds()
	}
	if !due {
		return decide.Decision{}, false
	}
	return decide.Decision{Writes: []store.Write{k.write(n, k.sheet(n))}}, true
}

// open is a sheet that takes another loan now.
func (k *Keeper) open() (int, bool) {
	for n := range tuning.LoanSheets {
		s, known := k.sheets[n]
		if known && s == nil || k.taken[n] || k.Busy(Key(n)) {
			continue
		}
		if k.sheet(n).fits(k.Limit) {
			return n, true
		}
	}
	return 0, false
}

// lent is how many tasks each job has lent of late.
func (k *Keeper) lent() map[string]int {
	out := maps.Clone(k.asking)
	for _, l := range k.Loans() {
		if k.Ms()-l.BeganMs < k.Again.Milliseconds() {
			for _, f := range l.From {
				out[f.Job] += f.Tasks
			}
		}
	}
	return out
}

// most is how many of a job's tasks may be lent in the time that a job is left alone
// for: all of a gang or one task alone, once; of a sweep, whose tasks do not need one
// another, a share.
func most(spec *jobs.Spec) int {
	if spec.Shape != jobs.Sweep {
		return 1
	}
	return max(1, int(tuning.SweepLends*float64(spec.Pieces)))
}

// For is the loan that makes room for a replica, if there is one.
func (k *Keeper) For(uid string, n int) (Loan, bool) {
	for _, l := range k.Loans() {
		if l.Job == uid && l.N == n && l.ForBorrower() {
			return l, true
		}
	}
	return Loan{}, false
}

// Ask is the decision that begins a loan: its record and the stops of all that give,
// gangs whole, in one transaction. False if nobody can give, or none can be kept.
func (k *Keeper) Ask(s *Search) (decide.Decision, Plan, bool) {
	n, ok := k.open()
	if !ok {
		return decide.Decision{}, Plan{}, false
	}
	lent := k.lent()
	met := false
	s.Spared = func(j *book.Job) bool {
		spared := lent[j.UID] >= most(&j.Rec.Spec)
		met = met || spared
		return spared
	}
	s.Busy, s.Now = k.Busy, k.Now
	s.Told = func(m *book.Machine) bool { return k.Ready(m) }
	plan, ok := Choose(k.Book, s)
	if !ok && plan.Host != "" {
		plan.From = k.gangLeaves(plan.Host, s.Task.Job.Rec.Spec.Accel)
	}
	if len(plan.From) == 0 {
		if met {
			k.counted.Spared++
		}
		return decide.Decision{}, Plan{}, false
	}
	l := Loan{ID: k.nextID, Job: s.Task.Job.UID, N: s.Task.N, Host: plan.Host, From: plan.From}
	for _, f := range plan.From {
		l.GPUs += f.GPUs
	}
	l, _ = Next(l, Ask, Facts{NowMs: k.Ms()})
	d := decide.Decision{Seen: []string{jobs.JobPrefix + l.Job, fleet.HostPrefix + l.Host}}
	for _, t := range plan.Tasks {
		next, ok := jobs.NextTask(t.Task, jobs.TaskEvent{Kind: jobs.Stop, Why: "lends its place to " + s.Task.Piece})
		if !ok {
			return decide.Decision{}, Plan{}, false
		}
		d.Changes = append(d.Changes, decide.Change{Task: t, Next: next})
	}
	sheet := k.sheet(n)
	sheet.Loans = append(sheet.Loans, l)
	d.Writes = []store.Write{k.write(n, sheet)}
	d.Done = func(ok bool) {
		if ok {
			k.count(Wanted, &l)
		}
	}
	for _, f := range plan.From {
		k.asking[f.Job] += f.Tasks
	}
	k.nextID++
	return d, plan, true
}

// gangLeaves is what gangs that lend have on a machine and are leaving: one that gave
// whole for one replica gives its other machines to those that wait next.
func (k *Keeper) gangLeaves(host string, gpus float64) []Share {
	for _, piece := range book.Sorted(k.OnHost[host]) {
		t := k.OnHost[host][piece]
		if t.State == jobs.Stopping && t.Job.Rec != nil && t.Job.Rec.Spec.Gang() && k.lends(t.Job.UID) {
			return []Share{{Job: t.Job.UID, GPUs: min(gpus, t.Job.Rec.Spec.Accel)}}
		}
	}
	return nil
}

// lends tells whether a job gave for a loan that is not over.
func (k *Keeper) lends(uid string) bool {
	return slices.ContainsFunc(k.Loans(), func(l Loan) bool {
		return !l.State.Over() && slices.ContainsFunc(l.From, func(s Share) bool { return s.Job == uid })
	})
}

// Kept is room on a machine that is for one job's tasks only.
type Kept struct {
	Job  string
	Host string
	Need parts.Room
	// Piece is the replica that a room is for, none where it is a lender's.
	Piece string
}

// Rooms lists the rooms that are kept, in order of the loans: for replicas while their
// room is made, then for a while for those that gave it.
func (k *Keeper) Rooms() []Kept {
	var out []Kept
	for _, l := range k.Loans() {
		if j := k.Jobs[l.Job]; l.ForBorrower() && j != nil && k.begins(j) && j.Active[l.N] == nil && k.Machines[l.Host] != nil {
			out = append(out, Kept{l.Job, l.Host, j.Rec.Spec.Need(), jobs.Piece(l.Job, l.N)})
		}
		if !l.ForLender() || k.Machines[l.Host] == nil {
			continue
		}
		for _, s := range l.From {
			j := k.Jobs[s.Job]
			if j == nil || !k.begins(j) || k.Queued[s.Job] != j {
				continue
			}
			need := j.Rec.Spec.Need()
			for left := s.GPUs; left > 0 || left == s.GPUs; left -= need.Accelerators {
				out = append(out, Kept{s.Job, l.Host, need, ""})
				if need.Accelerators <= 0 {
					break
				}
			}
		}
	}
	return out
}
