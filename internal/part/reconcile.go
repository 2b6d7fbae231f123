package part

import (
	"cmp"
	"slices"
	"strings"

	"github.com/harrierreel/harrierreel/internal/book"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/gangs"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/reconcile"
	"github.com/harrierreel/harrierreel/internal/tuning"
	"github.com/harrierreel/harrierreel/internal/workers"
)

// mayAsk tells whether a call may be spent on a machine while this controller reconciles:
// those that died must not hold up those that run.
func (pt *Part) mayAsk(s *workers.Session) bool {
	switch {
	case pt.Reconciling.Steady():
		return true
	case s.CallFails > 0:
		return pt.doubted < tuning.DoubtedCalls && !pt.Rental.GivenUp(s.Host)
	case s.Tick == 0:
		return pt.awaited < tuning.AwaitedCalls && !pt.Rental.GivenUp(s.Host)
	}
	return true
}

// putOff has a machine looked at again when a call comes free, and not with the next
// sweep: 64 machines every 0.4 s were ten seconds for all of a fleet's.
func (pt *Part) putOff(s *workers.Session) {
	if !pt.Reconciling.Steady() {
		pt.waiting = append(pt.waiting, s.Host)
	}
}

// asking counts a call to a machine; the caller calls what it gets once it is over.
func (pt *Part) asking(s *workers.Session) (over func()) {
	count := &pt.awaited
	switch {
	case s.CallFails > 0:
		count = &pt.doubted
	case s.Tick != 0:
		return func() {}
	}
	*count++
	return func() { *count-- }
}

// count notes a difference, once for every look of a pass.
func (pt *Part) count(host string, d reconcile.Difference, a reconcile.Answer) {
	if pt.counting {
		pt.Reconciling.Count(host, d, a)
	}
}

// compared takes in what a look at a machine has found.
func (pt *Part) compared(s *workers.Session, rv *reviewed) {
	switch {
	case pt.Reconciling.Steady():
	case s.State != workers.Known:
		if pt.Rental.GivenUp(s.Host) {
			pt.Reconciling.Note(s.Host, reconcile.Silent, pt.Now)
		}
	case len(rv.orders) > 0 || len(rv.decisions) > 0 || rv.held || rv.busy:
		pt.Reconciling.Note(s.Host, reconcile.Shows, pt.Now)
		pt.Reconciling.Note(s.Host, reconcile.Departs, pt.Now)
	default:
		pt.Reconciling.Note(s.Host, reconcile.Shows, pt.Now)
		pt.Reconciling.Note(s.Host, reconcile.Agrees, pt.Now)
	}
}

// free is what becomes of a recorded task that is not on its machine. While this
// controller reconciles, one that vanished from a machine that may hold it still, as it
// does where the lease ran out, is left to placeAnew.
func (pt *Part) free(t *book.Task, why reconcile.Difference, out *reviewed) {
	if !pt.Reconciling.Steady() && why == reconcile.Vanished && pt.again(t) {
		pt.vanished[t.Piece] = true
		out.held = true
		return
	}
	out.decisions = append(out.decisions, pt.Gone(t, jobs.Gone, 0))
}

// placeAnew places tasks that have vanished where they were, under another try: one
// change instead of two, the image is there, and the room was promised to nobody else.
// What is in one record is written at once, when all the machines that it is about were
// heard: one machine at a time, a pack of 200 tasks was written 100 times.
//
// The machine's record is no condition, as it is where a task is placed elsewhere: the
// task is recorded on it before and after, so that whoever deletes it frees the task.
func (pt *Part) placeAnew() []decide.Decision {
	if len(pt.vanished) == 0 || !pt.Allows(0, tuning.BatchLeast) || pt.Now.Sub(pt.lastAnew) < tuning.AnewEvery {
		return nil
	}
	pt.lastAnew = pt.Now
	var all []*book.Task
	awaits, has := map[*book.Slice]bool{}, map[*book.Slice]int{}
	for piece := range pt.vanished {
		t := pt.task(piece)
		if t == nil || !t.On() || !pt.again(t) {
			delete(pt.vanished, piece) // a look at its machine tells what it is now
			continue
		}
		if _, known := awaits[t.Slice]; !known {
			awaits[t.Slice] = pt.awaits(t.Slice)
		}
		if !awaits[t.Slice] && !pt.Busy(t.Slice.Key) {
			all = append(all, t)
			has[t.Slice]++
		}
	}
	// The records first that bring back most by one change; Pass puts them in turn.
	slices.SortFunc(all, func(a, b *book.Task) int {
		return cmp.Or(cmp.Compare(has[b.Slice], has[a.Slice]), strings.Compare(a.Slice.Key, b.Slice.Key), cmp.Compare(a.N, b.N))
	})
	var ds []decide.Decision
	for _, t := range all {
		ds = append(ds, pt.anew(t)...)
	}
	return ds
}

// anew is the decision that places a task, or its gang, where it was.
func (pt *Part) anew(t *book.Task) []decide.Decision {
	mates := []*book.Task{t}
	if spec := &t.Job.Rec.Spec; spec.Gang() && spec.Pieces > 1 {
		mates = mates[:0]
		for n := range spec.Pieces {
			mates = append(mates, t.Job.Tasks[n])
		}
	}
	if mates[0] != t {
		// The first of a gang speaks for it; without that one it is not whole.
		if m := mates[0]; m != nil && pt.vanished[m.Piece] {
			return nil
		}
	}
	d := decide.Decision{Seen: []string{jobs.JobPrefix + t.Job.UID}}
	var records []*jobs.Task
	for _, m := range mates {
		if m == nil || !m.On() || !pt.again(m) {
			if m != nil && m.On() && pt.awaits(m.Slice) {
				return nil
			}
			return []decide.Decision{pt.Gone(t, jobs.Gone, 0)}
		}
		records = append(records, &m.Task)
	}
	try := gangs.NextTry(records)
	for _, m := range mates {
		next, ok := jobs.NextTask(m.Task, jobs.TaskEvent{Kind: jobs.Anew, Try: try})
		if !ok {
			return []decide.Decision{pt.Gone(t, jobs.Gone, 0)}
		}
		d.Changes = append(d.Changes, decide.Become(m, next)...)
	}
	if len(d.Keys()) > min(tuning.AnewMost, pt.Cluster.State.TxnOps) {
		return []decide.Decision{pt.Gone(t, jobs.Gone, 0)}
	}
	return []decide.Decision{d}
}

// task is the record of a task by its name, nil if there is none.
func (pt *Part) task(piece string) *book.Task {
	uid, num, ok := jobs.SplitPiece(piece)
	if !ok || pt.Jobs[uid] == nil {
		return nil
	}
	return pt.Jobs[uid].Tasks[num]
}

// turn is the order in which decisions are made while this controller reconciles; on any
// other day they go by rank alone.
func (pt *Part) turn(d *decide.Decision) reconcile.Turn {
	if pt.Reconciling.Steady() || len(d.Changes) == 0 {
		return reconcile.Ends
	}
	t := d.Changes[0].Task
	if t.Job.Rec == nil {
		return reconcile.Cancelled
	}
	return reconcile.TurnOf(&t.Job.Rec.Spec, t.Job.Rec.State != jobs.Live, d.Changes[0].Next.State == jobs.Placed)
}

// again tells whether a task is known to be gone from a machine of this controller's
// that may be given it once more.
func (pt *Part) again(t *book.Task) bool {
	s, m := pt.sessions[t.Host], pt.Machines[t.Host]
	if s == nil || m == nil || t.State != jobs.Placed || t.Job.Rec == nil || t.Job.Rec.State != jobs.Live {
		return false
	}
	verdict, _ := s.Judge(t.Piece, t.Try)
	return verdict == workers.Missing && s.Warning == nil && pt.Queue.ClaimedFor(m) == "" && pt.sound(m) && pt.Queue.MayBegin(&t.Job.Rec.Spec)
}

// awaits tells whether a machine with a task of a record has yet to be heard.
func (pt *Part) awaits(sl *book.Slice) bool {
	if pt.Reconciling.Phase() != reconcile.Hearing {
		return false
	}
	for _, t := range sl.Tasks {
		if t.On() && sl.Holds(t) && pt.Reconciling.Awaits(t.Host) {
			return true
		}
	}
	return false
}

// HeardUnder is the view under which all of this controller's machines were heard, or are
// on the list of those that it does not hear, 0 if some are not.
func (pt *Part) HeardUnder() uint64 {
	for _, h := range pt.Reconciling.GivenUp() {
		if m := pt.Machines[h]; m != nil && m.Owner == pt.Me && pt.InUse(m) {
			return 0
		}
	}
	return pt.Reconciling.Heard()
}
