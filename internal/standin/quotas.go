package standin

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
)

// ApplyQuota puts another tree in force, repeating until there is a final answer.
func (w *World) ApplyQuota(a quota.Apply, done func(status int, p quota.Preview)) {
	w.ask("POST", "/quota", jobs.Encode(a), func(status int, b []byte, err error) {
		if err != nil || status == 503 {
			w.After(time.Second, func() { w.ApplyQuota(a, done) })
			return
		}
		var p quota.Preview
		_ = json.Unmarshal(b, &p)
		done(status, p)
	})
}

// WatchQuotas checks, at each commit, that no node of the tree in the store uses
// more than its limit, unless it did so before the tree was put there, and then that
// its use does not grow; and that whatever is stopped has a cause. stops counts the
// causes.
func (w *World) WatchQuotas(teams map[string]quota.Team, classes []string) (stops map[string]int) {
	stops = map[string]int{}
	specs := map[string]*jobs.Spec{}
	stopped := map[string]bool{}
	charged := map[string]map[string]quota.Key{} // slice to its charged pieces
	account := quota.NewAccount(quota.Flat(teams))
	next := w.Store.Committed
	slice := func(key string, v json.RawMessage) {
		uid, from, ok := jobs.SplitPiece(key)
		if !ok || specs[uid] == nil {
			return
		}
		a := specs[uid].Amount()
		for _, k := range charged[key] {
			account.Charge(k, a, -1)
		}
		charged[key] = map[string]quota.Key{}
		tasks, err := jobs.DecodeSlice(v)
		if v == nil || err != nil {
			delete(charged, key)
			return
		}
		for i, t := range tasks {
			if t.Charged() {
				charged[key][jobs.Piece(uid, from+i)] = specs[uid].Key()
				account.Charge(specs[uid].Key(), a, 1)
			}
			if t.State == jobs.Stopping {
				if t.Why == "" {
					w.Break("stopped without a cause: %s", jobs.Piece(uid, from+i))
				}
				if attempt := fmt.Sprint(jobs.Piece(uid, from+i), t.Try); !stopped[attempt] {
					stopped[attempt] = true
					stops[t.Why]++
				}
			}
		}
	}
	w.Store.Committed = func(key string, v json.RawMessage) {
		if next != nil {
			next(key, v)
		}
		before := account.Clone()
		switch {
		case key == quota.StoreKey:
			if s, err := quota.Decode(v); err == nil {
				if tree, faults := quota.Build(&s.Doc, teams, classes); tree != nil {
					account.Rebase(tree)
				} else {
					w.Break("a tree with faults was put in force: %v", faults)
				}
			}
			return
		case len(key) > 4 && key[:4] == jobs.JobPrefix:
			if r, err := jobs.DecodeRecord(key[4:], v); err == nil {
				specs[key[4:]] = &r.Spec
			}
			return
		case len(key) > 5 && key[:5] == jobs.TaskPrefix:
			slice(key[5:], v)
		default:
			return
		}
		for _, i := range account.Over() {
			if !before.Used(i).Covers(account.Used(i)) {
				w.Break("quota: %s uses %s, more than its limit", account.Tree().Path(i), account.Used(i))
			}
		}
	}
	return stops
}
