package queue

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/harrierreel/harrierreel/internal/book"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/parts"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// hold is the machines kept for a job.
type hold struct {
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
func (q *Queue) gatherParts(spec *jobs.Spec, cands []parts.Candidate, tasks int) []parts.Candidate {
	if !q.Scarce() || spec.Shape != jobs.Sweep || tasks == 1 {
		return cands
	}
	var out []parts.Candidate
	for _, cheap := range []bool{true, false} {
		var some []parts.Candidate
		for _, c := range cands {
			if c.Loaner == cheap {
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
func fewestParts(spec *jobs.Spec, cands []parts.Candidate, tasks int) ([]parts.Candidate, int) {
	room, cached := map[string]int{}, map[string]int{}
	for i := range cands {
		k := cands[i].Free.Times(spec.Need())
		room[cands[i].Part] += k
		if cands[i].Cached {
			cached[cands[i].Part] += k
		}
	}
	order := book.Sorted(room)
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
	return slices.DeleteFunc(cands, func(c parts.Candidate) bool { return !use[c.Part] }), left
}

// pickFor is the best candidate for one of a job's tasks, or -1.
func (q *Queue) pickFor(t *book.Task, cands []parts.Candidate, zones map[string]int) int {
	spec := &t.Job.Rec.Spec
	return parts.PickIf(spec.Need(), spec.Loaner, cands, func(c *parts.Candidate) bool {
		return book.ZoneAllowed(spec, zones, c.Site) && (t.Site == "" || t.Site == c.Site) && !slices.Contains(t.Bad, c.Host)
	})
}

// openFor tells whether the leader may have room on a machine in mind at all.
func (q *Queue) openFor(m *book.Machine) bool {
	return q.ClaimedFor(m) == "" && !q.wanted(m.Name) && !q.Now.Before(q.avoid[m.Name]) && q.Ready(m)
}

// offers tells whether the leader may have room on a machine in mind.
func (q *Queue) offers(t *book.Task, m *book.Machine) bool { return q.openFor(m) && book.Suits(t, m) }

// FindHost picks the machine to have in mind for a task.
func (q *Queue) FindHost(t *book.Task, zones map[string]int) string {
	cands := q.board(nil, q.ByName(), func(m *book.Machine) bool { return q.offers(t, m) }, &t.Job.Rec.Spec)
	if i := q.pickFor(t, cands, zones); i >= 0 {
		return cands[i].Host
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
func (q *Queue) holdFor(t *book.Task, count int, zones map[string]int, p *pass) {
	spec := &t.Job.Rec.Spec
	kept := q.holds[t.Job.UID]
	zones = maps.Clone(zones)
	if q.Now.Sub(kept.at) > tuning.HoldAgain {
		kept = hold{at: q.Now}
		for range count {
			if float64(len(p.held)+1) > tuning.HoldShare*float64(len(q.Machines)) || p.chosen >= tuning.HoldMost {
				break
			}
			p.chosen++
			m := q.fullest(t, zones, p)
			if m == nil {
				break
			}
			kept.hosts = append(kept.hosts, m.Name)
			p.held[m.Name] = true
			zones[m.Site]++
		}
		q.holds[t.Job.UID] = kept
	}
	for _, h := range kept.hosts {
		if q.Machines[h] != nil {
			p.held[h] = true
			p.keep(q, h, spec.Need())
		}
	}
}

// fullest is the machine that lacks least for a task.
func (q *Queue) fullest(t *book.Task, zones map[string]int, p *pass) *book.Machine {
	spec := &t.Job.Rec.Spec
	var best *book.Machine
	most := -1.0
	for _, m := range p.open(q) {
		if p.held[m.Name] || !book.Suits(t, m) || !book.ZoneAllowed(spec, zones, m.Site) {
			continue
		}
		whole := q.Builds[m.Build].Whole()
		if !whole.Fits(spec.Need()) {
			continue
		}
		// By how much of the task would fit.
		if part := 1 / max(spec.Need().Share(whole.Sub(m.Use.Room)), 1e-9); part > most {
			best, most = m, part
		}
	}
	return best
}
