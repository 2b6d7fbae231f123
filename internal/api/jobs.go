package api

import (
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/completion"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Request takes a request from the front door. respond is called exactly once.
func (fr *Server) Request(m *http1.Message, respond func(http1.Reply)) {
	path, _, _ := strings.Cut(m.Target, "?")
	switch {
	case path == "/agent/beat":
		if method(m, "POST", respond) {
			fr.Heartbeat(m.Body, respond)
		}
	case path == "/up":
		if method(m, "GET", respond) {
			fr.up(respond)
		}
	case path == "/work":
		if method(m, "POST", respond) {
			fr.submit(m.Body, respond)
		}
	case strings.HasPrefix(path, "/work/"):
		jobID, abort := strings.CutSuffix(path[len("/work/"):], "/abort")
		if !jobs.ValidID(jobID) {
			respond(http1.Reply{Status: 404, Body: http1.ErrorBody("no such job")})
			return
		}
		if abort {
			if method(m, "POST", respond) {
				fr.abort(jobID, respond)
			}
			return
		}
		if method(m, "GET", respond) {
			fr.query(jobID, respond)
		}
	case path == quotaPath:
		fr.quotaRequest(m, respond)
	case isPipelines(path):
		fr.pipelineRequest(m, path, respond)
	default:
		respond(http1.Reply{Status: 404, Body: http1.ErrorBody("no such path")})
	}
}

// IsUsers tells a user's request from a worker's or the load balancer's.
func IsUsers(m *http1.Message) bool {
	return m.Target == "/work" || strings.HasPrefix(m.Target, "/work/") || strings.HasPrefix(m.Target, "/work?") ||
		m.Target == quotaPath ||
		isPipelines(m.Target)
}

func method(m *http1.Message, want string, respond func(http1.Reply)) bool {
	if m.Method != want {
		respond(http1.Reply{Status: 405, Body: http1.ErrorBody("use " + want)})
		return false
	}
	return true
}

// up tells the load balancer whether to send users here.
func (fr *Server) up(respond func(http1.Reply)) {
	if !fr.Healthy() {
		respond(http1.Refuse("not ready"))
		return
	}
	respond(http1.Reply{Status: 200, Body: []byte(`{"up":true}`)})
}

type status struct {
	JobID   string `json:"uid"`
	Status  string `json:"status"`
	Done    *int   `json:"done,omitempty"`
	Running *int   `json:"running,omitempty"`
	Late    string `json:"late,omitempty"` // why its deadline cannot be met
}

// statusOf is the answer about a job. The counts are for display; those of a
// live job come from memory.
func (fr *Server) statusOf(jobID string, f jobs.Final, counts bool) []byte {
	out := status{JobID: jobID, Status: string(f.State)}
	done, on := f.DoneCount, 0
	if f.State == jobs.Live {
		if j := fr.Jobs[jobID]; j != nil {
			done, on = j.DoneCount, j.PlacedCount
			if counts {
				out.Late = fr.unmet(j)
			}
		}
		out.Status = "pending"
		if on > 0 {
			out.Status = "running"
		}
	}
	if counts {
		out.Done, out.Running = &done, &on
	}
	return jobs.Encode(out)
}

// unmet says why a job's deadline cannot be met any more, if it can't.
func (fr *Server) unmet(j *clusterstate.Job) string {
	if j.Record == nil || j.Record.Spec.DeadlineS == nil {
		return ""
	}
	p := jobs.Progress{Retrying: len(j.Retrying), Done: j.DoneCount}
	if !j.TasksUnreadable { // else tasks without a record that is known may have begun
		p.NeverRun = j.Record.Spec.TaskCount - len(j.Tasks)
	}
	return j.Record.DeadlineMissed(p, fr.Now)
}

// readWaiters is a read of one job's state that has not left yet; requests that
// come before it leaves share it. One that has left may be older than what
// another node has told the user since, so nobody joins it.
type readWaiters struct {
	waiting []func(jobs.Final, error)
}

var errNoJob = errors.New("no such job")

// read finds a job's state in the state service. Only final states are
// answered from memory.
func (fr *Server) read(jobID string, done func(jobs.Final, error)) {
	if s, ok := fr.finals.Get(jobID); ok {
		done(s, nil)
		return
	}
	if fr.Client.Unavailable() {
		done(jobs.Final{}, store.ErrUnavailable)
		return
	}
	if r := fr.readers[jobID]; r != nil {
		r.waiting = append(r.waiting, done)
		return
	}
	r := &readWaiters{waiting: []func(jobs.Final, error){done}}
	fr.readers[jobID] = r
	left := func() {
		if fr.readers[jobID] == r {
			delete(fr.readers, jobID)
		}
	}
	finish := func(s jobs.Final, err error) {
		left()
		for _, w := range r.waiting {
			w(s, err)
		}
	}
	fr.Client.Get(store.PriorityUser, jobs.JobPrefix+jobID, left, func(it *store.Item, err error) {
		if err != nil {
			finish(jobs.Final{}, err)
			return
		}
		if it != nil {
			fr.Mirror.Put(it.Key, it.Value, it.Revision)
			if rec, derr := jobs.DecodeRecord(jobID, it.Value); derr == nil {
				f := jobs.Final{State: rec.State, DoneCount: rec.DoneCount}
				fr.finals.Put(jobID, f)
				finish(f, nil)
				return
			}
			// Accepted, but its record cannot be read. Its final state is written in
			// the transaction that ends it, so without one it has not ended; sending
			// its user away for ever would be to forget it.
		}
		// A live record leaves only after the final one has come, so reading
		// in this order misses neither.
		accepted := it != nil
		fr.Client.Get(store.PriorityUser, jobs.FinalPrefix+jobID, nil, func(it *store.Item, err error) {
			if err != nil {
				finish(jobs.Final{}, err)
				return
			}
			if it == nil && accepted {
				finish(jobs.Final{State: jobs.Live}, nil)
				return
			}
			if it == nil {
				finish(jobs.Final{}, errNoJob)
				return
			}
			var f jobs.Final
			if jerr := json.Unmarshal(it.Value, &f); jerr != nil {
				finish(jobs.Final{}, jerr)
				return
			}
			fr.finals.Put(jobID, f)
			finish(f, nil)
		})
	})
}

// pendingQueries are users' questions about jobs. Reading each job from the state
// service would take most of its requests; instead all questions that came
// before a moment are answered from the mirror, once it has followed the watch
// to an epoch read after that moment. A mirror that does not get there in time, since
// its watch or the service is slow, must not have every user of this node sent away for
// as long as that lasts: what is known of one job is then read by itself (asks).
type pendingQueries struct {
	waiting []pendingQuery // no epoch was asked for since they came
	asked   []pendingQuery // an epoch is being read
	rounds  []epochRound   // the mirror is to get to an epoch
	asking  int            // the last reading of the epoch
	out     bool           // it is under way
	askedAt time.Time
	lagging bool // the last round was not reached in time
}

type pendingQuery struct {
	answer  func()
	respond func(http1.Reply) // refuses it instead
	at      time.Time
	uid     string // of the job that it is about, none if it is about anything else
	read    bool   // that job is read by itself as well
	asking  int    // the first reading of the epoch that serves it
}

// epochRound is the polls that one reading of the epoch serves.
type epochRound struct {
	polls   []pendingQuery
	epoch   uint64
	reached bool // by the mirror
}

func (fr *Server) query(jobID string, respond func(http1.Reply)) {
	if f, ok := fr.finals.Get(jobID); ok {
		fr.answer(jobID, 200, f, true, respond)
		return
	}
	q := pendingQuery{respond: respond, at: fr.Now, uid: jobID}
	q.answer = func() { fr.answerQuery(q) }
	if fr.queries.lagging {
		fr.readToo(&q)
	}
	fr.addQuery(q)
}

// readToo has the job of a poll read by itself as well: whichever comes first is the
// answer.
func (fr *Server) readToo(q *pendingQuery) {
	over, respond := false, q.respond
	once := func(r http1.Reply) {
		if !over {
			over = true
			respond(r)
		}
	}
	q.read, q.respond = true, once
	late := *q
	q.answer = func() { fr.answerQuery(late) }
	fr.requestRead(pendingRead{q.uid, func(r http1.Reply) {
		if r.Status != 503 { // then the poll still waits for the mirror
			once(r)
		}
	}, q.at})
}

// afterEpoch has a question answered once the mirror has got to an epoch that
// was read after it came; otherwise it is refused.
func (fr *Server) afterEpoch(respond func(http1.Reply), answer func()) {
	fr.addQuery(pendingQuery{answer: answer, respond: respond, at: fr.Now})
}

func (fr *Server) addQuery(q pendingQuery) {
	p := &fr.queries
	if fr.Client.Unavailable() || !fr.MirrorLive() {
		q.respond(http1.Refuse("state unavailable"))
		return
	}
	// Whoever was sent away the last time finds room that others do not.
	if most := tuning.MaxPendingQueries + min(
		fr.reads.shedding.times(q.uid),
		1,
	)*tuning.MaxShedEntries; len(
		p.waiting,
	) >= most {
		fr.shedLoad(q.uid, q.respond)
		return
	}
	p.waiting = append(p.waiting, q)
	fr.ReconcileQueries()
}

// ReconcileQueries reads the epoch for the polls that wait, and deals with those that
// have waited for too long.
func (fr *Server) ReconcileQueries() {
	p := &fr.queries
	rounds := p.rounds[:0]
	for _, r := range p.rounds {
		if r.polls = fr.overdue(r.polls); len(r.polls) > 0 {
			rounds = append(rounds, r)
		}
	}
	p.rounds = rounds
	p.waiting, p.asked = fr.overdue(p.waiting), fr.overdue(p.asked)
	fr.AnswerQueries(time.Time{})
	fr.reconcileReads()
	fr.agedEpoch.pass(fr.Mirror.Epoch, fr.Now)
	// One reading serves all who wait, so it must not stand behind calls that serve one
	// user each: while the budget holds those back it is made less often, before them.
	gap, level := tuning.QueryGap, store.PriorityPoll
	if fr.Client.Waiting() > 0 {
		gap, level = tuning.QueryRetry, store.PriorityUrgent
	}
	since := fr.Now.Sub(p.askedAt)
	if len(p.waiting)+len(p.asked) == 0 && !p.unproven() || since < gap || p.out && since < tuning.QueryRetry {
		return
	}
	p.asking++
	p.out, p.askedAt = true, fr.Now
	for i := range p.waiting {
		p.waiting[i].asking = p.asking
	}
	p.asked, p.waiting = append(p.asked, p.waiting...), nil
	asking, left := p.asking, fr.Now
	fr.Client.ReadEpoch(level, func(epoch uint64, err error) {
		last := asking == p.asking
		if last {
			p.out = false
		}
		if err != nil && !last {
			return // a later reading is under way
		}
		// A reading serves all that came before it, also where a later one was begun
		// because it took long: else none would ever serve while all take long.
		n := 0
		for n < len(p.asked) && p.asked[n].asking <= asking {
			n++
		}
		asked := p.asked[:n:n]
		p.asked = p.asked[n:]
		if err != nil {
			fr.refuseQueries(asked)
			return
		}
		if len(asked) > 0 {
			p.rounds = append(p.rounds, epochRound{polls: asked, epoch: epoch})
		}
		if epoch > fr.Mirror.Epoch {
			left = time.Time{} // it proves nothing of the mirror
		}
		fr.AnswerQueries(left)
		if len(p.rounds) > 0 {
			fr.WatchNow()
		}
	})
}

// overdue has the jobs read by themselves for whom the mirror is late, refuses what has
// waited for too long, and gives back the rest.
func (fr *Server) overdue(ps []pendingQuery) []pendingQuery {
	if len(ps) == 0 || fr.Now.Sub(ps[0].at) <= tuning.QueryReadAfter {
		return ps
	}
	var left []pendingQuery
	for _, q := range ps {
		waited := fr.Now.Sub(q.at)
		if waited > tuning.QueryTimeout {
			q.respond(http1.Refuse("state unavailable"))
			continue
		}
		if q.uid != "" && !q.read && waited > tuning.QueryReadAfter {
			fr.queries.lagging = true
			fr.readToo(&q)
		}
		left = append(left, q)
	}
	return left
}

func (fr *Server) refuseQueries(ps []pendingQuery) {
	for _, p := range ps {
		p.respond(http1.Refuse("state unavailable"))
	}
}

// unproven tells whether polls wait only for proof that the mirror is new.
func (p *pendingQueries) unproven() bool {
	return len(p.rounds) > 0 && slices.ContainsFunc(p.rounds, func(r epochRound) bool { return r.reached })
}

// AnswerQueries answers the polls whose epoch the mirror has reached. It showed all changes
// up to a moment after shown, zero if that is not known: a job that is live then may have
// ended since, and the user been told by another controller, so an answer about one job
// waits until the mirror is known to be no older than ReadFresh. Where that takes long,
// what the other controllers pass on has to do.
func (fr *Server) AnswerQueries(shown time.Time) {
	p := &fr.queries
	fresh := !shown.IsZero() && fr.Now.Sub(shown) <= tuning.ReadFresh
	rounds := p.rounds
	p.rounds = nil
	var rest []epochRound
	for _, r := range rounds {
		if r.epoch > fr.Mirror.Epoch {
			rest = append(rest, r)
			continue
		}
		r.reached, p.lagging = true, false
		var wait []pendingQuery
		for _, q := range r.polls {
			if q.uid == "" || fresh || fr.unprovenDo(&q) {
				q.answer()
			} else {
				wait = append(wait, q)
			}
		}
		if r.polls = wait; len(wait) > 0 {
			rest = append(rest, r)
		}
	}
	p.rounds = append(rest, p.rounds...)
}

// unprovenDo tells whether a poll has waited so long that a mirror which is not known to be
// new enough has to do. It never does while a member is not heard: what that one tells may be
// lost on its way. Then the job is read by itself, or the user sent away.
func (fr *Server) unprovenDo(q *pendingQuery) bool {
	if fr.Now.Sub(q.at) < tuning.QueryUnprovenAfter {
		return false
	}
	if fr.HearsAllMembers() {
		return true
	}
	if !q.read {
		fr.readToo(q)
	}
	return false
}

func (fr *Server) answerQuery(q pendingQuery) {
	j := fr.Jobs[q.uid]
	if j == nil || j.Record == nil {
		// Unknown here, so it has ended or was never accepted.
		fr.requestRead(pendingRead{q.uid, q.respond, fr.Now})
		return
	}
	f := jobs.Final{State: j.Record.State, DoneCount: j.Record.DoneCount}
	if f.State == jobs.Live && fr.acknowledgeAccepted(q.uid) > 0 {
		q.answer = func() { fr.answerQuery(q) }
		fr.addQuery(q) // it waits for the next reading of the epoch
		return
	}
	fr.reads.shedding.answered(q.uid)
	fr.answer(q.uid, 200, f, true, q.respond)
}

func (fr *Server) submit(body []byte, respond func(http1.Reply)) {
	spec, err := jobs.ParseSpec(body)
	if err != nil {
		respond(http1.Reply{Status: 400, Body: http1.ErrorBody(err.Error())})
		return
	}
	known := func(s jobs.Final) {
		fr.answer(spec.ID, 200, s, false, respond)
	}
	if s, ok := fr.finals.Get(spec.ID); ok {
		known(s)
		return
	}
	if !fr.MayDecide() {
		respond(http1.Refuse("not able to accept"))
		return
	}
	// A job that is known already is answered by a read, as a question about it is; only
	// an unknown one is judged, since what made it acceptable may have changed since.
	if fr.Jobs[spec.ID] != nil {
		fr.requestRead(pendingRead{spec.ID, respond, fr.Now})
		return
	}
	if len(fr.MachineTypes) == 0 {
		respond(http1.Refuse("machine types not known yet"))
		return
	}
	if why := jobs.CanEverRun(spec, fr.Account.Tree(), fr.MachineTypes); why != "" {
		fr.current(spec.ID, func(s jobs.Final, err error) {
			switch {
			case err == nil:
				known(s)
			case errors.Is(err, errNoJob):
				respond(http1.Reply{Status: 422, Body: http1.ErrorBody(why)})
			default:
				respond(http1.Refuse("state unavailable"))
			}
		})
		return
	}
	fr.accept(spec, tuning.AcceptAttempts, known, respond)
}

// acceptance is the record of a job as accepted, a user's or a step's of a run.
// It is conditional on its own key and on the one that it returns being absent.
func (fr *Server) acceptance(spec *jobs.Spec) (w store.Write, absent string) {
	return decide.Put(
		jobs.JobPrefix+spec.ID,
		jobs.Record{State: jobs.Live, AcceptedMs: fr.NowMs(), Spec: *spec},
	), jobs.FinalPrefix + spec.ID
}

// tooLong tells whether a job's record does not fit into a value with what its end adds
// to it: it could never end.
func (fr *Server) tooLong(w store.Write) bool {
	return len(w.Value)+jobs.CompletionBytes > fr.valueBytes()
}

// accept commits a job's record. Where only the view had changed meanwhile, it is tried
// again once the mirror shows the new one: a controller that comes or goes is no reason
// to send users away.
func (fr *Server) accept(spec *jobs.Spec, tries int, known func(jobs.Final), respond func(http1.Reply)) {
	w, final := fr.acceptance(spec)
	if fr.tooLong(w) {
		respond(http1.Reply{Status: 400, Body: http1.ErrorBody("description too long")})
		return
	}
	t := store.Txn{
		Preconditions: []store.Precondition{
			{Key: members.ViewKey, Revision: fr.Mirror.Revision(members.ViewKey)},
			{Key: jobs.JobPrefix + spec.ID, Revision: 0},
			{Key: final, Revision: 0},
		},
		Writes: []store.Write{w},
	}
	left := fr.Now
	fr.Client.Commit(store.PriorityUser, t, func(epoch uint64, failed []string, err error) {
		switch {
		case err == nil:
			fr.Mirror.ApplyCommit(t.Writes, epoch)
			fr.accepted(spec.ID, left, respond)
		case errors.Is(err, store.ErrConflict):
			fr.read(spec.ID, func(s jobs.Final, err error) {
				switch {
				case err == nil && s.State == jobs.Live: // by a read that may have been slow
					fr.requestRead(pendingRead{spec.ID, respond, fr.Now})
				case err == nil:
					known(s)
				case !errors.Is(err, errNoJob) || tries <= 1:
					respond(http1.Refuse("try again"))
				default:
					fr.afterEpoch(respond, func() {
						if !fr.MayDecide() {
							respond(http1.Refuse("not able to accept"))
							return
						}
						fr.accept(spec, tries-1, known, respond)
					})
				}
			})
		default:
			// Unknown counts as not accepted; a repeat finds out.
			respond(http1.Refuse("state unavailable"))
		}
	})
}

// accepted answers a submission whose job was accepted by a transaction that left then.
// Where its answer came late, and what the others have told since may have been lost on its
// way, the job may be over: that is looked up, if it can be.
func (fr *Server) accepted(jobID string, left time.Time, respond func(http1.Reply)) {
	live := jobs.Final{State: jobs.Live}
	if fr.Now.Sub(left) <= tuning.ReadFresh || fr.HearsAllMembers() {
		fr.answer(jobID, 201, live, false, respond)
		return
	}
	fr.current(jobID, func(f jobs.Final, err error) {
		if err != nil {
			f = live
		}
		fr.answer(jobID, 201, f, false, respond)
	})
}

// find tells a job's state for a decision that is conditional on the job's
// record and therefore may start from a copy that is behind.
func (fr *Server) find(jobID string, done func(jobs.Final, error)) {
	if j := fr.Jobs[jobID]; j != nil && j.Record != nil && j.Record.State == jobs.Live {
		done(jobs.Final{State: jobs.Live}, nil)
		return
	}
	fr.current(jobID, done)
}

func (fr *Server) abort(jobID string, respond func(http1.Reply)) {
	if s, ok := fr.finals.Get(jobID); ok {
		fr.answer(jobID, 200, s, false, respond)
		return
	}
	if !fr.MayDecide() {
		respond(http1.Refuse("not able to cancel"))
		return
	}
	fr.find(jobID, func(s jobs.Final, err error) {
		switch {
		case errors.Is(err, errNoJob):
			respond(http1.Reply{Status: 404, Body: http1.ErrorBody("no such job")})
			return
		case err != nil:
			respond(http1.Refuse("state unavailable"))
			return
		}
		j := fr.Jobs[jobID]
		next, ok := jobs.NextJob(s.State, jobs.UserCancels)
		if !ok {
			fr.answer(jobID, 200, s, false, respond)
			return
		}
		if j == nil || j.Record == nil {
			respond(http1.Refuse("try again"))
			return
		}
		fr.Close(j, next, store.PriorityUser, func(ok bool) {
			if !ok {
				respond(http1.Refuse("try again"))
				return
			}
			fr.answer(jobID, 200, jobs.Final{State: next}, false, respond)
		})
	})
}

// Close commits a job's final state, for its tasks to act on and for users to
// read for ever.
func (fr *Server) Close(j *clusterstate.Job, state jobs.JobState, p store.Priority, done func(bool)) {
	key, final := jobs.JobPrefix+j.ID, jobs.FinalPrefix+j.ID
	t := store.Txn{
		Preconditions: []store.Precondition{
			{Key: members.ViewKey, Revision: fr.Mirror.Revision(members.ViewKey)},
			{Key: key, Revision: fr.Mirror.Revision(key)},
			{Key: final, Revision: 0},
		},
		Writes: completion.FinalWrites(j, state, fr.NowMs()),
	}
	fr.Client.Commit(p, t, func(epoch uint64, _ []string, err error) {
		if err == nil {
			fr.Mirror.ApplyCommit(t.Writes, epoch)
		}
		fr.Wake()
		done(err == nil)
	})
}
