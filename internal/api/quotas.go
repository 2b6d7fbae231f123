package api

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
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

const quotaPath = "/quota"

// quotaRequest shows the tree or takes another one.
func (s *Server) quotaRequest(m *http1.Message, respond func(http1.Reply)) {
	switch {
	case !s.quotas.on:
		respond(http1.Reply{Status: 404, Body: http1.ErrorBody("no such path")})
	case m.Method == "GET":
		s.afterEpoch(respond, func() {
			respond(http1.Reply{Status: 200, Body: quota.EncodeTree(s.quotaNumber(), s.state.Account.Show(s.waitingByLeaf()))})
		})
	case requireMethod(m, "POST", respond):
		s.applyQuota(m.Body, respond)
	}
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

// applyQuota puts another tree in force, or says what it would mean. The same
// document sent again, because the answer was lost, is answered as the first time.
func (s *Server) applyQuota(body []byte, respond func(http1.Reply)) {
	request, tree, refusal := quota.ParseApply(body, s.quotas.teams, s.settings.Classes())
	if refusal != nil {
		respond(http1.Reply{Status: 400, Body: jobs.Encode(refusal)})
		return
	}
	if !s.view.MayDecide() || s.quotas.stored == nil {
		respond(http1.Refuse("not able to decide"))
		return
	}
	if request.DryRun {
		account := s.state.Account.On(tree)
		preview := quota.Preview{Number: s.quotaNumber(), Over: account.Excesses()}
		for _, stop := range quotareclaim.Plan(s.state, account, tuning.MaxFaults) {
			preview.Stops = append(preview.Stops, quota.PreviewStop{Task: stop.Task.ID, Path: stop.Path})
		}
		respond(http1.Reply{Status: 200, Body: jobs.Encode(preview)})
		return
	}
	s.afterEpoch(respond, func() {
		stored := s.quotas.stored
		same := string(jobs.Encode(stored.Doc)) == string(jobs.Encode(request.Quotas))
		if same || request.Base != stored.Number {
			status := 409
			if same {
				status = 200
			}
			respond(http1.Reply{Status: status, Body: jobs.Encode(quota.Preview{Number: stored.Number})})
			return
		}
		write := decide.Put(quota.StoreKey, quota.NewStored(stored.Number+1, s.state.NowMs(), request.Quotas))
		if len(write.Value) > s.valueBytes() {
			respond(http1.Reply{Status: 413, Body: http1.ErrorBody("the tree does not fit into one value of the state service")})
			return
		}
		txn := store.Txn{
			Preconditions: []store.Precondition{
				{Key: members.ViewKey, Revision: s.mirror.Revision(members.ViewKey)},
				{Key: quota.StoreKey, Revision: s.mirror.Revision(quota.StoreKey)},
			},
			Writes: []store.Write{write},
		}
		s.client.Commit(store.PriorityUser, txn, func(epoch uint64, _ []string, err error) {
			switch {
			case err == nil:
				s.mirror.ApplyCommit(txn.Writes, epoch)
				respond(http1.Reply{Status: 200, Body: jobs.Encode(quota.Preview{Number: s.quotaNumber()})})
			case errors.Is(err, store.ErrConflict):
				respond(http1.Refuse("another change came first; try again"))
			default:
				respond(http1.Refuse("state unavailable"))
			}
		})
	})
}
