package queue

import (
	"encoding/json"
	"slices"

	"github.com/harrierreel/harrierreel/internal/book"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/lending"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// newLending is the keeping of loans, nil where the operators have not turned it on.
func (q *Queue) newLending(set *settings.Lending) *lending.Keeper {
	if set == nil {
		return nil
	}
	return lending.NewKeeper(q.Book, lending.Env{Limit: q.SliceLimit, Again: jobs.Seconds(set.AgainS), ByRank: set.ByRank, Log: q.Log, Busy: q.Busy, Ready: q.Ready, Begins: q.MayBegin,
		Elsewhere: func(t *book.Task) bool {
			zones := q.Zones(t.Job)
			zones[t.Site]--
			to := q.FindHost(t.Anywhere(), zones)
			return to != "" && to != t.Host && q.Cached(to, t.Job.Rec.Spec.Bundle)
		}})
}

// Prefixes are the keys that loans stand under, where there are any to read.
func (q *Queue) Prefixes() []string {
	if q.loans == nil {
		return nil
	}
	return []string{lending.Prefix}
}

// LoansChanged takes a record of loans in.
func (q *Queue) LoansChanged(key string, value json.RawMessage) {
	if q.loans != nil {
		q.loans.Changed(key, value)
	}
}

// lent is what a pass keeps of loans: rooms that are for one job only, and the machine
// on which room is made for a replica.
type lent struct {
	rooms    map[string][]*room // by job
	of       map[string]lending.Loan
	searches int // looks for somebody who lends
}

// room is a kept one; shut while the pass takes it for used.
type room struct {
	lending.Kept
	shut bool
}

// keepLoans has the loans looked at, and keeps their rooms from all but the jobs that
// they are for.
func (q *Queue) keepLoans(p *pass) {
	if q.loans == nil {
		return
	}
	waits := map[string]bool{}
	for _, w := range q.Waiting {
		waits[w.Task.Job.UID] = true
	}
	p.ds = append(p.ds, q.loans.Look(p.account, func(uid string) bool { return waits[uid] })...)
	p.lent = lent{rooms: map[string][]*room{}, of: map[string]lending.Loan{}}
	for _, l := range q.loans.Loans() {
		if l.ForBorrower() {
			p.lent.of[jobs.Piece(l.Job, l.N)] = l
		}
	}
	for _, k := range q.loans.Rooms() {
		r := &room{Kept: k}
		p.lent.rooms[k.Job] = append(p.lent.rooms[k.Job], r)
		p.held[k.Host] = true // nor kept for another besides
		q.shut(r)
	}
	// Before anything else is looked at: what is kept for others by this pass would
	// stand in the way on a machine that was made room on for this.
	for _, uid := range book.Sorted(p.lent.rooms) {
		if j := q.Queued[uid]; j != nil && q.Allows(p.writes(), 1) {
			q.placeLent(j, p)
		}
	}
}

// shut keeps a room from others: for a replica as long as it has no place, for a lender
// where there is room.
func (q *Queue) shut(r *room) {
	if r.Piece != "" {
		_, booked := q.Reserved[r.Piece]
		r.shut = !booked
	} else {
		m := q.Machines[r.Host]
		r.shut = m != nil && q.Builds[m.Build] != nil && q.Builds[m.Build].Whole().Sub(q.Used(r.Host)).Fits(r.Need)
	}
	if r.shut {
		q.Occupy(r.Host, r.Need)
	}
}

// open ends that for a moment.
func (q *Queue) open(r *room) {
	if r.shut {
		r.shut = false
		q.Vacate(r.Host, r.Need)
	}
}

// openRooms lets a job have the rooms that it lent and that are its own again; shutRooms
// keeps what is left of them.
func (q *Queue) openRooms(uid string, p *pass) {
	for _, r := range p.lent.rooms[uid] {
		if r.Piece == "" {
			q.open(r)
		}
	}
}

func (q *Queue) shutRooms(uid string, p *pass) {
	for _, r := range p.lent.rooms[uid] {
		if !r.shut {
			q.shut(r)
		}
	}
}

// placeLent gives replicas the rooms that were made for them, each by itself: which of
// a job's tasks goes where matters here.
func (q *Queue) placeLent(j *book.Job, p *pass) {
	spec := &j.Rec.Spec
	for _, r := range p.lent.rooms[j.UID] {
		m := q.Machines[r.Host]
		if r.Piece == "" || !r.shut || m == nil || q.Builds[m.Build] == nil {
			continue
		}
		t := q.waitingTask(j, r.Piece)
		if t == nil || !q.offers(t, m) || !book.ZoneAllowed(spec, q.Zones(j), m.Site) || !p.account.Allows(q.Leaf(spec), spec.Amount(), 1) {
			continue
		}
		if q.open(r); q.Builds[m.Build].Whole().Sub(q.Used(r.Host)).Fits(spec.Need()) {
			p.account.Charge(spec.Key(), spec.Amount(), 1)
			p.ds = append(p.ds, q.releasing(j, []offer{{t, r.Host}})...)
		}
		q.shut(r)
	}
}

// waitingTask is a task of a job by its name, if it waits and may be released now.
func (q *Queue) waitingTask(j *book.Job, piece string) *book.Task {
	for _, t := range q.pending(j, j.Rec.Spec.Pieces) {
		if t.Piece == piece {
			return t
		}
	}
	return nil
}

// unlent leaves out the tasks that room is being made for: those that would take what
// is free elsewhere would have had others stopped in vain. Not for long: a lender may
// hang.
func (q *Queue) unlent(tasks []*book.Task, p *pass) []*book.Task {
	return slices.DeleteFunc(tasks, func(t *book.Task) bool {
		l, asked := p.lent.of[t.Piece]
		return asked && q.Ms()-l.BeganMs < tuning.LoanSooner.Milliseconds()
	})
}

// lend has others lend room to a replica, on a machine with its image if onlyCached,
// within so many seconds if that is not 0. It tells whether one does.
func (q *Queue) lend(w *Waiting, onlyCached bool, inS float64, p *pass) bool {
	if _, asked := p.lent.of[w.Task.Piece]; asked || p.lent.searches >= tuning.MostLends {
		return asked
	}
	p.lent.searches++
	zones := w.zones
	if zones == nil {
		zones = q.zonesLent(w.Task.Job, p)
	}
	// What the pass has charged is only considered: who is beyond a guarantee is
	// counted from what truly runs.
	d, plan, ok := q.loans.Ask(&lending.Search{Task: w.Task, Rank: w.Rank, Entitled: w.Entitled, Account: lending.Leaving(q.Book, q.Account, p.stopping), Zones: zones,
		OnlyCached: onlyCached, InS: inS, Open: func(m *book.Machine) bool { return q.offers(w.Task, m) }, Stopping: p.stopping})
	if !ok {
		return false
	}
	for _, t := range plan.Tasks {
		p.stopping[t] = true
	}
	p.lent.of[w.Task.Piece] = lending.Loan{Job: w.Task.Job.UID, N: w.Task.N, Host: plan.Host, BeganMs: q.Ms()}
	q.preempted[w.Task.Piece] = making{q.Now.Add(tuning.PreemptAgain), onlyCached}
	zones[q.Machines[plan.Host].Site]++              // those that the look places next count it
	p.keep(q, plan.Host, w.Task.Job.Rec.Spec.Need()) // this room is no other's
	p.ds = append(p.ds, d)
	return true
}

// zonesLent counts a job's tasks by zone, with those that room is being made for and
// that look nowhere else: another that took their zone meanwhile would leave them none.
func (q *Queue) zonesLent(j *book.Job, p *pass) map[string]int {
	zones := q.Zones(j)
	for _, l := range p.lent.of {
		if m := q.Machines[l.Host]; l.Job == j.UID && m != nil && q.Ms()-l.BeganMs < tuning.LoanSooner.Milliseconds() {
			zones[m.Site]++
		}
	}
	return zones
}

// pullS is how long a machine would fetch a job's image, in seconds. Where serving
// counts, a replica's on a machine that fetches others takes longer.
func (q *Queue) pullS(m *book.Machine, build *jobs.Build, spec *jobs.Spec) float64 {
	if q.loans != nil && spec.Shape == jobs.Standing {
		return lending.PullS(q.Book, q.Now, m, build, spec)
	}
	return spec.PullGB / build.PullRate
}

// lendCached tells whether a replica should wait for a machine that holds its weights,
// and has one vacated, rather than fetch them on one that is free: when that is sooner
// by more than a little.
func (q *Queue) lendCached(w *Waiting, host string, p *pass) bool {
	spec := &w.Task.Job.Rec.Spec
	rate := q.Builds[q.Machines[host].Build].PullRate
	if q.Cached(host, spec.Bundle) || rate <= 0 {
		return false
	}
	within := q.pullS(q.Machines[host], q.Builds[q.Machines[host].Build], spec) - tuning.LoanSooner.Seconds()
	if l, asked := p.lent.of[w.Task.Piece]; asked {
		return q.Cached(l.Host, spec.Bundle) && float64(q.Ms()-l.BeganMs) < within*1000
	}
	if within <= 0 || q.Now.Before(q.preempted[w.Task.Piece].until) {
		return false
	}
	return q.lend(w, true, within, p)
}
