package queue

import (
	"encoding/json"
	"slices"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/lending"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// newLending is the keeping of loans, nil where the operators have not turned it on.
func (q *Queue) newLending(set *settings.Lending) *lending.Ledger {
	if set == nil {
		return nil
	}
	return lending.NewLedger(q.State, lending.Env{
		Limit:      q.ValueBytes,
		Again:      jobs.Seconds(set.AgainS),
		ByPriority: set.ByPriority,
		Log:        q.Log,
		Busy:       q.Busy,
		Ready:      q.Ready,
		Begins:     q.MayBegin,
		Elsewhere: func(t *clusterstate.Task) bool {
			zones := q.TasksByZone(t.Job)
			zones[t.Zone]--
			to := q.FindMachine(t.WithoutPreference(), zones)
			return to != "" && to != t.Machine && q.HasImage(to, t.Job.Record.Spec.Image)
		},
	})
}

// Prefixes are the keys that loans stand under, where there are any to read.
func (q *Queue) Prefixes() []string {
	if q.loans == nil {
		return nil
	}
	return []string{lending.Prefix}
}

// ApplyLoans takes a record of loans in.
func (q *Queue) ApplyLoans(key string, value json.RawMessage) {
	if q.loans != nil {
		q.loans.ApplyRecord(key, value)
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
	lending.KeptRoom
	shut bool
}

// reconcileLoans has the loans looked at, and keeps their rooms from all but the jobs that
// they are for.
func (q *Queue) reconcileLoans(p *cycle) {
	if q.loans == nil {
		return
	}
	waits := map[string]bool{}
	for _, w := range q.Waiting {
		waits[w.Task.Job.ID] = true
	}
	p.ds = append(p.ds, q.loans.Reconcile(p.account, func(jobID string) bool { return waits[jobID] })...)
	p.lent = lent{rooms: map[string][]*room{}, of: map[string]lending.Loan{}}
	for _, l := range q.loans.Loans() {
		if l.ForBorrower() {
			p.lent.of[jobs.TaskID(l.Job, l.TaskIndex)] = l
		}
	}
	for _, k := range q.loans.Rooms() {
		r := &room{KeptRoom: k}
		p.lent.rooms[k.Job] = append(p.lent.rooms[k.Job], r)
		p.held[k.Machine] = true // nor kept for another besides
		q.shut(r)
	}
	// Before anything else is looked at: what is kept for others by this pass would
	// stand in the way on a machine that was made room on for this.
	for _, jobID := range clusterstate.SortedKeys(p.lent.rooms) {
		if j := q.Queued[jobID]; j != nil && q.Allows(p.writes(), 1) {
			q.placeLent(j, p)
		}
	}
}

// shut keeps a room from others: for a replica as long as it has no place, for a lender
// where there is room.
func (q *Queue) shut(r *room) {
	if r.TaskID != "" {
		_, booked := q.Reservations[r.TaskID]
		r.shut = !booked
	} else {
		m := q.Machines[r.Machine]
		r.shut = m != nil && q.MachineTypes[m.MachineType] != nil &&
			q.MachineTypes[m.MachineType].Capacity().Sub(q.UsedResources(r.Machine)).Fits(r.Resources)
	}
	if r.shut {
		q.AllocateResources(r.Machine, r.Resources)
	}
}

// open ends that for a moment.
func (q *Queue) open(r *room) {
	if r.shut {
		r.shut = false
		q.FreeResources(r.Machine, r.Resources)
	}
}

// openRooms lets a job have the rooms that it lent and that are its own again; shutRooms
// keeps what is left of them.
func (q *Queue) openRooms(jobID string, p *cycle) {
	for _, r := range p.lent.rooms[jobID] {
		if r.TaskID == "" {
			q.open(r)
		}
	}
}

func (q *Queue) shutRooms(jobID string, p *cycle) {
	for _, r := range p.lent.rooms[jobID] {
		if !r.shut {
			q.shut(r)
		}
	}
}

// placeLent gives replicas the rooms that were made for them, each by itself: which of
// a job's tasks goes where matters here.
func (q *Queue) placeLent(j *clusterstate.Job, p *cycle) {
	spec := &j.Record.Spec
	for _, r := range p.lent.rooms[j.ID] {
		m := q.Machines[r.Machine]
		if r.TaskID == "" || !r.shut || m == nil || q.MachineTypes[m.MachineType] == nil {
			continue
		}
		t := q.waitingTask(j, r.TaskID)
		if t == nil || !q.offers(t, m) || !clusterstate.ZoneAllowed(spec, q.TasksByZone(j), m.Zone) ||
			!p.account.Allows(q.QuotaLeaf(spec), spec.Amount(), 1) {
			continue
		}
		if q.open(r); q.MachineTypes[m.MachineType].Capacity().Sub(q.UsedResources(r.Machine)).Fits(spec.Resources()) {
			p.account.Charge(spec.QuotaKey(), spec.Amount(), 1)
			p.ds = append(p.ds, q.releasing(j, []placement{{t, r.Machine}})...)
		}
		q.shut(r)
	}
}

// waitingTask is a task of a job by its name, if it waits and may be released now.
func (q *Queue) waitingTask(j *clusterstate.Job, taskID string) *clusterstate.Task {
	for _, t := range q.pending(j, j.Record.Spec.TaskCount) {
		if t.ID == taskID {
			return t
		}
	}
	return nil
}

// unlent leaves out the tasks that room is being made for: those that would take what
// is free elsewhere would have had others stopped in vain. Not for long: a lender may
// hang.
func (q *Queue) unlent(tasks []*clusterstate.Task, p *cycle) []*clusterstate.Task {
	return slices.DeleteFunc(tasks, func(t *clusterstate.Task) bool {
		l, asked := p.lent.of[t.ID]
		return asked && q.NowMs()-l.BeganMs < tuning.LoanSooner.Milliseconds()
	})
}

// lend has others lend room to a replica, on a machine with its image if onlyCached,
// within so many seconds if that is not 0. It tells whether one does.
func (q *Queue) lend(w *Waiting, onlyCached bool, inS float64, p *cycle) bool {
	if _, asked := p.lent.of[w.Task.ID]; asked || p.lent.searches >= tuning.MaxLendingSearches {
		return asked
	}
	p.lent.searches++
	zones := w.zones
	if zones == nil {
		zones = q.zonesLent(w.Task.Job, p)
	}
	// What the pass has charged is only considered: who is beyond a guarantee is
	// counted from what truly runs.
	d, plan, ok := q.loans.Ask(&lending.Search{
		Task:          w.Task,
		Priority:      w.Priority,
		Entitled:      w.Entitled,
		Account:       lending.Leaving(q.State, q.Account, p.stopping),
		Zones:         zones,
		OnlyWithImage: onlyCached,
		InS:           inS,
		Open:          func(m *clusterstate.Machine) bool { return q.offers(w.Task, m) },
		Stopping:      p.stopping,
	})
	if !ok {
		return false
	}
	for _, t := range plan.Tasks {
		p.stopping[t] = true
	}
	p.lent.of[w.Task.ID] = lending.Loan{
		Job:       w.Task.Job.ID,
		TaskIndex: w.Task.Index,
		Machine:   plan.Machine,
		BeganMs:   q.NowMs(),
	}
	q.preempted[w.Task.ID] = making{q.Now.Add(tuning.PreemptAgain), onlyCached}
	zones[q.Machines[plan.Machine].Zone]++                      // those that the look places next count it
	p.keep(q, plan.Machine, w.Task.Job.Record.Spec.Resources()) // this room is no other's
	p.ds = append(p.ds, d)
	return true
}

// zonesLent counts a job's tasks by zone, with those that room is being made for and
// that look nowhere else: another that took their zone meanwhile would leave them none.
func (q *Queue) zonesLent(j *clusterstate.Job, p *cycle) map[string]int {
	zones := q.TasksByZone(j)
	for _, l := range p.lent.of {
		if m := q.Machines[l.Machine]; l.Job == j.ID && m != nil && q.NowMs()-l.BeganMs < tuning.LoanSooner.Milliseconds() {
			zones[m.Zone]++
		}
	}
	return zones
}

// pullS is how long a machine would fetch a job's image, in seconds. Where serving
// counts, a replica's on a machine that fetches others takes longer.
func (q *Queue) pullS(m *clusterstate.Machine, build *jobs.MachineType, spec *jobs.Spec) float64 {
	if q.loans != nil && spec.Kind == jobs.Service {
		return lending.ImagePullS(q.State, q.Now, m, build, spec)
	}
	return spec.ImageGB / build.ImageGBPerS
}

// lendCached tells whether a replica should wait for a machine that holds its weights,
// and has one vacated, rather than fetch them on one that is free: when that is sooner
// by more than a little.
func (q *Queue) lendCached(w *Waiting, machine string, p *cycle) bool {
	spec := &w.Task.Job.Record.Spec
	rate := q.MachineTypes[q.Machines[machine].MachineType].ImageGBPerS
	if q.HasImage(machine, spec.Image) || rate <= 0 {
		return false
	}
	within := q.pullS(
		q.Machines[machine],
		q.MachineTypes[q.Machines[machine].MachineType],
		spec,
	) - tuning.LoanSooner.Seconds()
	if l, asked := p.lent.of[w.Task.ID]; asked {
		return q.HasImage(l.Machine, spec.Image) && float64(q.NowMs()-l.BeganMs) < within*1000
	}
	if within <= 0 || q.Now.Before(q.preempted[w.Task.ID].until) {
		return false
	}
	return q.lend(w, true, within, p)
}
