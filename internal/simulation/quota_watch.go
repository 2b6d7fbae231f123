package simulation

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
)

// ApplyQuota puts another tree in force, repeating until there is a final answer.
func (sim *Simulator) ApplyQuota(request quota.Apply, done func(status int, p quota.Preview)) {
	sim.request("POST", "/quota", jobs.Encode(request), func(status int, b []byte, err error) {
		if err != nil || status == 503 {
			sim.After(time.Second, func() { sim.ApplyQuota(request, done) })
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

// recordTasks is the tasks in a task range or a batch, none in what can't be read.
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
func (sim *Simulator) WatchQuotas(teams map[string]quota.Team, classes []string) (stops map[string]int) {
	q := &quotaWatch{
		sim:     sim,
		teams:   teams,
		classes: classes,
		stops:   map[string]int{},
		specs:   map[string]*jobs.Spec{},
		stopped: map[string]bool{},
		charged: map[string][]charge{},
		account: quota.NewAccount(quota.Flat(teams)),
	}
	q.before = q.account.Clone()
	sim.account = q.account
	sim.observe(q.committed, q.settled)
	return q.stops
}

// quotaWatch is what the records say of the use of quotas.
type quotaWatch struct {
	sim     *Simulator
	teams   map[string]quota.Team
	classes []string
	stops   map[string]int // by cause
	specs   map[string]*jobs.Spec
	stopped map[string]bool     // attempts that were counted in stops
	charged map[string][]charge // by record
	account *quota.Account
	before  *quota.Account // as of the transaction before
}

// committed takes one write of a transaction.
func (q *quotaWatch) committed(key string, v json.RawMessage) {
	switch {
	case key == quota.StoreKey:
		q.treeCommitted(v)
	case strings.HasPrefix(key, jobs.JobPrefix):
		jobID := key[len(jobs.JobPrefix):]
		if r, err := jobs.DecodeRecord(jobID, v); err == nil {
			q.specs[jobID] = &r.Spec
			return
		}
		q.forget(jobID)
	case strings.HasPrefix(key, jobs.TaskPrefix), strings.HasPrefix(key, taskbatch.KeyPrefix):
		q.tasksCommitted(key, v)
	}
}

// treeCommitted puts another tree in force.
func (q *quotaWatch) treeCommitted(v json.RawMessage) {
	s, err := quota.Decode(v)
	if err != nil {
		return // planted by a scenario
	}
	tree, faults := quota.Build(&s.Doc, q.teams, q.classes)
	if tree == nil {
		q.sim.RuleBroken("a tree with faults was put in force: %v", faults)
		return
	}
	q.account.Rebase(tree)
	q.before = q.account.Clone()
}

// forget takes back what a job is charged for. Its record goes when the last of its tasks
// has truly ended; what a task batch still says of it counts no more.
func (q *quotaWatch) forget(jobID string) {
	delete(q.specs, jobID)
	for key, charges := range q.charged {
		q.charged[key] = slices.DeleteFunc(charges, func(c charge) bool {
			if c.jobID == jobID {
				q.account.Charge(c.key, c.amount, -1)
			}
			return c.jobID == jobID
		})
	}
}

// tasksCommitted charges the tasks of a record, in place of what it held before.
func (q *quotaWatch) tasksCommitted(key string, v json.RawMessage) {
	for _, c := range q.charged[key] {
		q.account.Charge(c.key, c.amount, -1)
	}
	delete(q.charged, key)
	for _, e := range recordTasks(key, v) {
		spec := q.specs[e.JobID]
		if spec == nil {
			continue
		}
		if e.Task.Charged() {
			q.charged[key] = append(q.charged[key], charge{e.JobID, spec.QuotaKey(), spec.Amount()})
			q.account.Charge(spec.QuotaKey(), spec.Amount(), 1)
		}
		if e.Task.State == jobs.Stopping {
			q.countStop(jobs.TaskID(e.JobID, e.Index), e.Task)
		}
	}
}

// countStop counts an attempt that is stopped, once, by its cause.
func (q *quotaWatch) countStop(taskID string, t jobs.Task) {
	if t.Reason == "" {
		q.sim.RuleBroken("stopped without a cause: %s", taskID)
	}
	if key := attemptKey(taskID, t.Attempt); !q.stopped[key] {
		q.stopped[key] = true
		q.stops[t.Reason]++
	}
}

// settled checks the use after a transaction.
func (q *quotaWatch) settled() {
	for _, i := range q.account.Over() {
		if !q.before.Used(i).Covers(q.account.Used(i)) {
			q.sim.RuleBroken("quota: %s uses %s, more than its limit", q.account.Tree().Path(i), q.account.Used(i))
		}
	}
	q.before = q.account.Clone()
}
