package api

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

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
