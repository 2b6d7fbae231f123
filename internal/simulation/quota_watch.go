package simulation

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
)

// ApplyQuota puts another tree in force, repeating until there is a final answer.
func (w *Simulator) ApplyQuota(a quota.Apply, done func(status int, p quota.Preview)) {
	w.request("POST", "/quota", jobs.Encode(a), func(status int, b []byte, err error) {
		if err != nil || status == 503 {
			w.After(time.Second, func() { w.ApplyQuota(a, done) })
			return
		}
		var p quota.Preview
		_ = json.Unmarshal(b, &p)
		done(status, p)
	})
}

// charge is what a task in a record is charged for.
type charge struct {
	jobID  string
	key    quota.Key
	amount quota.Amount
}

// recordTasks is the tasks in a slice or a pack, none in what can't be read.
func recordTasks(key string, v json.RawMessage) []taskbatch.Entry {
	if strings.HasPrefix(key, taskbatch.KeyPrefix) {
		es, _ := taskbatch.Decode(v)
		return es
	}
	jobID, from, ok := jobs.SplitTaskID(strings.TrimPrefix(key, jobs.TaskPrefix))
	if !ok {
		return nil
	}
	tasks, _ := jobs.DecodeTaskRange(v)
	var es []taskbatch.Entry
	for i := range tasks {
		es = append(es, taskbatch.Entry{JobID: jobID, Index: from + i, Task: tasks[i]})
	}
	return es
}

// WatchQuotas checks, at each commit, that no node of the tree in the store uses
// more than its limit, unless it did so before the tree was put there, and then that
// its use does not grow; and that whatever is stopped has a cause. stops counts the
// causes.
func (w *Simulator) WatchQuotas(teams map[string]quota.Team, classes []string) (stops map[string]int) {
	stops = map[string]int{}
	specs := map[string]*jobs.Spec{}
	stopped := map[string]bool{}
	charged := map[string][]charge{} // by record
	account := quota.NewAccount(quota.Flat(teams))
	w.account = account
	next := w.Store.Committed
	take := func(key string, v json.RawMessage) {
		for _, c := range charged[key] {
			account.Charge(c.key, c.amount, -1)
		}
		delete(charged, key)
		for _, e := range recordTasks(key, v) {
			spec := specs[e.JobID]
			if spec == nil {
				continue
			}
			if e.Task.Charged() {
				charged[key] = append(charged[key], charge{e.JobID, spec.QuotaKey(), spec.Amount()})
				account.Charge(spec.QuotaKey(), spec.Amount(), 1)
			}
			if e.Task.State == jobs.Stopping {
				taskID := jobs.TaskID(e.JobID, e.Index)
				if e.Task.Reason == "" {
					w.Break("stopped without a cause: %s", taskID)
				}
				if attempt := fmt.Sprint(taskID, e.Task.Attempt); !stopped[attempt] {
					stopped[attempt] = true
					stops[e.Task.Reason]++
				}
			}
		}
	}
	before := account.Clone()
	w.Store.Committed = func(key string, v json.RawMessage) {
		if next != nil {
			next(key, v)
		}
		switch {
		case key == quota.StoreKey:
			if s, err := quota.Decode(v); err == nil {
				if tree, faults := quota.Build(&s.Doc, teams, classes); tree != nil {
					account.Rebase(tree)
					before = account.Clone()
				} else {
					w.Break("a tree with faults was put in force: %v", faults)
				}
			}
		case strings.HasPrefix(key, jobs.JobPrefix):
			jobID := key[len(jobs.JobPrefix):]
			if r, err := jobs.DecodeRecord(jobID, v); err == nil {
				specs[jobID] = &r.Spec
				return
			}
			// Its record goes when the last of its tasks has truly ended; what a
			// pack still says of it counts no more.
			delete(specs, jobID)
			for k, cs := range charged {
				charged[k] = slices.DeleteFunc(cs, func(c charge) bool {
					if c.jobID == jobID {
						account.Charge(c.key, c.amount, -1)
					}
					return c.jobID == jobID
				})
			}
		case strings.HasPrefix(key, jobs.TaskPrefix), strings.HasPrefix(key, taskbatch.KeyPrefix):
			take(key, v)
		}
	}
	settled := w.Store.Settled
	w.Store.Settled = func() {
		if settled != nil {
			settled()
		}
		for _, i := range account.Over() {
			if !before.Used(i).Covers(account.Used(i)) {
				w.Break("quota: %s uses %s, more than its limit", account.Tree().Path(i), account.Used(i))
			}
		}
		before = account.Clone()
	}
	return stops
}
