package simulation

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/lending"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
)

// Loans checks the rules for loans of GPUs on the records in the store, and reports their progress.
type Loans struct {
	sim    *Simulator
	specs  map[string]*jobs.Spec
	tasks  map[string]jobs.Task
	before map[string]jobs.Task // tasks that the current transaction writes, as before it
	states map[int]lending.State
	// On holds callbacks, called once with a machine of the loan when the first loan reaches a
	// state, or with the machine when the first task of a gang gets the command to stop ("told").
	On map[string]func(machine string)
	// StoppedSaved and StoppedUnsaved count gangs that stopped with and without saving their
	// progress.
	StoppedSaved, StoppedUnsaved int
}

// WatchLoans checks at each commit that tasks stopped for a loan to another team don't leave their
// team below its guarantee, in accelerators, and that gangs are stopped as a whole. It also makes
// gangs save their progress together, as the protocol says.
func (sim *Simulator) WatchLoans(guarantee map[string]float64) *Loans {
	lo := &Loans{
		sim:    sim,
		specs:  map[string]*jobs.Spec{},
		tasks:  map[string]jobs.Task{},
		before: map[string]jobs.Task{},
		states: map[int]lending.State{},
		On:     map[string]func(string){},
	}
	sim.Loans = lo
	sim.observe(lo.committed, func() {
		lo.check(guarantee)
		clear(lo.before)
		lo.notifyStates()
	})
	return lo
}

// committed handles one write of a transaction.
func (lo *Loans) committed(key string, v json.RawMessage) {
	switch {
	case strings.HasPrefix(key, jobs.JobPrefix):
		if r, err := jobs.DecodeRecord(key[len(jobs.JobPrefix):], v); err == nil {
			lo.specs[r.Spec.ID] = &r.Spec
		}
	case strings.HasPrefix(key, jobs.TaskPrefix), strings.HasPrefix(key, taskbatch.KeyPrefix):
		for _, e := range recordTasks(key, v) {
			taskID := jobs.TaskID(e.JobID, e.Index)
			if _, known := lo.before[taskID]; !known {
				lo.before[taskID] = lo.tasks[taskID]
			}
			lo.tasks[taskID] = e.Task
		}
	}
}

// check checks the tasks that a transaction stopped for loans.
func (lo *Loans) check(guarantee map[string]float64) {
	for taskID, was := range lo.before {
		t := lo.tasks[taskID]
		if was.State != jobs.Stopping && t.State == jobs.Stopping && strings.HasPrefix(t.Reason, loanReasonPrefix) {
			lo.checkStopped(taskID, strings.TrimPrefix(t.Reason, loanReasonPrefix), guarantee)
		}
	}
}

// loanReasonPrefix begins the reason of a task that stops for a loan; the ID of the borrowing task
// follows.
const loanReasonPrefix = "lends its place to "

// checkStopped checks one task that a transaction stopped for a loan.
func (lo *Loans) checkStopped(taskID, borrowingTask string, guarantee map[string]float64) {
	jobID, _, _ := jobs.SplitTaskID(taskID)
	spec := lo.specs[jobID]
	borrower, _, _ := jobs.SplitTaskID(borrowingTask)
	if spec == nil || lo.specs[borrower] == nil {
		lo.sim.ReportViolation("%s lends to %s, of which there is no job", taskID, borrower)
		return
	}
	used := 0.0
	for other, o := range lo.tasks {
		id, _, _ := jobs.SplitTaskID(other)
		if s := lo.specs[id]; s != nil && s.Team == spec.Team && (o.State == jobs.Placed || o.State == jobs.Assigned) {
			used += s.Accelerators
		}
		if id == jobID && spec.IsGang() && o.State == jobs.Placed {
			lo.sim.ReportViolation("%s stops for a loan, %s of its gang does not", taskID, other)
		}
	}
	if spec.Team != lo.specs[borrower].Team && used < guarantee[spec.Team] {
		lo.sim.ReportViolation(
			"%s goes below its guarantee by a loan of %s: %v of %v",
			spec.Team,
			taskID,
			used,
			guarantee[spec.Team],
		)
	}
}

// Ledger returns the stored loans, sorted by the keys of their records.
func (lo *Loans) Ledger() []lending.Loan {
	var keys []string
	for key := range lo.sim.Store.items {
		if strings.HasPrefix(key, lending.Prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	var out []lending.Loan
	for _, key := range keys {
		if s, err := lending.Decode(lo.sim.Store.Value(key)); err == nil {
			out = append(out, s.Loans...)
		} else {
			lo.sim.ReportViolation("%s can't be read: %v", key, err)
		}
	}
	return out
}

// notifyStates calls the callbacks for the current states of loans.
func (lo *Loans) notifyStates() {
	if len(lo.On) == 0 {
		return
	}
	for _, l := range lo.Ledger() {
		lo.notify(string(l.State), l.Machine)
		leaving := false
		for taskID, t := range lo.tasks {
			jobID, _, _ := jobs.SplitTaskID(taskID)
			leaving = leaving || t.Machine == l.Machine && t.State == jobs.Stopping && jobID == l.From[0].Job
		}
		if l.State == lending.Requested && !leaving {
			lo.notify(string(lending.Vacated), l.Machine)
		}
	}
}

// notify calls and removes the callback for a state; spaces in its name are written as hyphens.
func (lo *Loans) notify(state, machine string) {
	if f := lo.On[strings.ReplaceAll(state, " ", "-")]; f != nil {
		delete(lo.On, strings.ReplaceAll(state, " ", "-"))
		lo.sim.After(0, func() { f(machine) })
	}
}
