package tuning

import "time"

// Reconciling: what a controller that starts does before it knows what its machines have.
const (
	// ReconcileReports, reports, and ReconcileSlack: by then every machine that runs has
	// reported twice, the second time with our fencing token, and been reached directly.
	ReconcileReports = 2.0
	ReconcileSlack   = 2 * time.Second
	// MaxReconcile: after so long what still differs is what differs on any day.
	MaxReconcile = 60 * time.Second
	// ReconcileOthers: an owner that has not reported by then that it heard its machines is
	// waited for no longer: it has called them twice, and reported which did not answer.
	ReconcileOthers = 5 * time.Second
	// ReconcileScaleOutDelay: some looks at the queue, which then has been offered all machines; what it
	// still lacks is rented.
	ReconcileScaleOutDelay = 2 * time.Second
	// MaxPlaceAgainRecords: records that a decision to place a gang's tasks where they were may write,
	// where a transaction holds as many.
	MaxPlaceAgainRecords = 12
	// PlaceAgainEvery: between two looks at what has vanished, each of which goes through all of
	// it.
	PlaceAgainEvery = 100 * time.Millisecond
	// AwaitedCalls: direct calls under way to machines that have not reported to this
	// process yet; the rest of MaxWorkerCalls is for those that have. Each machine that
	// died holds a call for CommandTimeout, and 80 of them held all 64 for ten seconds.
	// DoubtedCalls: the same for those that left a call unanswered already.
	AwaitedCalls = 44
	DoubtedCalls = 12
)
