package part

import (
	"encoding/json"
	"slices"
	"sort"
	"time"

	"github.com/harrierreel/harrierreel/internal/book"
	"github.com/harrierreel/harrierreel/internal/cancellation"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/ending"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/gangs"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/reconcile"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
	"github.com/harrierreel/harrierreel/internal/wire"
	"github.com/harrierreel/harrierreel/internal/workers"
)

func (pt *Part) healthOf(host string) *fleet.Health {
	h := pt.health[host]
	if h == nil {
		h = &fleet.Health{}
		pt.health[host] = h
	}
	return h
}

// Beat answers a worker's report.
func (pt *Part) Beat(body []byte, respond func(wire.Reply)) {
	var r workers.Report
	if err := json.Unmarshal(body, &r); err != nil || !fleet.ValidName(r.Host) {
		respond(wire.Reply{Status: 400, Body: wire.ErrorBody("not a report")})
		return
	}
	if !pt.Speaks() {
		respond(wire.Refuse("not in the view"))
		return
	}
	news := pt.news(&r)
	owner := ""
	if m := pt.Machines[r.Host]; m != nil {
		owner = m.Owner
	} else {
		owner = pt.OwnerOf(r.Host)
	}
	if owner != pt.Me {
		pt.Reconciling.SentOn(owner)
		if news {
			pt.cameHere(owner, &r)
		}
		respond(misdirected(owner))
		return
	}
	s := pt.session(r.Host)
	if s == nil {
		respond(wire.Refuse("too many machines"))
		return
	}
	if r.Baton > s.Baton() {
		// Another controller holds a later baton: this one is behind, and a
		// 200 would only keep the worker here while its lease runs out.
		s.Compare(r.Baton, pt.Now)
		respond(misdirected(owner))
		return
	}
	s.LastBeat = pt.Now
	if s.Accept(&r, pt.Now, pt.placedOn(r.Host)) {
		pt.touched[r.Host] = true
		pt.Wake()
	}
	if !pt.Renews() {
		// The report counts, its lease does not: what was told to be cancelled and has not
		// come here must end with it.
		pt.Withheld()
		respond(wire.Refuse("not all cancellations are known"))
		return
	}
	orders := []workers.Order{}
	if s.State == workers.Known && !s.Busy && r.Tenure == s.Tenure && r.Tick == s.Tick {
		// Only orders that may be repeated go this way; launches are sent to
		// the worker directly, so that there is one place where the answer
		// tells whether they were executed.
		for _, o := range pt.review(s).orders {
			if o.Verb != workers.Launch {
				orders = append(orders, o)
			}
		}
	}
	respond(wire.Reply{Status: 200, Body: jobs.Encode(struct {
		Baton  uint64          `json:"baton"`
		Orders []workers.Order `json:"orders"`
	}{s.Baton(), limitOrders(pt.stopsFirst(&r, orders))})})
}

// stopsFirst puts before the orders a stop for each reported task whose job is known to
// be cancelled, also while the machine's reports prove nothing or a command to it is
// under way: each answer that renews a lease carries them.
func (pt *Part) stopsFirst(r *workers.Report, orders []workers.Order) []workers.Order {
	stops := cancellation.StopsFor(r.Pieces, pt.cancelled)
	if len(stops) == 0 {
		return orders
	}
	for _, o := range orders {
		if o.Verb != workers.Stop || !slices.ContainsFunc(stops, func(s workers.Order) bool { return s.Piece == o.Piece && s.Try == o.Try }) {
			stops = append(stops, o)
		}
	}
	return stops
}

// cancelled tells whether a job is cancelled, as its record shows or as was told.
func (pt *Part) cancelled(uid string) bool {
	j := pt.Jobs[uid]
	return j != nil && j.Rec != nil && j.Rec.State == jobs.Cancelled || pt.Cancelled(uid)
}

// news tells whether a report is newer than all that came here of a known machine. An old one
// that comes late, once the machine has another owner, doesn't tell that it can't reach it.
func (pt *Part) news(r *workers.Report) bool {
	mark, last := [2]uint64{r.Tenure, r.Tick}, pt.came[r.Host]
	if pt.Machines[r.Host] == nil || slices.Compare(mark[:], last[:]) <= 0 {
		return false
	}
	pt.came[r.Host] = mark
	return true
}

func limitOrders(o []workers.Order) []workers.Order {
	if len(o) > tuning.MaxOrders {
		return o[:tuning.MaxOrders]
	}
	return o
}

func misdirected(owner string) wire.Reply {
	if owner == "" {
		return wire.Reply{Status: 421, Body: []byte("{}")}
	}
	return wire.Reply{Status: 421, Body: jobs.Encode(map[string]string{"reports_to": owner})}
}

func (pt *Part) placedOn(host string) map[string]uint64 {
	out := map[string]uint64{}
	for piece, t := range pt.OnHost[host] {
		out[piece] = t.Try
	}
	return out
}

// reviewed is what a look at a machine calls for.
type reviewed struct {
	orders    []workers.Order
	decisions []decide.Decision // a machine's ends and frees
	held      bool              // tasks have vanished that are placed there once more
	busy      bool              // a record is under a transaction
}

// review compares a machine's records with its reports.
func (pt *Part) review(s *workers.Session) reviewed {
	var out reviewed
	for _, piece := range book.Sorted(pt.OnHost[s.Host]) {
		t := pt.OnHost[s.Host][piece]
		over := t.Job.Rec == nil || t.Job.Rec.State != jobs.Live || pt.Cancelled(t.Job.UID)
		if pt.Busy(t.Slice.Key) {
			out.busy = true
			if over && s.State == workers.Known {
				// A transaction may be without an answer for as long as the state service is
				// away; a stop of what is over does not wait for it.
				out.orders = append(out.orders, cancellation.StopsFor(s.Pieces[piece], func(string) bool { return true })...)
			}
			continue // its end is touched again
		}
		verdict, p := s.Judge(piece, t.Try)
		m := pt.Machines[s.Host]
		rec := reconcile.Recorded{Verdict: verdict, Over: over, Stopping: t.State == jobs.Stopping, Leaving: m == nil || m.State == fleet.Deleting || m.State == fleet.Deleted}
		if verdict == workers.OnIt {
			pt.ran(s, t, p)
			rec.Save = !over && pt.saveNow(s, t, p)
		}
		diff, answer := reconcile.OfRecorded(rec)
		pt.count(s.Host, diff, answer)
		switch answer {
		case reconcile.Launch:
			if pt.tooSoon(t) || !pt.Launches() {
				pt.revisit[s.Host] = true
				continue
			}
			out.orders = append(out.orders, workers.Order{Verb: workers.Launch, Piece: piece, Try: t.Try})
		case reconcile.Stop:
			out.orders = append(out.orders, pt.stopOrder(t, over))
		case reconcile.End:
			out.decisions = append(out.decisions, pt.ended(s, t, p))
		case reconcile.Free:
			pt.free(t, diff, &out)
		}
	}
	if s.State != workers.Known {
		return out
	}
	for _, piece := range book.Sorted(s.Pieces) {
		t := pt.OnHost[s.Host][piece]
		for _, p := range s.Pieces[piece] {
			recorded := t != nil && t.Try == p.Try
			// What is cancelled is stopped at once; its end is reaped only once no record can
			// name it any more.
			writing := !recorded && pt.writing(piece) && (p.Status == workers.Ended || !pt.Cancelled(jobOf(piece)))
			diff, answer := reconcile.OfReported(p.Status, recorded, writing)
			if !recorded {
				pt.count(s.Host, diff, answer)
			}
			switch answer {
			case reconcile.Reap:
				out.orders = append(out.orders, workers.Order{Verb: workers.Reap, Piece: piece, Try: p.Try})
				s.Forget(piece, p.Try)
			case reconcile.Stop:
				zero := 0.0
				out.orders = append(out.orders, workers.Order{Verb: workers.Stop, Piece: piece, Try: p.Try, WindDownS: &zero})
			}
		}
	}
	return out
}

// jobOf is the job of a task.
func jobOf(piece string) string {
	uid, _, _ := jobs.SplitPiece(piece)
	return uid
}

// tooSoon tells whether a task of a gang should wait with its launch for the fetches of
// the others (gangs.LaunchAt).
func (pt *Part) tooSoon(t *book.Task) bool {
	spec := &t.Job.Rec.Spec
	if !spec.Gang() || spec.PullGB <= 0 {
		return false
	}
	ready := make([]time.Time, 0, len(t.Job.Active))
	for _, o := range t.Job.Active {
		if o.On() {
			ready = append(ready, pt.Images.Ready(o.Host, spec.Bundle))
		}
	}
	return pt.Now.Before(gangs.LaunchAt(pt.Images.Ready(t.Host, spec.Bundle), ready, jobs.Seconds(pt.Cluster.Workers.GangWaitS)))
}

// ran takes note that a task was seen running.
func (pt *Part) ran(s *workers.Session, t *book.Task, p workers.Piece) {
	if p.Status != workers.Running || t.Ran {
		return
	}
	t.Ran = true
	if t.Job.Rec != nil {
		pt.Log.Debug("runs", "task", t.Piece, "class", t.Job.Rec.Spec.Class, "machine", s.Host, "try", t.Try, "since_accepted_ms", pt.Ms()-t.Job.Rec.AtMs, "since_placed_ms", pt.Now.Sub(t.Since).Milliseconds())
	}
}

// writing tells whether the record of a task is under a transaction.
func (pt *Part) writing(piece string) bool {
	if _, booked := pt.Reserved[piece]; booked {
		return true
	}
	t := pt.task(piece)
	return t != nil && pt.Busy(t.Slice.Key)
}

// saveNow tells whether a task should save before its machine is taken.
func (pt *Part) saveNow(s *workers.Session, t *book.Task, p workers.Piece) bool {
	if s.Warning == nil || p.Status != workers.Running {
		return false
	}
	spec := &t.Job.Rec.Spec
	if spec.Shape == jobs.Standing {
		return true // a replica has nothing to finish: start it elsewhere
	}
	left := *s.Warning - pt.Now.Sub(s.LastReport).Seconds()
	if spec.SnapshotS > 0 {
		return left <= spec.StashS+tuning.SaveMargin
	}
	// What cannot finish in time had better begin elsewhere at once.
	return spec.ExpectS-pt.Now.Sub(t.Since).Seconds() > left*tuning.NoticeDoubt
}

func (pt *Part) stopOrder(t *book.Task, over bool) workers.Order {
	grace := 0.0
	if !over && t.Job.Rec.Spec.SnapshotS > 0 {
		grace = t.Job.Rec.Spec.StashS + 1
	}
	return workers.Order{Verb: workers.Stop, Piece: t.Piece, Try: t.Try, WindDownS: &grace}
}

// Gone commits that a task is no longer on its machine.
func (pt *Part) Gone(t *book.Task, kind jobs.TaskEventKind, pause time.Duration) decide.Decision {
	if t.Job.Rec == nil || t.Job.Rec.State != jobs.Live {
		kind = jobs.Gone
	}
	next, ok := jobs.NextTask(t.Task, jobs.TaskEvent{Kind: kind, AfterMs: pt.Ms() + pause.Milliseconds()})
	if !ok {
		return decide.Decision{}
	}
	return decide.Decision{Changes: decide.Become(t, next), Seen: []string{jobs.JobPrefix + t.Job.UID}}
}

// ended commits a reported end.
func (pt *Part) ended(s *workers.Session, t *book.Task, p workers.Piece) decide.Decision {
	h := pt.healthOf(s.Host)
	if t.Job.Rec == nil || t.Job.Rec.State != jobs.Live {
		return pt.Gone(t, jobs.Gone, 0)
	}
	switch p.Cause {
	case workers.CauseDone:
		h.Succeeded()
		if t.Job.Rec.Spec.Shape == jobs.Standing {
			return pt.Gone(t, jobs.Gone, 0)
		}
		m := pt.Machines[s.Host]
		inUse := m != nil && m.State != fleet.Deleting && m.State != fleet.Deleted
		if d, whole := ending.WithLast(t); whole && (inUse || !t.Slice.Packed()) {
			return d
		}
		return pt.Gone(t, jobs.Complete, 0)
	case workers.CauseError:
		d := pt.Gone(t, jobs.Fail, jobs.Backoff(t.Fails))
		pt.blame(s.Host, h, t)
		return d
	case workers.CauseNoSuch:
		return pt.Gone(t, jobs.Fail, jobs.Backoff(t.Fails))
	case workers.CauseNoRoom, workers.CauseInUse:
		h.Rest(pt.Now.Add(tuning.RefusedRest))
		return pt.Gone(t, jobs.Gone, tuning.Backoff)
	}
	return pt.Gone(t, jobs.Gone, 0)
}

// blame tells a faulty machine from a faulty job. A job that has failed on
// several machines is itself to blame and costs no machine; a machine on which
// several blameless jobs fail, or one that others finish elsewhere, is faulty.
func (pt *Part) blame(host string, h *fleet.Health, t *book.Task) {
	if pt.Trust(t.Job, host) == jobs.Probing {
		return
	}
	blameless := func(uid string) bool {
		j := pt.Jobs[uid]
		return j != nil && j.Rec != nil && j.Rec.State == jobs.Live && pt.Trust(j, "") == jobs.Trusted
	}
	if h.Failed(t.Job.UID, pt.Now, t.Job.Done > 0, blameless) {
		pt.moveMachine(host, fleet.Sick, "tasks fail on it")
	}
}

// moveMachine commits an event of a machine's record.
func (pt *Part) moveMachine(host string, e fleet.Event, why string) {
	pt.Commit(pt.Moving(host, e, why))
}

// Moving is the decision that a machine's record changes by an event, if it
// does.
func (pt *Part) Moving(host string, e fleet.Event, why string) []decide.Decision {
	m := pt.Machines[host]
	if m == nil || pt.Busy(fleet.HostPrefix+host) {
		return nil
	}
	rec := m.Host
	state, ok := fleet.Next(rec.State, e)
	if !ok {
		return nil
	}
	from := rec.State
	rec.State, rec.Why, rec.SinceMs = state, why, pt.Ms()
	return []decide.Decision{{Writes: []store.Write{decide.Put(fleet.HostPrefix+host, rec)}, Done: func(ok bool) {
		if ok {
			pt.Log.Info("machine", "machine", host, "from", string(from), "to", string(state), "why", why)
		}
	}}}
}

// gathers tells whether ends wait for others: while writes are short, and with packs,
// many tasks of a record end soon after one another, and all of them are one write.
func (pt *Part) gathers() bool {
	gap := tuning.GatherFor
	if pt.Spare() {
		gap = 0
		if pt.Queue.Packing() {
			gap = tuning.PackEvery
		}
	}
	return pt.Now.Sub(pt.lastEnds) < gap
}

// Pass does what an owner does for its part: it looks at the machines
// that something has happened to, and from time to time at those that need
// looking after without it.
func (pt *Part) Pass() {
	if pt.Outside() {
		clear(pt.touched)
		return
	}
	ds := pt.Queue.Place()
	sweep := pt.Now.Sub(pt.lastSweep) >= tuning.SweepEvery
	if sweep {
		pt.lastSweep = pt.Now
		unheard := map[string]bool{}
		for _, host := range book.Sorted(pt.sessions) {
			s := pt.sessions[host]
			ds = append(ds, pt.watchHealth(s, unheard)...)
			if s.State != workers.Known || pt.unmet(s) || s.Warning != nil || pt.overdue(s) {
				pt.touched[host] = true
			}
		}
		for host := range pt.revisit {
			pt.touched[host] = true
		}
		clear(pt.revisit)
		ds = append(ds, pt.tellQuiet(unheard)...)
	}
	gather := pt.gathers()
	if !gather {
		for host := range pt.held {
			pt.touched[host] = true
		}
		clear(pt.held)
	}
	for _, host := range book.Sorted(pt.touched) {
		s := pt.sessions[host]
		if m := pt.Machines[host]; s == nil && m != nil && m.Owner == pt.Me && m.State != fleet.Deleted {
			pt.keepSession(m)
			s = pt.sessions[host]
		}
		if s == nil {
			continue
		}
		pt.counting = true
		rv := pt.review(s)
		pt.counting = false
		if len(rv.decisions) > 0 || len(rv.orders) > 0 || rv.held {
			pt.revisit[host] = true
		}
		pt.compared(s, &rv)
		switch {
		case len(rv.decisions) == 0:
		case gather:
			pt.held[host] = true
		default:
			pt.lastEnds = pt.Now
			ds = append(ds, rv.decisions...)
		}
		pt.command(s, rv.orders)
	}
	clear(pt.touched)
	for _, host := range pt.waiting {
		pt.touched[host] = true
	}
	pt.waiting = pt.waiting[:0]
	ds = append(ds, pt.placeAnew()...)
	pt.Reconciling.Settle(pt.Now, pt.Known())
	// Where the budget does not allow all, a guest's thousands of ends must not
	// stand before those that others wait for.
	sort.SliceStable(ds, func(a, b int) bool {
		if x, y := pt.turn(&ds[a]), pt.turn(&ds[b]); x != y {
			return x < y
		}
		return ds[a].Rank() < ds[b].Rank()
	})
	pt.Commit(ds)
}
