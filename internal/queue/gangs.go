package queue

import (
	"maps"
	"slices"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/gangs"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/sharding"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// releaseGang offers a resting gang to a part that can hold it whole, or lets
// the leader place it across parts; a broken one is stopped.
func (q *Queue) releaseGang(j *clusterstate.Job, p *cycle) {
	spec := &j.Record.Spec
	if q.Claiming(j.ID) {
		return
	}
	if gangs.PhaseOf(spec.TaskCount, taskRecords(j)) == gangs.Broken {
		for _, num := range slices.Sorted(maps.Keys(j.Tasks)) {
			t := j.Tasks[num]
			if next, ok := jobs.Withdraw(t.Task, "gang is not whole"); ok {
				p.ds = append(p.ds, decide.Decision{Changes: decide.TransitionTask(t, next)})
			}
		}
		return
	}
	all, attempt := q.resting(j)
	if all == nil {
		return
	}
	probing := q.Trust(j, "") == jobs.Probing
	if probing {
		for _, t := range all {
			if q.Now.Sub(t.Since) < jobs.Backoff(int(min(attempt, 10))) {
				return
			}
		}
	}
	leaf := q.QuotaLeaf(spec)
	if !p.account.Allows(leaf, spec.Amount(), spec.TaskCount) {
		if q.Overdue(j) && p.account.Tree().Ever(leaf, spec.Amount(), spec.TaskCount) {
			// As with single tasks: what its team has left waits for it.
			p.full[leaf] = true
		}
		p.rounds.starving = append(p.rounds.starving, j)
		return
	}
	entitled := p.account.Entitled(leaf, spec.Amount(), spec.TaskCount)
	p.account.Charge(spec.QuotaKey(), spec.Amount(), spec.TaskCount)
	offers, whole := q.fitGang(all, p)
	if offers == nil && p.rounds.second {
		p.account.Charge(spec.QuotaKey(), spec.Amount(), -spec.TaskCount)
		return
	}
	if offers == nil && probing {
		return
	}
	switch {
	case offers != nil:
		delete(q.noRoom, j.ID)
	case q.lacksRoom(j):
		p.rounds.long = append(p.rounds.long, round{j, spec.TaskCount})
	}
	if offers == nil && large(spec) {
		kept, zone := q.gather(all[0], p)
		q.Waiting = append(
			q.Waiting,
			&Waiting{
				Task:     all[0],
				Count:    spec.TaskCount - kept,
				Priority: spec.PriorityOrder(),
				Entitled: entitled,
				Zone:     zone,
				Gathers:  true,
			},
		)
		return
	}
	if offers == nil {
		q.Waiting = append(
			q.Waiting,
			&Waiting{Task: all[0], Count: spec.TaskCount, Priority: spec.PriorityOrder(), Entitled: entitled},
		)
		q.holdFor(all[0].WithoutPreference(), min(spec.TaskCount, tuning.HoldEach), q.TasksByZone(j), p)
		return
	}
	q.beginGang(j, all, offers, whole, attempt, p)
}

// taskRecords lists what the records say of a job's tasks.
func taskRecords(j *clusterstate.Job) []*jobs.Task {
	out := make([]*jobs.Task, 0, len(j.Tasks))
	for _, t := range j.Tasks {
		out = append(out, &t.Task)
	}
	return out
}

// resting is all tasks of a gang that rests, and its next try; nil if it does not rest,
// or some of its tasks may not be tried yet or are under a transaction.
func (q *Queue) resting(j *clusterstate.Job) ([]*clusterstate.Task, uint64) {
	spec := &j.Record.Spec
	records := taskRecords(j)
	if gangs.PhaseOf(spec.TaskCount, records) != gangs.Resting {
		return nil, 0
	}
	all := q.pending(j, spec.TaskCount)
	if len(all) < spec.TaskCount {
		return nil, 0
	}
	return all, gangs.NextAttempt(records)
}

// beginGang gives a gang the machines that hold it: in one change if that is possible,
// and otherwise they are claimed first.
func (q *Queue) beginGang(
	j *clusterstate.Job,
	all []*clusterstate.Task,
	offers []placement,
	whole bool,
	attempt uint64,
	p *cycle,
) {
	spec := &j.Record.Spec
	// Where the leader names the machines itself, those of several parts are taken in
	// one change as well.
	if (whole || q.oursAll(offers)) && q.inOne(spec, offers) {
		if d, ok := q.placeGangOffers(j, offers); ok {
			p.ds = append(p.ds, d)
			return
		}
	}
	machines := make([]string, len(offers))
	for i, o := range offers {
		machines[i] = o.machine
		p.keep(q, o.machine, spec.Resources())
	}
	q.claimGang(j, all, machines, attempt)
}

// inOne tells whether one transaction can place a gang, with a condition for each
// machine and the records of all its tasks. The part that it is offered to places it
// in one decision; a larger gang is placed on claimed machines, in several.
func (q *Queue) inOne(spec *jobs.Spec, offers []placement) bool {
	machines := map[string]bool{}
	for _, o := range offers {
		machines[o.machine] = true
	}
	// View, fence, quotas and claims, the job, and a slice that the first task does not begin.
	others := 6 + q.ExtraPreconditions
	slices := spec.TaskCount/q.MaxRangeTasks + 1
	return len(machines)+slices+others <= q.TxnOps*tuning.PreconditionsPerOp &&
		spec.TaskCount*tuning.RangeTaskBytes <= tuning.TxnBytes
}

// oursAll tells whether the leader may place all of a gang itself.
func (q *Queue) oursAll(offers []placement) bool {
	return !slices.ContainsFunc(offers, func(o placement) bool { return !q.ours(o.t, q.Machines[o.machine]) })
}

// placeGangOffers is the one decision that gives a whole gang to the part that all
// its machines belong to; the leader's own part places it at once.
func (q *Queue) placeGangOffers(j *clusterstate.Job, offers []placement) (decide.Decision, bool) {
	one := decide.Decision{ReadSet: []string{jobs.JobPrefix + j.ID}}
	var dones []func(bool)
	add := func(d decide.Decision) {
		one.Changes = append(one.Changes, d.Changes...)
		one.Writes = append(one.Writes, d.Writes...)
		for _, k := range d.ReadSet {
			if !slices.Contains(one.ReadSet, k) {
				one.ReadSet = append(one.ReadSet, k)
			}
		}
		dones = append(dones, d.OnSettled)
	}
	one.OnSettled = func(ok bool) {
		for _, f := range dones {
			f(ok)
		}
	}
	place := always
	var top uint64
	for _, o := range offers {
		if !q.ours(o.t, q.Machines[o.machine]) {
			place = never
		}
		top = max(top, o.t.Attempt)
	}
	var fresh []*clusterstate.Task
	var machines []string
	for _, o := range offers {
		m := q.Machines[o.machine]
		switch {
		case o.t.Stored == nil:
			fresh, machines = append(fresh, o.t), append(machines, o.machine)
			continue
		case place(o.t, m):
			d, ok := q.placing(o.t, o.machine, m.Zone, top+1)
			if !ok {
				one.OnSettled(false)
				return one, false
			}
			add(d)
		default:
			next, ok := q.released(o.t, m)
			if !ok {
				one.OnSettled(false)
				return one, false
			}
			taskID := o.t.ID
			add(decide.Decision{Changes: decide.TransitionTask(o.t, next), OnSettled: func(bool) { q.Unreserve(taskID) }})
		}
	}
	for len(fresh) > 0 {
		k := q.run(fresh, len(fresh))
		add(q.beginTaskRange(j, fresh[:k], machines[:k], place, top+1))
		fresh, machines = fresh[k:], machines[k:]
	}
	if len(one.Keys()) > q.TxnOps {
		one.OnSettled(false)
		return one, false
	}
	return one, true
}

// fitGang finds a machine for every task of a gang, nil when it does not fit. whole
// tells that all the machines are of one part.
func (q *Queue) fitGang(all []*clusterstate.Task, p *cycle) (offers []placement, whole bool) {
	t := all[0]
	spec := &t.Job.Record.Spec
	if p.hopeless(spec, spec.TaskCount) {
		return nil, false
	}
	cands := p.candidates(q, t.WithoutPreference())
	if len(cands) == 0 {
		p.refuse(spec, 1)
		p.refuse(spec, spec.TaskCount)
		return nil, false
	}
	zones := q.TasksByZone(t.Job)
	machines, whole, room := gangs.Fit(
		spec,
		cands,
		zones,
		func(i int, cands []sharding.Candidate, zones map[string]int) int {
			return q.pickFor(all[i], cands, zones)
		},
	)
	if !room && len(zones) == 0 {
		p.refuse(spec, spec.TaskCount)
	}
	for i, h := range machines {
		offers = append(offers, placement{all[i], h})
	}
	return offers, whole
}

// claimGang places a gang larger than a part: its machines are claimed in the
// state service first, so that no part places anything else on them, then the
// tasks are placed, then the claims are dropped.
func (q *Queue) claimGang(j *clusterstate.Job, all []*clusterstate.Task, machines []string, attempt uint64) {
	unique := slices.Clone(machines)
	slices.Sort(unique)
	q.claim(j.ID, slices.Compact(unique), func(ok bool) {
		ds, good := q.placeClaimed(j, all, machines, attempt, ok)
		if !good {
			for _, d := range ds {
				d.OnSettled(false)
			}
			delete(q.claims, j.ID)
			return
		}
		left := len(ds)
		for i := range ds {
			inner := ds[i].OnSettled
			ds[i].OnSettled = func(ok bool) {
				inner(ok)
				if left--; left == 0 {
					delete(q.claims, j.ID)
				}
			}
			// Part of a gang placed and part put off for want of changes would be a
			// broken one, to be stopped.
			ds[i].Urgent = true
		}
		q.Commit(ds)
	})
}

// placeClaimed is the decisions that place a gang on the machines claimed for
// it; false if the claims or the room are not there.
func (q *Queue) placeClaimed(
	j *clusterstate.Job,
	all []*clusterstate.Task,
	machines []string,
	attempt uint64,
	claimed bool,
) ([]decide.Decision, bool) {
	if !claimed || j.Record == nil {
		return nil, false
	}
	// The claim may have waited for a while, and others were charged meanwhile
	// (docs/incidents/claimed-gangs.md).
	if spec := &j.Record.Spec; !q.Account.Allows(q.QuotaLeaf(spec), spec.Amount(), spec.TaskCount) {
		return nil, false
	}
	need := j.Record.Spec.Resources()
	extra := map[string]sharding.Resources{}
	for _, h := range machines {
		m := q.Machines[h]
		if m == nil || q.ClaimedFor(m) != j.ID || q.MachineTypes[m.MachineType] == nil {
			return nil, false
		}
		extra[h] = extra[h].Add(need)
		if !q.MachineTypes[m.MachineType].Capacity().Sub(q.UsedResources(h)).Fits(extra[h]) {
			return nil, false
		}
	}
	var ds []decide.Decision
	var fresh []*clusterstate.Task
	var where []string
	for i, t := range all {
		if now := j.Tasks[t.Index]; now != nil {
			t = now
		}
		if t.Stored == nil {
			fresh, where = append(fresh, t), append(where, machines[i])
			continue
		}
		d, ok := q.placing(t, machines[i], q.Machines[machines[i]].Zone, attempt)
		if !ok {
			return ds, false
		}
		ds = append(ds, d)
	}
	for len(fresh) > 0 {
		k := q.run(fresh, len(fresh))
		ds = append(ds, q.beginTaskRange(j, fresh[:k], where[:k], always, attempt))
		fresh, where = fresh[k:], where[k:]
	}
	return ds, true
}

// placeGang places a gang that was offered to this part, whole or not at all.
func (q *Queue) placeGang(j *clusterstate.Job, all []*clusterstate.Task) []decide.Decision {
	if len(all) != j.Record.Spec.TaskCount {
		return nil
	}
	var records []*jobs.Task
	for _, t := range j.Tasks {
		records = append(records, &t.Task)
	}
	attempt := gangs.NextAttempt(records)
	one := decide.Decision{}
	var pieces []string
	one.OnSettled = func(bool) {
		for _, p := range pieces {
			q.Unreserve(p)
		}
	}
	for _, t := range all {
		d, ok := q.placeOne(t, attempt)
		if !ok {
			one.OnSettled(false)
			for _, t := range all {
				t.PlacementTriedAt = q.Now
			}
			return nil // the leader takes it back
		}
		pieces = append(pieces, t.ID)
		one.Changes = append(one.Changes, d.Changes...)
		one.ReadSet = append(one.ReadSet, d.ReadSet...)
	}
	return []decide.Decision{one}
}
