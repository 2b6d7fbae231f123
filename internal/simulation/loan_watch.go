package simulation

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/lending"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
)

// Loans is what is seen of loans in a simulation where GPUs are lent.
type Loans struct {
	sim    *Simulator
	specs  map[string]*jobs.Spec
	tasks  map[string]jobs.Task
	before map[string]jobs.Task // of this transaction, before it
	state  map[int]lending.State
	// On is called once when the first loan comes to a state, or a gang's first task gets
	// the command to stop ("told"), with a machine of it.
	On map[string]func(machine string)
	// Saved and Fell count gangs that were stopped with and without a save.
	Saved, Fell int
}

// WatchLoans checks at each commit that what stops for a loan leaves no other team below
// its guarantee, in accelerators, while it has work that waits or runs, and that gangs
// stop whole; and it has gangs save as the protocol says.
func (sim *Simulator) WatchLoans(guarantee map[string]float64) *Loans {
	lo := &Loans{
		sim:    sim,
		specs:  map[string]*jobs.Spec{},
		tasks:  map[string]jobs.Task{},
		before: map[string]jobs.Task{},
		state:  map[int]lending.State{},
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

// committed takes one write of a transaction.
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

// check checks what a transaction stopped for loans.
func (lo *Loans) check(guarantee map[string]float64) {
	for taskID, was := range lo.before {
		t := lo.tasks[taskID]
		if was.State != jobs.Stopping && t.State == jobs.Stopping && strings.HasPrefix(t.Reason, loanReasonPrefix) {
			lo.checkStopped(taskID, strings.TrimPrefix(t.Reason, loanReasonPrefix), guarantee)
		}
	}
}

// lendsPlaceTo begins the reason of a task that stops for a loan; the borrowing task follows.
const loanReasonPrefix = "lends its place to "

// checkStopped checks one task that a transaction stopped for a loan.
func (lo *Loans) checkStopped(taskID, borrowingTask string, guarantee map[string]float64) {
	jobID, _, _ := jobs.SplitTaskID(taskID)
	spec := lo.specs[jobID]
	borrower, _, _ := jobs.SplitTaskID(borrowingTask)
	if spec == nil || lo.specs[borrower] == nil {
		lo.sim.RuleBroken("%s lends to %s, of which there is no job", taskID, borrower)
		return
	}
	used := 0.0
	for other, o := range lo.tasks {
		id, _, _ := jobs.SplitTaskID(other)
		if s := lo.specs[id]; s != nil && s.Team == spec.Team && (o.State == jobs.Placed || o.State == jobs.Assigned) {
			used += s.Accelerators
		}
		if id == jobID && spec.IsGang() && o.State == jobs.Placed {
			lo.sim.RuleBroken("%s stops for a loan, %s of its gang does not", taskID, other)
		}
	}
	if spec.Team != lo.specs[borrower].Team && used < guarantee[spec.Team] {
		lo.sim.RuleBroken(
			"%s goes below its guarantee by a loan of %s: %v of %v",
			spec.Team,
			taskID,
			used,
			guarantee[spec.Team],
		)
	}
}

// Ledger lists the loans as stored, in order of their keys.
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
			lo.sim.RuleBroken("%s can't be read: %v", key, err)
		}
	}
	return out
}

// notifyStates calls what waits for a loan's state.
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

func (lo *Loans) notify(what, machine string) {
	if f := lo.On[strings.ReplaceAll(what, " ", "-")]; f != nil {
		delete(lo.On, strings.ReplaceAll(what, " ", "-"))
		lo.sim.After(0, func() { f(machine) })
	}
}
