package api

import (
	"errors"
	"fmt"
	"strings"

	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/pipelines"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// pipelineRequest takes a user's request about runs.
func (s *Server) pipelineRequest(m *http1.Message, path string, respond func(http1.Reply)) {
	if s.runs == nil {
		respond(http1.Reply{Status: 404, Body: http1.ErrorBody("no such path")})
		return
	}
	if path == pipelinesPath {
		if requireMethod(m, "POST", respond) {
			s.acceptRun(m.Body, respond)
		}
		return
	}
	id, verb, _ := strings.Cut(strings.TrimPrefix(path, pipelinesPath+"/"), "/")
	switch {
	case !pipelines.ValidID(id):
		respond(http1.Reply{Status: 404, Body: http1.ErrorBody("no such run")})
	case verb == "" || verb == "explain":
		if requireMethod(m, "GET", respond) {
			s.showRun(id, 200, verb != "", "", respond)
		}
	case verb == "abort":
		if requireMethod(m, "POST", respond) {
			s.abortRun(id, tuning.CancelAttempts, respond)
		}
	default:
		respond(http1.Reply{Status: 404, Body: http1.ErrorBody("no such path")})
	}
}

// showRun answers with a run's state as it is after the request came: like
// users' polls, it waits for the mirror to get there. sum, if given, is that of
// the document which the run must have.
func (s *Server) showRun(id string, status int, explain bool, sum string, respond func(http1.Reply)) {
	s.afterEpoch(respond, func() {
		if record, quarantined := s.runs.Known(id); record != nil || quarantined {
			s.answerRun(id, record, status, explain, sum, respond)
			return
		}
		s.client.Get(store.PriorityUser, pipelines.RanPrefix+id, nil, func(item *store.Item, err error) {
			switch {
			case err != nil:
				respond(http1.Refuse("state unavailable"))
			case item == nil:
				respond(http1.Reply{Status: 404, Body: http1.ErrorBody("no such run")})
			default:
				record, _ := pipelines.Decode(item.Value)
				s.answerRun(id, record, status, explain, sum, respond)
			}
		})
	})
}

func (s *Server) answerRun(
	id string,
	record *pipelines.Record,
	status int,
	explain bool,
	sum string,
	respond func(http1.Reply),
) {
	if record != nil && sum != "" && record.Sum != sum {
		respond(http1.Reply{Status: 409, Body: http1.ErrorBody("another pipeline has this id")})
		return
	}
	if record != nil {
		if runStatus, ok := s.runs.StatusOf(id, record, s.state.NowMs(), runResources{s}, explain); ok {
			respond(http1.Reply{Status: status, Body: runStatus.Encode()})
			return
		}
	}
	respond(http1.Refuse("this run's record can't be read by this version"))
}

// acceptRun accepts a run, with the jobs of its first steps.
func (s *Server) acceptRun(body []byte, respond func(http1.Reply)) {
	request, refusal := pipelines.ParseRequest(body)
	if refusal != nil {
		respond(http1.Reply{Status: 400, Body: jobs.Encode(refusal)})
		return
	}
	if !s.view.MayDecide() || len(s.state.MachineTypes) == 0 {
		respond(http1.Refuse("not able to accept"))
		return
	}
	sum := pipelines.Sum(request.Doc)
	known := func() { s.showRun(request.ID, 200, false, sum, respond) }
	if record, quarantined := s.runs.Known(request.ID); record != nil || quarantined {
		known()
		return
	}
	change, err := s.runs.Accept(
		request,
		fmt.Sprintf("%016x%016x", s.random.Uint64(), s.random.Uint64()),
		s.state.NowMs(),
		runResources{s},
	)
	// Only an unknown run is judged: what made it acceptable may have changed since.
	unknown := func(reply http1.Reply) {
		s.client.Get(store.PriorityUser, pipelines.RanPrefix+request.ID, nil, func(item *store.Item, err error) {
			switch {
			case err != nil:
				respond(http1.Refuse("state unavailable"))
			case item != nil:
				known()
			default:
				respond(reply)
			}
		})
	}
	if err != nil {
		unknown(http1.Reply{Status: 413, Body: http1.ErrorBody(err.Error())})
		return
	}
	if faults := request.Plan.Judge(runResources{s}.Judge); len(faults) > 0 {
		unknown(
			http1.Reply{Status: 422, Body: jobs.Encode(pipelines.Refusal{Error: "steps that can never run", Faults: faults})},
		)
		return
	}
	if !s.runs.Room(len(request.Plan.Steps)) {
		unknown(http1.Reply{Status: 429, Body: http1.ErrorBody("too many runs are live"), RetryAfter: tuning.RetryAfter})
		return
	}
	decision := s.runDecision(change, nil)
	txn := store.Txn{Writes: decision.Writes}
	for _, key := range append(decision.Keys(), decision.ReadSet...) {
		txn.Preconditions = append(txn.Preconditions, store.Precondition{Key: key})
	}
	txn.Preconditions = append(
		txn.Preconditions,
		store.Precondition{Key: pipelines.RanPrefix + request.ID},
		store.Precondition{Key: members.ViewKey, Revision: s.mirror.Revision(members.ViewKey)},
	)
	s.client.Commit(store.PriorityUser, txn, func(epoch uint64, failed []string, err error) {
		switch {
		case err == nil:
			s.mirror.ApplyCommit(txn.Writes, epoch)
			record, _ := s.runs.Known(request.ID)
			s.answerRun(request.ID, record, 201, false, "", respond)
		case errors.Is(err, store.ErrConflict) && len(failed) > 0 && failed[0] != members.ViewKey:
			known()
		default:
			// Unknown counts as not accepted; a repeat finds out.
			respond(http1.Refuse("try again"))
		}
	})
}

// abortRun cancels a run. What the run's owner changes meanwhile fails or makes
// this fail; then it is tried again from the newer record.
func (s *Server) abortRun(id string, attempts int, respond func(http1.Reply)) {
	if !s.view.MayDecide() {
		respond(http1.Refuse("not able to cancel"))
		return
	}
	change := s.runs.CancelRun(id, s.state.Now, s.state.NowMs(), runResources{s})
	if change == nil { // over, being cancelled, or unknown
		s.showRun(id, 200, false, "", respond)
		return
	}
	s.commits.Commit([]decide.Decision{s.runDecision(change, func(ok bool) {
		switch {
		case ok:
			for _, jobID := range change.Cancel {
				s.cancellations.Acknowledge(jobID) // with the run
			}
			s.showRun(id, 200, false, "", respond)
		case attempts > 1 && !s.commits.Busy(pipelines.RunPrefix+id):
			s.abortRun(id, attempts-1, respond)
		default:
			respond(http1.Refuse("try again"))
		}
	})})
}
