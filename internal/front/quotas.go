package front

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/reclaim"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
	"github.com/harrierreel/harrierreel/internal/wire"
)

// quotas is what a node knows of the tree of quotas.
type quotas struct {
	teams map[string]quota.Team // the platform's
	// on: the operators turned the tree on, and decisions carry its stamp.
	on     bool
	stored *quota.Stored // nil until one was read that fits
	lookAt time.Time     // last look at what is over a limit
}

// QuotaChanged takes a tree in. One that can't be read, or that doesn't fit the
// platform's teams, is told and the old one kept as a whole.
func (fr *Front) QuotaChanged(value json.RawMessage) {
	if value == nil {
		return
	}
	s, err := quota.Decode(value)
	if err != nil {
		fr.Log.Error("unreadable quotas set aside, the tree in force is kept", "error", err)
		return
	}
	tree, faults := quota.Build(&s.Doc, fr.quotas.teams, fr.Set.Classes())
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

// QuotaPass keeps the tree: the first leader writes the operators' file, and what
// is over a limit after a change is stopped once its grace is over.
func (fr *Front) QuotaPass() {
	q := &fr.quotas
	if !q.on {
		return
	}
	if fr.Mirror.Stamp(quota.StoreKey) == 0 {
		if !fr.Busy(quota.StoreKey) {
			fr.Commit([]decide.Decision{{Urgent: true, Writes: []store.Write{decide.Put(quota.StoreKey, quota.NewStored(1, fr.Ms(), *fr.Set.Operator.Quotas))}}})
		}
		return
	}
	if q.stored == nil || fr.Now.Sub(q.lookAt) < tuning.ReclaimEvery || float64(fr.Ms()-q.stored.AtMs) < q.stored.Doc.Grace()*1000 {
		return
	}
	q.lookAt = fr.Now
	var ds []decide.Decision
	for _, s := range reclaim.Plan(fr.Book, fr.Account, tuning.ReclaimMost) {
		why := "quota of " + s.Path + " was lowered"
		next, ok := jobs.Withdraw(s.Task.Task, why)
		if !ok || fr.Busy(s.Task.Slice.Key) {
			continue
		}
		piece := s.Task.Piece
		ds = append(ds, decide.Decision{Changes: decide.Become(s.Task, next), Done: func(ok bool) {
			if ok {
				fr.Log.Info("stops", "task", piece, "why", why)
			}
		}})
	}
	fr.Commit(ds)
}

// QuotaSettled tells whether the tree is known that the next decisions go by.
func (fr *Front) QuotaSettled() bool {
	return !fr.quotas.on || fr.Mirror.Stamp(quota.StoreKey) != 0
}

const quotaPath = "/quota"

// quotaRequest shows the tree or takes another one.
func (fr *Front) quotaRequest(m *wire.Message, respond func(wire.Reply)) {
	switch {
	case !fr.quotas.on:
		respond(wire.Reply{Status: 404, Body: wire.ErrorBody("no such path")})
	case m.Method == "GET":
		fr.afterEpoch(respond, func() {
			respond(wire.Reply{Status: 200, Body: quota.EncodeTree(fr.quotaNumber(), fr.Account.Show(fr.waitingByLeaf()))})
		})
	case method(m, "POST", respond):
		fr.applyQuota(m.Body, respond)
	}
}

func (fr *Front) quotaNumber() int {
	if fr.quotas.stored == nil {
		return 0
	}
	return fr.quotas.stored.Number
}

// waitingByLeaf counts the tasks that wait.
func (fr *Front) waitingByLeaf() map[int]int {
	out := map[int]int{}
	for _, j := range fr.Queued {
		out[fr.Leaf(&j.Rec.Spec)] += j.Rec.Spec.Pieces - j.Done - len(j.Active)
	}
	return out
}

// applyQuota puts another tree in force, or says what it would mean. The same
// document sent again, because the answer was lost, is answered as the first time.
func (fr *Front) applyQuota(body []byte, respond func(wire.Reply)) {
	a, tree, refusal := quota.ParseApply(body, fr.quotas.teams, fr.Set.Classes())
	if refusal != nil {
		respond(wire.Reply{Status: 400, Body: jobs.Encode(refusal)})
		return
	}
	if !fr.Able() || fr.quotas.stored == nil {
		respond(wire.Refuse("not able to decide"))
		return
	}
	if a.DryRun {
		account := fr.Account.On(tree)
		out := quota.Preview{Number: fr.quotaNumber(), Over: account.Excesses()}
		for _, s := range reclaim.Plan(fr.Book, account, tuning.MostFaults) {
			out.Stops = append(out.Stops, quota.PreviewStop{Task: s.Task.Piece, Path: s.Path})
		}
		respond(wire.Reply{Status: 200, Body: jobs.Encode(out)})
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
			respond(wire.Reply{Status: status, Body: jobs.Encode(quota.Preview{Number: stored.Number})})
			return
		}
		w := decide.Put(quota.StoreKey, quota.NewStored(stored.Number+1, fr.Ms(), a.Quotas))
		if len(w.Value) > fr.sliceLimit() {
			respond(wire.Reply{Status: 413, Body: wire.ErrorBody("the tree does not fit into one value of the state service")})
			return
		}
		t := store.Txn{If: []store.Cond{{Key: members.ViewKey, Stamp: fr.Mirror.Stamp(members.ViewKey)}, {Key: quota.StoreKey, Stamp: fr.Mirror.Stamp(quota.StoreKey)}}, Writes: []store.Write{w}}
		fr.Client.Multi(store.User, t, func(epoch uint64, _ []string, err error) {
			switch {
			case err == nil:
				fr.Mirror.Commit(t.Writes, epoch)
				respond(wire.Reply{Status: 200, Body: jobs.Encode(quota.Preview{Number: fr.quotaNumber()})})
			case errors.Is(err, store.ErrConflict):
				respond(wire.Refuse("another change came first; try again"))
			default:
				respond(wire.Refuse("state unavailable"))
			}
		})
	})
}
