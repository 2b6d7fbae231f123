package calendar

import (
	"bytes"
	"cmp"
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Env is what the service is told from outside.
type Env struct {
	OffMs  float64 // how far a controller's time of day may be off
	Limit  int     // bytes of a record
	TxnOps int     // puts and deletes of a transaction
	StepS  float64 // seconds of a step of the scaler
	Fresh  int     // steps for which a new leader prepares nothing
	Log    *slog.Logger
	Mirror *store.Mirror

	// WallMs is the time of day in ms, nil for that of the event under way.
	WallMs func() int64
	// Busy tells whether a record is under a transaction.
	Busy func(key string) bool
	// Commit takes decisions.
	Commit func([]decide.Decision)
	// UnresponsiveSince tells since when nobody has heard a machine, if so.
	UnresponsiveSince func(m *clusterstate.Machine) (time.Time, bool)
	// TransitionMachine is the decision that a machine's record changes by an event, if it does.
	TransitionMachine func(machine string, e fleet.Event, why string) []decide.Decision
}

// Service joins the keeper to a controller. A nil one does nothing: the calendar is
// turned off.
type Service struct {
	*clusterstate.State
	Env
	keeper          *Keeper
	leadingSince    time.Time // when this node began to lead, zero if it does not
	stopsCheckedAt  time.Time // last look for what must be stopped
	logged          map[string]bool
	lateCheckedAt   time.Time
	overruledLogged bool // it was told that another document holds
	// documentUnreadable: the document in force can't be read, so it is neither replaced nor
	// gone by.
	documentUnreadable bool
}

// New makes the service of a controller's own file; nil for none.
func New(b *clusterstate.State, file *Document, env Env) *Service {
	if file == nil {
		return nil
	}
	plan, err := Compile(file)
	if err != nil {
		env.Log.Error("calendar of the file can't be used", "error", err) // it was checked when it was read
		return nil
	}
	if env.WallMs == nil {
		env.WallMs = b.NowMs
	}
	return &Service{State: b, Env: env, keeper: NewKeeper(plan, env.Limit), logged: map[string]bool{}}
}

// Keys are the keys that every decision is conditional on because of the calendar, and
// the prefixes to read.
func (s *Service) Keys() []string {
	if s == nil {
		return nil
	}
	return []string{StoreKey}
}

// PreconditionCount is how many conditions more a decision may have because of the calendar: the
// document, and the tracks of two revisions.
func (s *Service) PreconditionCount() int {
	if s == nil {
		return 0
	}
	return 3
}

// Changed takes a change of the calendar's keys in. It tells whether the key is one.
func (s *Service) Changed(key string, value json.RawMessage) bool {
	if key != StoreKey && !strings.HasPrefix(key, TrackPrefix) {
		return false
	}
	if s == nil {
		return true
	}
	var err error
	if key == StoreKey {
		err = s.keeper.ApplyDocument(value)
		s.overruledLogged, s.documentUnreadable = false, err != nil
	} else {
		err = s.keeper.ApplyTrack(strings.TrimPrefix(key, TrackPrefix), value)
	}
	if err != nil {
		s.Log.Error("unreadable record of the calendar set aside", "key", key, "error", err)
	}
	return true
}

// now is the time for the keeper. Machines are rented at the scaler's next step, and boot
// for as long as the slowest known type.
func (s *Service) now() Now {
	lead := tuning.MinPrepare
	for _, b := range s.MachineTypes {
		lead = max(lead, jobs.Seconds(b.BootS*tuning.PrepareBoots))
	}
	return Now{s.WallMs(), int64(s.OffMs), (lead + jobs.Seconds(s.StepS)).Milliseconds()}
}

// Gate judges a job's class for the queue. A fresh leader prepares nothing yet.
func (s *Service) Gate(spec *jobs.Spec) Verdict {
	if s == nil {
		return Free
	}
	v, _ := s.keeper.Gate(s.now(), spec.QuotaKey())
	if v == Soon && s.Now.Sub(s.leadingSince) < jobs.Seconds(s.StepS*float64(s.Fresh)) {
		return Shut
	}
	return v
}

// Guard drops the decisions that would have work begin whose window is not open, and
// makes the others conditional on its being so. Every decision of this controller
// comes through here, so none can be forgotten.
func (s *Service) Guard(ds []decide.Decision) []decide.Decision {
	if s == nil {
		return ds
	}
	g := guard{service: s, now: s.now(), results: map[quota.Key]gateResult{}}
	out := make([]decide.Decision, 0, len(ds))
	for _, d := range ds {
		keys, ok := g.judge(&d)
		if !ok {
			d.Drop()
			continue
		}
		if len(keys) > 0 {
			d.ReadSet = append(slices.Clone(d.ReadSet), keys...)
		}
		out = append(out, d)
	}
	return out
}

// guard judges the decisions of one moment.
type guard struct {
	service *Service
	now     Now
	results map[quota.Key]gateResult
}

type gateResult struct {
	verdict Verdict
	keys    []string
}

// judge tells whether a decision may be taken, and the keys that it hangs on then.
func (g *guard) judge(d *decide.Decision) (keys []string, ok bool) {
	ok = true
	begins := func(jobID string, j *clusterstate.Job) {
		if j = cmp.Or(j, g.service.Jobs[jobID]); j == nil || j.Record == nil {
			return
		}
		class := j.Record.Spec.QuotaKey()
		k, known := g.results[class]
		if !known {
			k.verdict, k.keys = g.service.keeper.Gate(g.now, class)
			g.results[class] = k
		}
		ok = ok && (k.verdict == Free || k.verdict == Allowed)
		for _, key := range k.keys {
			if !slices.Contains(keys, key) {
				keys = append(keys, key)
			}
		}
	}
	given := func(t *jobs.Task) bool { return t.State == jobs.Released || t.State == jobs.Placed }
	for _, c := range d.Changes {
		if given(&c.Next) && (c.Next.State != c.Task.State || c.Next.Attempt != c.Task.Attempt) {
			begins("", c.Task.Job)
		}
	}
	for _, f := range d.BatchEntries {
		if given(&f.Entry.Task) {
			begins(f.Entry.JobID, nil)
		}
	}
	for _, w := range d.Writes { // a slice that is begun
		if jobID, _, is := jobs.SplitTaskID(strings.TrimPrefix(w.Put, jobs.TaskPrefix)); is {
			begins(jobID, nil)
		}
	}
	return keys, ok
}

// Pass does what only the leader does, while it leads.
func (s *Service) Pass() {
	if s == nil {
		return
	}
	if s.leadingSince.IsZero() {
		s.leadingSince = s.Now
		s.keeper.Touch()
	}
	if s.keeper.plan == nil || s.documentUnreadable {
		return
	}
	n := s.now()
	var ds []decide.Decision
	for _, c := range s.keeper.Reconcile(n, &clusterView{service: s}) {
		ds = append(ds, s.recordDecision(&c))
	}
	s.logBlocked()
	if s.Now.Sub(s.stopsCheckedAt) >= tuning.CalendarPollEvery {
		s.stopsCheckedAt = s.Now
		ds = append(ds, s.stopDecisions(n)...)
		s.logLateJobs(n)
	}
	s.Commit(ds)
}

// Reset forgets what only a leader keeps.
func (s *Service) Reset() {
	if s != nil {
		s.leadingSince, s.logged = time.Time{}, map[string]bool{}
	}
}

// Reconcile puts this controller's own file in force if its revision is the highest. Any
// controller in the view may: each decision of all hangs on the document's stamp.
func (s *Service) Reconcile(inView bool) {
	if s == nil || !inView || s.documentUnreadable {
		return // one that can't be read is neither replaced nor gone by
	}
	held, own := 0, s.keeper.filePlan.Revision
	if s.keeper.plan != nil {
		held = s.keeper.plan.Revision
	}
	none := s.Mirror.Revision(StoreKey) == 0
	switch {
	case none || s.keeper.plan != nil && own > held:
		if !s.Busy(StoreKey) {
			s.Commit(
				[]decide.Decision{
					{
						Urgent: true,
						Writes: []store.Write{{Put: StoreKey, Value: EncodeDocument(&s.keeper.filePlan.Doc)}},
						OnSettled: func(ok bool) {
							if ok {
								s.Log.Info("calendar in force", "revision", own)
							}
						},
					},
				},
			)
		}
	case !s.overruledLogged && own < held:
		s.overruledLogged = true
		s.Log.Error("a calendar of a higher revision is in force; this controller's file is not used",
			"revision", held, "file", own)
	case !s.overruledLogged && own == held && !bytes.Equal(jobs.Encode(s.keeper.plan.Doc), jobs.Encode(s.keeper.filePlan.Doc)):
		s.overruledLogged = true
		s.Log.Error("another calendar of the same revision is in force; this controller's file is not used", "revision", held)
	}
}

// recordDecision is the decision that a track's record changes.
func (s *Service) recordDecision(c *Change) decide.Decision {
	key := TrackKey(c.Track)
	w := store.Write{Put: key, Value: c.Value}
	if c.Value == nil {
		w = decide.Remove(key)
	}
	// A window that closes must not stand behind what others want: its end is a rule.
	return decide.Decision{Urgent: c.Urgent, Writes: []store.Write{w}, OnSettled: func(ok bool) {
		if !ok {
			s.keeper.Touch()
			return
		}
		for _, m := range c.Moves {
			s.Log.Info("window",
				"track", c.Track, "window", m.Window, "begin", time.UnixMilli(m.Begin).UTC().Format(time.RFC3339),
				"from", string(m.From), "to", string(m.To))
		}
	}}
}

// stopDecisions takes back what was given to a part and may not begin any more, and stops
// what is on machines of windows that end so. Services have no end of their own, so
// they are stopped at every end.
func (s *Service) stopDecisions(n Now) []decide.Decision {
	var ds []decide.Decision
	for _, taskID := range clusterstate.SortedKeys(s.Released) {
		t := s.Released[taskID]
		if t.Job.Record == nil || len(ds) >= tuning.CalendarStops {
			continue
		}
		if v, _ := s.keeper.Gate(n, t.Job.Record.Spec.QuotaKey()); v == Shut || v == Soon {
			ds = append(ds, s.withdrawTasks("window is not open", t)...)
		}
	}
	for _, track := range clusterstate.SortedKeys(s.keeper.holders) {
		h := s.keeper.holders[track]
		if h.State != Closing {
			continue
		}
		for _, j := range s.jobsOf(h) {
			if len(ds) < tuning.CalendarStops {
				ds = append(ds, s.closeJob(j, h, s.anotherWindowDue(track))...)
			}
		}
	}
	return ds
}

// jobsOf lists the jobs with tasks that an occurrence let begin, by their uids.
func (s *Service) jobsOf(h *Occurrence) []*clusterstate.Job {
	var out []*clusterstate.Job
	for _, j := range s.Jobs {
		if len(j.Active) > 0 && j.Record != nil && j.Record.State == jobs.Live && h.Has(j.Record.Spec.QuotaKey()) {
			out = append(out, j)
		}
	}
	slices.SortFunc(out, func(a, b *clusterstate.Job) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// closeJob has a job's tasks make way at its window's end, if they must: of a gang that is
// not whole on machines no more will come, so the rest goes too.
func (s *Service) closeJob(j *clusterstate.Job, h *Occurrence, wanted bool) (ds []decide.Decision) {
	var on []*clusterstate.Task
	for _, num := range slices.Sorted(maps.Keys(j.Active)) {
		t := j.Active[num]
		if t.State == jobs.Placed {
			on = append(on, t)
		}
		if wanted && t.State == jobs.Stopping {
			ds = append(ds, s.deleteUnresponsive(t)...)
		}
	}
	spec := &j.Record.Spec
	torn := spec.IsGang() && len(on) < spec.TaskCount
	if !h.Stop && spec.Kind != jobs.Service && !torn {
		return ds
	}
	if !spec.IsGang() {
		on = on[:min(len(on), tuning.CalendarStops)]
	}
	return append(ds, s.withdrawTasks("window "+h.Window+" ended", on...)...)
}

// withdrawTasks is the decision that some tasks of a job make way, all in one where they
// are a gang: it saves only if all of it is told at once.
func (s *Service) withdrawTasks(why string, ts ...*clusterstate.Task) []decide.Decision {
	var ds []decide.Decision
	var whole decide.Decision
	gang := len(ts) > 1 && ts[0].Job.Record.Spec.IsGang()
	for _, t := range ts {
		next, ok := jobs.Withdraw(t.Task, why)
		if !ok || s.Busy(t.Stored.Key) {
			if gang {
				return nil // at the next look, whole
			}
			continue
		}
		change := decide.TransitionTask(t, next)
		whole.Changes = append(whole.Changes, change...)
		ds = append(ds, decide.Decision{Changes: change})
	}
	if gang && len(whole.Keys()) <= s.TxnOps/2 && len(whole.Changes) > 0 {
		return []decide.Decision{whole}
	}
	return ds
}

// anotherWindowDue tells whether another window of a track is due, or about to be.
func (s *Service) anotherWindowDue(track string) bool {
	rec := s.keeper.tracks[track]
	return rec != nil &&
		slices.ContainsFunc(rec.Occurrences, func(o Occurrence) bool { return o.State == Preparing || o.State == Slipped })
}

// deleteUnresponsive has a machine deleted that nobody hears while a task on it, which is to stop,
// holds up the next window: only the delete proves that it is gone.
func (s *Service) deleteUnresponsive(t *clusterstate.Task) []decide.Decision {
	m := s.Machines[t.Machine]
	if m == nil || s.Now.Sub(t.Since) < tuning.HoldsGiveUp || s.Now.Sub(s.leadingSince) < tuning.HoldsGiveUp {
		return nil
	}
	if since, unresponsive := s.UnresponsiveSince(m); !unresponsive || s.Now.Sub(since) < tuning.HoldsGiveUp {
		return nil
	}
	return s.TransitionMachine(t.Machine, fleet.Decommission, "holds up a window of the calendar with "+t.ID)
}

// logBlocked logs the windows that must wait for their track, each once.
func (s *Service) logBlocked() {
	for _, track := range clusterstate.SortedKeys(s.keeper.blocked) {
		m := s.keeper.blocked[track]
		if id := track + " " + occurrenceKey(m.Window, m.Begin); !s.logged[id] {
			s.logged[id] = true
			s.Log.Info("window waits until its track is free",
				"track", track, "window", m.Window, "begin", time.UnixMilli(m.Begin).UTC().Format(time.RFC3339))
		}
	}
}

// logLateJobs logs the jobs that wait for a window and cannot end by their time, each once.
func (s *Service) logLateJobs(n Now) {
	if s.Now.Sub(s.lateCheckedAt) < tuning.CalendarLateCheckEvery {
		return
	}
	s.lateCheckedAt = s.Now
	if len(s.logged) > tuning.MaxCalendarLogged {
		clear(s.logged)
	}
	for _, jobID := range clusterstate.SortedKeys(s.Queued) {
		r := s.Queued[jobID].Record
		if s.logged[jobID] {
			continue
		}
		if opens, due, late := s.keeper.late(n, r); late {
			s.logged[jobID] = true
			s.Log.Info("waits for its window and can't end in time",
				"job", jobID, "class", r.Spec.Class, "due", time.UnixMilli(due).UTC().Format(time.RFC3339),
				"opens", time.UnixMilli(opens).UTC().Format(time.RFC3339))
		}
	}
}

// clusterView is what one look of the keeper is told of tasks, counted once.
type clusterView struct {
	service  *Service
	attempts map[quota.Key]int
	unknown  int
}

// Settled tells whether the records are known up to the newest change of the calendar:
// a commit of this node's own is known before what others committed earlier.
func (w *clusterView) Settled() bool {
	newest := w.service.Mirror.Revision(StoreKey)
	for track := range w.service.keeper.tracks {
		newest = max(newest, w.service.Mirror.Revision(TrackKey(track)))
	}
	return w.service.Mirror.Epoch >= newest
}

// Attempts counts what is given to a part, may be on a machine, or is under a
// transaction of this node's. A record of a task goes only when a report under our
// baton or an answered delete has proven it gone, so none of them counts here.
func (w *clusterView) Attempts(of func(quota.Key) bool) int {
	if w.attempts == nil {
		w.countAttempts()
	}
	sum := w.unknown
	for k, n := range w.attempts {
		if of(k) {
			sum += n
		}
	}
	return sum
}

func (w *clusterView) countAttempts() {
	w.attempts = map[quota.Key]int{}
	for jobID, j := range w.service.Jobs {
		n := len(j.Active)
		// Nobody knows which tasks a record holds that can't be read.
		if j.TasksUnreadable || j.RecordUnreadable || w.service.MayBeQuarantined(jobID) {
			n++
		}
		switch {
		case n == 0:
		case j.Record == nil:
			w.unknown += n
		default:
			w.attempts[j.Record.Spec.QuotaKey()] += n
		}
	}
	if w.service.MayBeQuarantined("") {
		w.unknown++ // a record that says not even which jobs it is about
	}
	for taskID, r := range w.service.Reservations {
		if !strings.HasPrefix(taskID, Kept) && r.Task.Job.Record != nil {
			w.attempts[r.Task.Job.Record.Spec.QuotaKey()]++
		}
	}
}

// Kept begins the names of bookings that only keep room for a window that is about to
// open.
const Kept = "kept "
