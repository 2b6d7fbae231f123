package api

import (
	"net/http"
	"time"

	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// pendingQueries holds the requests that wait for the mirror, mostly users' queries about jobs.
// Reading each job from the state service would use up most of its request budget. Instead, the
// epoch is read once for all queries that have arrived, and they are answered from the mirror when
// it has reached that epoch. If the mirror does not get there in time, because the watch or the
// service is slow, the jobs are read separately (readQueue), so that not every user of this
// controller is refused in the meantime.
type pendingQueries struct {
	waiting       []pendingQuery // no epoch read has been sent since they arrived
	awaitingEpoch []pendingQuery // the epoch read that serves them is in flight
	batches       []queryBatch   // the mirror has not reached their epochs, or may be out of date

	lastReadID   int       // ID of the last epoch read
	readInFlight bool      // the last epoch read is in flight
	lastReadAt   time.Time // when the last epoch read was sent

	lagging bool // the mirror was late for a query and has not reached any batch's epoch since
}

// pendingQuery is a query that waits for the mirror.
type pendingQuery struct {
	answer    func()            // answers from the mirror
	respond   func(http1.Reply) // sends the response; also refuses the query
	arrivedAt time.Time
	jobID     string // empty if the request is not about a job
	separate  bool   // the job is also read separately
	readID    int    // ID of the first epoch read that serves the query
}

// queryBatch holds the queries that one epoch read serves.
type queryBatch struct {
	queries []pendingQuery
	epoch   uint64
	reached bool // the mirror has reached the epoch
}

// query handles a user's query about a job's state.
func (s *Server) query(jobID string, respond func(http1.Reply)) {
	if found, ok := s.finals.Get(jobID); ok {
		s.counts.answered[fromFinals]++
		s.answer(jobID, http.StatusOK, found, true, respond)
		return
	}
	query := pendingQuery{respond: respond, arrivedAt: s.state.Now, jobID: jobID}
	query.answer = func() { s.answerQuery(query) }
	if s.queries.lagging {
		s.readSeparately(&query)
	}
	s.addQuery(query)
}

// readSeparately requests a read of the query's job in addition to waiting for the mirror.
// Whichever completes first provides the response.
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
			if reply.Status != http.StatusServiceUnavailable { // otherwise the query keeps waiting for the mirror
				respondOnce(reply)
			}
		},
		arrivedAt: query.arrivedAt,
		secondary: true,
	})
}

// afterEpoch calls answer once the mirror has reached an epoch that is read after this call. If
// that takes too long, it refuses the request through respond.
func (s *Server) afterEpoch(respond func(http1.Reply), answer func()) {
	s.addQuery(pendingQuery{answer: answer, respond: respond, arrivedAt: s.state.Now})
}

// addQuery adds a query to those that wait for the next epoch read, or refuses it if the mirror is
// not available or too many queries are waiting.
func (s *Server) addQuery(query pendingQuery) {
	switch {
	case s.client.Unavailable():
		s.refuse(atState, query.respond)
		return
	case !s.watch.MirrorLive():
		s.refuse(atMirror, query.respond)
		return
	}
	limit := tuning.MaxPendingQueries
	if s.reads.shedding.timesShed(query.jobID) > 0 {
		limit += tuning.MaxShedJobs // extra room reserved for jobs whose last request was refused
	}
	if len(s.queries.waiting) >= limit {
		s.counts.refused[atQueue]++
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
		// The mirror does not have the job, so it has ended or was never accepted.
		s.requestRead(pendingRead{jobID: query.jobID, respond: query.respond, arrivedAt: s.state.Now})
		return
	}
	found := jobs.StoredState{State: job.Record.State, DoneCount: job.Record.DoneCount}
	if found.State == jobs.Live && s.acknowledgeAccepted(query.jobID) > 0 {
		query.answer = func() { s.answerQuery(query) }
		s.addQuery(query) // wait for the next epoch read
		return
	}
	s.reads.shedding.reset(query.jobID)
	s.counts.answered[fromMirror]++
	s.answer(query.jobID, http.StatusOK, found, true, query.respond)
}
