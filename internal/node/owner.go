package node

import (
	"encoding/json"
	"github.com/harrierreel/harrierreel/internal/book"
	"github.com/harrierreel/harrierreel/internal/decide"
	"sort"
	"time"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
	"github.com/harrierreel/harrierreel/internal/wire"
	"github.com/harrierreel/harrierreel/internal/workers"
)

func (n *Node) healthOf(host string) *fleet.Health {
	h := n.health[host]
	if h == nil {
		h = &fleet.Health{}
		n.health[host] = h
	}
	return h
}

// beat answers a worker's report.
func (n *Node) beat(body []byte, respond func(wire.Reply)) {
	var r workers.Report
	if err := json.Unmarshal(body, &r); err != nil || r.Host == "" || len(r.Host) > tuning.MaxHostName {
		respond(wire.Reply{Status: 400, Body: errorBody("not a report")})
		return
	}
	if n.role == members.Outside || !n.sync.live || n.unsure() {
		respond(refuse("not in the view"))
		return
	}
	owner := ""
	if m := n.Machines[r.Host]; m != nil {
		owner = m.Owner
	} else {
		owner = n.owner(r.Host)
	}
	if owner != n.set.NodeName {
		if n.Machines[r.Host] != nil {
			n.complain(owner, r.Host, true)
		}
		respond(misdirected(owner))
		return
	}
	s := n.session(r.Host)
	if s == nil {
		respond(refuse("too many machines"))
		return
	}
	if r.Baton > s.Baton() {
		// Another controller holds a later baton: this one is behind, and a
		// 200 would only keep the worker here while its lease runs out.
		respond(misdirected(owner))
		return
	}
	s.LastBeat = n.Now
	if s.Accept(&r, n.Now, n.placedOn(r.Host)) {
		n.touched[r.Host] = true
		n.dirty = true
	}
	orders := []workers.Order{}
	if s.State == workers.Known && !s.Busy && r.Tenure == s.Tenure && r.Tick == s.Tick {
		// Only orders that may be repeated go this way; launches are sent to
		// the worker directly, so that there is one place where the answer
		// tells whether they were executed.
		for _, o := range n.review(s).orders {
			if o.Verb != workers.Launch {
				orders = append(orders, o)
			}
		}
	}
	respond(wire.Reply{Status: 200, Body: jobs.Encode(struct {
		Baton  uint64          `json:"baton"`
		Orders []workers.Order `json:"orders"`
	}{s.Baton(), limitOrders(orders)})})
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

func (n *Node) placedOn(host string) map[string]uint64 {
	out := map[string]uint64{}
	for piece, t := range n.OnHost[host] {
		out[piece] = t.Try
	}
	return out
}

// reviewed is what a look at a machine calls for.
type reviewed struct {
	orders    []workers.Order
	decisions []decide.Decision
}

// review compares a machine's records with its reports.
func (n *Node) review(s *workers.Session) reviewed {
	var out reviewed
	for _, piece := range sorted(n.OnHost[s.Host]) {
		t := n.OnHost[s.Host][piece]
		if n.busy[t.Slice.Key] {
			continue // its end is touched again
		}
		over := t.Job.Rec == nil || t.Job.Rec.State != jobs.Live
		verdict, p := s.Judge(piece, t.Try)
		switch verdict {
		case workers.ToLaunch:
			m := n.Machines[s.Host]
			if over || t.State == jobs.Stopping || m == nil || m.State == fleet.Deleting || m.State == fleet.Deleted {
				out.decisions = append(out.decisions, n.gone(t, jobs.Gone, 0))
				continue
			}
			out.orders = append(out.orders, workers.Order{Verb: workers.Launch, Piece: piece, Try: t.Try})
		case workers.OnIt:
			if p.Status == workers.Running && !t.Ran {
				t.Ran = true
				if t.Job.Rec != nil {
					n.log.Debug("runs", "task", piece, "class", t.Job.Rec.Spec.Class, "machine", s.Host, "try", t.Try, "since_accepted_ms", n.ms()-t.Job.Rec.AtMs, "since_placed_ms", n.Now.Sub(t.Since).Milliseconds())
				}
			}
			if over || t.State == jobs.Stopping || n.saveNow(s, t, p) {
				out.orders = append(out.orders, n.stopOrder(t, over))
			}
		case workers.Over:
			out.decisions = append(out.decisions, n.ended(s, t, p))
		case workers.Missing:
			out.decisions = append(out.decisions, n.gone(t, jobs.Gone, 0))
		case workers.Unclear, workers.Sent:
		}
	}
	if s.State != workers.Known {
		return out
	}
	for _, piece := range sorted(s.Pieces) {
		p, t := s.Pieces[piece], n.OnHost[s.Host][piece]
		if t != nil && t.Try == p.Try || n.writing(piece) {
			continue // recorded here, or its record is being written
		}
		if p.Status == workers.Ended {
			// Reaped only now: its end is committed, for no record names it.
			out.orders = append(out.orders, workers.Order{Verb: workers.Reap, Piece: piece, Try: p.Try})
			s.Forget(piece, p.Try)
			continue
		}
		zero := 0.0
		out.orders = append(out.orders, workers.Order{Verb: workers.Stop, Piece: piece, Try: p.Try, WindDownS: &zero})
	}
	return out
}

// writing tells whether the record of a task is under a transaction.
func (n *Node) writing(piece string) bool {
	if _, booked := n.Reserved[piece]; booked {
		return true
	}
	uid, num, ok := jobs.SplitPiece(piece)
	if !ok || n.Jobs[uid] == nil {
		return false
	}
	t := n.Jobs[uid].Tasks[num]
	return t != nil && n.busy[t.Slice.Key]
}

// saveNow tells whether a task should save before its machine is taken.
func (n *Node) saveNow(s *workers.Session, t *book.Task, p workers.Piece) bool {
	if s.Warning == nil || p.Status != workers.Running {
		return false
	}
	spec := &t.Job.Rec.Spec
	if spec.Shape == jobs.Standing {
		return true // a replica has nothing to finish: start it elsewhere
	}
	left := *s.Warning - n.Now.Sub(s.LastReport).Seconds()
	if spec.SnapshotS > 0 {
		return left <= spec.StashS+tuning.SaveMargin
	}
	// What cannot finish in time had better begin elsewhere at once.
	return spec.ExpectS-n.Now.Sub(t.Since).Seconds() > left*tuning.NoticeDoubt
}

func (n *Node) stopOrder(t *book.Task, over bool) workers.Order {
	grace := 0.0
	if !over && t.Job.Rec.Spec.SnapshotS > 0 {
		grace = t.Job.Rec.Spec.StashS + 1
	}
	return workers.Order{Verb: workers.Stop, Piece: t.Piece, Try: t.Try, WindDownS: &grace}
}

// gone commits that a task is no longer on its machine.
func (n *Node) gone(t *book.Task, kind jobs.TaskEventKind, pause time.Duration) decide.Decision {
	if t.Job.Rec == nil || t.Job.Rec.State != jobs.Live {
		kind = jobs.Gone
	}
	next, ok := jobs.NextTask(t.Task, jobs.TaskEvent{Kind: kind, AfterMs: n.ms() + pause.Milliseconds()})
	if !ok {
		return decide.Decision{}
	}
	return decide.Decision{Changes: decide.Become(t, next), Seen: []string{jobs.JobPrefix + t.Job.UID}}
}

// ended commits a reported end.
func (n *Node) ended(s *workers.Session, t *book.Task, p workers.Piece) decide.Decision {
	h := n.healthOf(s.Host)
	if t.Job.Rec == nil || t.Job.Rec.State != jobs.Live {
		return n.gone(t, jobs.Gone, 0)
	}
	switch p.Cause {
	case workers.CauseDone:
		h.Succeeded()
		if t.Job.Rec.Spec.Shape == jobs.Standing {
			return n.gone(t, jobs.Gone, 0)
		}
		if d, whole := n.endWhole(t); whole {
			return d
		}
		return n.gone(t, jobs.Complete, 0)
	case workers.CauseError:
		d := n.gone(t, jobs.Fail, jobs.Backoff(t.Fails))
		n.blame(s.Host, h, t)
		return d
	case workers.CauseNoSuch:
		return n.gone(t, jobs.Fail, jobs.Backoff(t.Fails))
	case workers.CauseNoRoom, workers.CauseInUse:
		h.Rest(n.Now.Add(tuning.RefusedRest))
		return n.gone(t, jobs.Gone, tuning.Backoff)
	}
	return n.gone(t, jobs.Gone, 0)
}

// endWhole is the decision that ends a sweep with its last task, when one slice
// holds all of the job. For a job of one task that is four changes instead of
// five, and the leader's turn is not waited for.
func (n *Node) endWhole(t *book.Task) (decide.Decision, bool) {
	j, sl := t.Job, t.Slice
	if j.Rec.Spec.Shape != jobs.Sweep || len(j.Slices) != 1 || len(sl.Tasks) != j.Rec.Spec.Pieces || j.Done != len(sl.Tasks)-1 {
		return decide.Decision{}, false
	}
	if _, ok := jobs.NextTask(t.Task, jobs.TaskEvent{Kind: jobs.Complete}); !ok {
		return decide.Decision{}, false
	}
	state, ok := jobs.NextJob(j.Rec.State, jobs.TasksAllDone)
	if !ok {
		return decide.Decision{}, false
	}
	return n.finalWrites(j, state), true
}

// blame tells a faulty machine from a faulty job. A job that has failed on
// several machines is itself to blame and costs no machine; a machine on which
// several blameless jobs fail, or one that others finish elsewhere, is faulty.
func (n *Node) blame(host string, h *fleet.Health, t *book.Task) {
	if n.Trust(t.Job, host) == jobs.Probing {
		return
	}
	blameless := func(uid string) bool {
		j := n.Jobs[uid]
		return j != nil && j.Rec != nil && j.Rec.State == jobs.Live && n.Trust(j, "") == jobs.Trusted
	}
	if h.Failed(t.Job.UID, n.Now, t.Job.Done > 0, blameless) {
		n.moveMachine(host, fleet.Sick, "tasks fail on it")
	}
}

// moveMachine commits an event of a machine's record.
func (n *Node) moveMachine(host string, e fleet.Event, why string) {
	n.commit(n.moving(host, e, why))
}

// moving is the decision that a machine's record changes by an event, if it
// does.
func (n *Node) moving(host string, e fleet.Event, why string) []decide.Decision {
	m := n.Machines[host]
	if m == nil || n.busy[fleet.HostPrefix+host] {
		return nil
	}
	rec := m.Host
	state, ok := fleet.Next(rec.State, e)
	if !ok {
		return nil
	}
	from := rec.State
	rec.State, rec.Why, rec.SinceMs = state, why, n.ms()
	return []decide.Decision{{Writes: []store.Write{decide.Put(fleet.HostPrefix+host, rec)}, Done: func(ok bool) {
		if ok {
			n.log.Info("machine", "machine", host, "from", string(from), "to", string(state), "why", why)
		}
	}}}
}

// ownerPass does what an owner does for its part: it looks at the machines
// that something has happened to, and from time to time at those that need
// looking after without it.
func (n *Node) ownerPass() {
	if n.role == members.Outside {
		clear(n.touched)
		return
	}
	ds := n.queue.Place()
	sweep := n.Now.Sub(n.lastSweep) >= tuning.SweepEvery
	if sweep {
		n.lastSweep = n.Now
		unheard := map[string]bool{}
		for _, host := range sorted(n.sessions) {
			s := n.sessions[host]
			ds = append(ds, n.watchHealth(s, unheard)...)
			if s.State != workers.Known || s.Warning != nil || n.overdue(s) {
				n.touched[host] = true
			}
		}
		for host := range n.revisit {
			n.touched[host] = true
		}
		clear(n.revisit)
		ds = append(ds, n.tellQuiet(unheard)...)
	}
	// Ends are gathered while writes are short: many tasks of a slice end soon
	// after one another, and all of them are one write.
	gather := !n.client.Spare() && n.Now.Sub(n.lastEnds) < tuning.GatherFor
	if !gather {
		n.lastEnds = n.Now
	}
	for _, host := range sorted(n.touched) {
		s := n.sessions[host]
		if m := n.Machines[host]; s == nil && m != nil && m.Owner == n.set.NodeName && m.State != fleet.Deleted {
			n.keepSession(m)
			s = n.sessions[host]
		}
		if s == nil {
			continue
		}
		rv := n.review(s)
		if len(rv.decisions) > 0 || len(rv.orders) > 0 {
			n.revisit[host] = true
		}
		if !gather {
			ds = append(ds, rv.decisions...)
		}
		n.command(s, rv.orders)
	}
	clear(n.touched)
	// Where the budget does not allow all, a guest's thousands of ends must not
	// stand before those that others wait for.
	sort.SliceStable(ds, func(a, b int) bool { return ds[a].Rank() < ds[b].Rank() })
	n.commit(ds)
}

// watchHealth keeps a machine's record in step with what its owner hears, and
// notes in unheard whether it does not.
func (n *Node) watchHealth(s *workers.Session, unheard map[string]bool) []decide.Decision {
	m := n.Machines[s.Host]
	if m == nil {
		if s.State == workers.Known {
			rec := fleet.Host{State: fleet.Up, Endpoint: s.Endpoint, Build: s.Build, Site: s.Site, Loaner: s.Loaner, SinceMs: n.ms()}
			return []decide.Decision{{Writes: []store.Write{decide.Put(fleet.HostPrefix+s.Host, rec)}}}
		}
		if n.Now.Sub(s.LastReport) > tuning.ForgetSession {
			delete(n.sessions, s.Host)
		}
		return nil
	}
	quiet := n.Now.Sub(s.LastReport)
	report := n.set.Cluster.Workers.ReportS
	switch {
	case quiet > seconds(report*tuning.SilentReports) || s.CallFails >= tuning.SilentCalls && quiet > seconds(report*tuning.ReportLate):
		unheard[s.Host] = true
	case s.State != workers.Known:
	case s.Warning != nil && m.State != fleet.Warned:
		return n.moving(s.Host, fleet.Notice, "the cloud will take it")
	case m.State == fleet.Silent: // written by an earlier version
		return n.moving(s.Host, fleet.Heard, "reports again")
	}
	return nil
}

// tellQuiet is the decision that writes which of this part's machines are not
// heard, when that has changed.
func (n *Node) tellQuiet(unheard map[string]bool) []decide.Decision {
	key := fleet.QuietPrefix + n.set.NodeName
	told := n.quiet[n.set.NodeName]
	same := len(told) == len(unheard)
	for h := range unheard {
		_, was := told[h]
		same = same && was
	}
	if same || n.busy[key] {
		return nil
	}
	hosts := sorted(unheard)
	w := decide.Put(key, hosts)
	for len(w.Value) > n.sliceLimit() {
		hosts = hosts[:len(hosts)*9/10] // those that fit; the rest follow as these end
		w = decide.Put(key, hosts)
	}
	return []decide.Decision{{Writes: []store.Write{w}, Done: func(ok bool) {
		if ok {
			n.log.Info("machines not heard", "machines", len(hosts))
		}
	}}}
}

// quietSince tells since when a machine's owner has not heard it.
func (n *Node) quietSince(m *book.Machine) (time.Time, bool) {
	if m.State == fleet.Silent {
		return m.Since, true
	}
	since, quiet := n.quiet[m.Owner][m.Name]
	return since, quiet
}

// inUse tells whether a machine is up and heard.
func (n *Node) inUse(m *book.Machine) bool {
	if m.State != fleet.Up {
		return false
	}
	_, quiet := n.quiet[m.Owner][m.Name]
	return !quiet && !n.rental.GivenUp(m.Name)
}

// overdue tells whether a machine should have reported by now. It is then
// asked directly: where reports are seldom, waiting for the next would leave
// its tasks dead for long.
func (n *Node) overdue(s *workers.Session) bool {
	return n.Now.Sub(s.LastReport) > seconds(n.set.Cluster.Workers.ReportS*tuning.ReportLate)
}

// command sends orders to a worker directly, or shows it the baton.
func (n *Node) command(s *workers.Session, orders []workers.Order) {
	if s.Busy || s.Endpoint == "" || n.calls >= tuning.MaxWorkerCalls {
		return
	}
	since := n.Now.Sub(s.LastCall)
	if s.State != workers.Known {
		if since < tuning.AdoptAgain<<min(s.CallFails, 3) {
			return
		}
		orders = nil
	} else {
		fresh := false
		for _, o := range orders {
			fresh = fresh || o.Verb == workers.Launch
		}
		if n.overdue(s) && since >= tuning.AdoptAgain {
			fresh = true
		} else if len(orders) == 0 || (!fresh && since < tuning.CommandGap) {
			return
		}
	}
	orders = limitOrders(orders)
	if orders == nil {
		orders = []workers.Order{}
	}
	baton, tenure := s.Baton(), max(s.Tenure, 1)
	body := jobs.Encode(struct {
		Baton  uint64          `json:"baton"`
		Tenure uint64          `json:"tenure"`
		Orders []workers.Order `json:"orders"`
	}{baton, tenure, orders})
	s.Sending(orders, n.Now)
	n.calls++
	n.out.Worker(s.Endpoint, "POST", "/commands", body, tuning.CommandTimeout, func(status int, answer []byte, err error) {
		n.calls--
		n.dirty = true
		n.touched[s.Host] = true
		if n.sessions[s.Host] != s {
			return
		}
		if s.Baton() != baton {
			// A new view came meanwhile; what this command did shows in the
			// first report under the new baton.
			s.Busy = false
			return
		}
		var r workers.Report
		if err != nil || (status != 200 && status != 409) || json.Unmarshal(answer, &r) != nil || r.Host != s.Host {
			n.log.Debug("command without answer", "machine", s.Host, "status", status, "error", err)
			s.Unanswered()
			n.healthOf(s.Host).Rest(n.Now.Add(tuning.UnansweredRest))
			return
		}
		if status == 409 {
			s.Refused()
			s.Accept(&r, n.Now, n.placedOn(s.Host))
			if r.Tenure != tenure {
				s.LastCall = time.Time{} // try again with the right session
			}
			return
		}
		s.Answered()
		s.Accept(&r, n.Now, n.placedOn(s.Host))
	})
}

// canPlace tells whether a task may go on a machine of this part now.
func (n *Node) canPlace(t *book.Task, m *book.Machine) bool {
	s := n.sessions[m.Name]
	if s == nil || s.State != workers.Known || s.Warning != nil {
		return false
	}
	if n.Now.Sub(s.LastReport) > seconds(n.set.Cluster.Workers.ReportS*tuning.FreshReports) {
		return false
	}
	return n.takes(t, m) && (m.Claim == "" || m.Claim == t.Job.UID)
}

// takes tells whether a machine is one that a task may go on, by its record.
func (n *Node) takes(t *book.Task, m *book.Machine) bool { return n.ready(m) && book.Suits(t, m) }

// ready tells whether a machine takes new tasks at all, by its record.
func (n *Node) ready(m *book.Machine) bool {
	if !n.inUse(m) || n.Builds[m.Build] == nil {
		return false
	}
	if _, draining := n.rental.Summary.Drain[m.Name]; draining {
		return false
	}
	return !n.health[m.Name].Rests(n.Now)
}
