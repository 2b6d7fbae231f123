package tuning

import "time"

// Reconciliation: what a controller that starts does until it knows its machines' tasks.
const (
	// ReconcileHeartbeatIntervals is the number of heartbeat intervals, on top of ReconcileSlack,
	// after which every running machine has sent two heartbeats, the second under this view's
	// fencing token, and has been called directly.
	ReconcileHeartbeatIntervals = 2.0
	// ReconcileSlack is the fixed part of the time of which ReconcileHeartbeatIntervals is the
	// other part.
	ReconcileSlack = 2 * time.Second
	// MaxReconcile is the time after which reconciliation ends in any case. Remaining differences
	// are then handled as in normal operation.
	MaxReconcile = 60 * time.Second
	// ReconcileOthers is how long a controller waits, after a view change, for the other owners to
	// report that they heard their machines. By then each has called its machines twice and
	// published those that did not answer.
	ReconcileOthers = 5 * time.Second
	// ReconcileScaleOutDelay is the pause between hearing all machines and scaling out. Meanwhile
	// several scheduling cycles offer the machines to the queue, so that only what it still lacks
	// is launched.
	ReconcileScaleOutDelay = 2 * time.Second
	// MaxPlaceAgainRecords is the maximum number of records written by a decision that places a
	// gang's vanished tasks again where they were, if a transaction holds that many.
	MaxPlaceAgainRecords = 12
	// PlaceAgainEvery is the minimum pause between two passes over the vanished tasks. Each pass
	// examines all of them.
	PlaceAgainEvery = 100 * time.Millisecond
	// MaxCallsToUnseen is the maximum number of direct calls under way, while a controller
	// reconciles, to machines that have not sent it a heartbeat yet. The rest of MaxAgentCalls is
	// for those that have. Each machine that died holds a call for CommandTimeout: 80 of them held
	// all 64 calls for ten seconds.
	MaxCallsToUnseen = 44
	// MaxCallsToUnanswered is the limit, in place of MaxCallsToUnseen, for machines that have left
	// a call unanswered.
	MaxCallsToUnanswered = 12
)
