package lending

import (
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// TestRoomIsNotReservedWhileWindowIsClosed checks that room made for a replica is given up as soon
// as the calendar window of the replica is closed, and is then reserved for a lender only if the
// lender's window is open.
func TestRoomIsNotReservedWhileWindowIsClosed(t *testing.T) {
	f := newLoanFixture(1)
	f.job("wk-1", "batch", jobs.JobArray, "standard", "b", 1, 4, "i-0", "i-0", "i-0", "i-0")
	serve := f.job("wk-2", "serve", jobs.Service, "prod", "s", 1, 1)
	if !f.request(t, serve, 0, true) {
		t.Fatal("no job lends")
	}
	lender := f.firstLoan(t).From[0].Job
	for index, task := range f.state.Jobs[lender].Tasks {
		if task.State == jobs.Stopping {
			f.setTask(f.state.Jobs[lender], index, jobs.Task{State: jobs.Pending})
		}
	}
	f.closed[jobs.Service] = true
	if rooms := f.ledger.Reservations(); len(rooms) != 0 {
		t.Error("room is reserved for a replica that may not start", rooms)
	}
	f.state.Now = f.state.Now.Add(time.Second)
	f.reconcile(noneWait, true)
	rooms := f.ledger.Reservations()
	if loan := f.firstLoan(t); loan.State != Recalled || len(rooms) != 1 || rooms[0].Job != lender {
		t.Errorf("%+v, reserved %v", loan, rooms)
	}
	f.closed[jobs.JobArray] = true
	f.reconcile(noneWait, true)
	rooms = f.ledger.Reservations()
	if loan := f.firstLoan(t); loan.State != Returned || len(rooms) != 0 {
		t.Errorf("%+v, reserved %v", loan, rooms)
	}
}

// TestLoanStepsAreStoredTogether checks that state changes that follow from the records are stored
// together in one write, and that a job that has just lent is not asked to lend again.
func TestLoanStepsAreStoredTogether(t *testing.T) {
	f := newLoanFixture(1)
	f.job("wk-1", "batch", jobs.JobArray, "standard", "x", 1, 7, "i-0", "i-0", "i-0", "i-0")
	service := f.service("wk-9")
	if !f.request(t, service, 0, true) {
		t.Fatal("no job lends")
	}
	writes := 0
	for range 400 {
		for _, decision := range f.ledger.Reconcile(f.state.Account, allWait) {
			writes += len(decision.Writes)
			f.commit(decision, true)
		}
		f.loseStopping(f.state.Jobs["wk-1"])
		if loan, ok := f.ledger.LoanFor("wk-9", 0); ok && loan.State == Vacated {
			f.place(service, 0, loan.Machine)
		}
		f.state.Now = f.state.Now.Add(100 * time.Millisecond)
	}
	if writes != 1 || f.firstLoan(t).State != Lent || f.ledger.Counts().Requested != 1 {
		t.Error(writes, f.ledger.Loans(), f.ledger.Counts())
	}
	exemptSearches := f.ledger.Counts().ExemptSearches
	began := f.request(t, f.service("wk-8"), 0, true)
	if began || f.ledger.Counts().ExemptSearches != exemptSearches+1 {
		t.Error("wk-1 lends twice, or the search that skipped it was not counted, within", tuning.LendInterval)
	}
}

// TestReleasedReplicaKeepsItsLoan checks that a loan keeps its state while its replica is released
// to the machine but not yet there.
func TestReleasedReplicaKeepsItsLoan(t *testing.T) {
	f := newLoanFixture(1)
	f.job("wk-1", "batch", jobs.JobArray, "standard", "x", 1, 7, "i-0", "i-0", "i-0", "i-0")
	service := f.service("wk-9")
	if !f.request(t, service, 0, true) {
		t.Fatal("no job lends")
	}
	f.loseStopping(f.state.Jobs["wk-1"])
	f.setTask(service, 0, jobs.Task{State: jobs.Assigned, Controller: "n0", Zone: "a", PreferredMachine: "i-0"})
	f.reconcile(allWait, true)
	if loan := f.firstLoan(t); loan.State != Requested {
		t.Error(loan)
	}
}

// TestUnreadableLoanRecordIsNotWritten checks that an unreadable record is not overwritten: new
// loans go to another record, or don't begin if all records are unreadable.
func TestUnreadableLoanRecordIsNotWritten(t *testing.T) {
	f := newLoanFixture(1)
	for number := range tuning.LoanRecords - 1 {
		f.ledger.ApplyRecord(RecordKey(number), []byte(`{"l":[{"i":1,"s":"odd"}]}`))
	}
	f.job("wk-1", "batch", jobs.JobArray, "standard", "x", 1, 7, "i-0", "i-0", "i-0", "i-0")
	last := RecordKey(tuning.LoanRecords - 1)
	if !f.request(t, f.service("wk-9"), 0, true) || f.records[last] == nil {
		t.Error(f.records)
	}
	f.ledger.ApplyRecord(last, []byte(`7`))
	if f.request(t, f.service("wk-8"), 0, true) {
		t.Error("a loan began although all records are unreadable")
	}
}

// TestRecordsHold4000Loans checks that the ledger reads 4,000 loans in full records, and that
// another loan can begin.
func TestRecordsHold4000Loans(t *testing.T) {
	const loans = 4000
	f := newLoanFixture(1)
	id := 0
	for id < loans {
		var record LoanRecord
		for range tuning.MaxLoansPerRecord {
			id++
			record.Loans = append(record.Loans, Loan{
				ID:      id,
				State:   Lent,
				Job:     "wk-7",
				Machine: "i-7",
				From:    []Share{{Job: "wk-6", GPUs: 1, Tasks: 1}},
				GPUs:    1,
				BeganMs: f.state.NowMs(),
				SinceMs: f.state.NowMs(),
			})
		}
		number := (id - 1) / tuning.MaxLoansPerRecord
		f.ledger.ApplyRecord(RecordKey(number), jobs.Encode(record))
	}
	if got := len(f.ledger.Loans()); got != loans {
		t.Fatalf("%d loans were read, want %d", got, loans)
	}
	f.job("wk-1", "batch", jobs.JobArray, "standard", "x", 1, 7, "i-0", "i-0", "i-0", "i-0")
	if !f.request(t, f.service("wk-9"), 0, true) {
		t.Error("no loan begins in addition to 4,000 others")
	}
}
