package tuning

import "time"

// Calls to the other services.
const (
	// StateTimeout: most answers take 10 ms, a few some hundred.
	StateTimeout = 2 * time.Second
	// WatchHold: how long the state service holds a watch open.
	WatchHold = 5 * time.Second
	// WatchSlack: on top of WatchHold before a watch is given up.
	WatchSlack = 1500 * time.Millisecond
	// WatchShare: share of the state service's requests that all nodes'
	// watches together may take.
	WatchShare = 0.35
	// QueryGap: pause between two readings of the epoch for users' polls; all
	// polls that come meanwhile share one.
	QueryGap = 100 * time.Millisecond
	// QueryTimeout: polls that could not be answered by then are refused; users
	// wait 2 s.
	QueryTimeout = 1500 * time.Millisecond
	// QueryReadAfter: polls whose epoch the mirror has not reached by then are answered by
	// reads of their own, which take some tens of milliseconds, while there is budget.
	QueryReadAfter = 900 * time.Millisecond
	// QueryRetry: the same while the budget holds calls back, and from when on an epoch
	// that was not answered is read once more.
	QueryRetry = 400 * time.Millisecond
	// MaxPendingQueries: polls waiting before more are refused: one for each connection that users
	// may hold where there are some 8,000 sockets, and for a job on each of 4,000 machines.
	MaxPendingQueries = 5000
	// MaxPendingReads: polls waiting for a read of their own; at 20 reads a second and node
	// more would grow older than QueryTimeout.
	MaxPendingReads = 60
	// MaxShedEntries: jobs kept whose users were sent away last, to go first the next time.
	MaxShedEntries = 4000
	// ReadDeadline: from then on such a read is made with whatever budget there is.
	ReadDeadline = 300 * time.Millisecond
	// ReadFresh: such a read's answer that took longer is too old to tell that a job is
	// live; most take 10 ms.
	ReadFresh = 30 * time.Millisecond
	// AckDelay: a new acknowledgement, that a job is accepted or has ended, leaves so
	// long after it was passed on; by then no answer from before it is left to be given.
	AckDelay = ReadFresh
	// AckYoung: nobody can hold an answer any more that a job accepted so long ago is
	// unknown, so that it is accepted is no new acknowledgement.
	AckYoung = time.Second
	// MaxAcks: jobs kept that something was acknowledged of last; 50 a second for 160 s.
	MaxAcks = 8192
	// PeerUnresponsiveAfter: a controller whose lines have not come for so long may be cut off; they
	// come each GossipEvery.
	PeerUnresponsiveAfter = 1200 * time.Millisecond
	// QueryUnprovenAfter: from then on a question is answered from a mirror that is not known to
	// be as new as ReadFresh, but only late: users wait 2 s.
	QueryUnprovenAfter = 600 * time.Millisecond
	// ReadsKept: share of a second's requests that reads for polls leave to others.
	ReadsKept = 0.25
	// WatchGap: least pause between two watches, so that a busy store does not
	// cost a request per change. A peer's gossip cuts it short.
	WatchGap = 40 * time.Millisecond
	// CloudTimeout: rents can be slow.
	CloudTimeout = 8 * time.Second
	// CommandTimeout: an unanswered command makes the machine doubtful.
	CommandTimeout = 1500 * time.Millisecond
	// ListPage, items per page of a listing of the state service: at some 200
	// bytes an item far below its 512 KiB (its own limit is 1000).
	ListPage = 800
	// CloudPage, machines per page of the cloud's list: its own limit.
	CloudPage = 500
	// ListShare: share of the cloud's requests that reading its list may take.
	ListShare = 0.25
	// DeleteShare: share of them for deletes that are not full.
	DeleteShare = 0.2
	// LaunchShare: share of them that one step's batch may take.
	LaunchShare = 0.6
	// StateQueue: calls waiting for the rate budget before users are refused.
	StateQueue = 400
	// UserQueue: calls waiting before calls for users are refused, where the node's share
	// of the requests serves as many within UserCalls; MinUserQueue in any case. Users
	// give up after 5 s (a poll after 2 s), and a call that is made then is made in vain.
	UserQueue    = 60
	MinUserQueue = 10
	UserCalls    = 2 * time.Second
	// MaxRateLimitRetries: times that a call beyond the limits is sent again.
	MaxRateLimitRetries = 3
	// StateBudget: share of the state service's limits that all nodes
	// together plan to use; the rest covers clock and burst differences.
	StateBudget = 0.9
	// CloudBudget: the same for the cloud; only the leader calls it, but an
	// old leader may still do so for a moment.
	CloudBudget = 0.7
	// WriteOvercommit, LeaderOvercommit: the nodes do not all write at once, so
	// each may plan more changes than its even share; a change too many is
	// refused and repeated, at no risk.
	WriteOvercommit  = 1.5
	LeaderOvercommit = 1.3
	// WriteShareAdaptInterval, WidenBy, WidenBack: a node that wants more changes than its share
	// takes so much more of it each time, and goes back by this factor when the
	// service refuses one. The leader's share was used up on days on which half
	// of the limit was left.
	WriteShareAdaptInterval = time.Second
	WriteShareIncrease      = 0.15
	WriteShareBackoff       = 0.75
	// RecordLate: the record of a machine that is gone is removed with budget to
	// spare, or at least after this.
	RecordLate = 10 * time.Second
	// AssignLateAfter: the queue is looked at this often even by a leader that is
	// behind with its writes: after a wave of losses it may be so for long.
	AssignLateAfter = time.Second
	// MinBatchWrites: writes that the budget must allow for a look at the queue where
	// changes are scarce: larger task ranges cost fewer writes for each task.
	MinBatchWrites = 4
	// LeaderShare: the leader's part of the state budget; the rest is split
	// evenly. The leader releases, closes and scales.
	LeaderShare = 0.45
)
