package api

import (
	"encoding/json"
	"time"

	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/quotareclaim"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// quotas is what a node knows of the tree of quotas.
type quotas struct {
	teams map[string]quota.Team // the platform's
	// on: the operators turned the tree on, and decisions carry its stamp.
	on      bool
	stored  *quota.Stored // nil until one was read that fits
	checkAt time.Time     // last look at what is over a limit
}

// ApplyQuota takes a tree in. One that can't be read, or that doesn't fit the
// platform's teams, is told and the old one kept as a whole.
func (s *Server) ApplyQuota(value json.RawMessage) {
	if value == nil {
		return
	}
	stored, err := quota.Decode(value)
	if err != nil {
		s.log.Error("quota tree unreadable, kept the tree in force", "error", err)
		return
	}
	tree, faults := quota.Build(&stored.Doc, s.quotas.teams, s.settings.Classes())
	for _, fault := range faults {
		s.log.Error("quota tree does not fit the teams, kept the tree in force", "reason", fault)
	}
	if len(faults) > 0 {
		return
	}
	s.quotas.stored = stored
	s.state.Account.Rebase(tree)
	s.log.Info("quota tree in force", "number", stored.Number, "nodes", len(tree.Paths()))
}

// ReconcileQuota keeps the tree: the first leader writes the operators' file, and what
// is over a limit after a change is stopped once its grace is over.
func (s *Server) ReconcileQuota() {
	quotas := &s.quotas
	if !quotas.on {
		return
	}
	if s.mirror.Revision(quota.StoreKey) == 0 {
		if !s.commits.Busy(quota.StoreKey) {
			s.commits.Commit(
				[]decide.Decision{
					{
						Urgent: true,
						Writes: []store.Write{decide.Put(quota.StoreKey, quota.NewStored(1, s.state.NowMs(), *s.settings.Operator.Quotas))},
					},
				},
			)
		}
		return
	}
	if quotas.stored == nil || s.state.Now.Sub(quotas.checkAt) < tuning.ReclaimEvery ||
		float64(s.state.NowMs()-quotas.stored.AtMs) < quotas.stored.Doc.Grace()*1000 {
		return
	}
	quotas.checkAt = s.state.Now
	var decisions []decide.Decision
	for _, stop := range quotareclaim.Plan(s.state, s.state.Account, tuning.MaxReclaimStops) {
		reason := "quota of " + stop.Path + " was lowered"
		next, ok := jobs.Withdraw(stop.Task.Task, reason)
		if !ok || s.commits.Busy(stop.Task.Stored.Key) {
			continue
		}
		taskID := stop.Task.ID
		decisions = append(decisions, decide.Decision{Changes: decide.TransitionTask(stop.Task, next), OnSettled: func(ok bool) {
			if ok {
				s.log.Info("task stopped for its quota", "task_id", taskID, "reason", reason)
			}
		}})
	}
	s.commits.Commit(decisions)
}

// QuotaSettled tells whether the tree is known that the next decisions go by.
func (s *Server) QuotaSettled() bool {
	return !s.quotas.on || s.mirror.Revision(quota.StoreKey) != 0
}

func (s *Server) quotaNumber() int {
	if s.quotas.stored == nil {
		return 0
	}
	return s.quotas.stored.Number
}

// waitingByLeaf counts the tasks that wait.
func (s *Server) waitingByLeaf() map[int]int {
	counts := map[int]int{}
	for _, j := range s.state.Queued {
		counts[s.state.QuotaLeaf(&j.Record.Spec)] += j.Record.Spec.TaskCount - j.DoneCount - len(j.Active)
	}
	return counts
}
