package lending

import (
	"cmp"
	"slices"
	"time"

	"github.com/harrierreel/harrierreel/internal/book"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/gangs"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/parts"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Search is a replica that others may lend to.
type Search struct {
	Task     *book.Task
	Rank     int
	Entitled int // node of the quotas' tree within whose guarantee it lies, below 0 for none
	// Account is what is charged without what is on its way out.
	Account *quota.Account
	Zones   map[string]int // of its job's tasks
	// OnlyCached: only where its image is; within so many seconds if InS is not 0.
	OnlyCached bool
	InS        float64
	// Open tells whether it may go on a machine at all; Told whether a machine will
	// take an order now.
	Open, Told func(m *book.Machine) bool
	// Busy tells whether a record is under a transaction.
	Busy func(key string) bool
	// Spared tells whether a job has lent what it may for a while.
	Spared func(j *book.Job) bool
	// Stopping are tasks that this look stops already.
	Stopping map[*book.Task]bool
	Now      time.Time
}

// Plan is who gives on which machine.
type Plan struct {
	Host  string
	Tasks []*book.Task // to stop, whole gangs, those elsewhere included
	From  []Share      // by job, of what the replica takes
	InS   float64      // seconds until the replica runs there, as a guess
	LostS float64      // seconds of an accelerator's work lost, as a guess
	own   bool         // it needs the team's own work of lower rank
	cost  float64      // of all that, see costs
}

// unit is what stops together: a task, or a gang.
type unit struct {
	tasks []*book.Task
	here  parts.Room // what it frees on the machine
	uid   string
	lostS float64 // of accelerators' work
	waitS float64 // until it has left
	own   bool    // the borrower's own team's
}

// Choose finds the machine where lending costs the least. False if there is none, or if
// room is coming already; the plan then names only the machine.
func Choose(b *book.Book, s *Search) (Plan, bool) {
	spec := &s.Task.Job.Rec.Spec
	var best *Plan
	for _, m := range b.ByName() {
		if m.State != fleet.Up || !s.Open(m) || !book.ZoneAllowed(spec, s.Zones, m.Site) {
			continue
		}
		build := b.Builds[m.Build]
		has := b.Cached(m.Name, spec.Bundle)
		// An image that a type's cache cannot hold would be fetched for every start.
		if build == nil || !build.Whole().Fits(spec.Need()) || !Holds(spec, build) || s.OnlyCached && !has {
			continue
		}
		free := s.room(b, m, build)
		if free.Fits(spec.Need()) {
			return Plan{Host: m.Name}, false // room is coming already
		}
		p, ok := s.onMachine(b, m, build, free)
		if !ok || s.InS > 0 && p.InS > s.InS {
			continue
		}
		if p.cost = s.costs(&p); best == nil || p.cost < best.cost {
			best = &p
		}
	}
	if best == nil {
		return Plan{}, false
	}
	return *best, true
}

// Holds tells whether a type's cache can hold a job's image.
func Holds(spec *jobs.Spec, build *jobs.Build) bool {
	return build.CacheGB <= 0 || spec.PullGB <= build.CacheGB
}

// costs is what a plan costs in seconds of an accelerator: what lenders lose, and what
// the replica's waiting is worth; an image that takes minutes outweighs all else.
func (s *Search) costs(p *Plan) float64 {
	cost := p.LostS + p.InS*tuning.LoanServes*max(s.Task.Job.Rec.Spec.Accel, 1)
	if p.own {
		cost += tuning.LoanOwn.Seconds() * max(s.Task.Job.Rec.Spec.Accel, 1)
	}
	return cost
}

// room is what is free on a machine, with what is on its way out.
func (s *Search) room(b *book.Book, m *book.Machine, build *jobs.Build) parts.Room {
	free := build.Whole().Sub(m.Use.Room)
	for _, t := range b.OnHost[m.Name] {
		if t.Job.Rec != nil && (t.State == jobs.Stopping || s.Stopping[t]) {
			free = free.Add(t.Job.Rec.Spec.Need())
		}
	}
	return free
}

// onMachine is the plan for one machine.
func (s *Search) onMachine(b *book.Book, m *book.Machine, build *jobs.Build, free parts.Room) (Plan, bool) {
	spec := &s.Task.Job.Rec.Spec
	need := spec.Need()
	units := s.units(b, m)
	// The least lost for what it frees here goes first.
	slices.SortFunc(units, func(x, y unit) int {
		return cmp.Or(cmp.Compare(x.lostS/max(x.here.Share(need), 1e-9), y.lostS/max(y.here.Share(need), 1e-9)), cmp.Compare(x.tasks[0].Piece, y.tasks[0].Piece))
	})
	account := s.Account.Clone()
	var chosen []unit
	for _, u := range units {
		if free.Fits(need) {
			break
		}
		// Each is weighed with those chosen before it gone: two that are within what a
		// team has beyond its guarantee need not be so together.
		if !s.may(b, account, &u) {
			continue
		}
		account.Charge(u.tasks[0].Job.Rec.Spec.Key(), u.tasks[0].Job.Rec.Spec.Amount(), -len(u.tasks))
		chosen, free = append(chosen, u), free.Add(u.here)
	}
	if !free.Fits(need) {
		return Plan{}, false
	}
	// What the later, dearer ones made needless stays.
	chosen = slices.DeleteFunc(chosen, func(u unit) bool {
		if rest := free.Sub(u.here); rest.Fits(need) {
			free = rest
			return true
		}
		return false
	})
	p := Plan{Host: m.Name}
	left := need.Accelerators
	for _, u := range chosen {
		p.Tasks = append(p.Tasks, u.tasks...)
		p.give(&u, &left)
		p.InS, p.own = max(p.InS, u.waitS), p.own || u.own
		p.LostS += u.lostS
	}
	p.InS += PullS(b, s.Now, m, build, spec)
	// What is freed beyond the need may find no one of its size: whole machines are
	// not broken up if another place costs less.
	p.LostS += free.Sub(need).Accelerators * tuning.LoanWaste.Seconds()
	return p, len(chosen) > 0
}

// give notes what a unit gives of what is left to give, by job.
func (p *Plan) give(u *unit, left *float64) {
	gpus := min(u.here.Accelerators, *left)
	*left -= gpus
	i := slices.IndexFunc(p.From, func(s Share) bool { return s.Job == u.uid })
	if i < 0 {
		i, p.From = len(p.From), append(p.From, Share{Job: u.uid})
	}
	p.From[i].GPUs += gpus
	p.From[i].Tasks += len(u.tasks)
}

// may tells whether a unit may be stopped for the replica: PROTOCOL's preemption, and no
// team goes below its guarantee but for its own work of higher rank.
func (s *Search) may(b *book.Book, account *quota.Account, u *unit) bool {
	spec := &u.tasks[0].Job.Rec.Spec
	leaf, all := b.Leaf(spec), quota.Amount{}.Add(spec.Amount(), len(u.tasks))
	if spec.RankOrder() > s.Rank {
		return account.Spares(b.Leaf(&s.Task.Job.Rec.Spec), leaf, all)
	}
	return account.Yields(s.Entitled, leaf, all)
}

// units lists what could be stopped on a machine.
func (s *Search) units(b *book.Book, m *book.Machine) []unit {
	var out []unit
	seen := map[string]bool{}
	for _, piece := range book.Sorted(b.OnHost[m.Name]) {
		t := b.OnHost[m.Name][piece]
		if t.Job.Rec == nil || t.Job.Rec.State != jobs.Live || t.Job.Rec.Spec.Shape == jobs.Standing || t.Job == s.Task.Job || s.Spared(t.Job) {
			continue
		}
		u := unit{tasks: []*book.Task{t}, uid: t.Job.UID}
		if t.Job.Rec.Spec.Gang() {
			if seen[t.Job.UID] {
				continue
			}
			seen[t.Job.UID] = true
			if u.tasks = s.gang(b, t.Job); u.tasks == nil {
				continue
			}
		}
		if s.fill(b, m, &u) {
			out = append(out, u)
		}
	}
	return out
}

// gang lists a gang's tasks, nil if it cannot be stopped in order now: one that is not
// whole (a member is lost, or it is stopped already) or of which a machine could not be
// told in time would lose its progress since its last save.
func (s *Search) gang(b *book.Book, j *book.Job) []*book.Task {
	records := make([]*jobs.Task, 0, len(j.Tasks))
	var out []*book.Task
	for _, n := range sortedKeys(j.Tasks) {
		t := j.Tasks[n]
		records, out = append(records, &t.Task), append(out, t)
	}
	if gangs.PhaseOf(j.Rec.Spec.Pieces, records) != gangs.Whole {
		return nil
	}
	for _, t := range out {
		if m := b.Machines[t.Host]; m == nil || !s.Told(m) {
			return nil
		}
	}
	return out
}

// fill works out what a unit loses and frees; false if it may not be stopped now.
func (s *Search) fill(b *book.Book, m *book.Machine, u *unit) bool {
	spec := &u.tasks[0].Job.Rec.Spec
	ran := 0.0
	for _, t := range u.tasks {
		if t.State != jobs.Placed || s.Stopping[t] || s.Busy(t.Slice.Key) {
			return false
		}
		ran = max(ran, s.Now.Sub(t.Since).Seconds())
		if t.Host == m.Name {
			u.here = u.here.Add(spec.Need())
		}
	}
	// Estimates are often wrong by half: what has run past its own is taken to need a
	// fifth more.
	left := spec.ExpectS - ran
	if left < 0 {
		left = ran * tuning.LoanPast
	}
	if spec.ExpectS > 0 && left < tuning.LoanNearEnd.Seconds() {
		return false
	}
	lost := ran
	if spec.SnapshotS > 0 {
		lost, u.waitS = 0, spec.StashS
	}
	build := b.Builds[m.Build]
	again := build.ReadyS // a machine of its own, at worst
	if build.PullRate > 0 {
		again += spec.PullGB / build.PullRate
	}
	u.lostS = (lost + spec.StashS + again) * float64(len(u.tasks)) * max(spec.Accel, spec.Need().Share(build.Whole())*build.Accel)
	u.own = spec.Owner == s.Task.Job.Rec.Spec.Owner
	return true
}

// PullS is how long a machine takes to have a job's image, in seconds: fetches on one
// machine share its rate, so those under way count.
func PullS(b *book.Book, now time.Time, m *book.Machine, build *jobs.Build, spec *jobs.Spec) float64 {
	if b.Cached(m.Name, spec.Bundle) || build.PullRate <= 0 {
		return 0
	}
	left := map[string]float64{}
	for _, t := range b.OnHost[m.Name] {
		if t.Job.Rec == nil || t.State != jobs.Placed {
			continue
		}
		other := &t.Job.Rec.Spec
		gb := 0.0 // one that runs has it
		if !t.Ran {
			gb = max(other.PullGB-now.Sub(t.Since).Seconds()*build.PullRate, 0)
		}
		if was, known := left[other.Bundle]; !known || gb < was {
			left[other.Bundle] = gb // the oldest of its tasks tells
		}
	}
	sum := spec.PullGB
	for _, gb := range left {
		sum += min(gb, spec.PullGB) // by halves and thirds until the shorter is done
	}
	return sum / build.PullRate
}

func sortedKeys[V any](m map[int]V) []int {
	out := make([]int, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// Leaving is a copy of an account without what is on its way out: what is stopped for
// one loan is not there for the next.
func Leaving(b *book.Book, account *quota.Account, stopping map[*book.Task]bool) *quota.Account {
	out := account.Clone()
	// Nor what is only booked: releases under way, which may come to nothing, and room
	// kept for a window that is about to open. A team that seemed beyond its guarantee
	// by those would lend of what it is guaranteed.
	for _, r := range b.Reserved {
		if r.Key != (quota.Key{}) {
			out.Charge(r.Key, r.Amount, -1)
		}
	}
	for _, on := range b.OnHost {
		for _, t := range on {
			if t.Job.Rec != nil && (t.State == jobs.Stopping || stopping[t]) {
				out.Charge(t.Job.Rec.Spec.Key(), t.Job.Rec.Spec.Amount(), -1)
			}
		}
	}
	return out
}
