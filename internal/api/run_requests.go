package api

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/pipelines"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// handlePipelineRequest handles a user's request about pipeline runs.
func (s *Server) handlePipelineRequest(m *http1.Message, path string, respond func(http1.Reply)) {
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
	id, action, _ := strings.Cut(strings.TrimPrefix(path, pipelinesPath+"/"), "/")
	switch {
	case !pipelines.ValidID(id):
		respond(errorReply(http.StatusNotFound, "no such run"))
	case action == "" || action == "explain":
		if requireMethod(m, http.MethodGet, respond) {
			s.showRun(runQuery{id: id, explain: action != ""}, respond)
		}
	case action == "abort":
		if requireMethod(m, http.MethodPost, respond) {
			s.cancelRun(id, tuning.CancelAttempts, respond)
		}
	default:
		respond(errorReply(http.StatusNotFound, "no such path"))
	}
}

// runQuery is a query about a run's state.
type runQuery struct {
	id       string
	explain  bool
	checksum string // checksum that the run's document must have, empty for any
}

// showRun responds with a run's state as of the arrival of the request or later. Like queries about
// jobs, it waits for the mirror to reach an epoch read after the request arrived.
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

// answerRun responds with the state of a run, or with a conflict if the run has another document.
// record is nil if it can't be decoded. As for jobs (answer), nobody is told that a step is cancelled
// while a task of its job may still be launched.
func (s *Server) answerRun(query runQuery, record *pipelines.Record, status int, respond func(http1.Reply)) {
	if record != nil && query.checksum != "" && record.Checksum != query.checksum {
		respond(errorReply(http.StatusConflict, "another pipeline has this id"))
		return
	}
	if record != nil {
		run, ok := s.runs.StatusOf(query.id, record, s.state.NowMs(), runResources{s}, query.explain)
		if ok {
			if jobID, wait := s.acknowledgeCancelled(run.Steps); wait > 0 {
				s.holdAnswer(jobID, wait, func() { s.answerRun(query, record, status, respond) })
				return
			}
			respond(http1.Reply{Status: status, Body: run.Encode()})
			return
		}
	}
	respond(http1.Unavailable("this run's record can't be read by this version"))
}

// acknowledgeCancelled records that a user is about to be told that the jobs of cancelled steps are
// cancelled. It returns how long the response has to be held, and the job that it waits for. Once a
// cancelled job's record is gone, none of its tasks can be launched any more.
func (s *Server) acknowledgeCancelled(steps []pipelines.StepStatus) (awaited string, wait time.Duration) {
	for _, step := range steps {
		job := s.state.Jobs[step.JobID]
		if step.Status != pipelines.Cancelled || job == nil || job.Record == nil || job.Record.State != jobs.Cancelled {
			continue
		}
		cancelled := jobs.StoredState{State: jobs.Cancelled, DoneCount: job.Record.DoneCount}
		if jobWait := s.acknowledge(step.JobID, cancelled); jobWait > wait {
			awaited, wait = step.JobID, jobWait
		}
	}
	return awaited, wait
}

// submitRun handles a user's submission of a run. Submissions are idempotent: the response to a
// repeated submission of a run is the run's state.
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
	query := runQuery{id: request.ID, checksum: pipelines.Checksum(request.Document)}
	if record, quarantined := s.runs.Known(request.ID); record != nil || quarantined {
		s.showRun(query, respond)
		return
	}
	salt := fmt.Sprintf("%016x%016x", s.random.Uint64(), s.random.Uint64())
	change, err := s.runs.Accept(request, salt, s.state.NowMs(), runResources{s})
	if err != nil {
		s.refuseUnlessEnded(query, errorReply(http.StatusRequestEntityTooLarge, err.Error()), respond)
		return
	}
	if refusal := s.checkRun(request); refusal != nil {
		s.refuseUnlessEnded(query, *refusal, respond)
		return
	}
	s.acceptRun(query, change, respond)
}

// checkRun returns the response that refuses a run that can't be accepted, or nil if it can be.
func (s *Server) checkRun(request *pipelines.Request) *http1.Reply {
	if faults := request.Plan.FeasibilityFaults(runResources{s}.Infeasible); len(faults) > 0 {
		body := jobs.Encode(pipelines.Refusal{Error: "steps that can never run", Faults: faults})
		return &http1.Reply{Status: http.StatusUnprocessableEntity, Body: body}
	}
	if !s.runs.HasRoom(len(request.Plan.Steps)) {
		refusal := errorReply(http.StatusTooManyRequests, "too many runs are live")
		refusal.RetryAfter = tuning.RetryAfter
		return &refusal
	}
	return nil
}

// refuseUnlessEnded refuses a run, unless it was accepted earlier and has ended. Only an unknown
// run is refused: conditions may have changed since a known one was accepted.
func (s *Server) refuseUnlessEnded(query runQuery, refusal http1.Reply, respond func(http1.Reply)) {
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

// acceptRun commits a run together with the jobs of its first steps, on condition that none of
// these records exist.
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
			// The outcome may be unknown and is reported as not accepted; a repeated submission
			// finds out.
			respond(http1.Unavailable("try again"))
		}
	})
}

// cancelRun cancels a run in at most the given number of attempts. A concurrent change by the run's
// owner conflicts with the cancellation; if the owner's change wins, the cancellation is retried on
// the newer record.
func (s *Server) cancelRun(id string, attempts int, respond func(http1.Reply)) {
	if !s.view.MayDecide() {
		respond(http1.Unavailable("not able to cancel"))
		return
	}
	change := s.runs.CancelRun(id, s.state.Now, s.state.NowMs(), runResources{s})
	if change == nil { // ended, already being cancelled, or unknown
		s.showRun(runQuery{id: id}, respond)
		return
	}
	s.commits.Commit([]decide.Decision{s.runDecision(change, func(committed bool) {
		switch {
		case committed:
			for _, jobID := range change.Cancel {
				s.cancellations.Acknowledge(jobID) // cancelled together with the run
			}
			s.showRun(runQuery{id: id}, respond)
		case attempts > 1 && !s.commits.Busy(pipelines.RunPrefix+id):
			s.cancelRun(id, attempts-1, respond)
		default:
			respond(http1.Unavailable("try again"))
		}
	})})
}
