package tuning

import "time"

// Calls to the state service, the cloud and the agents.
const (
	// StateTimeout is the timeout of a call to the state service. Most answers take 10 ms, a few
	// some hundred.
	StateTimeout = 2 * time.Second
	// WatchHold is how long the state service may hold a watch open.
	WatchHold = 5 * time.Second
	// WatchSlack is added to WatchHold for a watch's timeout.
	WatchSlack = 1500 * time.Millisecond
	// WatchShare is the share of the state service's request rate that the watches of all
	// controllers together may take.
	WatchShare = 0.35
	// QueryGap is the minimum pause between two reads of the epoch for users' queries. All queries
	// that arrive meanwhile share one read.
	QueryGap = 100 * time.Millisecond
	// QueryTimeout is the age at which a query that could not be answered is refused. Users wait
	// for 2 s.
	QueryTimeout = 1500 * time.Millisecond
	// QueryReadAfter is the age at which a query whose epoch is still unknown, or not yet in the
	// mirror, is answered by a read of its own, if the budget allows one. Such a read takes some
	// tens of milliseconds.
	QueryReadAfter = 900 * time.Millisecond
	// QueryRetry is the minimum pause between two reads of the epoch while the budget delays calls,
	// and the time after which a read of the epoch without an answer is followed by another.
	QueryRetry = 400 * time.Millisecond
	// MaxEpochReads is the maximum number of reads of the epoch that are kept until the mirror has
	// reached them: those of some ten seconds.
	MaxEpochReads = 100
	// MaxPendingQueries is the maximum number of waiting queries; more are refused. It allows one
	// for each connection that users may hold with some 8,000 sockets, and suffices for a job on
	// each of 4,000 machines.
	MaxPendingQueries = 5000
	// MaxPendingReads is the maximum number of queries that wait for a read of their own. At 20
	// reads a second and controller, more of them would exceed QueryTimeout.
	MaxPendingReads = 60
	// MaxShedJobs is the number of jobs for which refused queries are remembered, so that the
	// next query about such a job goes first.
	MaxShedJobs = 4000
	// ReadDeadline is the time that a query waits for its own read before the read may also use the
	// share that ReservedReadShare reserves for other calls. A read that must be repeated is
	// repeated only within this time.
	ReadDeadline = 300 * time.Millisecond
	// MaxReadAge is the maximum duration of such a read for its answer to count if it shows that a
	// job is live or unknown: an answer that took longer may be out of date. Most reads take 10 ms.
	MaxReadAge = 30 * time.Millisecond
	// ReadLease is how long after it sent a read a controller may answer that the job which the read
	// shows is live, if all others confirm acknowledgements. Reading the epoch and following the
	// watch to it take up to two round trips to the state service, 0.8 s with 100 ms one way and a
	// service time of 200 ms.
	ReadLease = 800 * time.Millisecond
	// AckHold is how long the end of a job is held back from its user while a controller has not
	// confirmed that it knows of it. It exceeds ReadLease by AckDelay, for which an answer may be
	// held after its read was found recent enough, and by a margin for clocks that run at different
	// rates and for answers on their way out of the process.
	AckHold = ReadLease + AckDelay + 70*time.Millisecond
	// AckDelay is how long a new acknowledgement, that a job is accepted or has ended, is held back
	// after it was passed on to the other controllers. By then none of them can still send an older
	// answer.
	AckDelay = MaxReadAge
	// AckSettledAfter is the age at which an acceptance is no longer a new acknowledgement: no
	// controller can still hold an answer that the job is unknown.
	AckSettledAfter = time.Second
	// MaxAcks is the number of jobs whose last acknowledgement is kept: 50 a second for 160 s.
	MaxAcks = 8192
	// PeerUnresponsiveAfter is the time without gossip after which another controller may be
	// partitioned from this one. Gossip is sent every GossipEvery.
	PeerUnresponsiveAfter = 1200 * time.Millisecond
	// QueryUnverifiedAfter is the age at which the other controllers are asked about a query that
	// the mirror could answer, but for not being known to be as recent as MaxReadAge. Users wait for
	// 2 s, which leaves time to read the job if they do not answer.
	QueryUnverifiedAfter = 600 * time.Millisecond
	// ReservedReadShare is the share of a second's requests that reads for queries leave to other
	// calls.
	ReservedReadShare = 0.25
	// WatchGap is the minimum pause between two watches, so that a busy store does not cost one
	// request per change. Gossip from another controller cuts it short.
	WatchGap = 40 * time.Millisecond
	// CloudTimeout is the timeout of a call to the cloud. Launches can be slow.
	CloudTimeout = 8 * time.Second
	// CommandTimeout is the timeout of a direct call to an agent. After an unanswered command the
	// machine gets no new tasks for UnansweredBackoff.
	CommandTimeout = 1500 * time.Millisecond
	// ListPage is the number of items per page of a listing of the state service. At some 200
	// bytes an item a page stays far below the service's 512 KiB; its own limit is 1000 items.
	ListPage = 800
	// CloudPage is the number of machines per page of the cloud's list (the cloud's limit).
	CloudPage = 500
	// ListShare is the share of the cloud's call rate that reading its list may take.
	ListShare = 0.25
	// DeleteShare is the share of the cloud's call rate for delete requests that name fewer than
	// MaxDeleteNames machines.
	DeleteShare = 0.2
	// LaunchShare is the share of the planned call rate that the launch requests of one autoscaler
	// step may take.
	LaunchShare = 0.6
	// StateQueue is the maximum number of calls of one priority that may wait for the rate budget.
	// For users' calls it is UserQueue, and membership calls are never refused.
	StateQueue = 400
	// UserQueue is the maximum number of users' calls that may wait for the rate budget. The limit
	// is lower where the controller's share of the requests serves fewer within UserCallWait.
	UserQueue = 60
	// MinUserQueue is the minimum of that lower limit.
	MinUserQueue = 10
	// UserCallWait is the time within which users' waiting calls should be served. Users give up
	// after 5 s, or 2 s for a query, and a call that is made after that is wasted.
	UserCallWait = 2 * time.Second
	// MaxRateLimitRetries is the number of times that a call refused with 429 is sent again.
	MaxRateLimitRetries = 3
	// StateBudgetShare is the share of the state service's limits that all controllers together
	// plan to use. The rest covers differences of clocks and bursts.
	StateBudgetShare = 0.9
	// CloudBudgetShare is the share of the cloud's limits that the leader plans to use. The rest
	// covers an old leader, which may still call the cloud for a moment.
	CloudBudgetShare = 0.7
	// WriteOvercommit is the factor by which a follower may plan more writes than its even share,
	// since not all controllers write at once. A write beyond the limit is refused and repeated,
	// which does no harm.
	WriteOvercommit = 1.5
	// LeaderOvercommit is the corresponding factor for the leader.
	LeaderOvercommit = 1.3
	// WriteShareAdaptInterval is the interval at which a controller adapts its share of the writes
	// to what it needs. Without that the leader's share was exhausted on days on which half of the
	// limit was unused.
	WriteShareAdaptInterval = time.Second
	// WriteShareIncrease is added to the factor on a controller's share at each adaptation before
	// which it lacked writes.
	WriteShareIncrease = 0.15
	// WriteShareBackoff is what that factor is multiplied by when the state service refuses a
	// write.
	WriteShareBackoff = 0.75
	// RecordRemovalOverdue is the time after which the record of a deleted machine is removed even
	// without spare write budget.
	RecordRemovalOverdue = 10 * time.Second
	// CycleOverdueAfter is the time after which a leader runs a scheduling cycle, and frees the
	// tasks of deleted machines, even if it is behind with its writes. After the loss of many
	// machines it may be behind for long.
	CycleOverdueAfter = time.Second
	// MinBatchWrites is the number of writes that the budget must allow for a scheduling cycle to
	// start while writes are scarce: larger task ranges take fewer writes per task.
	MinBatchWrites = 4
	// LeaderShare is the leader's share of the state service's budget. It releases tasks, closes
	// jobs and scales the cluster. The followers split the rest evenly.
	LeaderShare = 0.45
)
