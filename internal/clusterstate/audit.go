package clusterstate

import (
	"fmt"
	"math"
	"slices"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/sharding"
)

// Audit recomputes incrementally maintained indexes and counts from the records and returns a
// description of each difference. Scenarios and the snapshot check run it; live controllers do
// not, because it visits the whole state.
func (s *State) Audit() []string {
	a := audit{
		state:   s,
		used:    map[string]sharding.Resources{},
		account: quota.NewAccount(s.Account.Tree()),
	}
	for _, j := range s.Jobs {
		a.checkTaskRanges(j)
		a.checkTasks(j)
		a.checkJob(j)
	}
	if a.placedByPriority != s.PlacedByPriority {
		a.report("%v tasks on machines by priority, kept %v", a.placedByPriority, s.PlacedByPriority)
	}
	a.countReservations()
	a.checkUsages()
	a.checkAccount()
	return a.findings
}

// audit is the state of a running Audit.
type audit struct {
	state            *State
	findings         []string
	used             map[string]sharding.Resources // by machine
	account          *quota.Account
	placedByPriority [jobs.Priorities]int
}

func (a *audit) report(format string, args ...any) {
	a.findings = append(a.findings, fmt.Sprintf(format, args...))
}

func (a *audit) allocate(machine string, need sharding.Resources) {
	a.used[machine] = a.used[machine].Add(need)
}

// checkTaskRanges checks that each task of the job's task ranges is listed under its index.
func (a *audit) checkTaskRanges(j *Job) {
	for _, record := range j.Ranges {
		for i, t := range record.Tasks {
			index := record.FirstIndex + i
			if j.Tasks[index] != t || t.StoredIn != record || t.Index != index {
				a.report("%s: task %d is not where its task range has it", j.ID, index)
			}
		}
	}
}

// checkTasks checks that the record of each task lists it, and compares the job's counts with its
// tasks.
func (a *audit) checkTasks(j *Job) {
	doneCount, placedCount, activeCount := 0, 0, 0
	for index, t := range j.Tasks {
		if t.Index != index || t.Job != j || !a.isStored(t) {
			a.report("%s: task %d is not in its record %s", j.ID, index, t.StoredIn.Key)
		}
		switch {
		case t.OnMachine():
			placedCount++
			if j.Record != nil {
				a.placedByPriority[j.Record.Spec.PriorityOrder()]++
			}
			a.allocate(t.Machine, t.Resources)
		case t.holdsPreference():
			a.allocate(t.PreferredMachine, t.Resources)
		case t.State == jobs.Finished:
			doneCount++
		}
		if t.countsAsActive() {
			activeCount++
		}
	}
	if doneCount != j.DoneCount || placedCount != j.PlacedCount || activeCount != len(j.Active) {
		a.report("%s: %d done, %d on machines, %d active; kept %d, %d, %d",
			j.ID, doneCount, placedCount, activeCount, j.DoneCount, j.PlacedCount, len(j.Active))
	}
	if j.Record != nil {
		a.account.Charge(j.Record.Spec.QuotaKey(), j.Record.Spec.Amount(), activeCount)
	}
}

// isStored reports whether a task's record lists the task and, if it is a batch record, is in
// State.Batches.
func (a *audit) isStored(t *Task) bool {
	record := t.StoredIn
	return slices.Contains(record.Tasks, t) && (!record.IsBatch() || a.state.Batches[record.Key] == record)
}

// checkJob checks that a job is in State.Closed if and only if it has ended.
func (a *audit) checkJob(j *Job) {
	if j.Record == nil {
		return
	}
	live, closed := j.Record.State == jobs.Live, a.state.Closed[j.ID] != nil
	if live == closed {
		a.report("%s: live %v, but closed %v", j.ID, live, closed)
	}
}

// countReservations adds the resources and quota charges of the reservations.
func (a *audit) countReservations() {
	for _, r := range a.state.Reservations {
		a.allocate(r.Machine, r.Resources)
		if r.QuotaKey.Team != "" {
			a.account.Charge(r.QuotaKey, r.Amount, 1)
		}
	}
}

// checkUsages compares the usages of the machines with the recomputed ones.
func (a *audit) checkUsages() {
	for machine, usage := range a.state.Usages {
		if !approxEqual(a.used[machine], usage.Resources) {
			a.report("%s: %v used, kept %v", machine, a.used[machine], usage.Resources)
		}
		delete(a.used, machine)
	}
	for machine, used := range a.used {
		if used != (sharding.Resources{}) {
			a.report("%s: %v used, none kept", machine, used)
		}
	}
}

// checkAccount compares the charges of the quota tree's nodes with the recomputed ones.
func (a *audit) checkAccount() {
	maintained := a.state.Account
	for i, path := range maintained.Tree().Paths() {
		if a.account.Used(i) != maintained.Used(i) {
			a.report("node %q: %s charged, kept %s", path, a.account.Used(i), maintained.Used(i))
		}
	}
}

// approxEqual reports whether two amounts of resources are equal up to rounding errors.
func approxEqual(a, b sharding.Resources) bool {
	const tolerance = 1e-6
	return math.Abs(a.Cores-b.Cores) < tolerance &&
		math.Abs(a.Accelerators-b.Accelerators) < tolerance &&
		math.Abs(a.MemoryGB-b.MemoryGB) < tolerance
}
