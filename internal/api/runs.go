package api

import (
	"errors"
	"fmt"
	"strings"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/completion"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/pipelines"
	"github.com/harrierreel/harrierreel/internal/sharding"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// newRuns makes the keeper of runs, nil unless the operators turned them on.
func (s *Server) newRuns() {
	if p := s.settings.Operator.Pipelines; p != nil {
		s.runs = pipelines.NewKeeper(pipelines.Limits{
			Runs: p.MaxRuns, Steps: p.MaxSteps, ValueBytes: s.valueBytes(), TxnOps: s.settings.Cluster.State.TxnOps,
		})
	}
}

// RunBudget gives the runs their share of this node's changes.
func (s *Server) RunBudget() {
	if s.runs == nil {
		return
	}
	s.runs.OwnersChanged()
	size := s.settings.Cluster.Size
	if !s.view.OutsideView() {
		size = len(s.view.Members())
	}
	s.runs.SetRate(
		s.state.Now,
		s.settings.Cluster.State.WriteRPS*tuning.StateBudget*s.settings.Operator.Pipelines.ChangesShare/float64(
			max(size, 1),
		),
	)
}

// RunJobChanged tells the runs that something became known of a job.
func (s *Server) RunJobChanged(jobID string) {
	if s.runs != nil {
		s.runs.JobChanged(jobID)
	}
}

// ReconcileRuns moves the runs that this node owns. It comes last: what rules hang on
// has had its share of the changes.
func (s *Server) ReconcileRuns() {
	if s.runs == nil || s.view.OutsideView() || s.client.Unavailable() || s.commits.Fencing() {
		return
	}
	names := s.view.Members()
	owned := func(id string) bool { return sharding.Owner(id, names) == s.settings.NodeName }
	busy := func(id string) bool { return s.commits.Busy(pipelines.RunPrefix + id) }
	room := func(ops int) bool { return s.client.Allows(0, ops) }
	changes, missing := s.runs.Pass(s.state.Now, s.state.NowMs(), owned, busy, room, runResources{s})
	for _, jobID := range missing {
		s.readJob(jobID, func(_ jobs.Final, err error) {
			if errors.Is(err, errNoJob) {
				s.runs.JobMissing(jobID)
			} else {
				s.runs.JobChanged(jobID)
			}
			s.loop.Wake()
		})
	}
	var decisions []decide.Decision
	for i := range changes {
		decisions = append(decisions, s.runDecision(&changes[i], nil))
	}
	s.commits.Commit(decisions)
}

// runDecision is a run's change as a decision: the run's record, its jobs'
// acceptances and their ends are one transaction.
func (s *Server) runDecision(change *pipelines.Change, done func(bool)) decide.Decision {
	decision := decide.Decision{Urgent: change.Urgent, OnSettled: func(ok bool) {
		s.runs.Touch(change.ID)
		if done != nil {
			done(ok)
		}
	}}
	if change.Over {
		decision.Writes = append(decision.Writes, decide.Put(pipelines.RanPrefix+change.ID, change.Record), decide.Remove(pipelines.RunPrefix+change.ID))
	} else {
		decision.Writes = append(decision.Writes, decide.Put(pipelines.RunPrefix+change.ID, change.Record))
	}
	for i := range change.Submit {
		write, absent := s.acceptanceWrite(&change.Submit[i])
		decision.Writes, decision.ReadSet = append(decision.Writes, write), append(decision.ReadSet, absent)
	}
	for _, jobID := range change.Cancel {
		if job := s.state.Jobs[jobID]; job != nil && job.Record != nil {
			decision.Writes = append(decision.Writes, completion.FinalWrites(job, jobs.Cancelled, s.state.NowMs())...)
		}
	}
	for _, jobID := range change.Absent {
		decision.ReadSet = append(decision.ReadSet, jobs.JobPrefix+jobID, jobs.FinalPrefix+jobID)
	}
	return decision
}

// runResources is what the runs' keeper may ask.
type runResources struct{ server *Server }

func (r runResources) Job(jobID string) (pipelines.JobView, bool) {
	s := r.server
	job := s.state.Jobs[jobID]
	if job == nil || job.Record == nil {
		return pipelines.JobView{}, false
	}
	return pipelines.JobView{
		State:   job.Record.State,
		Running: job.PlacedCount,
		Done:    job.DoneCount,
		Probing: s.state.Trust(job, "") == jobs.Probing,
	}, true
}

func (r runResources) Why(jobID string) string {
	job := r.server.state.Jobs[jobID]
	if job == nil || job.Record == nil {
		return ""
	}
	reason, late := r.server.waitReason(job), r.server.missedDeadline(job)
	if reason != "" && late != "" {
		return reason + "; " + late
	}
	return reason + late
}

// waits says what a live job's tasks wait for, if they do.
func (s *Server) waitReason(job *clusterstate.Job) string {
	spec := &job.Record.Spec
	waiting := spec.TaskCount - job.PlacedCount - job.DoneCount
	if s.state.Trust(job, "") == jobs.Probing {
		return "its tasks failed on several machines; one is tried at a time"
	}
	if waiting <= 0 {
		return ""
	}
	if full := s.state.Account.Full(s.state.QuotaLeaf(spec), spec.Amount()); full != "" {
		return fmt.Sprintf("%d tasks wait: %s", waiting, full)
	}
	return fmt.Sprintf("%d tasks wait for room on a machine", waiting)
}

func (r runResources) Final(jobID string) (jobs.JobState, bool) {
	final, ok := r.server.finals.Get(jobID)
	return final.State, ok
}

func (r runResources) Judge(spec *jobs.Spec) string {
	if reason := jobs.CanEverRun(spec, r.server.state.Account.Tree(), r.server.state.MachineTypes); reason != "" {
		return reason
	}
	if record, _ := r.server.acceptanceWrite(spec); r.server.exceedsValueLimit(record) {
		return "its description is too long"
	}
	return ""
}

// pipelinesPath is where users' requests about runs go.
const pipelinesPath = "/pipelines"

func isPipelines(path string) bool {
	return path == pipelinesPath || strings.HasPrefix(path, pipelinesPath+"/")
}

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
