// Package tuning holds every constant of harrierreel, each with its unit and
// the reason for its value. Values that operators may change are defaults
// here and are set in the HCL file (see package settings).
package tuning

import "time"

// Limits of the wire format.
const (
	// MaxRequestBody, bytes: the protocol's bound on request bodies.
	MaxRequestBody = 64 << 10
	// MaxHeadBytes, bytes: start line and headers; peers send a few hundred.
	MaxHeadBytes = 8 << 10
	// MaxAnswerBody, bytes: a watch answer has no limit of its own; 16 MiB is
	// far above 10,000 changes of the usual size and far below our memory.
	MaxAnswerBody = 16 << 20
	// MaxPeerLine, bytes: hints are short; a longer line is not ours.
	MaxPeerLine = 64 << 10
)

// Connections.
const (
	// SlowRequest: a request that is not whole by then ends its connection.
	SlowRequest = 10 * time.Second
	// IdleClient: workers report every few seconds and users ask about as often;
	// a connection on which nothing has come for so long has nobody behind it.
	IdleClient = 90 * time.Second
	// ListenerTick: how often slow connections are looked for.
	ListenerTick = time.Second
	// ListenAgain: pause before a failed listener is set up again; long enough
	// for descriptors to come free, short enough not to miss two probes.
	ListenAgain = 100 * time.Millisecond
	// DialTimeout: a silent host is given up after this.
	DialTimeout = 1500 * time.Millisecond
	// IdleConn: kept connections older than this are not used again, because
	// the other side may have closed them.
	IdleConn = 30 * time.Second
	// EventQueue: messages waiting for the loop before requests are refused.
	EventQueue = 4096
	// MemoryShare: part of the memory limit that the garbage collector aims to
	// stay in; the rest is for stacks, buffers and the program itself.
	MemoryShare = 0.8
	// ReservedSockets: descriptors kept back from users for our own calls,
	// epoll and logs.
	ReservedSockets = 400
	// UserConns: share of the connections that users may keep open; the rest is
	// for workers, who must not be crowded out when users ask many times as often.
	UserConns = 0.6
	// CrowdedShare: of the connections allowed; while more are open, each ends with its
	// answer. 2,700 machines that report each 8 s are then 340 connections a second, open
	// for some milliseconds each.
	CrowdedShare = 0.85
	// StateConns, connections kept to the state service: one per concurrent
	// call at the highest rate (250/s at 10 ms) and some air.
	StateConns = 8
	// CloudConns, connections kept to the cloud.
	CloudConns = 2
	// MaxWorkerCalls: direct calls to workers under way at once.
	MaxWorkerCalls = 64
)

// Calls to the other services.
const (
	// StateTimeout: most answers take 10 ms, a few some hundred.
	StateTimeout = 2 * time.Second
	// WatchHold: how long the state service holds a watch open.
	WatchHold = 5 * time.Second
	// WatchSlack: on top of FollowHold before a watch is given up.
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
	// more would grow older than PollWait.
	MaxPendingReads = 60
	// MaxShedEntries: jobs kept whose users were sent away last, to go first the next time.
	MaxShedEntries = 4000
	// ReadDeadline: from then on such a read is made with whatever budget there is.
	ReadDeadline = 300 * time.Millisecond
	// ReadFresh: such a read's answer that took longer is too old to tell that a job is
	// live; most take 10 ms.
	ReadFresh = 30 * time.Millisecond
	// AckDelay: what is news to a user, that a job is accepted or has ended, is told so
	// long after it was passed on; by then no answer from before it is left to be given.
	AckDelay = ReadFresh
	// AckYoung: nobody can hold an answer any more that a job accepted so long ago is
	// unknown, so that it is accepted is no news.
	AckYoung = time.Second
	// MaxAcks: jobs kept of which something was told last; 50 a second for 160 s.
	MaxAcks = 8192
	// PeerUnresponsiveAfter: a controller whose lines have not come for so long may be cut off; they
	// come each PeerBeat.
	PeerUnresponsiveAfter = 1200 * time.Millisecond
	// QueryUnprovenAfter: from then on a question is answered from a mirror that is not known to
	// be as new as ReadFresh, but only late: users wait 2 s.
	QueryUnprovenAfter = 600 * time.Millisecond
	// ReadsKept: share of a second's requests that reads for polls leave to others.
	ReadsKept = 0.25
	// WatchGap: least pause between two watches, so that a busy store does not
	// cost a request per change. A peer's hint cuts it short.
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
	// RentShare: share of them that one step's batch may take.
	RentShare = 0.6
	// StateQueue: calls waiting for the rate budget before users are refused.
	StateQueue = 400
	// UserQueue: calls waiting before calls for users are refused, where the node's share
	// of the requests serves as many within UserCalls; UserQueueLeast in any case. Users
	// give up after 5 s (a poll after 2 s), and a call that is made then is made in vain.
	UserQueue    = 60
	MinUserQueue = 10
	UserCalls    = 2 * time.Second
	// Resend: times that a call beyond the limits is sent again.
	Resend = 3
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
	// WidenEvery, WidenBy, WidenBack: a node that wants more changes than its share
	// takes so much more of it each time, and goes back by this factor when the
	// service refuses one. The leader's share was used up on days on which half
	// of the limit was left.
	WidenEvery = time.Second
	WidenBy    = 0.15
	WidenBack  = 0.75
	// RecordLate: the record of a machine that is gone is removed with budget to
	// spare, or at least after this.
	RecordLate = 10 * time.Second
	// ReleaseLate: the queue is looked at this often even by a leader that is
	// behind with its writes: after a wave of losses it may be so for long.
	ReleaseLate = time.Second
	// MinBatchWrites: writes that the budget must allow for a look at the queue where
	// changes are scarce: larger slices cost fewer writes for each task.
	MinBatchWrites = 4
	// LeaderShare: the leader's part of the state budget; the rest is split
	// evenly. The leader releases, closes and scales.
	LeaderShare = 0.45
)

// Membership.
const (
	// MemberTTL: a dead controller's lease ends after this. Short, since its
	// machines wait for a new owner; long enough for a slow processor share.
	MemberTTL = 4 * time.Second
	// MemberRenew: three tries within MemberTTL.
	MemberRenew = 1200 * time.Millisecond
	// UnreachableOwnerAfter: workers that keep coming to others for this long although
	// they were sent to their owner prove that they cannot reach it. Longer than
	// MemberTTL, so that a controller that has just ended is not meant.
	UnreachableOwnerAfter = 6 * time.Second
	// ComplaintGap: visits further apart than this do not belong together.
	ComplaintGap = 9 * time.Second
	// HeardFresh: a machine heard by another node this recently is not given
	// up; its owner is the one that is cut off.
	HeardFresh = 12 * time.Second
	// MaxUnreached: machines named in one hint, as many as a controller has sessions for; a
	// controller of the former version takes in the first 200 of them. MaxUnreachedBytes,
	// bytes: what they take of a line; the rest of MaxPeerLine is for its marks. 4,000 names of
	// 8 bytes take 44,000. With longer names those that come later follow: each comes again
	// and again while it is out of reach.
	MaxUnreached      = 5000
	MaxUnreachedBytes = 52 << 10
	// UnreachableShare: part of an owner's machines that must complain.
	UnreachableShare = 0.5
	// VotedOutFor: how long a member that workers cannot reach stays out.
	VotedOutFor = 30 * time.Second
	// IsolationProbeEvery: how often a member outside the view looks whether it reaches
	// workers.
	IsolationProbeEvery = 2 * time.Second
	// GossipEvery: how often peers tell one another how they are.
	GossipEvery = 500 * time.Millisecond
	// ProbeTimeout: how long a member whose connection has ended may leave a call
	// unanswered. One that lives sees it within a watch (some 60 ms) and answers with
	// one transaction (10 ms, now and then a few hundred); a wrong alarm costs two
	// changes of view. On a day of refused connections (simulated machines) answers
	// took 0.03 to 0.37 s. CallWaitMany: where several connections ended together, or
	// one ended again that had answered, which is more likely the network between.
	ProbeTimeout     = 500 * time.Millisecond
	ProbeTimeoutMany = 1500 * time.Millisecond
	// ProbeStagger: how much longer each next one waits to act on a suspicion than the
	// one before it, who may have ended as well.
	ProbeStagger = 300 * time.Millisecond
	// ProbePause, CallPauseMost: a member that has answered is not called again for so
	// long, doubled each time: what ended its connection may last.
	ProbePause    = 2 * time.Second
	MaxProbePause = 60 * time.Second
	// ProbeForgetAfter: after so long without a call what ended its connections is over.
	ProbeForgetAfter = 5 * time.Minute
	// RejoinStable: an incarnation that has stood for so long was no short one. ComePause,
	// ComePauseMost: a member that has ended at least twice in a row without having
	// stood for so long is let in after such a pause, doubled each time.
	RejoinStable   = 10 * time.Second
	RejoinPause    = time.Second
	MaxRejoinPause = 8 * time.Second
	// WarmStandbys: members that are ready to lead at once.
	WarmStandbys = 2
	// UnfitLag, UnfitFor: a leader that is so far behind for so long hands over. A
	// single standstill is no reason, nor is a look that takes long.
	UnfitLag = time.Second
	UnfitFor = 3 * time.Second
	// HandOverPause, PassPauseMost: before it hands over again, doubled each time.
	HandOverPause    = 30 * time.Second
	MaxHandOverPause = 10 * time.Minute
	// MaxRolloutUnresponsive: share of its machines that an owner may not hear while another
	// controller is ended. RollStands: how long nothing may have stood against it.
	// RollLook: pause between two looks of whoever waits for that.
	MaxRolloutUnresponsive = 0.1
	RolloutStableFor       = 10 * time.Second
	RolloutPollEvery       = time.Second
	// LeaveUsers: how long a controller that was asked to end still serves users while
	// it calls itself unhealthy: two failed probes, a second apart, and some air.
	LeaveUsers = 2500 * time.Millisecond
	// LeaveWithin: a controller that was asked to end does so that much
	// later, in the view or not.
	LeaveWithin = 3 * time.Second
	// PeerFresh: older words of a peer are not believed.
	PeerFresh = 3 * time.Second
)

// Passes of the loop.
const (
	// Standstill: a pause between two turns of the loop, which comes round every
	// Pulse, that means that the process stood still. Shorter ones are a busy
	// processor's.
	Standstill = 1500 * time.Millisecond
	// Tick: the loop's own clock; every decision not caused by a message is
	// taken on a pulse.
	Tick = 100 * time.Millisecond
	// ReleaseStale: a released task that its part has not placed by then is
	// taken back and given to another part.
	ReleaseStale = 3 * time.Second
	// Backoff, BackoffMax: pause after a failed try, doubled each time. A job
	// that fails everywhere thus costs little.
	Backoff    = 500 * time.Millisecond
	BackoffMax = 30 * time.Second
	// ErrorsBlame: a job whose tasks failed on this many different machines is
	// itself to blame; its failures then count against no machine.
	ErrorsBlame = 3
	// ProvenAfter, ProvenPulls: a task on its machine for so long, and so many
	// times as long as its image takes alone, speaks for its job; images that are
	// fetched together share the rate.
	ProvenAfter = 10 * time.Second
	ProvenPulls = 2.0
	// ErrorsFaulty: a machine on which tasks of this many different blameless
	// jobs failed in a row is faulty and is deleted.
	ErrorsFaulty = 2
	// ErrorRest: a machine takes no new task for this long after a failure,
	// so that a sick one does not eat the queue.
	ErrorRest = 12 * time.Second
	// AdoptAgain: pause between two tries to reach a machine.
	AdoptAgain = 1500 * time.Millisecond
	// CommandGap: pause between two commands to a machine whose last one
	// brought no change.
	CommandGap = 700 * time.Millisecond
	// CancelDelete: share of cancel_s after which, at the latest, a machine that still
	// holds a cancelled task is deleted (settings.Cluster.CancelDelete).
	CancelDelete = 0.55
	// CancelSettle: after a leader begins, or the state service is back, owners have so
	// long to write which cancelled tasks have ended before machines are deleted for those
	// that the records still show. Reports are heard within half a second, and their
	// changes made within two where the state service is slow.
	CancelSettle = 3 * time.Second
	// AcceptAttempts: times that a submission is tried while the view changes under it; two
	// changes follow each other where a controller is replaced.
	AcceptAttempts = 3
	// FinalCache: final job states kept in memory.
	FinalCache = 20000
	// RetryAfter, seconds, told to users who are refused.
	RetryAfter = 1
)

// The loop.
const (
	// ReconcileGap: decisions are taken at most this often; what comes in between
	// shares a transaction.
	ReconcileGap = 15 * time.Millisecond
	// LeaderGapPerMachine: on top of PassGap for each machine between two passes of the
	// leader, which look at every machine; keeps them below a tenth of a small
	// processor share at thousands of machines.
	LeaderGapPerMachine = 40 * time.Microsecond
	// DispatchGap: how often calls that wait for the rate budget are looked at.
	DispatchGap = 10 * time.Millisecond
	// SyncAgain: pause before a failed listing or watch is tried again.
	SyncAgain = 300 * time.Millisecond
	// PreconditionsPerOp: conditions that the state service takes for each put or delete
	// that it allows in a transaction (protocol).
	PreconditionsPerOp = 4
	// RangeTaskBytes, bytes: what a task takes of its slice's record, at most,
	// with names of the usual length; decides how many tasks a slice holds.
	RangeTaskBytes = 220
	// ChangeBytes, bytes: what a changed task may add to a slice's record.
	ChangeBytes = 100
	// BatchTaskBytes, bytes: what a task takes of a pack, at least; with the share of
	// PackFull it decides how many tasks are put into one.
	BatchTaskBytes = 12
	// BatchFillShare: share of the most bytes of a value up to which packs are filled; the
	// rest is for what their tasks' records grow by.
	BatchFillShare = 0.7
	// MaxBatchTasks: tasks in a pack; bounds what reading one takes.
	MaxBatchTasks = 20_000
	// BatchEvery: the leader gives tasks away in packs, and owners write ends into
	// them, at most this often: what one look places, and what ends meanwhile, shares
	// packs. While changes are short it is GatherFor for ends and PackShort for the
	// leader. The first after a pause waits for nothing.
	BatchEvery       = 300 * time.Millisecond
	BatchEveryScarce = 400 * time.Millisecond
	// MaxSharedBatches: tasks given away that may be counted as one change of packs.
	MaxSharedBatches = 6
	// TxnBytes, bytes: up to where a transaction is filled by guess. What is sent is
	// counted and must stay below MaxRequestBody.
	TxnBytes = 48 << 10
	// MaxClaimBytes, bytes: claims in one transaction, where one value does not hold them. The
	// rest of MaxRequestBody is for keys and conditions, some 100 bytes each. 4,000 names of
	// 12 bytes take 60,000.
	MaxClaimBytes = 60 << 10
	// MaxQuarantined: decisions kept that no transaction could hold or that were refused;
	// they are faults of a program, one of which a bug may make for each machine.
	MaxQuarantined = 5000
	// QuarantineFirst, AsideMost: how long such a decision is not made again, doubled each
	// time: a refusal costs a request and two lines of the log, and what it waits for
	// is a change of the state or of the service.
	QuarantineFirst = 10 * time.Second
	MaxQuarantine   = 10 * time.Minute
	// CallErrorsLogEvery: how often the log tells of calls refused; a fault that repeats at
	// every look would otherwise fill it.
	CallErrorsLogEvery = time.Minute
	// MaxErrorKinds: kinds of refused calls told apart between two reports; a few dozen
	// exist. RefusalBytes, bytes: of the first answer of a kind, for the log.
	MaxErrorKinds    = 100
	ErrorSampleBytes = 120
	// MaxSessions: machines that one controller keeps a session for.
	MaxSessions = 5000
	// MaxUnresponsiveLists: values of the state service that name an owner's unresponsive machines.
	// At the least value_kb in service, 8, they hold 5,000 names of MaxHostName bytes; of the
	// usual 8 to 10 bytes 4,000 take seven.
	MaxUnresponsiveLists = 100
	// MaxMachineName, bytes: longer names cannot be keys.
	MaxMachineName = 150
	// MaxCommands: orders in one message, far below 64 KiB.
	MaxCommands = 200
	// UnresponsiveReports, reports: a machine unheard for this many report intervals
	// is silent.
	UnresponsiveReports = 2.0
	// ReportLate, reports: reports come up to a quarter late; a machine unheard
	// for longer than this is asked directly.
	ReportLate = 1.4
	// UnresponsiveCalls: a machine that is late and has left this many direct calls
	// in a row without answer is silent.
	UnresponsiveCalls = 2
	// SweepEvery: how often an owner looks over all its machines, also those
	// that nothing has happened to; and for how long it gathers ended tasks
	// while writes are short. Far inside the 3 s after which users expect done.
	SweepEvery = 400 * time.Millisecond
	// PlaceAgain: pause before a part looks again for a machine for a task that
	// it found none for.
	PlaceAgain = 300 * time.Millisecond
	// FreshReports, reports: tasks go only to machines heard this recently.
	FreshReports = 1.6
	// UnansweredRest: pause for a machine that left a command unanswered; what
	// was to start there starts sooner elsewhere.
	UnansweredRest = 5 * time.Second
	// ForgetSession: a machine without a record that does not report is
	// forgotten.
	ForgetSession = 2 * time.Minute
	// NoticeDoubt: a task on a machine that will be taken is stopped at once if
	// what it is expected to need still is more than this many times the notice.
	NoticeDoubt = 1.2
	// SaveMargin, seconds: on top of a task's saving time before a machine is
	// taken.
	SaveMargin = 6.0
	// RefusedRest: pause for a machine that had no room although we thought so.
	RefusedRest = time.Second
)

// The leader.
const (
	// QueueHorizon: a job that has missed its aims waits behind those that can
	// still meet theirs, but not longer than this.
	QueueHorizon = 10 * time.Minute
	// Overdue: a job that has not begun after this goes to the head of its rank, turn and
	// share. Users give the largest jobs 240 s; a boot and the fetch of a large image take
	// up to 100 s of them.
	Overdue = 110 * time.Second
	// OverdueMargin: the same so long before the last of its class's aims for starting, where
	// that is at least OverdueAim: about a boot and a fetch.
	OverdueMargin = 45 * time.Second
	OverdueAim    = 75 * time.Second
	// GangOverdue: the same for gangs of more than HoldEach tasks, which go whole. In an
	// overload the old ones then go before the small ones, and fewer meet any aim: on the
	// fleet's busy day 0.78 of fit-trainer's began within 150 s where none was overdue, 0.60
	// where all gangs were after 105 s or 120 s. The rest of 240 s is a boot and a fetch.
	GangOverdue = 160 * time.Second
	// GangAimPast: where the last of its class's aims for starting is sooner, a large gang is
	// overdue so long after that. Room for 16 whole machines in one zone takes up to two
	// minutes to come free; begun at 160 s, a third of them began after 240 s.
	GangAimPast = 10 * time.Second
	// BeginShare: one task and one for each so many go to the head with it. They show
	// that it runs and what its tasks take; more would hold up the smaller jobs that it
	// waits behind.
	BeginShare = 16
	// HoldShare: share of the machines that may be kept for tasks that need
	// more room than is free anywhere.
	HoldShare = 0.25
	// StarvingAfter: a job for which there has been room for so long, kept for others, begins.
	// Users let nobody wait for 90 s while a machine that fits has room; the rest is for the
	// look, the changes and the owner's own time. PassedEvery: between two looks at a job.
	// PassedWith: with it begin those that have been passed over for so long, so that what is
	// kept for a large gang is whole for a minute in between and not used up one by one.
	// PassedGap: none left for so long, and the job waits for room again. In less another that
	// was passed over has used it.
	// PassedYoung: one accepted so lately is not looked at; most have begun by then.
	// PassedLooks: in one pass; each is a look at all machines.
	StarvingAfter       = 70 * time.Second
	StarvingEvery       = 3 * time.Second
	StarvingCapacityFor = 10 * time.Second
	StarvingGap         = 30 * time.Second
	StarvingMinAge      = 15 * time.Second
	MaxStarvingExamined = 20
	// GatherTasks, GatherFor: while changes are short, so few tasks of a sweep
	// that there is room for wait so long for more, to share a slice; and ended
	// tasks wait so long for others. Inside the 3 s after which users expect
	// done, with time for the job's own end.
	GatherTasks = 8
	GatherFor   = 900 * time.Millisecond
	// WaitingEach: tasks of a waiting job that others may be stopped for.
	WaitingEach = 12
	// MaxHeldMachines: machines kept in one pass; each costs a look at all of them.
	MaxHeldMachines = 16
	// GatherElsewhere: a large gang that has gathered nothing more for this long in one
	// zone tries another: longer than machines take to boot.
	GatherElsewhere = 60 * time.Second
	// GatherAgain: pause before the busy machines kept for it are chosen anew; each
	// choice looks at all tasks of a zone.
	GatherAgain = 5 * time.Second
	// HoldAgain: pause before the machines kept for a job are chosen anew.
	HoldAgain = 500 * time.Millisecond
	// HoldEach: machines kept for one job.
	HoldEach = 4
	// MaxSearches: looks for tasks to stop in one pass; each is a look at all
	// machines and what is on them.
	MaxSearches = 4
	// MoveEvery, MovesShare: pace at which replicas leave draining machines:
	// at least one, and this share of the number of machines.
	MoveEvery  = 3 * time.Second
	MovesShare = 0.005
	// MoveAfter: a replica younger than this is not moved; its start would have
	// been for nothing.
	MoveAfter = 35 * time.Second
	// MaxActive: tasks of one job released or on machines at once. A machine with
	// hundreds of short tasks reports them all twice a second.
	MaxActive = 8000
	// MaxReleases: tasks looked at for release in one pass; bounds the time a
	// pass takes with very large sweeps waiting.
	MaxReleases = 400
	// MaxExaminedJobs: the same while there is no budget for any change, when a look
	// only finds out what has no room.
	MaxExaminedJobs = 100
	// RoundFor: for so long a job that finds no room keeps what its team's limit has left
	// from the team's other jobs: longer than most machines take to boot (45 s), and
	// shorter than the 90 s for which users let a job wait beside a machine with room.
	RoundFor = 60 * time.Second
	// AvoidAfter: a machine on which a released task was not placed in time is
	// not offered for this long.
	AvoidAfter = 8 * time.Second
	// DecommissionEvery: how often machines are looked over for deletion.
	DecommissionEvery = 500 * time.Millisecond
	// UnresponsiveRecheck: a silent machine that no controller hears is deleted after
	// this; a hanging one may come back, but its work is started sooner
	// elsewhere.
	UnresponsiveRecheck = 3 * time.Second
	// MaxUnresponsiveShare: share of the machines that may be silent at once for that; if
	// more are, the network is the likelier cause, and they are only deleted
	// after their lease has ended.
	MaxUnresponsiveShare = 0.34
	// MinPartitionSample, CutShare: a zone with at least so many quiet machines that are
	// more than this share of its own is taken to be cut off; so is an owner.
	MinPartitionSample = 4
	PartitionShare     = 0.5
	// MaxSummaryParts: values of the state service that the summary may take. 4,000 machines
	// that drain at once and 4,000 just rented take 13 of 8 KiB, written once a step.
	MaxSummaryParts = 100
	// SummaryHistory, steps kept per group in the summary.
	SummaryHistory = 12
	// PatientPrice: work that can still wait is not given machines dearer than
	// this many times the cheapest it allows.
	PatientPrice = 1.5
	// RentRounds: further rounds of one step's batch after refusals.
	RentRounds = 4
	// CloudQueue: calls waiting for the cloud's rate.
	CloudQueue = 60
	// CatalogAgain: pause after a failed read of the catalogue.
	CatalogAgain = 2 * time.Second
	// ForgetGone: how long machines that left the list are remembered.
	ForgetGone = 10 * time.Minute
	// DeleteAgain: pause before an unanswered delete is repeated.
	DeleteAgain = 9 * time.Second
	// RentRetries: repeats of an unanswered rent under its name.
	RentRetries = 3
	// ClearWait: how long a task waits for the room made for it on a machine
	// that holds its image.
	ClearWait = 1500 * time.Millisecond
	// PreemptAgain: pause before room is made for the same task again.
	PreemptAgain = 10 * time.Second
)

// Scaling (DESIGN's defaults; those marked there as ours may be changed).
const (
	// Step: the scaler's step.
	Step = 10 * time.Second
	// PlanSteps: steps planned ahead (F).
	PlanSteps = 12
	// Samples per step (M).
	Samples = 100
	// Tolerance: bound on mean shortfall as a share of expected demand (d).
	Tolerance = 0.05
	// TrendSteps: steps of history that the trend is fitted to.
	TrendSteps = 6
	// TrendDamping: what each step further ahead leaves of the trend.
	TrendDamping = 0.7
	// GrainShare: share of the variance of random arrivals that is planned for.
	GrainShare = 0.5
	// FreshSteps: steps for which a fresh leader rents to current demand only.
	FreshSteps = 10
	// DrainSteps, ReviveSteps: length of draining, and its part with revival.
	DrainSteps  = 3
	ReviveSteps = 2
	// MaxRentMachines: machines per rent request (the cloud's limit).
	MaxRentMachines = 50
	// MaxDeleteNames: names per delete request (the cloud's limit).
	MaxDeleteNames = 100
	// NoCapacity: pause before a refused kind of machine is asked for again.
	NoCapacity = 45 * time.Second
	// BootSlack: a machine that has not come up after this many times its
	// boot time will not.
	BootSlack = 4.0
	// BootLate: boots take up to 1.5 times the boot time, seldom several times; a
	// machine that takes longer than this many times counts as supply no more.
	BootLate = 1.8
	// MinBootSlack: floor for both, for machines with very short boot times.
	MinBootSlack = 60 * time.Second
	// ListSlack: on top of twice the list's lag before a machine that is not
	// listed is taken not to exist.
	ListSlack = 3 * time.Second
	// ListEvery: how often the leader reads the cloud's list.
	ListEvery = 3 * time.Second
	// WarmEvery: how often a controller that is to follow the leader reads the catalogue
	// and the list: at 2,000 machines five calls, a twentieth of the cloud's for two.
	WarmEvery = 30 * time.Second
	// CatalogEvery: how often prices are read.
	CatalogEvery = 30 * time.Second
	// UnresponsiveDeleteShare: share of lease_s beyond lease_s after which a silent
	// machine is given up and deleted.
	UnresponsiveDeleteShare = 0.3
)

// Pipelines.
const (
	// MaxPipelineBytes, bytes: a pipeline file; a request body may have no more.
	MaxPipelineBytes = 64 << 10
	// MaxSteps: steps of a run once its matrices are expanded; their states fit
	// into one value of the state service beside the document.
	MaxSteps = 500
	// MaxNamedSteps: steps named in one explanation.
	MaxNamedSteps = 20
	// MaxRepeats: times that a step may be tried anew.
	MaxRepeats = 20
	// MaxFaults: faults of one file that are told.
	MaxFaults = 100
	// MaxMatrixText, bytes: a value of a matrix, which becomes part of a name.
	MaxMatrixText = 64
	// MaxWhen, bytes, and MostWhenNodes: a condition; hand-written ones have a
	// tenth of that.
	MaxWhen      = 1 << 10
	MaxWhenNodes = 200
	// OutcomeCombinations: with so many steps above it, a condition is tried on all of
	// their outcomes (4 to the 5th) to see whether it can ever hold.
	OutcomeCombinations = 5
	// StepDoubt: how long a step's job may fail on every machine before it is
	// called failed, unless its file says otherwise; probing tries a machine
	// about every ten seconds at first.
	StepDoubt = 120 * time.Second
	// StepStateBytes, bytes: what a step takes of its run's record at most:
	// state, repeat, three times, cause, and a third for the text form.
	StepStateBytes = 20
	// RunHeadBytes, bytes: what a run's record takes besides document and steps.
	RunHeadBytes = 300
	// MaxRuns, MostRunSteps: runs live at once, and their steps that have not
	// ended, before new ones are refused; 1,000 runs were measured.
	MaxRuns     = 2000
	MaxRunSteps = 20000
	// RunChanges: share of a node's changes a second that runs may take, after
	// what the rules need.
	RunChanges = 0.3
	// RunSweep: how often every owned run is looked at for its times; events
	// are looked at at once.
	RunSweep = time.Second
	// RunRead: pause before a step's job that is in no list is read again.
	RunRead = 2 * time.Second
	// RunReads: such reads under way at once, for a controller that takes over
	// many runs.
	RunReads = 20
	// RunsPerPass: runs looked at in one pass; a look at a run of a few steps takes
	// some 10 microseconds, one that must be compiled first some hundred.
	RunsPerPass = 100
	// JobRecordBytes, bytes: a job's record without its longer texts, with the
	// conditions of its change.
	JobRecordBytes = 700
	// CancelFirst: for so long after a user asked to cancel a run, its owner makes
	// no other change of it; the user comes back after a second.
	CancelFirst = 3 * time.Second
	// CancelAttempts: how often a cancellation is tried on newer records of its run
	// before the user is sent away; the owner's change comes between at most once
	// or twice.
	CancelAttempts = 3
	// PlanCache: compiled plans kept of runs that this node does not move.
	PlanCache = 64
	// SnapshotRPS: requests a second that taking a snapshot makes unless told else.
	SnapshotRPS = 5.0
	// SnapshotPatience: a snapshot waits so long for a state service that gives nothing.
	SnapshotPatience = 2 * time.Minute
	// SnapshotBlock, bytes: most that a block of a snapshot unpacks to; a page of the
	// state service is 512 KiB, what changes meanwhile may be more.
	SnapshotBlock = 256 << 20
	// MaxUnpacked, bytes: what a packed record may grow to.
	MaxUnpacked = 1 << 20
)

// Pipeline files and the command line.
const (
	// MaxNodes, MostDepth: of a pipeline file once its aliases are followed; one
	// of 64 KiB without aliases has at most some 30,000.
	MaxNodes = 100_000
	MaxDepth = 64
)

// The command line's client.
const (
	// ClientTimeout: how long one controller may take to answer; the protocol
	// gives users 5 s.
	ClientTimeout = 5 * time.Second
	// ClientPause, ClientMostPause: between two rounds of tries, and the most that
	// an answer may make it wait (protocol).
	ClientPause    = time.Second
	MaxClientPause = 30 * time.Second
	// ClientPatience: how long a request is repeated unless the user says
	// otherwise (protocol).
	ClientPatience = 60 * time.Second
	// ClientPoll: pause between two looks at what is waited for; a controller
	// answers from memory.
	ClientPoll = time.Second
)

// Trying it out.
const (
	// SandboxStep: how often the stand-ins' clock is set after the real one.
	SandboxStep = 10 * time.Millisecond
	// SandboxPort: first port of the stand-ins and controllers.
	SandboxPort = 7000
	// SandboxTimeout: how long the demonstration may take as a whole.
	SandboxTimeout = time.Minute
)

// Quotas.
const (
	// MaxQuotaDepth: levels of organisations, teams and classes.
	MaxQuotaDepth = 8
	// MaxQuotaNodes: of a tree; 1,000 leaves were measured. Its document must fit
	// into one value of the state service besides.
	MaxQuotaNodes = 2000
	// MaxWeight: of a node; more would say "all" in other words.
	MaxWeight = 1e6
	// QuotaGrace: for so long after a change of the tree, what is over a limit may
	// end by itself before it is stopped, unless the file says otherwise.
	QuotaGrace = 60 * time.Second
	// MaxGrace: a day.
	MaxGrace = 24 * time.Hour
	// ReclaimEvery: how often what is over a limit is looked at.
	ReclaimEvery = time.Second
	// GiveBackEach: tasks of a job for which borrowed room is asked back at a look.
	GiveBackEach = 8
	// MaxReclaimStops: tasks stopped at a look, so that a large shrink does not take
	// all changes.
	MaxReclaimStops = 50
)

// Reconciling: what a controller that starts does before it knows what its machines have.
const (
	// ReconcileReports, reports, and ReconcileSlack: by then every machine that runs has
	// reported twice, the second time with our baton, and been reached directly.
	ReconcileReports = 2.0
	ReconcileSlack   = 2 * time.Second
	// MaxReconcile: after so long what still differs is what differs on any day.
	MaxReconcile = 60 * time.Second
	// ReconcileOthers: an owner that has not told by then that it heard its machines is
	// waited for no longer: it has called them twice, and told which did not answer.
	ReconcileOthers = 5 * time.Second
	// ReconcileRent: some looks at the queue, which then has been offered all machines; what it
	// still lacks is rented.
	ReconcileRent = 2 * time.Second
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

// Lending.
const (
	// LoanRecords, MostOnSheet: values of the shared state that loans stand in, and loans
	// in one; 160 bytes a loan. SheetFull: share of the most bytes of a value up to which
	// loans begin on a sheet; the rest is for what they grow by.
	LoanRecords         = 16
	MaxLoansPerRecord   = 40
	LoanRecordFillShare = 0.8
	// LoanRequestTimeout: a lender that has not left after this, on a machine that still counts,
	// is waited for no longer; saving takes seconds, a silent machine is given up sooner.
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
	// SweepLends: share of a sweep's tasks that may be lent in that time; they do not need
	// one another, so that a sweep is slowed by no more than this.
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
	// of a sheet at once. At 5 s they were 430 changes on a day of 553 loans, at 20 s 210.
	LoanSave = 30 * time.Second
	// LoanLogEvery: how often the log tells the counts of loans.
	LoanLogEvery = time.Minute
)

// Cancellations told (package cancellation).
const (
	// ProofMargin: leases are renewed until cancel_s - lease_s after the last proof, less
	// this: two turns of a busy loop (0.3 s), the grain of the workers' clocks, and a
	// launch that leaves with the last renewal.
	ProofMargin = 1500 * time.Millisecond
	// ProofDrift: share of cancel_s by which clocks may drift apart (0.05% each way).
	ProofDrift = 0.001
	// ProofQueryAfter: while the state service does not answer, the other controllers are asked
	// once it has proven nothing for so long.
	ProofQueryAfter = time.Second
	// ProofQueryEvery: pause between two rounds of questions: one short line to each other
	// controller, and one back.
	ProofQueryEvery = time.Second
	// ProofRounds: rounds whose answers are waited for; a line that took longer than so
	// many seconds proves nothing that a later one does not.
	ProofRounds = 8
	// WatchHoldShare: share of the time left for renewals (cancel_s - lease_s less the
	// margin) that a watch may be held at most, where that is less than FollowHold.
	WatchHoldShare = 0.25
	// MaxAckLogEntries: cancellations kept that this process has told; two seconds of a swarm of
	// 2,000 a second. Whoever has not taken in what was dropped proves nothing by it.
	MaxAckLogEntries = 4096
	// MaxPeerCancellations: cancellations heard of that the mirror does not show yet, of all others.
	MaxPeerCancellations = 16384
	// MaxAcksPerLine: cancellations, or jobs of which something was told, in one line; at 30 to 45
	// bytes each far below MaxPeerLine.
	MaxAcksPerLine = 500
	// AckGatherFor: least pause between two lines that pass on what was told; of a swarm of
	// 2,000 a second 40 go in a line.
	AckGatherFor = 20 * time.Millisecond
	// AckResend: what was not confirmed is passed on again.
	AckResend = time.Second
	// MaxPeers: controllers that a line may speak of.
	MaxPeers = 64
	// StopRelayAfter: an owner that has not confirmed a cancellation by then is taken to be
	// out of reach: confirmations come with the next line, within PeerBeat.
	StopRelayAfter = 1500 * time.Millisecond
	// StopRelayEvery: how often is looked for such owners' machines. CourierCalls: calls to
	// them under way at once. CourierAgain: pause before a machine is called again;
	// CourierClean: if it held nothing that is cancelled, for a launch may still come.
	StopRelayEvery      = 500 * time.Millisecond
	MaxStopRelayCalls   = 16
	StopRelayRetry      = 2 * time.Second
	StopRelayRetryClean = 5 * time.Second
)
