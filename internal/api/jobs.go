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
func (s *Server) Request(m *http1.Message, respond func(http1.Reply)) {
	path, _, _ := strings.Cut(m.Target, "?")
	switch {
	case path == "/agent/beat":
		if requireMethod(m, "POST", respond) {
			s.agents.Heartbeat(m.Body, respond)
		}
	case path == "/up":
		if requireMethod(m, "GET", respond) {
			s.answerHealth(respond)
		}
	case path == "/work":
		if requireMethod(m, "POST", respond) {
			s.submit(m.Body, respond)
		}
	case strings.HasPrefix(path, "/work/"):
		jobID, abort := strings.CutSuffix(path[len("/work/"):], "/abort")
		if !jobs.ValidID(jobID) {
			respond(http1.Reply{Status: 404, Body: http1.ErrorBody("no such job")})
			return
		}
		if abort {
			if requireMethod(m, "POST", respond) {
				s.cancel(jobID, respond)
			}
			return
		}
		if requireMethod(m, "GET", respond) {
			s.query(jobID, respond)
		}
	case path == quotaPath:
		s.quotaRequest(m, respond)
	case isPipelines(path):
		s.pipelineRequest(m, path, respond)
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

func requireMethod(m *http1.Message, want string, respond func(http1.Reply)) bool {
	if m.Method != want {
		respond(http1.Reply{Status: 405, Body: http1.ErrorBody("use " + want)})
		return false
	}
	return true
}

// up tells the load balancer whether to send users here.
func (s *Server) answerHealth(respond func(http1.Reply)) {
	if !s.health.Healthy() {
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
func (s *Server) statusOf(jobID string, final jobs.Final, counts bool) []byte {
	out := status{JobID: jobID, Status: string(final.State)}
	done, on := final.DoneCount, 0
	if final.State == jobs.Live {
		if job := s.state.Jobs[jobID]; job != nil {
			done, on = job.DoneCount, job.PlacedCount
			if counts {
				out.Late = s.missedDeadline(job)
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
func (s *Server) missedDeadline(job *clusterstate.Job) string {
	if job.Record == nil || job.Record.Spec.DeadlineS == nil {
		return ""
	}
	p := jobs.Progress{Retrying: len(job.Retrying), Done: job.DoneCount}
	if !job.TasksUnreadable { // else tasks without a record that is known may have begun
		p.NeverRun = job.Record.Spec.TaskCount - len(job.Tasks)
	}
	return job.Record.DeadlineMissed(p, s.state.Now)
}

// sharedRead is a read of one job's state that has not left yet; requests that
// come before it leaves share it. One that has left may be older than what
// another node has told the user since, so nobody joins it.
type sharedRead struct {
	waiting []func(jobs.Final, error)
}

var errNoJob = errors.New("no such job")

// read finds a job's state in the state service. Only final states are
// answered from memory.
func (s *Server) readJob(jobID string, done func(jobs.Final, error)) {
	if final, ok := s.finals.Get(jobID); ok {
		done(final, nil)
		return
	}
	if s.client.Unavailable() {
		done(jobs.Final{}, store.ErrUnavailable)
		return
	}
	if shared := s.sharedReads[jobID]; shared != nil {
		shared.waiting = append(shared.waiting, done)
		return
	}
	shared := &sharedRead{waiting: []func(jobs.Final, error){done}}
	s.sharedReads[jobID] = shared
	left := func() {
		if s.sharedReads[jobID] == shared {
			delete(s.sharedReads, jobID)
		}
	}
	finish := func(final jobs.Final, err error) {
		left()
		for _, done := range shared.waiting {
			done(final, err)
		}
	}
	s.client.Get(store.PriorityUser, jobs.JobPrefix+jobID, left, func(item *store.Item, err error) {
		if err != nil {
			finish(jobs.Final{}, err)
			return
		}
		if item != nil {
			s.mirror.Put(item.Key, item.Value, item.Revision)
			if record, err := jobs.DecodeRecord(jobID, item.Value); err == nil {
				final := jobs.Final{State: record.State, DoneCount: record.DoneCount}
				s.finals.Put(jobID, final)
				finish(final, nil)
				return
			}
			// Accepted, but its record cannot be read. Its final state is written in
			// the transaction that ends it, so without one it has not ended; sending
			// its user away for ever would be to forget it.
		}
		// A live record leaves only after the final one has come, so reading
		// in this order misses neither.
		accepted := item != nil
		s.client.Get(store.PriorityUser, jobs.FinalPrefix+jobID, nil, func(item *store.Item, err error) {
			if err != nil {
				finish(jobs.Final{}, err)
				return
			}
			if item == nil && accepted {
				finish(jobs.Final{State: jobs.Live}, nil)
				return
			}
			if item == nil {
				finish(jobs.Final{}, errNoJob)
				return
			}
			var final jobs.Final
			if err := json.Unmarshal(item.Value, &final); err != nil {
				finish(jobs.Final{}, err)
				return
			}
			s.finals.Put(jobID, final)
			finish(final, nil)
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
	waiting     []pendingQuery // no epoch was asked for since they came
	reading     []pendingQuery // an epoch is being read
	rounds      []epochRound   // the mirror is to get to an epoch
	lastReading int            // the last reading of the epoch
	inFlight    bool           // it is under way
	readAt      time.Time
	lagging     bool // the last round was not reached in time
}

type pendingQuery struct {
	answer  func()
	respond func(http1.Reply) // refuses it instead
	at      time.Time
	jobID   string // of the job that it is about, none if it is about anything else
	read    bool   // that job is read by itself as well
	reading int    // the first reading of the epoch that serves it
}

// epochRound is the polls that one reading of the epoch serves.
type epochRound struct {
	queries []pendingQuery
	epoch   uint64
	reached bool // by the mirror
}

func (s *Server) query(jobID string, respond func(http1.Reply)) {
	if final, ok := s.finals.Get(jobID); ok {
		s.answer(jobID, 200, final, true, respond)
		return
	}
	q := pendingQuery{respond: respond, at: s.state.Now, jobID: jobID}
	q.answer = func() { s.answerQuery(q) }
	if s.queries.lagging {
		s.readSeparately(&q)
	}
	s.addQuery(q)
}

// readSeparately has the job of a poll read by itself as well: whichever comes first is the
// answer.
func (s *Server) readSeparately(q *pendingQuery) {
	over, respond := false, q.respond
	once := func(r http1.Reply) {
		if !over {
			over = true
			respond(r)
		}
	}
	q.read, q.respond = true, once
	late := *q
	q.answer = func() { s.answerQuery(late) }
	s.requestRead(pendingRead{q.jobID, func(r http1.Reply) {
		if r.Status != 503 { // then the poll still waits for the mirror
			once(r)
		}
	}, q.at})
}

// afterEpoch has a question answered once the mirror has got to an epoch that
// was read after it came; otherwise it is refused.
func (s *Server) afterEpoch(respond func(http1.Reply), answer func()) {
	s.addQuery(pendingQuery{answer: answer, respond: respond, at: s.state.Now})
}

func (s *Server) addQuery(q pendingQuery) {
	p := &s.queries
	if s.client.Unavailable() || !s.watch.MirrorLive() {
		q.respond(http1.Refuse("state unavailable"))
		return
	}
	// Whoever was sent away the last time finds room that others do not.
	if limit := tuning.MaxPendingQueries + min(
		s.reads.shedding.timesShed(q.jobID),
		1,
	)*tuning.MaxShedEntries; len(
		p.waiting,
	) >= limit {
		s.shedLoad(q.jobID, q.respond)
		return
	}
	p.waiting = append(p.waiting, q)
	s.ReconcileQueries()
}

// ReconcileQueries reads the epoch for the polls that wait, and deals with those that
// have waited for too long.
func (s *Server) ReconcileQueries() {
	p := &s.queries
	rounds := p.rounds[:0]
	for _, r := range p.rounds {
		if r.queries = s.handleOverdue(r.queries); len(r.queries) > 0 {
			rounds = append(rounds, r)
		}
	}
	p.rounds = rounds
	p.waiting, p.reading = s.handleOverdue(p.waiting), s.handleOverdue(p.reading)
	s.AnswerQueries(time.Time{})
	s.reconcileReads()
	s.agedEpoch.advance(s.mirror.Epoch, s.state.Now)
	// One reading serves all who wait, so it must not stand behind calls that serve one
	// user each: while the budget holds those back it is made less often, before them.
	gap, level := tuning.QueryGap, store.PriorityPoll
	if s.client.Waiting() > 0 {
		gap, level = tuning.QueryRetry, store.PriorityUrgent
	}
	since := s.state.Now.Sub(p.readAt)
	if len(p.waiting)+len(p.reading) == 0 && !p.awaitsProof() || since < gap || p.inFlight && since < tuning.QueryRetry {
		return
	}
	p.lastReading++
	p.inFlight, p.readAt = true, s.state.Now
	for i := range p.waiting {
		p.waiting[i].reading = p.lastReading
	}
	p.reading, p.waiting = append(p.reading, p.waiting...), nil
	reading, left := p.lastReading, s.state.Now
	s.client.ReadEpoch(level, func(epoch uint64, err error) {
		last := reading == p.lastReading
		if last {
			p.inFlight = false
		}
		if err != nil && !last {
			return // a later reading is under way
		}
		// A reading serves all that came before it, also where a later one was begun
		// because it took long: else none would ever serve while all take long.
		n := 0
		for n < len(p.reading) && p.reading[n].reading <= reading {
			n++
		}
		served := p.reading[:n:n]
		p.reading = p.reading[n:]
		if err != nil {
			s.refuseQueries(served)
			return
		}
		if len(served) > 0 {
			p.rounds = append(p.rounds, epochRound{queries: served, epoch: epoch})
		}
		if epoch > s.mirror.Epoch {
			left = time.Time{} // it proves nothing of the mirror
		}
		s.AnswerQueries(left)
		if len(p.rounds) > 0 {
			s.watch.WatchNow()
		}
	})
}

// overdue has the jobs read by themselves for whom the mirror is late, refuses what has
// waited for too long, and gives back the rest.
func (s *Server) handleOverdue(queries []pendingQuery) []pendingQuery {
	if len(queries) == 0 || s.state.Now.Sub(queries[0].at) <= tuning.QueryReadAfter {
		return queries
	}
	var left []pendingQuery
	for _, q := range queries {
		waited := s.state.Now.Sub(q.at)
		if waited > tuning.QueryTimeout {
			q.respond(http1.Refuse("state unavailable"))
			continue
		}
		if q.jobID != "" && !q.read && waited > tuning.QueryReadAfter {
			s.queries.lagging = true
			s.readSeparately(&q)
		}
		left = append(left, q)
	}
	return left
}

func (s *Server) refuseQueries(queries []pendingQuery) {
	for _, query := range queries {
		query.respond(http1.Refuse("state unavailable"))
	}
}

// unproven tells whether polls wait only for proof that the mirror is new.
func (p *pendingQueries) awaitsProof() bool {
	return len(p.rounds) > 0 && slices.ContainsFunc(p.rounds, func(r epochRound) bool { return r.reached })
}

// AnswerQueries answers the polls whose epoch the mirror has reached. It showed all changes
// up to a moment after shown, zero if that is not known: a job that is live then may have
// ended since, and the user been told by another controller, so an answer about one job
// waits until the mirror is known to be no older than ReadFresh. Where that takes long,
// what the other controllers pass on has to do.
func (s *Server) AnswerQueries(shown time.Time) {
	p := &s.queries
	fresh := !shown.IsZero() && s.state.Now.Sub(shown) <= tuning.ReadFresh
	rounds := p.rounds
	p.rounds = nil
	var rest []epochRound
	for _, r := range rounds {
		if r.epoch > s.mirror.Epoch {
			rest = append(rest, r)
			continue
		}
		r.reached, p.lagging = true, false
		var unproven []pendingQuery
		for _, q := range r.queries {
			if q.jobID == "" || fresh || s.acceptsUnproven(&q) {
				q.answer()
			} else {
				unproven = append(unproven, q)
			}
		}
		if r.queries = unproven; len(unproven) > 0 {
			rest = append(rest, r)
		}
	}
	p.rounds = append(rest, p.rounds...)
}

// acceptsUnproven tells whether a poll has waited so long that a mirror which is not known to be
// new enough has to do. It never does while a member is not heard: what that one tells may be
// lost on its way. Then the job is read by itself, or the user sent away.
func (s *Server) acceptsUnproven(q *pendingQuery) bool {
	if s.state.Now.Sub(q.at) < tuning.QueryUnprovenAfter {
		return false
	}
	if s.view.HearsAllMembers() {
		return true
	}
	if !q.read {
		s.readSeparately(q)
	}
	return false
}

func (s *Server) answerQuery(q pendingQuery) {
	job := s.state.Jobs[q.jobID]
	if job == nil || job.Record == nil {
		// Unknown here, so it has ended or was never accepted.
		s.requestRead(pendingRead{q.jobID, q.respond, s.state.Now})
		return
	}
	final := jobs.Final{State: job.Record.State, DoneCount: job.Record.DoneCount}
	if final.State == jobs.Live && s.acknowledgeAccepted(q.jobID) > 0 {
		q.answer = func() { s.answerQuery(q) }
		s.addQuery(q) // it waits for the next reading of the epoch
		return
	}
	s.reads.shedding.reset(q.jobID)
	s.answer(q.jobID, 200, final, true, q.respond)
}

func (s *Server) submit(body []byte, respond func(http1.Reply)) {
	spec, err := jobs.ParseSpec(body)
	if err != nil {
		respond(http1.Reply{Status: 400, Body: http1.ErrorBody(err.Error())})
		return
	}
	known := func(final jobs.Final) {
		s.answer(spec.ID, 200, final, false, respond)
	}
	if final, ok := s.finals.Get(spec.ID); ok {
		known(final)
		return
	}
	if !s.view.MayDecide() {
		respond(http1.Refuse("not able to accept"))
		return
	}
	// A job that is known already is answered by a read, as a question about it is; only
	// an unknown one is judged, since what made it acceptable may have changed since.
	if s.state.Jobs[spec.ID] != nil {
		s.requestRead(pendingRead{spec.ID, respond, s.state.Now})
		return
	}
	if len(s.state.MachineTypes) == 0 {
		respond(http1.Refuse("machine types not known yet"))
		return
	}
	if reason := jobs.CanEverRun(spec, s.state.Account.Tree(), s.state.MachineTypes); reason != "" {
		s.readCurrent(spec.ID, func(final jobs.Final, err error) {
			switch {
			case err == nil:
				known(final)
			case errors.Is(err, errNoJob):
				respond(http1.Reply{Status: 422, Body: http1.ErrorBody(reason)})
			default:
				respond(http1.Refuse("state unavailable"))
			}
		})
		return
	}
	s.accept(spec, tuning.AcceptAttempts, known, respond)
}

// acceptance is the record of a job as accepted, a user's or a step's of a run.
// It is conditional on its own key and on the one that it returns being absent.
func (s *Server) acceptanceWrite(spec *jobs.Spec) (write store.Write, absent string) {
	return decide.Put(
		jobs.JobPrefix+spec.ID,
		jobs.Record{State: jobs.Live, AcceptedMs: s.state.NowMs(), Spec: *spec},
	), jobs.FinalPrefix + spec.ID
}

// tooLong tells whether a job's record does not fit into a value with what its end adds
// to it: it could never end.
func (s *Server) exceedsValueLimit(write store.Write) bool {
	return len(write.Value)+jobs.CompletionBytes > s.valueBytes()
}

// accept commits a job's record. Where only the view had changed meanwhile, it is tried
// again once the mirror shows the new one: a controller that comes or goes is no reason
// to send users away.
func (s *Server) accept(spec *jobs.Spec, attempts int, known func(jobs.Final), respond func(http1.Reply)) {
	write, finalKey := s.acceptanceWrite(spec)
	if s.exceedsValueLimit(write) {
		respond(http1.Reply{Status: 400, Body: http1.ErrorBody("description too long")})
		return
	}
	txn := store.Txn{
		Preconditions: []store.Precondition{
			{Key: members.ViewKey, Revision: s.mirror.Revision(members.ViewKey)},
			{Key: jobs.JobPrefix + spec.ID, Revision: 0},
			{Key: finalKey, Revision: 0},
		},
		Writes: []store.Write{write},
	}
	left := s.state.Now
	s.client.Commit(store.PriorityUser, txn, func(epoch uint64, failed []string, err error) {
		switch {
		case err == nil:
			s.mirror.ApplyCommit(txn.Writes, epoch)
			s.accepted(spec.ID, left, respond)
		case errors.Is(err, store.ErrConflict):
			s.readJob(spec.ID, func(final jobs.Final, err error) {
				switch {
				case err == nil && final.State == jobs.Live: // by a read that may have been slow
					s.requestRead(pendingRead{spec.ID, respond, s.state.Now})
				case err == nil:
					known(final)
				case !errors.Is(err, errNoJob) || attempts <= 1:
					respond(http1.Refuse("try again"))
				default:
					s.afterEpoch(respond, func() {
						if !s.view.MayDecide() {
							respond(http1.Refuse("not able to accept"))
							return
						}
						s.accept(spec, attempts-1, known, respond)
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
func (s *Server) accepted(jobID string, left time.Time, respond func(http1.Reply)) {
	live := jobs.Final{State: jobs.Live}
	if s.state.Now.Sub(left) <= tuning.ReadFresh || s.view.HearsAllMembers() {
		s.answer(jobID, 201, live, false, respond)
		return
	}
	s.readCurrent(jobID, func(final jobs.Final, err error) {
		if err != nil {
			final = live
		}
		s.answer(jobID, 201, final, false, respond)
	})
}

// find tells a job's state for a decision that is conditional on the job's
// record and therefore may start from a copy that is behind.
func (s *Server) findJob(jobID string, done func(jobs.Final, error)) {
	if job := s.state.Jobs[jobID]; job != nil && job.Record != nil && job.Record.State == jobs.Live {
		done(jobs.Final{State: jobs.Live}, nil)
		return
	}
	s.readCurrent(jobID, done)
}

func (s *Server) cancel(jobID string, respond func(http1.Reply)) {
	if final, ok := s.finals.Get(jobID); ok {
		s.answer(jobID, 200, final, false, respond)
		return
	}
	if !s.view.MayDecide() {
		respond(http1.Refuse("not able to cancel"))
		return
	}
	s.findJob(jobID, func(final jobs.Final, err error) {
		switch {
		case errors.Is(err, errNoJob):
			respond(http1.Reply{Status: 404, Body: http1.ErrorBody("no such job")})
			return
		case err != nil:
			respond(http1.Refuse("state unavailable"))
			return
		}
		job := s.state.Jobs[jobID]
		next, ok := jobs.NextJob(final.State, jobs.UserCancels)
		if !ok {
			s.answer(jobID, 200, final, false, respond)
			return
		}
		if job == nil || job.Record == nil {
			respond(http1.Refuse("try again"))
			return
		}
		s.Close(job, next, store.PriorityUser, func(ok bool) {
			if !ok {
				respond(http1.Refuse("try again"))
				return
			}
			s.answer(jobID, 200, jobs.Final{State: next}, false, respond)
		})
	})
}

// Close commits a job's final state, for its tasks to act on and for users to
// read for ever.
func (s *Server) Close(job *clusterstate.Job, state jobs.JobState, priority store.Priority, done func(bool)) {
	key, finalKey := jobs.JobPrefix+job.ID, jobs.FinalPrefix+job.ID
	txn := store.Txn{
		Preconditions: []store.Precondition{
			{Key: members.ViewKey, Revision: s.mirror.Revision(members.ViewKey)},
			{Key: key, Revision: s.mirror.Revision(key)},
			{Key: finalKey, Revision: 0},
		},
		Writes: completion.FinalWrites(job, state, s.state.NowMs()),
	}
	s.client.Commit(priority, txn, func(epoch uint64, _ []string, err error) {
		if err == nil {
			s.mirror.ApplyCommit(txn.Writes, epoch)
		}
		s.loop.Wake()
		done(err == nil)
	})
}
