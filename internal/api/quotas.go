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
func (fr *Server) ApplyQuota(value json.RawMessage) {
	if value == nil {
		return
	}
	s, err := quota.Decode(value)
	if err != nil {
		fr.Log.Error("unreadable quotas set aside, the tree in force is kept", "error", err)
		return
	}
	tree, faults := quota.Build(&s.Doc, fr.quotas.teams, fr.Settings.Classes())
	for _, f := range faults {
		fr.Log.Error("quotas do not fit, the tree in force is kept", "fault", f)
	}
	if len(faults) > 0 {
		return
	}
	fr.quotas.stored = s
	fr.Account.Rebase(tree)
	fr.Log.Info("quotas in force", "number", s.Number, "nodes", len(tree.Paths()))
}

// ReconcileQuota keeps the tree: the first leader writes the operators' file, and what
// is over a limit after a change is stopped once its grace is over.
func (fr *Server) ReconcileQuota() {
	q := &fr.quotas
	if !q.on {
		return
	}
	if fr.Mirror.Revision(quota.StoreKey) == 0 {
		if !fr.Busy(quota.StoreKey) {
			fr.Commit(
				[]decide.Decision{
					{
						Urgent: true,
						Writes: []store.Write{decide.Put(quota.StoreKey, quota.NewStored(1, fr.NowMs(), *fr.Settings.Operator.Quotas))},
					},
				},
			)
		}
		return
	}
	if q.stored == nil || fr.Now.Sub(q.checkAt) < tuning.ReclaimEvery ||
		float64(fr.NowMs()-q.stored.AtMs) < q.stored.Doc.Grace()*1000 {
		return
	}
	q.checkAt = fr.Now
	var ds []decide.Decision
	for _, s := range quotareclaim.Plan(fr.State, fr.Account, tuning.MaxReclaimStops) {
		why := "quota of " + s.Path + " was lowered"
		next, ok := jobs.Withdraw(s.Task.Task, why)
		if !ok || fr.Busy(s.Task.Stored.Key) {
			continue
		}
		taskID := s.Task.ID
		ds = append(ds, decide.Decision{Changes: decide.TransitionTask(s.Task, next), OnSettled: func(ok bool) {
			if ok {
				fr.Log.Info("stops", "task", taskID, "why", why)
			}
		}})
	}
	fr.Commit(ds)
}

// QuotaSettled tells whether the tree is known that the next decisions go by.
func (fr *Server) QuotaSettled() bool {
	return !fr.quotas.on || fr.Mirror.Revision(quota.StoreKey) != 0
}

const quotaPath = "/quota"

// quotaRequest shows the tree or takes another one.
func (fr *Server) quotaRequest(m *http1.Message, respond func(http1.Reply)) {
	switch {
	case !fr.quotas.on:
		respond(http1.Reply{Status: 404, Body: http1.ErrorBody("no such path")})
	case m.Method == "GET":
		fr.afterEpoch(respond, func() {
			respond(http1.Reply{Status: 200, Body: quota.EncodeTree(fr.quotaNumber(), fr.Account.Show(fr.waitingByLeaf()))})
		})
	case method(m, "POST", respond):
		fr.applyQuota(m.Body, respond)
	}
}

func (fr *Server) quotaNumber() int {
	if fr.quotas.stored == nil {
		return 0
	}
	return fr.quotas.stored.Number
}

// waitingByLeaf counts the tasks that wait.
func (fr *Server) waitingByLeaf() map[int]int {
	out := map[int]int{}
	for _, j := range fr.Queued {
		out[fr.QuotaLeaf(&j.Record.Spec)] += j.Record.Spec.TaskCount - j.DoneCount - len(j.Active)
	}
	return out
}

// applyQuota puts another tree in force, or says what it would mean. The same
// document sent again, because the answer was lost, is answered as the first time.
func (fr *Server) applyQuota(body []byte, respond func(http1.Reply)) {
	a, tree, refusal := quota.ParseApply(body, fr.quotas.teams, fr.Settings.Classes())
	if refusal != nil {
		respond(http1.Reply{Status: 400, Body: jobs.Encode(refusal)})
		return
	}
	if !fr.MayDecide() || fr.quotas.stored == nil {
		respond(http1.Refuse("not able to decide"))
		return
	}
	if a.DryRun {
		account := fr.Account.On(tree)
		out := quota.Preview{Number: fr.quotaNumber(), Over: account.Excesses()}
		for _, s := range quotareclaim.Plan(fr.State, account, tuning.MaxFaults) {
			out.Stops = append(out.Stops, quota.PreviewStop{Task: s.Task.ID, Path: s.Path})
		}
		respond(http1.Reply{Status: 200, Body: jobs.Encode(out)})
		return
	}
	fr.afterEpoch(respond, func() {
		stored := fr.quotas.stored
		same := string(jobs.Encode(stored.Doc)) == string(jobs.Encode(a.Quotas))
		if same || a.Base != stored.Number {
			status := 409
			if same {
				status = 200
			}
			respond(http1.Reply{Status: status, Body: jobs.Encode(quota.Preview{Number: stored.Number})})
			return
		}
		w := decide.Put(quota.StoreKey, quota.NewStored(stored.Number+1, fr.NowMs(), a.Quotas))
		if len(w.Value) > fr.valueBytes() {
			respond(http1.Reply{Status: 413, Body: http1.ErrorBody("the tree does not fit into one value of the state service")})
			return
		}
		t := store.Txn{
			Preconditions: []store.Precondition{
				{Key: members.ViewKey, Revision: fr.Mirror.Revision(members.ViewKey)},
				{Key: quota.StoreKey, Revision: fr.Mirror.Revision(quota.StoreKey)},
			},
			Writes: []store.Write{w},
		}
		fr.Client.Commit(store.PriorityUser, t, func(epoch uint64, _ []string, err error) {
			switch {
			case err == nil:
				fr.Mirror.ApplyCommit(t.Writes, epoch)
				respond(http1.Reply{Status: 200, Body: jobs.Encode(quota.Preview{Number: fr.quotaNumber()})})
			case errors.Is(err, store.ErrConflict):
				respond(http1.Refuse("another change came first; try again"))
			default:
				respond(http1.Refuse("state unavailable"))
			}
		})
	})
}
