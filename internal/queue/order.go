package queue

import (
	"sort"
	"time"

	"github.com/harrierreel/harrierreel/internal/book"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// order lists the live jobs that wait: by rank, then what lies within a
// guarantee, then by the share of its team beyond that, then what has waited too long
// to begin, the oldest first, then by the time by which they must start to meet their aim.
func (q *Queue) order(account *quota.Account) []*book.Job {
	type entry struct {
		j     *book.Job
		rank  int
		turn  int       // 0: within its team's guarantee
		way   []float64 // of its leaf, for what lies beyond that
		due   bool      // overdue to begin
		late  bool
		room  float64
		start int64
	}
	late := func(r *jobs.Record, start int64) bool { return start >= r.AtMs+tuning.QueueHorizon.Milliseconds() }
	ways := map[int][]float64{}
	entries := make([]entry, 0, len(q.Queued))
	for _, j := range q.Queued {
		spec := &j.Rec.Spec
		leaf := q.Leaf(spec)
		entitled := account.Entitled(leaf, spec.Amount(), 1)
		turn := account.Tree().Turn(entitled, leaf)
		start := q.StartBy(j.Rec, turn == 0)
		if _, known := ways[leaf]; turn > 0 && !known {
			ways[leaf] = account.Way(leaf)
		}
		entries = append(entries, entry{j, spec.RankOrder(), turn, ways[leaf], q.Overdue(j), late(j.Rec, start), spec.Accel * float64(spec.Pieces-j.Done), start})
	}
	sort.Slice(entries, func(x, y int) bool {
		a, b := &entries[x], &entries[y]
		switch {
		case a.rank != b.rank:
			return a.rank < b.rank
		case a.turn != b.turn:
			return a.turn < b.turn
		case a.turn > 0 && quota.CompareWays(a.way, b.way) != 0:
			return quota.CompareWays(a.way, b.way) < 0
		case a.due != b.due:
			return a.due
		case a.due && a.j.Rec.AtMs != b.j.Rec.AtMs:
			return a.j.Rec.AtMs < b.j.Rec.AtMs
		case a.late != b.late:
			return !a.late
		case !a.late && a.room != b.room:
			return a.room < b.room
		case a.start != b.start:
			return a.start < b.start
		}
		return a.j.UID < b.j.UID
	})
	out := make([]*book.Job, len(entries))
	for i := range entries {
		out[i] = entries[i].j
	}
	return out
}

// Overdue tells whether a job has waited so long to begin that it goes before all others
// of its rank, turn and team's share. Within a class the smaller go first, so without it the
// largest begin last, and while smaller ones keep coming never
// (docs/incidents/largest-last.md). It hangs on the accepted time alone, so no restart makes
// anyone wait again. Of gangs only large ones are; they begin whole. Any other job begins
// with its first task, and what is left of it then waits in its ordinary turn.
func (q *Queue) Overdue(j *book.Job) bool {
	waited := time.Duration(q.Ms()-j.Rec.AtMs) * time.Millisecond
	if j.Rec.Spec.Gang() {
		return large(&j.Rec.Spec) && waited >= q.gangOverdueAfter(j.Rec.Spec.Class)
	}
	return waited >= q.overdueAfter(j.Rec.Spec.Class) && len(j.Active)+len(j.Again)+j.Done == 0
}

// overdueAfter is the wait after which a class's arrays and services are overdue: while the
// last of its aims for starting can still be met, or where all of those are shorter than
// making room takes, in time for the users' bound.
func (q *Queue) overdueAfter(class string) time.Duration {
	last := q.lastAim(class)
	if last < tuning.OverdueAim {
		return tuning.Overdue
	}
	return min(tuning.Overdue, last-tuning.OverdueLead)
}

// gangOverdueAfter is the wait after which a class's large gangs are overdue: once the last
// of its aims for starting has been missed, so that they take no room from what can still
// meet one, and in any case in time for the users' bound.
func (q *Queue) gangOverdueAfter(class string) time.Duration {
	last := q.lastAim(class)
	if last < tuning.OverdueAim {
		return tuning.GangOverdue
	}
	return min(tuning.GangOverdue, last+tuning.GangAimPast)
}

// lastAim is the last of a class's aims for starting, 0 if it has none.
func (q *Queue) lastAim(class string) time.Duration {
	last := time.Duration(0)
	for _, o := range q.Objectives {
		if o.Kind == "wait" && o.Class == class {
			last = max(last, jobs.Seconds(o.WithinS))
		}
	}
	return last
}

// StartBy is the time by which a job must start to meet the next of its
// class's aims that it still can; a job that has missed them all comes after
// those that have not, until it has waited very long.
func (q *Queue) StartBy(r *jobs.Record, within bool) int64 {
	late := r.AtMs + tuning.QueueHorizon.Milliseconds()
	best := late
	consider := func(seconds float64) {
		if t := r.AtMs + int64(seconds*1000); t > q.Ms() && t < best {
			best = t
		}
	}
	for _, o := range q.Objectives {
		switch {
		case o.Kind == "guarantee" && within, o.Kind == "wait" && o.Class == r.Spec.Class:
			consider(o.WithinS)
		case o.Kind == "finished" && o.Class == r.Spec.Class:
			consider(o.WithinS - r.Spec.ExpectS)
		}
	}
	if r.Spec.DueS != nil {
		consider(*r.Spec.DueS - r.Spec.ExpectS)
	}
	return best
}

// startAim is the next time by which a class's tasks should have started, 0
// when there is none.
func (q *Queue) startAim(r *jobs.Record, within bool) int64 {
	var best int64
	for _, o := range q.Objectives {
		if (o.Kind == "guarantee" && within) || (o.Kind == "wait" && o.Class == r.Spec.Class) {
			if t := r.AtMs + int64(o.WithinS*1000); t > q.Ms() && (best == 0 || t < best) {
				best = t
			}
		}
	}
	return best
}

// pending lists up to most tasks of a job that wait, those that have tried
// before first.
func (q *Queue) pending(j *book.Job, most int) []*book.Task {
	var out []*book.Task
	for _, t := range j.Again {
		if t.After <= q.Ms() && !q.Busy(t.Slice.Key) {
			out = append(out, t)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].N < out[b].N })
	for j.Free < j.Rec.Spec.Pieces && j.Tasks[j.Free] != nil {
		j.Free++
	}
	// Where a slice cannot be read, nobody knows which tasks it holds.
	if j.Unreadable || q.MayHold(j.UID) {
		return out[:min(len(out), most)]
	}
	for i := j.Free; i < j.Rec.Spec.Pieces && len(out) < most; i++ {
		if j.Tasks[i] != nil {
			continue
		}
		piece := jobs.Piece(j.UID, i)
		if _, booked := q.Reserved[piece]; !booked {
			out = append(out, &book.Task{Task: jobs.Task{State: jobs.Pending}, Piece: piece, N: i, Job: j})
		}
	}
	if len(out) > most {
		out = out[:most]
	}
	return out
}

// probe is the one task that a job in doubt may try next, if any: the one that
// has failed most, whose pause is the longest.
func (q *Queue) probe(j *book.Job) []*book.Task {
	if len(j.Active) > 0 {
		return nil
	}
	var most *book.Task
	for _, t := range j.Again {
		if q.Busy(t.Slice.Key) {
			return nil
		}
		if most == nil || t.Fails > most.Fails || t.Fails == most.Fails && t.N < most.N {
			most = t
		}
	}
	if most == nil || most.After > q.Ms() {
		return nil
	}
	return []*book.Task{most}
}

// unstarted is how many more tasks of a job may start by now. Of a very large one
// only so many are under way at once: with all of 100,000 tasks of some seconds on
// machines, their reports took all of the controllers' processor time.
func (q *Queue) unstarted(j *book.Job) int {
	return max(0, min(j.Rec.Spec.Pieces-j.Done, tuning.MostActive)-len(j.Active))
}
