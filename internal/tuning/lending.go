package tuning

import "time"

// Lending.
const (
	// LoanRecords, MaxLoansPerRecord: records that loans stand in, and loans in one; 160
	// bytes a loan. Together 5,120, more than one on each of 4,000 machines. The former
	// version reads the first 16 records alone: as a leader it takes no loan back that stands
	// in another one, whose replica runs on. LoanRecordFillShare: share of a value's bytes
	// up to which loans begin in a record; the rest is for what they grow by.
	LoanRecords         = 128
	MaxLoansPerRecord   = 40
	LoanRecordFillShare = 0.8
	// LoanRequestTimeout: a lender that has not left after this, on a machine that still counts,
	// is waited for no longer; saving takes seconds, an unresponsive machine is given up sooner.
	LoanRequestTimeout = 60 * time.Second
	// LoanVacant: made room is kept so long for its replica.
	LoanVacant = 20 * time.Second
	// LoanReturnReservation: room that comes back is kept so long for its lender: a look at the queue
	// comes several times a second, a pause after a stop is none, so what does not come
	// within this has found a place or cannot use it.
	LoanReturnReservation = 15 * time.Second
	// MinLoanTime: a replica is not called back sooner; a start that is stopped within 30 s
	// counts for nothing.
	MinLoanTime = 60 * time.Second
	// CallGap: between two replicas of a service that are called back, on top of the
	// time that the first takes to leave.
	CallGap = 10 * time.Second
	// LendAgain: a job lends once in this time, so that demand that swings by the minute
	// takes from each at most once in five swings.
	LendAgain = 5 * time.Minute
	// MaxLendingSearches: looks in one pass for somebody who lends. In a burst of serving some 15
	// replicas a second wait; one looks at machines with the weights only, mostly.
	MaxLendingSearches = 10
	// SweepLends: share of a job array's tasks that may be lent in that time; they do not need
	// one another, so that an array is slowed by no more than this.
	SweepLends = 0.25
	// LoanNearEnd: what is expected to end so soon is not stopped; LoanPast: share of
	// its run that a task which has run past its estimate is taken to need still.
	LoanNearEnd = 20 * time.Second
	LoanPast    = 0.2
	// LoanServes: what a second that a replica waits counts for each of its accelerators
	// against a second of lenders' work lost: users wait for it, and 10 s of fetching are
	// worth a gang's start anew, which takes a minute on a few accelerators.
	LoanServes = 30.0
	// LoanOwn: what it counts, for each accelerator, that a team's own work of lower rank
	// gives rather than what others have beyond their guarantees.
	LoanOwn = 300 * time.Second
	// LoanSooner: a fetch that room made on another machine saves less of is not worth
	// it; and a replica waits so long for its room before it looks elsewhere, too.
	LoanSooner = 5 * time.Second
	// LoanWaste: what an accelerator freed beyond the need counts as lost; the next to
	// fit comes within about this.
	LoanWaste = 20 * time.Second
	// LoanSave: steps that follow from the records are stored at most so late, several
	// of a record at once. At 5 s they were 430 changes on a day of 553 loans, at 20 s 210.
	LoanSave = 30 * time.Second
	// LoanLogEvery: how often the log tells the counts of loans.
	LoanLogEvery = time.Minute
)
