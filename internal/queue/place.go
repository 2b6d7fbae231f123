package queue

import (
	"sort"

	"github.com/harrierreel/harrierreel/internal/book"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/parts"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Place puts released tasks of this part on machines.
func (q *Queue) Place() []decide.Decision {
	var mine []*book.Task
	for _, t := range q.Released {
		if t.Part == q.Me && t.Job.Rec != nil && t.Job.Rec.State == jobs.Live && !q.Busy(t.Slice.Key) && q.Now.Sub(t.Tried) >= tuning.PlaceAgain {
			mine = append(mine, t)
		}
	}
	sort.Slice(mine, func(a, b int) bool {
		if mine[a].Job != mine[b].Job {
			return mine[a].Job.UID < mine[b].Job.UID
		}
		return mine[a].N < mine[b].N
	})
	var out []decide.Decision
	for len(mine) > 0 {
		j := mine[0].Job
		k := 1
		for k < len(mine) && mine[k].Job == j {
			k++
		}
		if j.Rec.Spec.Gang() {
			out = append(out, q.placeGang(j, mine[:k])...)
		} else {
			for _, t := range mine[:k] {
				if d, ok := q.placeOne(t, t.Try+1); ok {
					out = append(out, d)
				} else {
					t.Tried = q.Now
				}
			}
		}
		mine = mine[k:]
	}
	return out
}

// placeOne picks a machine of this part and makes the decision.
func (q *Queue) placeOne(t *book.Task, try uint64) (decide.Decision, bool) {
	spec := &t.Job.Rec.Spec
	host := ""
	if m := q.Machines[t.Want]; m != nil && q.CanPlace(t, m) {
		free := q.Builds[m.Build].Whole().Sub(q.Used(t.Want))
		if !t.Unwanted {
			free = free.Add(t.Need) // its own booking is there for it
		}
		if free.Fits(spec.Need()) {
			host = t.Want
		}
	}
	if host == "" {
		b := q.board(nil, q.ByName(), func(m *book.Machine) bool { return m.Owner == q.Me && q.CanPlace(t, m) }, spec)
		if i := parts.Pick(spec.Need(), spec.Loaner, b); i >= 0 {
			host = b[i].Host
		}
	}
	if host == "" {
		return decide.Decision{}, false
	}
	d, ok := q.placing(t, host, t.Site, try)
	d.Seen = append(d.Seen, fleet.ClaimsKey) // not on what was claimed meanwhile
	return d, ok
}

// placing is the decision that puts a task on a machine. The machine's record
// is among its conditions: a machine condemned meanwhile takes no task.
func (q *Queue) placing(t *book.Task, host, site string, try uint64) (decide.Decision, bool) {
	next, ok := q.placed(t, host, site, try)
	if !ok {
		return decide.Decision{}, false
	}
	piece := t.Piece
	return decide.Decision{
		Changes: decide.Become(t, next),
		Seen:    []string{jobs.JobPrefix + t.Job.UID, fleet.HostPrefix + host},
		Done:    func(bool) { q.Unreserve(piece) },
	}, true
}

// placed is a task's record on a machine; it books the place.
func (q *Queue) placed(t *book.Task, host, site string, try uint64) (jobs.Task, bool) {
	next, ok := jobs.NextTask(t.Task, jobs.TaskEvent{Kind: jobs.Place, Host: host, Site: site, Try: try})
	if !ok {
		return next, false
	}
	q.Log.Debug("places", "task", t.Piece, "class", t.Job.Rec.Spec.Class, "machine", host, "kind", q.Machines[host].Build, "cheap", q.Machines[host].Loaner,
		"try", try, "cached", q.Cached(host, t.Job.Rec.Spec.Bundle), "since_accepted_ms", q.Ms()-t.Job.Rec.AtMs)
	q.Reserve(t, host, q.Machines[host].Site)
	return next, true
}

// board lists those of some machines that have room for a task of a job and
// that takes allows, in the room of out.
func (q *Queue) board(out []parts.Candidate, among []*book.Machine, takes func(*book.Machine) bool, spec *jobs.Spec) []parts.Candidate {
	out = out[:0]
	var b *jobs.Build
	var whole parts.Room
	need := spec.Need()
	for _, m := range among {
		if m.State != fleet.Up {
			continue
		}
		if b == nil || b.Name != m.Build { // machines of a type mostly follow one another
			if b = q.Builds[m.Build]; b == nil {
				continue
			}
			whole = b.Whole()
		}
		used := m.Use.Room
		if !whole.Sub(used).Fits(need) || !takes(m) {
			continue
		}
		c := parts.Candidate{
			Host: m.Name, Whole: whole, Free: whole.Sub(used), Loaner: m.Loaner, Site: m.Site, Part: m.Owner,
			Load: used.Share(whole), Cached: q.Cached(m.Name, spec.Bundle),
		}
		if !c.Cached && b.PullRate > 0 {
			c.PullS = q.pullS(m, b, spec)
		}
		out = append(out, c)
	}
	return out
}

// TakeBack withdraws tasks that their part did not place.
func (q *Queue) TakeBack() {
	var ds []decide.Decision
	for _, piece := range book.Sorted(q.Released) {
		t := q.Released[piece]
		gone := q.Left(t.Part)
		if !gone && q.Now.Sub(t.Since) < tuning.ReleaseStale {
			continue
		}
		if !gone && t.Want != "" {
			q.Avoid(t.Want, q.Now.Add(tuning.AvoidAfter))
		}
		next, ok := jobs.NextTask(t.Task, jobs.TaskEvent{Kind: jobs.TakeBack})
		if ok && !q.Busy(t.Slice.Key) {
			ds = append(ds, decide.Decision{Changes: decide.Become(t, next)})
		}
	}
	q.Commit(ds)
}
