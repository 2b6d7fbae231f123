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

// quotas is what a controller knows of the quota tree.
type quotas struct {
	teams map[string]quota.Team // the platform's
	// on: the operators turned the tree on, and decisions are conditional on its revision.
	on        bool
	stored    *quota.Stored // nil until one was read that fits the teams
	checkedAt time.Time     // last look at what is over a limit
}

// ApplyQuota applies the quota tree as the mirror shows it. One that can't be read, or that
// doesn't fit the platform's teams, is logged and the tree in force kept as a whole.
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

// ReconcileQuota writes the operators' file as the first tree, and stops what is over a limit
// once the grace period of a change is over. Only the leader may call it.
func (s *Server) ReconcileQuota() {
	if !s.quotas.on {
		return
	}
	if s.mirror.Revision(quota.StoreKey) == 0 {
		s.writeFirstQuota()
		return
	}
	if s.reclaimDue() {
		s.quotas.checkedAt = s.state.Now
		s.commits.Commit(s.reclaimDecisions())
	}
}

// writeFirstQuota writes the tree of the operators' file.
func (s *Server) writeFirstQuota() {
	if s.commits.Busy(quota.StoreKey) {
		return
	}
	first := quota.NewStored(1, s.state.NowMs(), *s.settings.Operator.Quotas)
	s.commits.Commit([]decide.Decision{{
		Urgent: true,
		Writes: []store.Write{decide.Put(quota.StoreKey, first)},
	}})
}

// reclaimDue reports whether to look for tasks over a limit.
func (s *Server) reclaimDue() bool {
	stored := s.quotas.stored
	if stored == nil || s.state.Now.Sub(s.quotas.checkedAt) < tuning.ReclaimEvery {
		return false
	}
	return float64(s.state.NowMs()-stored.AtMs) >= stored.Doc.Grace()*1000
}

// reclaimDecisions is the withdrawals of the tasks that are over a limit.
func (s *Server) reclaimDecisions() []decide.Decision {
	var decisions []decide.Decision
	for _, stop := range quotareclaim.Plan(s.state, s.state.Account, tuning.MaxReclaimStops) {
		reason := "quota of " + stop.Path + " was lowered"
		next, ok := jobs.Withdraw(stop.Task.Task, reason)
		if !ok || s.commits.Busy(stop.Task.StoredIn.Key) {
			continue
		}
		taskID := stop.Task.ID
		decisions = append(decisions, decide.Decision{
			Changes: decide.TransitionTask(stop.Task, next),
			OnSettled: func(committed bool) {
				if committed {
					s.log.Info("task stopped for its quota", "task_id", taskID, "reason", reason)
				}
			},
		})
	}
	return decisions
}

// QuotaSettled reports whether the tree is known that the next decisions go by.
func (s *Server) QuotaSettled() bool {
	return !s.quotas.on || s.mirror.Revision(quota.StoreKey) != 0
}

// quotaNumber is the number of the tree in force, 0 if there is none.
func (s *Server) quotaNumber() int {
	if s.quotas.stored == nil {
		return 0
	}
	return s.quotas.stored.Number
}

// waitingByLeaf counts the tasks that wait by leaf of the tree.
func (s *Server) waitingByLeaf() map[int]int {
	counts := map[int]int{}
	for _, job := range s.state.Queued {
		spec := &job.Record.Spec
		counts[s.state.QuotaLeaf(spec)] += spec.TaskCount - job.DoneCount - len(job.Active)
	}
	return counts
}
