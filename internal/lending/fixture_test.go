package lending

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// maxTaskRangeBytes is larger than any record in these tests.
const maxTaskRangeBytes = 1 << 20

// loanFixture is a small fleet with its records. Decisions are committed at once.
type loanFixture struct {
	state   *clusterstate.State
	ledger  *Ledger
	records map[string]json.RawMessage
	began   map[int]Loan    // by ID, as first seen
	ended   map[int]Loan    // by ID, once over
	closed  map[string]bool // job classes that may not start tasks
}

// Busy returns false, since no transaction is pending between steps.
func (f *loanFixture) Busy(string) bool { return false }

// MayBegin reports whether the window of a job's class is open.
func (f *loanFixture) MayBegin(spec *jobs.Spec) bool { return !f.closed[spec.Class] }

// Ready reports whether a machine is up.
func (f *loanFixture) Ready(machine *clusterstate.Machine) bool { return isUp(machine) }

// FitsElsewhere returns false: no replica fits on another machine.
func (f *loanFixture) FitsElsewhere(*clusterstate.Task) bool { return false }

var teams = map[string]quota.Team{
	"serve": {Name: "serve", Guaranteed: quota.NewAmount(0, 6, 0)},
	"train": {Name: "train", Guaranteed: quota.NewAmount(0, 4, 0)},
	"batch": {Name: "batch", Guaranteed: quota.NewAmount(0, 2, 0)},
}

// failer is implemented by *testing.T and *rapid.T.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

func allWait(string) bool  { return true }
func noneWait(string) bool { return false }

func newLoanFixture(machines int) *loanFixture {
	f := &loanFixture{
		state:   clusterstate.New(quota.Flat(teams), func(string) {}),
		records: map[string]json.RawMessage{},
		began:   map[int]Loan{},
		ended:   map[int]Loan{},
		closed:  map[string]bool{},
	}
	f.state.Now = time.UnixMilli(1_000_000)
	f.state.MachineTypes["g4"] = &jobs.MachineType{
		Name:         "g4",
		Cores:        32,
		Accelerators: 4,
		MemoryGB:     256,
		CacheGB:      100,
		ImageGBPerS:  1,
		BootS:        20,
	}
	for i := range machines {
		f.setMachine(i, fleet.Up)
	}
	f.changeLeader()
	return f
}

func machineName(i int) string { return fmt.Sprintf("i-%d", i) }

func isUp(machine *clusterstate.Machine) bool { return machine.State == fleet.Up }

// setMachine writes a machine's record.
func (f *loanFixture) setMachine(i int, state fleet.State) {
	_ = f.state.ApplyMachine(machineName(i), "n0", jobs.Encode(fleet.MachineRecord{
		State:       state,
		MachineType: "g4",
		Zone:        string(rune('a' + i%2)),
	}))
}

// changeLeader replaces the ledger by that of a new leader, which knows only the records.
func (f *loanFixture) changeLeader() {
	f.ledger = NewLedger(f.state,
		Config{
			ValueBytes:  8192,
			RepeatAfter: tuning.LendInterval,
			Log:         slog.New(slog.DiscardHandler),
		},
		Collaborators{Transactions: f, Calendar: f, Placement: f},
	)
	for _, key := range clusterstate.SortedKeys(f.records) {
		f.ledger.ApplyRecord(key, f.records[key])
	}
}

// job adds a job. Its first tasks are placed on the given machines; the others wait.
func (f *loanFixture) job(
	jobID, team, kind, priority, image string,
	accelerators float64,
	taskCount int,
	machines ...string,
) *clusterstate.Job {
	spec := jobs.Spec{
		ID:                jobID,
		Class:             kind,
		Team:              team,
		Kind:              kind,
		Priority:          priority,
		TaskCount:         taskCount,
		Cores:             1,
		Accelerators:      accelerators,
		MemoryGB:          1,
		Image:             image,
		ImageGB:           20,
		ExpectedDurationS: 600,
	}
	if kind == jobs.Gang {
		spec.CheckpointIntervalS, spec.CheckpointTimeS = 20, 3
	}
	_ = f.state.ApplyJob(jobID, jobs.Encode(jobs.Record{State: jobs.Live, AcceptedMs: 1, Spec: spec}))
	var tasks []jobs.Task
	for _, machine := range machines {
		tasks = append(tasks, jobs.Task{
			State:   jobs.Placed,
			Machine: machine,
			Zone:    f.state.Machines[machine].Zone,
			Attempt: 1,
		})
	}
	if len(tasks) > 0 {
		_, _ = f.state.ApplyTaskRange(jobs.TaskRangeKey(jobID, 0), jobs.EncodeTaskRange(tasks, maxTaskRangeBytes))
	}
	return f.state.Jobs[jobID]
}

// service adds a service of team serve with one waiting replica, which needs one accelerator.
func (f *loanFixture) service(jobID string) *clusterstate.Job {
	return f.job(jobID, "serve", jobs.Service, "prod", "w", 1, 1)
}

// setTask writes one task's record.
func (f *loanFixture) setTask(job *clusterstate.Job, index int, next jobs.Task) {
	key, tasks := jobs.TaskRangeKey(job.ID, index), []jobs.Task{next}
	if task := job.Tasks[index]; task != nil && task.StoredIn != nil {
		key, tasks = task.StoredIn.Key, make([]jobs.Task, len(task.StoredIn.Tasks))
		for i, other := range task.StoredIn.Tasks {
			tasks[i] = other.Task
		}
		tasks[index-task.StoredIn.FirstIndex] = next
	}
	_, _ = f.state.ApplyTaskRange(key, jobs.EncodeTaskRange(tasks, maxTaskRangeBytes))
}

// loseTask applies the event that a task is lost, if its state allows it.
func (f *loanFixture) loseTask(task *clusterstate.Task) {
	if next, ok := jobs.NextTask(task.Task, jobs.TaskEvent{Kind: jobs.Lost}); ok {
		f.setTask(task.Job, task.Index, next)
	}
}

// loseStopping makes the stopping tasks of a job end.
func (f *loanFixture) loseStopping(job *clusterstate.Job) {
	for _, task := range job.Tasks {
		if task.State == jobs.Stopping {
			f.loseTask(task)
		}
	}
}

// cancel cancels a job; its tasks end at once.
func (f *loanFixture) cancel(job *clusterstate.Job) {
	record := *job.Record
	record.State = jobs.Cancelled
	_ = f.state.ApplyJob(job.ID, jobs.Encode(record))
	for _, task := range job.Tasks {
		f.loseTask(task)
	}
}

// commit applies all changes of a decision if committed is true, and then calls its OnSettled.
func (f *loanFixture) commit(decision decide.Decision, committed bool) {
	if committed {
		for _, change := range decision.Changes {
			f.setTask(change.Task.Job, change.Task.Index, change.Next)
		}
		for _, write := range decision.Writes {
			key := decide.WriteKey(write)
			f.records[key] = write.Value
			if write.Put == "" {
				delete(f.records, key)
			}
			f.ledger.ApplyRecord(key, write.Value)
		}
	}
	if decision.OnSettled != nil {
		decision.OnSettled(committed)
	}
}

// storeLoans writes a loan record.
func (f *loanFixture) storeLoans(number int, record *LoanRecord) {
	f.commit(decide.Decision{Writes: []store.Write{decide.Put(RecordKey(number), record)}}, true)
}

// search returns the search for room for a replica.
func (f *loanFixture) search(job *clusterstate.Job, index int) *Search {
	spec := &job.Record.Spec
	account := AccountWithoutStopping(f.state, f.state.Account, nil)
	return &Search{
		Task: &clusterstate.Task{
			Task:  jobs.Task{State: jobs.Pending},
			ID:    jobs.TaskID(job.ID, index),
			Index: index,
			Job:   job,
		},
		Priority:   spec.PriorityOrder(),
		Entitled:   account.Entitled(f.state.QuotaLeaf(spec), spec.Amount(), 1),
		Account:    account,
		CanPlaceOn: isUp,
	}
}

// choose calls Choose for the first replica of a job, with no lender exempt and no record busy.
func (f *loanFixture) choose(job *clusterstate.Job, ready func(*clusterstate.Machine) bool) (Plan, bool) {
	search := f.search(job, 0)
	search.exempt = func(*clusterstate.Job) bool { return false }
	search.busy = func(string) bool { return false }
	search.ready = ready
	search.now = f.state.Now
	return Choose(f.state, search)
}

// request requests a loan for a replica and commits it if committed is true. It reports whether a
// loan began, and fails the test if the plan stops tasks that it must not stop.
func (f *loanFixture) request(t failer, job *clusterstate.Job, index int, committed bool) bool {
	t.Helper()
	search := f.search(job, index)
	before := AccountWithoutStopping(f.state, f.state.Account, nil)
	decision, plan, found := f.ledger.Request(search)
	if !found {
		return false
	}
	f.checkPlan(t, search, &plan, before)
	f.commit(decision, committed)
	return committed
}

// checkPlan fails the test if a plan stops tasks that it must not stop. account is the account
// before the plan; checkPlan changes it.
func (f *loanFixture) checkPlan(t failer, search *Search, plan *Plan, account *quota.Account) {
	t.Helper()
	stopped := map[string]int{} // by job
	for _, task := range plan.Tasks {
		stopped[task.Job.ID]++
	}
	for _, task := range plan.Tasks {
		spec := &task.Job.Record.Spec
		account.Charge(spec.QuotaKey(), spec.Amount(), -1)
		if spec.Kind == jobs.Service || task.State != jobs.Placed {
			t.Fatalf("%s of kind %s and in state %s is stopped for a loan", task.ID, spec.Kind, task.State)
		}
		if spec.PriorityOrder() <= search.Priority && search.Entitled < 0 {
			t.Fatalf("%s of priority %s lends to a replica of priority %d that is beyond its guarantee",
				task.ID, spec.Priority, search.Priority)
		}
		if spec.IsGang() && stopped[task.Job.ID] != spec.TaskCount {
			t.Fatalf("gang %s is not stopped as a whole", task.Job.ID)
		}
	}
	for _, task := range plan.Tasks {
		spec := &task.Job.Record.Spec
		used := account.Used(f.state.QuotaLeaf(spec))
		if spec.Team != search.spec().Team && !used.Covers(teams[spec.Team].Guaranteed) {
			t.Fatalf("the loan takes team %s below its guarantee: it uses %s", spec.Team, used)
		}
	}
}

// reconcile calls Reconcile, commits its decisions if committed is true, and records which loans
// have begun and ended.
func (f *loanFixture) reconcile(waits func(string) bool, committed bool) {
	for _, decision := range f.ledger.Reconcile(f.state.Account, waits) {
		f.commit(decision, committed)
	}
	for _, loan := range f.ledger.Loans() {
		if _, known := f.began[loan.ID]; !known {
			f.began[loan.ID] = loan
		}
		if loan.State.Final() {
			f.ended[loan.ID] = loan
		}
	}
}

// place places a job's task on a machine if it fits beside the room reserved for other jobs.
func (f *loanFixture) place(job *clusterstate.Job, index int, machine string) {
	free := f.state.MachineTypes["g4"].Capacity().Sub(f.state.UsedResources(machine))
	for _, room := range f.ledger.Reservations() {
		if room.Machine == machine && room.Job != job.ID {
			free = free.Sub(room.Resources)
		}
	}
	task := jobs.Task{State: jobs.Pending}
	if job.Tasks[index] != nil {
		task = job.Tasks[index].Task
	}
	next, ok := jobs.NextTask(task, jobs.TaskEvent{
		Kind:    jobs.Place,
		Machine: machine,
		Zone:    f.state.Machines[machine].Zone,
		Attempt: task.Attempt + 1,
	})
	if ok && free.Fits(job.Record.Spec.Resources()) {
		f.setTask(job, index, next)
	}
}

// firstLoan returns the oldest loan.
func (f *loanFixture) firstLoan(t *testing.T) Loan {
	t.Helper()
	loans := f.ledger.Loans()
	if len(loans) == 0 {
		t.Fatal("there is no loan")
	}
	return loans[0]
}
