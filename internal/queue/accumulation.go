package queue

import (
	"slices"
	"sort"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/sharding"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// gathering is the room that a large gang gathers until all of its tasks find some:
// in one zone if it must be in one, place by place as machines boot and others end.
// It is kept from pass to pass by the leader alone; another leader gathers anew from
// the accepted times, in the same order.
type gathering struct {
	site  string
	since time.Time      // last more than ever before was kept, or began here
	most  int            // places kept at once, so far
	hosts map[string]int // free places kept, by machine
	busy  []string       // machines kept for what comes free on them
	at    time.Time      // when those were chosen
}

// large tells whether a gang needs more machines than are kept for a small job.
func large(spec *jobs.Spec) bool { return spec.IsGang() && spec.TaskCount > tuning.HoldEach }

// gather keeps room for a large gang that does not fit now, and returns how many of
// its tasks it is kept for, and the zone. What is kept for all of them together stays
// below a share of the machines: they stand idle meanwhile.
func (q *Queue) gather(t *clusterstate.Task, p *cycle) (int, string) {
	spec := &t.Job.Record.Spec
	g := q.gatherings[t.Job.ID]
	cands := p.candidates(q, t.WithoutPreference())
	zones := q.TasksByZone(t.Job)
	if g == nil || q.Now.Sub(g.since) > tuning.GatherElsewhere {
		last := ""
		if g != nil {
			last = g.site
		}
		g = &gathering{site: q.gatherZone(spec, cands, zones, last), since: q.Now}
		q.gatherings[t.Job.ID] = g
	}
	here := func(zone string) bool {
		return (g.site == "" || zone == g.site) && clusterstate.ZoneAllowed(spec, zones, zone)
	}
	g.hosts = map[string]int{}
	left := spec.TaskCount
	// The machines with the most places first: the gang starts on as few as hold it.
	sort.SliceStable(cands, func(a, b int) bool {
		x, y := cands[a].Free.HowMany(spec.Resources()), cands[b].Free.HowMany(spec.Resources())
		return x > y || x == y && cands[a].Load > cands[b].Load
	})
	for i := range cands {
		c := &cands[i]
		k := min(left, c.Free.HowMany(spec.Resources()))
		if k <= 0 || !here(c.Zone) || !p.reserve(q, c.Capacity, spec.Resources(), k) {
			continue
		}
		for range k {
			p.keep(q, c.Machine, spec.Resources())
		}
		g.hosts[c.Machine] = k
		left -= k
	}
	kept := spec.TaskCount - left
	if kept > g.most {
		g.most, g.since = kept, q.Now
	}
	if left > 0 && q.Overdue(t.Job) {
		q.gatherBusy(g, t, left, here, p)
	}
	return kept, g.site
}

// reserve counts room kept for large gangs; false if it is too much.
func (p *cycle) reserve(q *Queue, whole, need sharding.Resources, k int) bool {
	share := need.ShareOf(whole) * float64(k)
	if p.gathered+share > tuning.HoldShare*float64(len(q.Machines)) {
		return false
	}
	p.gathered += share
	return true
}

// gatherZone is the zone where a gang gathers: the one that has most room for it now,
// of the others if it did not come together in the last one. "" if it may spread.
func (q *Queue) gatherZone(spec *jobs.Spec, cands []sharding.Candidate, zones map[string]int, last string) string {
	if !spec.SameZone {
		return ""
	}
	if spec.Zone != "" {
		return spec.Zone
	}
	free := map[string]int{}
	for _, b := range q.MachineTypes {
		for _, zone := range b.Zones {
			if clusterstate.ZoneAllowed(spec, zones, zone) && spec.AllowsMachineType(b.Name) {
				free[zone] = 0
			}
		}
	}
	for i := range cands {
		if clusterstate.ZoneAllowed(spec, zones, cands[i].Zone) {
			free[cands[i].Zone] += cands[i].Free.HowMany(spec.Resources())
		}
	}
	best := ""
	for _, zone := range clusterstate.SortedKeys(free) {
		if zone != last && (best == "" || free[zone] > free[best]) {
			best = zone
		}
	}
	if best == "" {
		return last
	}
	return best
}

// gatherBusy keeps machines for what comes free on them, those first where the next
// of the gang's tasks is expected to find room soonest. Without it smaller work takes
// each place as it comes free, for as long as there is any.
func (q *Queue) gatherBusy(g *gathering, t *clusterstate.Task, left int, here func(string) bool, p *cycle) {
	spec := &t.Job.Record.Spec
	if q.Now.Sub(g.at) > tuning.GatherAgain {
		g.at, g.busy = q.Now, nil
		type soon struct {
			host   string
			at     int64
			places int
		}
		var found []soon
		for _, m := range p.open(q) {
			whole := q.MachineTypes[m.MachineType].Capacity()
			if p.held[m.Name] || g.hosts[m.Name] > 0 || !here(m.Zone) || !clusterstate.FitsTask(t.WithoutPreference(), m) ||
				!whole.Fits(spec.Resources()) {
				continue
			}
			if at, ok := q.freeAt(m, spec.Resources()); ok {
				found = append(found, soon{m.Name, at, whole.HowMany(spec.Resources())})
			}
		}
		slices.SortStableFunc(found, func(a, b soon) int { return int(min(max(a.at-b.at, -1), 1)) })
		for _, f := range found {
			if left <= 0 {
				break
			}
			g.busy = append(g.busy, f.host)
			left -= f.places
		}
	}
	for _, h := range g.busy {
		m := q.Machines[h]
		if m == nil || q.MachineTypes[m.MachineType] == nil || p.held[h] {
			continue
		}
		whole := q.MachineTypes[m.MachineType].Capacity()
		k := whole.HowMany(spec.Resources())
		if k == 0 || !p.reserve(q, whole, spec.Resources(), k) {
			continue
		}
		p.held[h] = true
		for range k {
			p.keep(q, h, spec.Resources())
		}
	}
}

// freeAt is when a machine is expected to have room for need, by its tasks' own
// estimates; false if only replicas, which never end, stand in the way.
func (q *Queue) freeAt(m *clusterstate.Machine, need sharding.Resources) (int64, bool) {
	free := q.MachineTypes[m.MachineType].Capacity().Sub(m.Usage.Resources)
	type end struct {
		at   int64
		need sharding.Resources
	}
	var ends []end
	for _, t := range q.TasksOnMachine[m.Name] {
		if t.Job.Record == nil || t.Job.Record.Spec.Kind == jobs.Service {
			continue
		}
		ends = append(ends, end{t.Since.UnixMilli() + int64(t.Job.Record.Spec.ExpectedDurationS*1000), t.Resources})
	}
	slices.SortFunc(ends, func(a, b end) int { return int(min(max(a.at-b.at, -1), 1)) })
	at := q.NowMs()
	for _, e := range ends {
		if free.Fits(need) {
			break
		}
		free, at = free.Add(e.need), max(at, e.at)
	}
	return at, free.Fits(need)
}

// Gathered is the room that stands free for large gangs, by machine: it is in demand
// although nothing is booked there.
func (q *Queue) Gathered() map[string]sharding.Resources {
	out := map[string]sharding.Resources{}
	for jobID, g := range q.gatherings {
		j := q.Queued[jobID]
		if j == nil {
			continue
		}
		for h, k := range g.hosts {
			for range k {
				out[h] = out[h].Add(j.Record.Spec.Resources())
			}
		}
	}
	return out
}

// dropGathered forgets what was gathered for gangs that wait no more.
func (q *Queue) dropGathered() {
	for jobID := range q.gatherings {
		if q.Queued[jobID] == nil {
			delete(q.gatherings, jobID)
		}
	}
}
