package api

import (
	"errors"

	"github.com/harrierreel/harrierreel/internal/completion"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/pipelines"
	"github.com/harrierreel/harrierreel/internal/sharding"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// newRuns creates the pipelines.Keeper, which advances the pipeline runs, if the operators have
// enabled pipelines.
func (s *Server) newRuns() {
	options := s.settings.Operator.Pipelines
	if options == nil {
		return
	}
	s.runs = pipelines.NewKeeper(pipelines.Limits{
		Runs:       options.MaxRuns,
		Steps:      options.MaxRunSteps,
		ValueBytes: s.maxValueBytes(),
		TxnOps:     s.settings.Cluster.State.TxnOps,
	})
}

// UpdateRunBudget sets the rate at which runs may write to the state service: their share of this
// controller's part of the cluster's write budget. It is called for each new view.
func (s *Server) UpdateRunBudget() {
	if s.runs == nil {
		return
	}
	s.runs.OwnersChanged()
	size := s.settings.Cluster.Size
	if !s.view.OutsideView() {
		size = len(s.view.Members())
	}
	share := s.settings.Operator.Pipelines.WriteShare
	// clusterWrites is the number of writes per second that the runs of all controllers may use.
	clusterWrites := s.settings.Cluster.State.WriteRPS * tuning.StateBudgetShare * share
	s.runs.SetRate(s.state.Now, clusterWrites/float64(max(size, 1)))
}

// RunJobChanged notifies the pipelines.Keeper that the known state of a job has changed.
func (s *Server) RunJobChanged(jobID string) {
	if s.runs != nil {
		s.runs.JobChanged(jobID)
	}
}

// ReconcileRuns advances the runs that this controller owns. The event loop calls it last, after
// the decisions that rules of the protocol depend on have used the write budget they need.
func (s *Server) ReconcileRuns() {
	if s.runs == nil || s.view.OutsideView() || s.client.Unavailable() || s.commits.AwaitsFence() {
		return
	}
	members := s.view.Members()
	owned := func(id string) bool { return sharding.Owner(id, members) == s.settings.NodeName }
	busy := func(id string) bool { return s.commits.Busy(pipelines.RunPrefix + id) }
	hasBudget := func(ops int) bool { return s.client.Allows(0, ops) }
	changes, unknown := s.runs.Reconcile(s.state.Now, s.state.NowMs(), owned, busy, hasBudget, runResources{s})
	for _, jobID := range unknown {
		s.findRunJob(jobID)
	}
	var decisions []decide.Decision
	for i := range changes {
		decisions = append(decisions, s.runDecision(&changes[i], nil))
	}
	s.commits.Commit(decisions)
}

// findRunJob reads the state of a run's job that is not in this controller's memory.
func (s *Server) findRunJob(jobID string) {
	s.readJob(jobID, func(_ jobs.StoredState, err error) {
		if errors.Is(err, errNoJob) {
			s.runs.JobMissing(jobID)
		} else {
			s.runs.JobChanged(jobID)
		}
		s.loop.Wake()
	})
}

// runDecision returns the decision that commits a run's change: one transaction writes the run's
// record, accepts its new jobs and ends the ones to cancel. done, if set, is called when the
// decision is settled.
func (s *Server) runDecision(change *pipelines.Change, done func(committed bool)) decide.Decision {
	decision := decide.Decision{Urgent: change.Urgent, OnSettled: func(committed bool) {
		s.runs.Touch(change.ID)
		if done != nil {
			done(committed)
		}
	}}
	runKey, endedKey := pipelines.RunPrefix+change.ID, pipelines.EndedRunPrefix+change.ID
	if change.Ended {
		decision.Writes = append(decision.Writes, decide.Put(endedKey, change.Record), decide.Remove(runKey))
	} else {
		decision.Writes = append(decision.Writes, decide.Put(runKey, change.Record))
	}
	for i := range change.Submit {
		write, absent := s.acceptanceWrite(&change.Submit[i])
		decision.Writes = append(decision.Writes, write)
		decision.ReadSet = append(decision.ReadSet, absent)
	}
	for _, jobID := range change.Cancel {
		if job := s.state.Jobs[jobID]; job != nil && job.Record != nil {
			decision.Writes = append(decision.Writes, completion.FinalWrites(job, jobs.Cancelled, s.state.NowMs())...)
		}
	}
	for _, jobID := range change.RequireAbsent {
		decision.ReadSet = append(decision.ReadSet, jobs.JobPrefix+jobID, jobs.FinalPrefix+jobID)
	}
	return decision
}
