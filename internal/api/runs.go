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
