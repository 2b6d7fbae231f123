package api

import (
	"net/http"
	"time"

	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// pendingQueries is users' queries about jobs. Reading each job from the state service would
// take most of its requests; instead all queries that came before a moment are answered from
// the mirror, once it has followed the watch to an epoch read after that moment. A mirror
// that does not get there in time, since its watch or the service is slow, must not have
// every user of this controller refused for as long as that lasts: the state of one job is
// then read separately (readBatcher).
type pendingQueries struct {
	waiting []pendingQuery // no epoch was read since they came
	reading []pendingQuery // an epoch is being read for them
	rounds  []queryRound   // the mirror is to reach their epochs

	lastReading int       // number of the last reading of the epoch
	inFlight    bool      // the last reading is under way
	readAt      time.Time // the last reading was sent

	lagging bool // the mirror was late for a query and has reached no round's epoch since
}

// pendingQuery is a query that waits for the mirror.
type pendingQuery struct {
	answer    func()            // from the mirror
	respond   func(http1.Reply) // refuses it instead
	arrivedAt time.Time
	jobID     string // that it is about, empty if it is about anything else
	separate  bool   // its job is read separately as well
	reading   int    // the first reading of the epoch that serves it
}

// queryRound is the queries that one reading of the epoch serves.
type queryRound struct {
	queries []pendingQuery
	epoch   uint64
	reached bool // by the mirror
}

// query answers a user who asks for a job's state.
func (s *Server) query(jobID string, respond func(http1.Reply)) {
	if final, ok := s.finals.Get(jobID); ok {
		s.answer(jobID, http.StatusOK, final, true, respond)
		return
	}
	query := pendingQuery{respond: respond, arrivedAt: s.state.Now, jobID: jobID}
	query.answer = func() { s.answerQuery(query) }
	if s.queries.lagging {
		s.readSeparately(&query)
	}
	s.addQuery(query)
}

// readSeparately has the job of a query read by itself as well: whichever comes first, the
// read or the mirror, gives the answer.
func (s *Server) readSeparately(query *pendingQuery) {
	answered, respond := false, query.respond
	respondOnce := func(reply http1.Reply) {
		if !answered {
			answered = true
			respond(reply)
		}
	}
	query.separate, query.respond = true, respondOnce
	separate := *query
	query.answer = func() { s.answerQuery(separate) }
	s.requestRead(pendingRead{
		jobID: query.jobID,
		respond: func(reply http1.Reply) {
			if reply.Status != http.StatusServiceUnavailable { // then the query still waits for the mirror
				respondOnce(reply)
			}
		},
		arrivedAt: query.arrivedAt,
	})
}

// afterEpoch calls answer once the mirror has reached an epoch that was read after this call;
// otherwise the request is refused.
func (s *Server) afterEpoch(respond func(http1.Reply), answer func()) {
	s.addQuery(pendingQuery{answer: answer, respond: respond, arrivedAt: s.state.Now})
}

func (s *Server) addQuery(query pendingQuery) {
	if s.client.Unavailable() || !s.watch.MirrorLive() {
		query.respond(unavailable())
		return
	}
	limit := tuning.MaxPendingQueries
	if s.reads.shedding.timesShed(query.jobID) > 0 {
		limit += tuning.MaxShedEntries // whoever was refused the last time finds room that others do not
	}
	if len(s.queries.waiting) >= limit {
		s.shedLoad(query.jobID, query.respond)
		return
	}
	s.queries.waiting = append(s.queries.waiting, query)
	s.ReconcileQueries()
}

// answerQuery answers a query from the mirror, which has reached the query's epoch.
func (s *Server) answerQuery(query pendingQuery) {
	job := s.state.Jobs[query.jobID]
	if job == nil || job.Record == nil {
		// Unknown to the mirror, so it has ended or was never accepted.
		s.requestRead(pendingRead{jobID: query.jobID, respond: query.respond, arrivedAt: s.state.Now})
		return
	}
	final := jobs.Final{State: job.Record.State, DoneCount: job.Record.DoneCount}
	if final.State == jobs.Live && s.acknowledgeAccepted(query.jobID) > 0 {
		query.answer = func() { s.answerQuery(query) }
		s.addQuery(query) // it waits for the next reading of the epoch
		return
	}
	s.reads.shedding.reset(query.jobID)
	s.answer(query.jobID, http.StatusOK, final, true, query.respond)
}
