package api

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/pipelines"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// pipelineRequest handles a user's request about runs.
func (s *Server) pipelineRequest(m *http1.Message, path string, respond func(http1.Reply)) {
	if s.runs == nil {
		respond(errorReply(http.StatusNotFound, "no such path"))
		return
	}
	if path == pipelinesPath {
		if requireMethod(m, http.MethodPost, respond) {
			s.submitRun(m.Body, respond)
		}
		return
	}
	id, verb, _ := strings.Cut(strings.TrimPrefix(path, pipelinesPath+"/"), "/")
	switch {
	case !pipelines.ValidID(id):
		respond(errorReply(http.StatusNotFound, "no such run"))
	case verb == "" || verb == "explain":
		if requireMethod(m, http.MethodGet, respond) {
			s.showRun(runQuery{id: id, explain: verb != ""}, respond)
		}
	case verb == "abort":
		if requireMethod(m, http.MethodPost, respond) {
			s.cancelRun(id, tuning.CancelAttempts, respond)
		}
	default:
		respond(errorReply(http.StatusNotFound, "no such path"))
	}
}

// runQuery asks for a run's state.
type runQuery struct {
	id      string
	explain bool
	sum     string // of the document that the run must have, empty for any
}

// showRun answers with a run's state as it is after the request came: like users' queries, it
// waits for the mirror to get there.
func (s *Server) showRun(query runQuery, respond func(http1.Reply)) {
	s.afterEpoch(respond, func() {
		if record, quarantined := s.runs.Known(query.id); record != nil || quarantined {
			s.answerRun(query, record, http.StatusOK, respond)
			return
		}
		s.client.Get(store.PriorityUser, pipelines.EndedRunPrefix+query.id, nil, func(item *store.Item, err error) {
			switch {
			case err != nil:
				respond(unavailable())
			case item == nil:
				respond(errorReply(http.StatusNotFound, "no such run"))
			default:
				record, _ := pipelines.Decode(item.Value)
				s.answerRun(query, record, http.StatusOK, respond)
			}
		})
	})
}

// answerRun answers with a run's record, nil if it can't be read.
func (s *Server) answerRun(query runQuery, record *pipelines.Record, status int, respond func(http1.Reply)) {
	if record != nil && query.sum != "" && record.Checksum != query.sum {
		respond(errorReply(http.StatusConflict, "another pipeline has this id"))
		return
	}
	if record != nil {
		run, ok := s.runs.StatusOf(query.id, record, s.state.NowMs(), runResources{s}, query.explain)
		if ok {
			respond(http1.Reply{Status: status, Body: run.Encode()})
			return
		}
	}
	respond(http1.Unavailable("this run's record can't be read by this version"))
}

// submitRun handles a user's submission of a run. It is an idempotent request: the same run
// handed in again is answered with its state.
func (s *Server) submitRun(body []byte, respond func(http1.Reply)) {
	request, refusal := pipelines.ParseRequest(body)
	if refusal != nil {
		respond(http1.Reply{Status: http.StatusBadRequest, Body: jobs.Encode(refusal)})
		return
	}
	if !s.view.MayDecide() || len(s.state.MachineTypes) == 0 {
		respond(http1.Unavailable("not able to accept"))
		return
	}
	query := runQuery{id: request.ID, sum: pipelines.Checksum(request.Document)}
	if record, quarantined := s.runs.Known(request.ID); record != nil || quarantined {
		s.showRun(query, respond)
		return
	}
	salt := fmt.Sprintf("%016x%016x", s.random.Uint64(), s.random.Uint64())
	change, err := s.runs.Accept(request, salt, s.state.NowMs(), runResources{s})
	if err != nil {
		s.refuseUnlessRan(query, errorReply(http.StatusRequestEntityTooLarge, err.Error()), respond)
		return
	}
	if refusal := s.judgeRun(request); refusal != nil {
		s.refuseUnlessRan(query, *refusal, respond)
		return
	}
	s.acceptRun(query, change, respond)
}

// judgeRun is the refusal of a run that can't be accepted, nil for one that can.
func (s *Server) judgeRun(request *pipelines.Request) *http1.Reply {
	if faults := request.Plan.FeasibilityFaults(runResources{s}.Infeasible); len(faults) > 0 {
		body := jobs.Encode(pipelines.Refusal{Error: "steps that can never run", Faults: faults})
		return &http1.Reply{Status: http.StatusUnprocessableEntity, Body: body}
	}
	if !s.runs.Room(len(request.Plan.Steps)) {
		refusal := errorReply(http.StatusTooManyRequests, "too many runs are live")
		refusal.RetryAfter = tuning.RetryAfter
		return &refusal
	}
	return nil
}

// refuseUnlessRan refuses a run unless it was accepted and has ended: only an unknown run is
// judged, since what made it acceptable may have changed since.
func (s *Server) refuseUnlessRan(query runQuery, refusal http1.Reply, respond func(http1.Reply)) {
	s.client.Get(store.PriorityUser, pipelines.EndedRunPrefix+query.id, nil, func(item *store.Item, err error) {
		switch {
		case err != nil:
			respond(unavailable())
		case item != nil:
			s.showRun(query, respond)
		default:
			respond(refusal)
		}
	})
}

// acceptRun commits a run with the jobs of its first steps, on condition that none of their
// records exists.
func (s *Server) acceptRun(query runQuery, change *pipelines.Change, respond func(http1.Reply)) {
	decision := s.runDecision(change, nil)
	txn := store.Txn{Writes: decision.Writes}
	for _, key := range append(decision.Keys(), decision.ReadSet...) {
		txn.Preconditions = append(txn.Preconditions, store.Precondition{Key: key})
	}
	txn.Preconditions = append(
		txn.Preconditions,
		store.Precondition{Key: pipelines.EndedRunPrefix + query.id},
		store.Precondition{Key: members.ViewKey, Revision: s.mirror.Revision(members.ViewKey)},
	)
	s.client.Commit(store.PriorityUser, txn, func(epoch uint64, failed []string, err error) {
		switch {
		case err == nil:
			s.mirror.ApplyCommit(txn.Writes, epoch)
			record, _ := s.runs.Known(query.id)
			s.answerRun(runQuery{id: query.id}, record, http.StatusCreated, respond)
		case errors.Is(err, store.ErrConflict) && len(failed) > 0 && failed[0] != members.ViewKey:
			s.showRun(query, respond)
		default:
			// Unknown counts as not accepted; a repeated submission finds out.
			respond(http1.Unavailable("try again"))
		}
	})
}

// cancelRun cancels a run, in at most that many attempts: a change by the run's owner
// meanwhile fails or makes this fail, and then it is tried again from the newer record.
func (s *Server) cancelRun(id string, attempts int, respond func(http1.Reply)) {
	if !s.view.MayDecide() {
		respond(http1.Unavailable("not able to cancel"))
		return
	}
	change := s.runs.CancelRun(id, s.state.Now, s.state.NowMs(), runResources{s})
	if change == nil { // over, being cancelled, or unknown
		s.showRun(runQuery{id: id}, respond)
		return
	}
	s.commits.Commit([]decide.Decision{s.runDecision(change, func(committed bool) {
		switch {
		case committed:
			for _, jobID := range change.Cancel {
				s.cancellations.Acknowledge(jobID) // with the run
			}
			s.showRun(runQuery{id: id}, respond)
		case attempts > 1 && !s.commits.Busy(pipelines.RunPrefix+id):
			s.cancelRun(id, attempts-1, respond)
		default:
			respond(http1.Unavailable("try again"))
		}
	})})
}
