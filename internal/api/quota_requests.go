package api

import (
	"errors"

	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/quotareclaim"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

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
