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

// ApplyQuota applies a quota tree, repeating until there is an answer other than 503, with which it
// calls done.
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

// charge is the amount that a recorded task is charged to a quota.
type charge struct {
	jobID  string
	key    quota.Key
	amount quota.Amount
}

// recordTasks returns the tasks in a task range or a batch record, none if it can't be decoded.
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

// WatchQuotas checks at each commit that no node of the quota tree in force exceeds its limit; a
// node over its limit since before the tree was applied may not increase its usage. It also checks
// that every stopped task has a cause. The returned map counts stops by cause.
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

// quotaWatch checks the rules for quotas on the records in the store.
type quotaWatch struct {
	sim     *Simulator
	teams   map[string]quota.Team
	classes []string
	stops   map[string]int // count by cause
	specs   map[string]*jobs.Spec
	stopped map[string]bool     // keys of attempts that are counted in stops
	charged map[string][]charge // by key of the record
	account *quota.Account
	before  *quota.Account // before the current transaction
}

// committed handles one write of a transaction.
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

// treeCommitted adopts a tree that was put in force.
func (q *quotaWatch) treeCommitted(v json.RawMessage) {
	s, err := quota.Decode(v)
	if err != nil {
		return // unreadable record written by a scenario
	}
	tree, faults := quota.Build(&s.Doc, q.teams, q.classes)
	if tree == nil {
		q.sim.ReportViolation("a tree with faults was put in force: %v", faults)
		return
	}
	q.account.Rebase(tree)
	q.before = q.account.Clone()
}

// forget removes the charges of a job whose record was deleted. That happens once its last task has
// actually ended; entries for it in task batches no longer count.
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

// tasksCommitted replaces the charges of a record by those of its current tasks.
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

// countStop counts each stopped attempt once, by its cause.
func (q *quotaWatch) countStop(taskID string, t jobs.Task) {
	if t.Reason == "" {
		q.sim.ReportViolation("stopped without a cause: %s", taskID)
	}
	if key := attemptKey(taskID, t.Attempt); !q.stopped[key] {
		q.stopped[key] = true
		q.stops[t.Reason]++
	}
}

// settled checks the usage after a transaction.
func (q *quotaWatch) settled() {
	for _, i := range q.account.NodesOverLimit() {
		if !q.before.Used(i).Covers(q.account.Used(i)) {
			q.sim.ReportViolation("quota: %s uses %s, more than its limit", q.account.Tree().Path(i), q.account.Used(i))
		}
	}
	q.before = q.account.Clone()
}
