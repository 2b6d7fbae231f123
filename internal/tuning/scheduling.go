package tuning

import "time"

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
	// look, the changes and the owner's own time. StarvingEvery: between two looks at a job.
	// StarvingCapacityFor: with it begin those that have been passed over for so long, so that what is
	// kept for a large gang is whole for a minute in between and not used up one by one.
	// StarvingGap: none left for so long, and the job waits for room again. In less another that
	// was passed over has used it.
	// StarvingMinAge: one accepted so lately is not looked at; most have begun by then.
	// MaxStarvingExamined: in one pass; each is a look at all machines.
	StarvingAfter       = 70 * time.Second
	StarvingEvery       = 3 * time.Second
	StarvingCapacityFor = 10 * time.Second
	StarvingGap         = 30 * time.Second
	StarvingMinAge      = 15 * time.Second
	MaxStarvingExamined = 20
	// GatherTasks, GatherFor: while changes are short, so few tasks of a job array
	// that there is room for wait so long for more, to share a task range; and ended
	// tasks wait so long for others. Inside the 3 s after which users expect
	// done, with time for the job's own end.
	GatherTasks = 8
	GatherFor   = 900 * time.Millisecond
	// WaitingEach: tasks of a waiting job that others may be stopped for.
	WaitingEach = 12
	// MaxHeldMachines: machines kept in one pass; each costs a look at all of them.
	MaxHeldMachines = 16
	// GatherElsewhere: a large gang that has gathered nothing more for this long in one
	// zone looks in another: longer than machines take to boot.
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
	// MaxAssignments: tasks looked at for release in one pass; bounds the time a
	// pass takes with very large job arrays waiting.
	MaxAssignments = 400
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
	// UnresponsiveRecheck: an unresponsive machine that no controller hears is deleted after
	// this; a hanging one may come back, but its work is started sooner
	// elsewhere.
	UnresponsiveRecheck = 3 * time.Second
	// MaxUnresponsiveShare: share of the machines that may be unresponsive at once for that; if
	// more are, the network is the likelier cause, and they are only deleted
	// after their lease has ended.
	MaxUnresponsiveShare = 0.34
	// MinPartitionSample, PartitionShare: a zone with at least so many unresponsive machines that are
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
	// MaxLaunchRounds: further rounds of one step's batch after refusals.
	MaxLaunchRounds = 4
	// CloudQueue: calls waiting for the cloud's rate.
	CloudQueue = 60
	// CatalogAgain: pause after a failed read of the catalogue.
	CatalogAgain = 2 * time.Second
	// ForgetGone: how long machines that left the list are remembered.
	ForgetGone = 10 * time.Minute
	// DeleteAgain: pause before an unanswered delete is repeated.
	DeleteAgain = 9 * time.Second
	// MaxLaunchRetries: repeats of an unanswered rent under its name.
	MaxLaunchRetries = 3
	// ClearWait: how long a task waits for the room made for it on a machine
	// that holds its image.
	ClearWait = 1500 * time.Millisecond
	// PreemptAgain: pause before room is made for the same task again.
	PreemptAgain = 10 * time.Second
)
