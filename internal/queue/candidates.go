package queue

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/sharding"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// heldCapacity is the machines kept for a job.
type heldCapacity struct {
	hosts []string
	at    time.Time
}

// Scarce tells whether changes of the state service are few for the number of
// machines. Tasks of a job then go to few parts, several at a time, and the
// leader names their machines in the change that releases them: every slice and
// every step of it by itself is a change.
func (q *Queue) Scarce() bool {
	return float64(len(q.Machines)) > q.WriteRPS
}

// gatherParts keeps, while changes are scarce, the candidates of as few parts
// as hold the tasks: those with the most room, images counted double. Cheap
// machines come first: ordinary ones of one part must not be taken while cheap
// ones of another have room.
func (q *Queue) gatherParts(spec *jobs.Spec, cands []sharding.Candidate, tasks int) []sharding.Candidate {
	if !q.Scarce() || spec.Kind != jobs.JobArray || tasks == 1 {
		return cands
	}
	var out []sharding.Candidate
	for _, cheap := range []bool{true, false} {
		var some []sharding.Candidate
		for _, c := range cands {
			if c.Spot == cheap {
				some = append(some, c)
			}
		}
		if tasks > 0 {
			some, tasks = fewestParts(spec, some, tasks)
			out = append(out, some...)
		}
	}
	return out
}

// fewestParts keeps the candidates of as few parts as hold the tasks, and
// returns how many tasks are left over.
func fewestParts(spec *jobs.Spec, cands []sharding.Candidate, tasks int) ([]sharding.Candidate, int) {
	room, cached := map[string]int{}, map[string]int{}
	for i := range cands {
		k := cands[i].Free.HowMany(spec.Resources())
		room[cands[i].Controller] += k
		if cands[i].HasImage {
			cached[cands[i].Controller] += k
		}
	}
	order := clusterstate.SortedKeys(room)
	score := func(part string) int { return min(room[part], tasks) + min(cached[part], tasks) }
	sort.SliceStable(order, func(a, b int) bool { return score(order[a]) > score(order[b]) })
	use := map[string]bool{}
	left := tasks
	for _, part := range order {
		if left <= 0 {
			break
		}
		use[part] = true
		left -= room[part]
	}
	return slices.DeleteFunc(cands, func(c sharding.Candidate) bool { return !use[c.Controller] }), left
}

// pickFor is the best candidate for one of a job's tasks, or -1.
func (q *Queue) pickFor(t *clusterstate.Task, cands []sharding.Candidate, zones map[string]int) int {
	spec := &t.Job.Record.Spec
	return sharding.PickIf(spec.Resources(), spec.Spot, cands, func(c *sharding.Candidate) bool {
		return clusterstate.ZoneAllowed(spec, zones, c.Zone) && (t.Zone == "" || t.Zone == c.Zone) &&
			!slices.Contains(t.FailedOn, c.Machine)
	})
}

// openFor tells whether the leader may have room on a machine in mind at all.
func (q *Queue) openFor(m *clusterstate.Machine) bool {
	return q.ClaimedFor(m) == "" && !q.wanted(m.Name) && !q.Now.Before(q.avoid[m.Name]) && q.Ready(m)
}

// offers tells whether the leader may have room on a machine in mind.
func (q *Queue) offers(t *clusterstate.Task, m *clusterstate.Machine) bool {
	return q.openFor(m) && clusterstate.FitsTask(t, m)
}

// FindMachine picks the machine to have in mind for a task.
func (q *Queue) FindMachine(t *clusterstate.Task, zones map[string]int) string {
	cands := q.appendCandidates(
		nil,
		q.MachinesByName(),
		func(m *clusterstate.Machine) bool { return q.offers(t, m) },
		&t.Job.Record.Spec,
	)
	if i := q.pickFor(t, cands, zones); i >= 0 {
		return cands[i].Machine
	}
	return ""
}

// holdFor keeps a machine for a task that needs more room than is free
// anywhere: the one with the most free. Without it, smaller tasks further back
// in the queue would take every place that comes free, one by one, for as long
// as there are any.
//
// What is kept for a job is chosen anew from time to time only: choosing means
// a look at every machine for each.
func (q *Queue) holdFor(t *clusterstate.Task, count int, zones map[string]int, p *cycle) {
	spec := &t.Job.Record.Spec
	kept := q.holds[t.Job.ID]
	zones = maps.Clone(zones)
	if q.Now.Sub(kept.at) > tuning.HoldAgain {
		kept = heldCapacity{at: q.Now}
		for range count {
			if float64(len(p.held)+1) > tuning.HoldShare*float64(len(q.Machines)) || p.chosen >= tuning.MaxHeldMachines {
				break
			}
			p.chosen++
			m := q.fullest(t, zones, p)
			if m == nil {
				break
			}
			kept.hosts = append(kept.hosts, m.Name)
			p.held[m.Name] = true
			zones[m.Zone]++
		}
		q.holds[t.Job.ID] = kept
	}
	for _, h := range kept.hosts {
		if q.Machines[h] != nil {
			p.held[h] = true
			p.keep(q, h, spec.Resources())
		}
	}
}

// fullest is the machine that lacks least for a task.
func (q *Queue) fullest(t *clusterstate.Task, zones map[string]int, p *cycle) *clusterstate.Machine {
	spec := &t.Job.Record.Spec
	var best *clusterstate.Machine
	most := -1.0
	for _, m := range p.open(q) {
		if p.held[m.Name] || !clusterstate.FitsTask(t, m) || !clusterstate.ZoneAllowed(spec, zones, m.Zone) {
			continue
		}
		whole := q.MachineTypes[m.MachineType].Capacity()
		if !whole.Fits(spec.Resources()) {
			continue
		}
		// By how much of the task would fit.
		if part := 1 / max(spec.Resources().ShareOf(whole.Sub(m.Usage.Resources)), 1e-9); part > most {
			best, most = m, part
		}
	}
	return best
}
