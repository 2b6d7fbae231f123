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

// quotas holds a controller's state of the quota tree.
type quotas struct {
	teams map[string]quota.Team // from the platform's settings, by name
	// enabled is true if the operators have enabled quotas. Decisions are then conditional on the
	// revision of the quota tree.
	enabled       bool
	stored        *quota.Stored // the last tree that was read and fits the teams; nil until there is one
	unreadable    bool          // the tree in the state service is a later one, which was not read
	lastCheckedAt time.Time     // when tasks over a limit were last looked for
}

// ApplyQuota applies the quota tree from the mirror. If the tree can't be decoded or doesn't fit
// the platform's teams, it logs that, and nothing is decided by a quota until a tree is read again:
// every decision is conditional on the tree's revision, so it would hold for a tree that this
// controller doesn't know.
func (s *Server) ApplyQuota(value json.RawMessage) {
	if value == nil {
		return
	}
	stored, err := quota.Decode(value)
	if err != nil {
		s.log.Error("quota tree unreadable, no tasks are started", "error", err)
		s.suspendQuotas()
		return
	}
	tree, faults := quota.Build(&stored.Doc, s.quotas.teams, s.settings.Classes())
	for _, fault := range faults {
		s.log.Error("quota tree does not fit the teams, no tasks are started", "reason", fault)
	}
	if len(faults) > 0 {
		s.suspendQuotas()
		return
	}
	s.quotas.stored, s.quotas.unreadable = stored, false
	s.state.Account.Rebase(tree)
	s.log.Info("quota tree in force", "number", stored.Number, "nodes", len(tree.Paths()))
}

// suspendQuotas stops everything that depends on the quota tree.
func (s *Server) suspendQuotas() {
	s.quotas.unreadable = true
	s.state.Account.Suspend()
}

// ReconcileQuota writes the first tree from the operators' settings if there is none. Otherwise it
// stops tasks that are over a limit, once the grace period after the last change has passed. Only
// the leader may call it.
func (s *Server) ReconcileQuota() {
	if !s.quotas.enabled {
		return
	}
	if s.mirror.Revision(quota.StoreKey) == 0 {
		s.writeFirstQuota()
		return
	}
	if s.reclaimDue() {
		s.quotas.lastCheckedAt = s.state.Now
		s.commits.Commit(s.reclaimDecisions())
	}
}

// writeFirstQuota writes the tree from the operators' settings.
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

// reclaimDue reports whether it is time to look for tasks over a limit.
func (s *Server) reclaimDue() bool {
	stored := s.quotas.stored
	if stored == nil || s.quotas.unreadable || s.state.Now.Sub(s.quotas.lastCheckedAt) < tuning.ReclaimEvery {
		return false
	}
	return float64(s.state.NowMs()-stored.AtMs) >= stored.Doc.Grace()*1000
}

// reclaimDecisions returns the decisions that withdraw the tasks over a limit.
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

// QuotaSettled reports whether the quota tree that the next decisions depend on is known. It always
// is if quotas are disabled.
func (s *Server) QuotaSettled() bool {
	return !s.quotas.enabled || s.mirror.Revision(quota.StoreKey) != 0 && !s.quotas.unreadable
}

// quotaNumber returns the version number of the tree in force, or 0 if there is none.
func (s *Server) quotaNumber() int {
	if s.quotas.stored == nil {
		return 0
	}
	return s.quotas.stored.Number
}

// waitingByLeaf returns the number of waiting tasks for each leaf of the tree.
func (s *Server) waitingByLeaf() map[int]int {
	counts := map[int]int{}
	for _, job := range s.state.Queued {
		spec := &job.Record.Spec
		counts[s.state.QuotaLeaf(spec)] += spec.TaskCount - job.DoneCount - len(job.Active)
	}
	return counts
}
