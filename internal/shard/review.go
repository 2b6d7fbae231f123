package shard

import (
	"encoding/json"
	"slices"
	"sort"
	"time"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/cancellation"
	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/completion"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/gangs"
	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/reconcile"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

func (pt *Shard) healthOf(machine string) *fleet.Health {
	h := pt.health[machine]
	if h == nil {
		h = &fleet.Health{}
		pt.health[machine] = h
	}
	return h
}

// Heartbeat answers a worker's report.
func (pt *Shard) Heartbeat(body []byte, respond func(http1.Reply)) {
	var r agent.Heartbeat
	if err := json.Unmarshal(body, &r); err != nil || !fleet.ValidName(r.Machine) {
		respond(http1.Reply{Status: 400, Body: http1.ErrorBody("not a report")})
		return
	}
	if !pt.view.MayAnswerAgents() {
		respond(http1.Refuse("not in the view"))
		return
	}
	news := pt.isNewHeartbeat(&r)
	owner := ""
	if m := pt.state.Machines[r.Machine]; m != nil {
		owner = m.Owner
	} else {
		owner = pt.view.OwnerOf(r.Machine)
	}
	if owner != pt.config.Name {
		pt.Reconciling.Redirected(owner)
		if news {
			pt.noteForeignHeartbeat(owner, &r)
		}
		respond(misdirected(owner))
		return
	}
	s := pt.session(r.Machine)
	if s == nil {
		respond(http1.Refuse("too many machines"))
		return
	}
	if r.FencingToken > s.FencingToken() {
		// Another controller holds a later baton: this one is behind, and a
		// 200 would only keep the worker here while its lease runs out.
		s.ObserveToken(r.FencingToken, pt.state.Now)
		respond(misdirected(owner))
		return
	}
	s.LastHeartbeat = pt.state.Now
	if s.Accept(&r, pt.state.Now, pt.placedOn(r.Machine)) {
		pt.toReview[r.Machine] = true
		pt.loop.Wake()
	}
	if !pt.cancellations.MayRenewLeases() {
		// The report counts, its lease does not: what was told to be cancelled and has not
		// come here must end with it.
		pt.cancellations.LeaseWithheld()
		respond(http1.Refuse("not all cancellations are known"))
		return
	}
	orders := []agent.Command{}
	if s.State == agent.Known && !s.CommandPending && r.AgentEpoch == s.AgentEpoch && r.HeartbeatSeq == s.HeartbeatSeq {
		// Only orders that may be repeated go this way; launches are sent to
		// the worker directly, so that there is one place where the answer
		// tells whether they were executed.
		for _, o := range pt.review(s).commands {
			if o.Verb != agent.Launch {
				orders = append(orders, o)
			}
		}
	}
	respond(http1.Reply{Status: 200, Body: jobs.Encode(struct {
		Baton  uint64          `json:"baton"`
		Orders []agent.Command `json:"orders"`
	}{s.FencingToken(), limitCommands(pt.stopsFirst(&r, orders))})})
}

// stopsFirst puts before the orders a stop for each reported task whose job is known to
// be cancelled, also while the machine's reports prove nothing or a command to it is
// under way: each answer that renews a lease carries them.
func (pt *Shard) stopsFirst(r *agent.Heartbeat, orders []agent.Command) []agent.Command {
	stops := cancellation.StopCommands(r.Tasks, pt.cancelled)
	if len(stops) == 0 {
		return orders
	}
	for _, o := range orders {
		if o.Verb != agent.Stop || !slices.ContainsFunc(stops, func(s agent.Command) bool { return s.TaskID == o.TaskID && s.Attempt == o.Attempt }) {
			stops = append(stops, o)
		}
	}
	return stops
}

// cancelled tells whether a job is cancelled, as its record shows or as was told.
func (pt *Shard) cancelled(jobID string) bool {
	j := pt.state.Jobs[jobID]
	return j != nil && j.Record != nil && j.Record.State == jobs.Cancelled || pt.cancellations.Cancelled(jobID)
}

// isNewHeartbeat tells whether a report is newer than all that came here of a known machine. An old one
// that comes late, once the machine has another owner, doesn't tell that it can't reach it.
func (pt *Shard) isNewHeartbeat(r *agent.Heartbeat) bool {
	mark, last := [2]uint64{r.AgentEpoch, r.HeartbeatSeq}, pt.newestHeartbeats[r.Machine]
	if pt.state.Machines[r.Machine] == nil || slices.Compare(mark[:], last[:]) <= 0 {
		return false
	}
	pt.newestHeartbeats[r.Machine] = mark
	return true
}

func limitCommands(o []agent.Command) []agent.Command {
	if len(o) > tuning.MaxCommands {
		return o[:tuning.MaxCommands]
	}
	return o
}

func misdirected(owner string) http1.Reply {
	if owner == "" {
		return http1.Reply{Status: 421, Body: []byte("{}")}
	}
	return http1.Reply{Status: 421, Body: jobs.Encode(map[string]string{"reports_to": owner})}
}

func (pt *Shard) placedOn(machine string) map[string]uint64 {
	out := map[string]uint64{}
	for taskID, t := range pt.state.TasksOnMachine[machine] {
		out[taskID] = t.Attempt
	}
	return out
}

// review is what a look at a machine calls for.
type review struct {
	commands  []agent.Command
	decisions []decide.Decision // a machine's ends and frees
	gathering bool              // tasks have vanished that are placed there once more
	busy      bool              // a record is under a transaction
}

// review compares a machine's records with its reports.
func (pt *Shard) review(s *agent.Session) review {
	var out review
	for _, taskID := range clusterstate.SortedKeys(pt.state.TasksOnMachine[s.Machine]) {
		t := pt.state.TasksOnMachine[s.Machine][taskID]
		over := t.Job.Record == nil || t.Job.Record.State != jobs.Live || pt.cancellations.Cancelled(t.Job.ID)
		if pt.commits.Busy(t.Stored.Key) {
			out.busy = true
			if over && s.State == agent.Known {
				// A transaction may be without an answer for as long as the state service is
				// away; a stop of what is over does not wait for it.
				out.commands = append(out.commands, cancellation.StopCommands(s.Tasks[taskID], func(string) bool { return true })...)
			}
			continue // its end is touched again
		}
		verdict, p := s.Judge(taskID, t.Attempt)
		m := pt.state.Machines[s.Machine]
		rec := reconcile.Recorded{Verdict: verdict, Over: over, Stopping: t.State == jobs.Stopping, Leaving: m == nil || m.State == fleet.Deleting || m.State == fleet.Deleted}
		if verdict == agent.OnIt {
			pt.noteRunning(s, t, p)
			rec.Save = !over && pt.shouldCheckpoint(s, t, p)
		}
		diff, answer := reconcile.OfRecorded(rec)
		pt.count(s.Machine, diff, answer)
		switch answer {
		case reconcile.Launch:
			if pt.tooSoon(t) || !pt.cancellations.MayLaunch() {
				pt.revisit[s.Machine] = true
				continue
			}
			out.commands = append(out.commands, agent.Command{Verb: agent.Launch, TaskID: taskID, Attempt: t.Attempt})
		case reconcile.Stop:
			out.commands = append(out.commands, pt.stopCommand(t, over))
		case reconcile.End:
			out.decisions = append(out.decisions, pt.ended(s, t, p))
		case reconcile.Free:
			pt.free(t, diff, &out)
		}
	}
	if s.State != agent.Known {
		return out
	}
	for _, taskID := range clusterstate.SortedKeys(s.Tasks) {
		t := pt.state.TasksOnMachine[s.Machine][taskID]
		for _, p := range s.Tasks[taskID] {
			recorded := t != nil && t.Attempt == p.Attempt
			// What is cancelled is stopped at once; its end is reaped only once no record can
			// name it any more.
			writing := !recorded && pt.writing(taskID) && (p.Status == agent.Ended || !pt.cancellations.Cancelled(jobOf(taskID)))
			diff, answer := reconcile.OfReported(p.Status, recorded, writing)
			if !recorded {
				pt.count(s.Machine, diff, answer)
			}
			switch answer {
			case reconcile.Forget:
				out.commands = append(out.commands, agent.Command{Verb: agent.Forget, TaskID: taskID, Attempt: p.Attempt})
				s.ForgetTask(taskID, p.Attempt)
			case reconcile.Stop:
				zero := 0.0
				out.commands = append(out.commands, agent.Command{Verb: agent.Stop, TaskID: taskID, Attempt: p.Attempt, GracePeriodS: &zero})
			}
		}
	}
	return out
}

// jobOf is the job of a task.
func jobOf(taskID string) string {
	jobID, _, _ := jobs.SplitTaskID(taskID)
	return jobID
}

// tooSoon tells whether a task of a gang should wait with its launch for the fetches of
// the others (gangs.LaunchAt).
func (pt *Shard) tooSoon(t *clusterstate.Task) bool {
	spec := &t.Job.Record.Spec
	if !spec.IsGang() || spec.ImageGB <= 0 {
		return false
	}
	ready := make([]time.Time, 0, len(t.Job.Active))
	for _, o := range t.Job.Active {
		if o.OnMachine() {
			ready = append(ready, pt.state.Images.Ready(o.Machine, spec.Image))
		}
	}
	return pt.state.Now.Before(gangs.LaunchAt(pt.state.Images.Ready(t.Machine, spec.Image), ready, jobs.Seconds(pt.config.Cluster.Workers.GangWaitS)))
}

// noteRunning takes note that a task was seen running.
func (pt *Shard) noteRunning(s *agent.Session, t *clusterstate.Task, p agent.TaskStatus) {
	if p.Status != agent.Running || t.ObservedRunning {
		return
	}
	t.ObservedRunning = true
	if t.Job.Record != nil {
		pt.config.Log.Debug("runs", "task", t.ID, "class", t.Job.Record.Spec.Class, "machine", s.Machine, "try", t.Attempt, "since_accepted_ms", pt.state.NowMs()-t.Job.Record.AcceptedMs, "since_placed_ms", pt.state.Now.Sub(t.Since).Milliseconds())
	}
}

// writing tells whether the record of a task is under a transaction.
func (pt *Shard) writing(taskID string) bool {
	if _, booked := pt.state.Reservations[taskID]; booked {
		return true
	}
	t := pt.task(taskID)
	return t != nil && pt.commits.Busy(t.Stored.Key)
}

// shouldCheckpoint tells whether a task should save before its machine is taken.
func (pt *Shard) shouldCheckpoint(s *agent.Session, t *clusterstate.Task, p agent.TaskStatus) bool {
	if s.PreemptionNoticeS == nil || p.Status != agent.Running {
		return false
	}
	spec := &t.Job.Record.Spec
	if spec.Kind == jobs.Service {
		return true // a replica has nothing to finish: start it elsewhere
	}
	left := *s.PreemptionNoticeS - pt.state.Now.Sub(s.LastStatus).Seconds()
	if spec.CheckpointIntervalS > 0 {
		return left <= spec.CheckpointTimeS+tuning.SaveMargin
	}
	// What cannot finish in time had better begin elsewhere at once.
	return spec.ExpectedDurationS-pt.state.Now.Sub(t.Since).Seconds() > left*tuning.NoticeDoubt
}

func (pt *Shard) stopCommand(t *clusterstate.Task, over bool) agent.Command {
	grace := 0.0
	if !over && t.Job.Record.Spec.CheckpointIntervalS > 0 {
		grace = t.Job.Record.Spec.CheckpointTimeS + 1
	}
	return agent.Command{Verb: agent.Stop, TaskID: t.ID, Attempt: t.Attempt, GracePeriodS: &grace}
}

// TaskLost commits that a task is no longer on its machine.
func (pt *Shard) TaskLost(t *clusterstate.Task, kind jobs.TaskEventKind, pause time.Duration) decide.Decision {
	if t.Job.Record == nil || t.Job.Record.State != jobs.Live {
		kind = jobs.Lost
	}
	next, ok := jobs.NextTask(t.Task, jobs.TaskEvent{Kind: kind, NotBeforeMs: pt.state.NowMs() + pause.Milliseconds()})
	if !ok {
		return decide.Decision{}
	}
	return decide.Decision{Changes: decide.TransitionTask(t, next), ReadSet: []string{jobs.JobPrefix + t.Job.ID}}
}

// ended commits a reported end.
func (pt *Shard) ended(s *agent.Session, t *clusterstate.Task, p agent.TaskStatus) decide.Decision {
	h := pt.healthOf(s.Machine)
	if t.Job.Record == nil || t.Job.Record.State != jobs.Live {
		return pt.TaskLost(t, jobs.Lost, 0)
	}
	switch p.Cause {
	case agent.CauseDone:
		h.Succeeded()
		if t.Job.Record.Spec.Kind == jobs.Service {
			return pt.TaskLost(t, jobs.Lost, 0)
		}
		m := pt.state.Machines[s.Machine]
		inUse := m != nil && m.State != fleet.Deleting && m.State != fleet.Deleted
		if d, whole := completion.WithLastTask(t); whole && (inUse || !t.Stored.IsBatch()) {
			return d
		}
		return pt.TaskLost(t, jobs.Complete, 0)
	case agent.CauseError:
		d := pt.TaskLost(t, jobs.Fail, jobs.Backoff(t.Failures))
		pt.blame(s.Machine, h, t)
		return d
	case agent.CauseNoSuch:
		return pt.TaskLost(t, jobs.Fail, jobs.Backoff(t.Failures))
	case agent.CauseNoRoom, agent.CauseInUse:
		h.Rest(pt.state.Now.Add(tuning.RefusedRest))
		return pt.TaskLost(t, jobs.Lost, tuning.Backoff)
	}
	return pt.TaskLost(t, jobs.Lost, 0)
}

// blame tells a faulty machine from a faulty job. A job that has failed on
// several machines is itself to blame and costs no machine; a machine on which
// several blameless jobs fail, or one that others finish elsewhere, is faulty.
func (pt *Shard) blame(machine string, h *fleet.Health, t *clusterstate.Task) {
	if pt.state.Trust(t.Job, machine) == jobs.Probing {
		return
	}
	blameless := func(jobID string) bool {
		j := pt.state.Jobs[jobID]
		return j != nil && j.Record != nil && j.Record.State == jobs.Live && pt.state.Trust(j, "") == jobs.Trusted
	}
	if h.Failed(t.Job.ID, pt.state.Now, t.Job.DoneCount > 0, blameless) {
		pt.commitTransition(machine, fleet.Unhealthy, "tasks fail on it")
	}
}

// commitTransition commits an event of a machine's record.
func (pt *Shard) commitTransition(machine string, e fleet.Event, why string) {
	pt.commits.Commit(pt.TransitionMachine(machine, e, why))
}

// TransitionMachine is the decision that a machine's record changes by an event, if it
// does.
func (pt *Shard) TransitionMachine(machine string, e fleet.Event, why string) []decide.Decision {
	m := pt.state.Machines[machine]
	if m == nil || pt.commits.Busy(fleet.MachinePrefix+machine) {
		return nil
	}
	rec := m.MachineRecord
	state, ok := fleet.Next(rec.State, e)
	if !ok {
		return nil
	}
	from := rec.State
	rec.State, rec.Reason, rec.SinceMs = state, why, pt.state.NowMs()
	return []decide.Decision{{Writes: []store.Write{decide.Put(fleet.MachinePrefix+machine, rec)}, OnSettled: func(ok bool) {
		if ok {
			pt.config.Log.Info("machine", "machine", machine, "from", string(from), "to", string(state), "why", why)
		}
	}}}
}

// gathers tells whether ends wait for others: while writes are short, and with packs,
// many tasks of a record end soon after one another, and all of them are one write.
func (pt *Shard) gathers() bool {
	gap := tuning.GatherFor
	if pt.budget.HasSpareWrites() {
		gap = 0
		if pt.budget.UsesBatches() {
			gap = tuning.BatchEvery
		}
	}
	return pt.state.Now.Sub(pt.lastEnds) < gap
}

// Reconcile does what an owner does for its part: it looks at the machines
// that something has happened to, and from time to time at those that need
// looking after without it.
func (pt *Shard) Reconcile() {
	if pt.view.OutsideView() {
		clear(pt.toReview)
		return
	}
	ds := pt.scheduler.Place()
	sweep := pt.state.Now.Sub(pt.lastSweep) >= tuning.SweepEvery
	if sweep {
		pt.lastSweep = pt.state.Now
		unheard := map[string]bool{}
		for _, machine := range clusterstate.SortedKeys(pt.sessions) {
			s := pt.sessions[machine]
			ds = append(ds, pt.watchHealth(s, unheard)...)
			if s.State != agent.Known || pt.unmetDeadline(s) || s.PreemptionNoticeS != nil || pt.overdue(s) {
				pt.toReview[machine] = true
			}
		}
		for machine := range pt.revisit {
			pt.toReview[machine] = true
		}
		clear(pt.revisit)
		ds = append(ds, pt.publishUnresponsive(unheard)...)
	}
	gather := pt.gathers()
	if !gather {
		for machine := range pt.gathering {
			pt.toReview[machine] = true
		}
		clear(pt.gathering)
	}
	for _, machine := range clusterstate.SortedKeys(pt.toReview) {
		s := pt.sessions[machine]
		if m := pt.state.Machines[machine]; s == nil && m != nil && m.Owner == pt.config.Name && m.State != fleet.Deleted {
			pt.keepSession(m)
			s = pt.sessions[machine]
		}
		if s == nil {
			continue
		}
		pt.countDifferences = true
		rv := pt.review(s)
		pt.countDifferences = false
		if len(rv.decisions) > 0 || len(rv.commands) > 0 || rv.gathering {
			pt.revisit[machine] = true
		}
		pt.compared(s, &rv)
		switch {
		case len(rv.decisions) == 0:
		case gather:
			pt.gathering[machine] = true
		default:
			pt.lastEnds = pt.state.Now
			ds = append(ds, rv.decisions...)
		}
		pt.command(s, rv.commands)
	}
	clear(pt.toReview)
	for _, machine := range pt.awaitingCall {
		pt.toReview[machine] = true
	}
	pt.awaitingCall = pt.awaitingCall[:0]
	ds = append(ds, pt.placeAgain()...)
	pt.Reconciling.Settle(pt.state.Now, pt.view.KnownEpoch())
	// Where the budget does not allow all, a guest's thousands of ends must not
	// stand before those that others wait for.
	sort.SliceStable(ds, func(a, b int) bool {
		if x, y := pt.reconcileOrder(&ds[a]), pt.reconcileOrder(&ds[b]); x != y {
			return x < y
		}
		return ds[a].Priority() < ds[b].Priority()
	})
	pt.commits.Commit(ds)
}
