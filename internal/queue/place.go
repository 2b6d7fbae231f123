package queue

import (
	"sort"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/sharding"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Place puts released tasks of this part on machines.
func (q *Queue) Place() []decide.Decision {
	var mine []*clusterstate.Task
	for _, t := range q.Released {
		if t.Controller == q.Name && t.Job.Record != nil && t.Job.Record.State == jobs.Live && !q.Busy(t.Stored.Key) &&
			q.Now.Sub(t.PlacementTriedAt) >= tuning.PlaceAgain {
			mine = append(mine, t)
		}
	}
	sort.Slice(mine, func(a, b int) bool {
		if mine[a].Job != mine[b].Job {
			return mine[a].Job.ID < mine[b].Job.ID
		}
		return mine[a].Index < mine[b].Index
	})
	var out []decide.Decision
	for len(mine) > 0 {
		j := mine[0].Job
		k := 1
		for k < len(mine) && mine[k].Job == j {
			k++
		}
		if j.Record.Spec.IsGang() {
			out = append(out, q.placeGang(j, mine[:k])...)
		} else {
			for _, t := range mine[:k] {
				if d, ok := q.placeOne(t, t.Attempt+1); ok {
					out = append(out, d)
				} else {
					t.PlacementTriedAt = q.Now
				}
			}
		}
		mine = mine[k:]
	}
	return out
}

// placeOne picks a machine of this part and makes the decision.
func (q *Queue) placeOne(t *clusterstate.Task, attempt uint64) (decide.Decision, bool) {
	spec := &t.Job.Record.Spec
	machine := ""
	if m := q.Machines[t.PreferredMachine]; m != nil && q.CanPlace(t, m) {
		free := q.MachineTypes[m.MachineType].Capacity().Sub(q.UsedResources(t.PreferredMachine))
		if !t.PreferenceReleased {
			free = free.Add(t.Resources) // its own booking is there for it
		}
		if free.Fits(spec.Resources()) {
			machine = t.PreferredMachine
		}
	}
	if machine == "" {
		b := q.appendCandidates(
			nil,
			q.MachinesByName(),
			func(m *clusterstate.Machine) bool { return m.Owner == q.Name && q.CanPlace(t, m) },
			spec,
		)
		if i := sharding.Pick(spec.Resources(), spec.Spot, b); i >= 0 {
			machine = b[i].Machine
		}
	}
	if machine == "" {
		return decide.Decision{}, false
	}
	d, ok := q.placing(t, machine, t.Zone, attempt)
	d.ReadSet = append(d.ReadSet, fleet.ClaimsKey) // not on what was claimed meanwhile
	return d, ok
}

// placing is the decision that puts a task on a machine. The machine's record
// is among its conditions: a machine condemned meanwhile takes no task.
func (q *Queue) placing(t *clusterstate.Task, machine, zone string, attempt uint64) (decide.Decision, bool) {
	next, ok := q.placed(t, machine, zone, attempt)
	if !ok {
		return decide.Decision{}, false
	}
	taskID := t.ID
	return decide.Decision{
		Changes:   decide.TransitionTask(t, next),
		ReadSet:   []string{jobs.JobPrefix + t.Job.ID, fleet.MachinePrefix + machine},
		OnSettled: func(bool) { q.Unreserve(taskID) },
	}, true
}

// placed is a task's record on a machine; it books the place.
func (q *Queue) placed(t *clusterstate.Task, machine, zone string, attempt uint64) (jobs.Task, bool) {
	next, ok := jobs.NextTask(t.Task, jobs.TaskEvent{Kind: jobs.Place, Machine: machine, Zone: zone, Attempt: attempt})
	if !ok {
		return next, false
	}
	q.Log.Debug("places",
		"task", t.ID, "class", t.Job.Record.Spec.Class, "machine", machine, "kind", q.Machines[machine].MachineType,
		"cheap", q.Machines[machine].Spot, "try", attempt, "cached", q.HasImage(machine, t.Job.Record.Spec.Image),
		"since_accepted_ms", q.NowMs()-t.Job.Record.AcceptedMs)
	q.Reserve(t, machine, q.Machines[machine].Zone)
	return next, true
}

// appendCandidates lists those of some machines that have room for a task of a job and
// that takes allows, in the room of out.
func (q *Queue) appendCandidates(
	out []sharding.Candidate,
	among []*clusterstate.Machine,
	takes func(*clusterstate.Machine) bool,
	spec *jobs.Spec,
) []sharding.Candidate {
	out = out[:0]
	var b *jobs.MachineType
	var whole sharding.Resources
	need := spec.Resources()
	for _, m := range among {
		if m.State != fleet.Up {
			continue
		}
		if b == nil || b.Name != m.MachineType { // machines of a type mostly follow one another
			if b = q.MachineTypes[m.MachineType]; b == nil {
				continue
			}
			whole = b.Capacity()
		}
		used := m.Usage.Resources
		if !whole.Sub(used).Fits(need) || !takes(m) {
			continue
		}
		c := sharding.Candidate{
			Machine: m.Name, Capacity: whole, Free: whole.Sub(used), Spot: m.Spot, Zone: m.Zone, Controller: m.Owner,
			Load: used.ShareOf(whole), HasImage: q.HasImage(m.Name, spec.Image),
		}
		if !c.HasImage && b.ImageGBPerS > 0 {
			c.ImagePullS = q.pullS(m, b, spec)
		}
		out = append(out, c)
	}
	return out
}

// TakeBack withdraws tasks that their part did not place.
func (q *Queue) TakeBack() {
	var ds []decide.Decision
	for _, taskID := range clusterstate.SortedKeys(q.Released) {
		t := q.Released[taskID]
		gone := q.HasLeftView(t.Controller)
		if !gone && q.Now.Sub(t.Since) < tuning.ReleaseStale {
			continue
		}
		if !gone && t.PreferredMachine != "" {
			q.Avoid(t.PreferredMachine, q.Now.Add(tuning.AvoidAfter))
		}
		next, ok := jobs.NextTask(t.Task, jobs.TaskEvent{Kind: jobs.TakeBack})
		if ok && !q.Busy(t.Stored.Key) {
			ds = append(ds, decide.Decision{Changes: decide.TransitionTask(t, next)})
		}
	}
	q.Commit(ds)
}
