package queue

import (
	"slices"
	"sort"
	"time"

	"github.com/harrierreel/harrierreel/internal/book"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/parts"
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
func large(spec *jobs.Spec) bool { return spec.Gang() && spec.Pieces > tuning.HoldEach }

// gather keeps room for a large gang that does not fit now, and returns how many of
// its tasks it is kept for, and the zone. What is kept for all of them together stays
// below a share of the machines: they stand idle meanwhile.
func (q *Queue) gather(t *book.Task, p *pass) (int, string) {
	spec := &t.Job.Rec.Spec
	g := q.gatherings[t.Job.UID]
	cands := p.board(q, t.Anywhere())
	zones := q.Zones(t.Job)
	if g == nil || q.Now.Sub(g.since) > tuning.GatherElsewhere {
		last := ""
		if g != nil {
			last = g.site
		}
		g = &gathering{site: q.gatherSite(spec, cands, zones, last), since: q.Now}
		q.gatherings[t.Job.UID] = g
	}
	here := func(site string) bool {
		return (g.site == "" || site == g.site) && book.ZoneAllowed(spec, zones, site)
	}
	g.hosts = map[string]int{}
	left := spec.Pieces
	// The machines with the most places first: the gang starts on as few as hold it.
	sort.SliceStable(cands, func(a, b int) bool {
		x, y := cands[a].Free.Times(spec.Need()), cands[b].Free.Times(spec.Need())
		return x > y || x == y && cands[a].Load > cands[b].Load
	})
	for i := range cands {
		c := &cands[i]
		k := min(left, c.Free.Times(spec.Need()))
		if k <= 0 || !here(c.Site) || !p.reserve(q, c.Whole, spec.Need(), k) {
			continue
		}
		for range k {
			p.keep(q, c.Host, spec.Need())
		}
		g.hosts[c.Host] = k
		left -= k
	}
	kept := spec.Pieces - left
	if kept > g.most {
		g.most, g.since = kept, q.Now
	}
	if left > 0 && q.Overdue(t.Job) {
		q.gatherBusy(g, t, left, here, p)
	}
	return kept, g.site
}

// reserve counts room kept for large gangs; false if it is too much.
func (p *pass) reserve(q *Queue, whole, need parts.Room, k int) bool {
	share := need.Share(whole) * float64(k)
	if p.gathered+share > tuning.HoldShare*float64(len(q.Machines)) {
		return false
	}
	p.gathered += share
	return true
}

// gatherSite is the zone where a gang gathers: the one that has most room for it now,
// of the others if it did not come together in the last one. "" if it may spread.
func (q *Queue) gatherSite(spec *jobs.Spec, cands []parts.Candidate, zones map[string]int, last string) string {
	if !spec.SamePlace {
		return ""
	}
	if spec.Site != "" {
		return spec.Site
	}
	free := map[string]int{}
	for _, b := range q.Builds {
		for _, site := range b.Sites {
			if book.ZoneAllowed(spec, zones, site) && spec.AllowsBuild(b.Name) {
				free[site] = 0
			}
		}
	}
	for i := range cands {
		if book.ZoneAllowed(spec, zones, cands[i].Site) {
			free[cands[i].Site] += cands[i].Free.Times(spec.Need())
		}
	}
	best := ""
	for _, site := range book.Sorted(free) {
		if site != last && (best == "" || free[site] > free[best]) {
			best = site
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
func (q *Queue) gatherBusy(g *gathering, t *book.Task, left int, here func(string) bool, p *pass) {
	spec := &t.Job.Rec.Spec
	if q.Now.Sub(g.at) > tuning.GatherAgain {
		g.at, g.busy = q.Now, nil
		type soon struct {
			host   string
			at     int64
			places int
		}
		var found []soon
		for _, m := range p.open(q) {
			whole := q.Builds[m.Build].Whole()
			if p.held[m.Name] || g.hosts[m.Name] > 0 || !here(m.Site) || !book.Suits(t.Anywhere(), m) || !whole.Fits(spec.Need()) {
				continue
			}
			if at, ok := q.freeAt(m, spec.Need()); ok {
				found = append(found, soon{m.Name, at, whole.Times(spec.Need())})
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
		if m == nil || q.Builds[m.Build] == nil || p.held[h] {
			continue
		}
		whole := q.Builds[m.Build].Whole()
		k := whole.Times(spec.Need())
		if k == 0 || !p.reserve(q, whole, spec.Need(), k) {
			continue
		}
		p.held[h] = true
		for range k {
			p.keep(q, h, spec.Need())
		}
	}
}

// freeAt is when a machine is expected to have room for need, by its tasks' own
// estimates; false if only replicas, which never end, stand in the way.
func (q *Queue) freeAt(m *book.Machine, need parts.Room) (int64, bool) {
	free := q.Builds[m.Build].Whole().Sub(m.Use.Room)
	type end struct {
		at   int64
		need parts.Room
	}
	var ends []end
	for _, t := range q.OnHost[m.Name] {
		if t.Job.Rec == nil || t.Job.Rec.Spec.Shape == jobs.Standing {
			continue
		}
		ends = append(ends, end{t.Since.UnixMilli() + int64(t.Job.Rec.Spec.ExpectS*1000), t.Need})
	}
	slices.SortFunc(ends, func(a, b end) int { return int(min(max(a.at-b.at, -1), 1)) })
	at := q.Ms()
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
func (q *Queue) Gathered() map[string]parts.Room {
	out := map[string]parts.Room{}
	for uid, g := range q.gatherings {
		j := q.Queued[uid]
		if j == nil {
			continue
		}
		for h, k := range g.hosts {
			for range k {
				out[h] = out[h].Add(j.Rec.Spec.Need())
			}
		}
	}
	return out
}

// dropGathered forgets what was gathered for gangs that wait no more.
func (q *Queue) dropGathered() {
	for uid := range q.gatherings {
		if q.Queued[uid] == nil {
			delete(q.gatherings, uid)
		}
	}
}
