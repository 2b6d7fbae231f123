package tuning

import "time"

// Lending.
const (
	// LoanRecords is the number of records that hold loans. With MaxLoansPerRecord that is 5,120
	// loans, more than one on each of 4,000 machines. The previous version reads only the first 16
	// records: as a leader it does not recall a loan in another record, whose replica keeps
	// running.
	LoanRecords = 128
	// MaxLoansPerRecord is the maximum number of loans in a record, at 160 bytes each.
	MaxLoansPerRecord = 40
	// LoanRecordFillShare is the share of a value's size up to which new loans are added to a
	// record. The rest is for the growth of its loans.
	LoanRecordFillShare = 0.8
	// LoanRequestTimeout is the time after which a loan is recalled whose lender has not left its
	// machine. A checkpoint takes seconds, and an unresponsive machine is given up sooner.
	LoanRequestTimeout = 60 * time.Second
	// LoanVacant is how long vacated capacity is reserved for the loan's replica.
	LoanVacant = 20 * time.Second
	// LoanReturnReservation is how long returned capacity is reserved for the lender. The queue is
	// examined several times a second and a stopped task may restart without a pause, so a lender
	// that has not taken the capacity by then runs elsewhere or cannot use it.
	LoanReturnReservation = 15 * time.Second
	// MinLoanTime is how long a replica runs before it may be recalled. A replica that is stopped
	// within 30 s does not count as started.
	MinLoanTime = 60 * time.Second
	// RecallGap is the pause between the recalls of two replicas of a service, after the first one
	// has left.
	RecallGap = 10 * time.Second
	// LendInterval is the default time within which a job lends at most once. With demand that
	// changes every minute, each job then lends for at most one in five changes.
	LendInterval = 5 * time.Minute
	// MaxLendingSearches is the maximum number of searches for a lender in one scheduling cycle. In
	// a burst of serving load some 15 replicas a second wait, and most searches only examine
	// machines that hold the model weights.
	MaxLendingSearches = 10
	// MaxLentArrayShare is the maximum share of a job array's tasks that may be lent within
	// LendInterval. Its tasks do not depend on each other, so an array is slowed by no more than
	// this share.
	MaxLentArrayShare = 0.25
	// LoanNearEnd is the expected remaining time below which a task is not stopped for a loan.
	LoanNearEnd = 20 * time.Second
	// LoanOverrunShare is the expected remaining time of a task that has run past its estimate, as
	// a share of the time that it has run.
	LoanOverrunShare = 0.2
	// LoanWaitWeight is the cost of a second of a replica's wait, for each of its accelerators,
	// relative to a second of lost work of lenders: users wait for the replica. Avoiding a pull of
	// 10 s justifies restarting a gang, which takes a minute on a few accelerators.
	LoanWaitWeight = 30.0
	// LoanOwnTeamCost is the cost, for each accelerator, of taking the capacity from lower-priority
	// work of the replica's own team rather than from what others use beyond their guarantees.
	LoanOwnTeamCost = 300 * time.Second
	// LoanMinSaving is the minimum pull time that a loan on another machine must save. It is also
	// how long a replica waits for its loan before it looks for capacity elsewhere, too.
	LoanMinSaving = 5 * time.Second
	// LoanWasteCost is the cost of each accelerator freed beyond the need. The next task that fits
	// arrives within about this time.
	LoanWasteCost = 20 * time.Second
	// LoanSaveDelay is how long the progress of loans may stay unsaved, so that several changes of
	// a record share a write; the progress can be derived from the other records. On a day of 553
	// loans a delay of 5 s took 430 writes and one of 20 s took 210.
	LoanSaveDelay = 30 * time.Second
	// LoanLogEvery is the interval at which the numbers of loans are logged.
	LoanLogEvery = time.Minute
)
