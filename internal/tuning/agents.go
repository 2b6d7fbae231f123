package tuning

import "time"

// Agents: sessions, commands and unresponsive machines.
const (
	// CallRetry is the minimum pause between two direct calls to a machine whose agent has not
	// answered this controller yet or whose heartbeat is late. For the former each failed call
	// doubles it, up to 12 s.
	CallRetry = 1500 * time.Millisecond
	// CommandRetry is the minimum pause between two direct calls to a machine while its commands
	// include no launch: commands are repeated until a heartbeat shows that they took effect.
	CommandRetry = 700 * time.Millisecond
	// CancelDeleteShare is the share of cancel_s after which a machine that still holds a cancelled
	// task is deleted, if not sooner (settings.Cluster.CancelDelete).
	CancelDeleteShare = 0.55
	// CancelSettle is how long writes must have been possible, after a leader takes over or the
	// state service recovers, before machines are deleted for cancelled tasks that the records
	// still show. Meanwhile the owners record which of those tasks have ended: they receive the
	// heartbeats within half a second and write within two where the state service is slow.
	CancelSettle = 3 * time.Second
	// MaxSessions is the maximum number of machines that one controller keeps a session for.
	MaxSessions = 5000
	// MaxUnresponsiveLists is the maximum number of values in the state service over which an
	// owner's list of unresponsive machines is split. At the smallest value_kb in use, 8, they hold
	// 5,000 names of MaxMachineName bytes; 4,000 names of the usual 8 to 10 bytes take seven
	// values.
	MaxUnresponsiveLists = 100
	// MaxMachineName is the maximum length of a machine's name in bytes; longer names cannot be
	// part of a key.
	MaxMachineName = 150
	// MaxCommands is the maximum number of commands in one message; they stay far below 64 KiB.
	MaxCommands = 200
	// UnresponsiveHeartbeatIntervals is the number of heartbeat intervals without a sign of life
	// after which a machine is unresponsive, unless it must be given more time to answer a direct
	// call (settings.Workers.UnresponsiveAfter).
	UnresponsiveHeartbeatIntervals = 2.0
	// HeartbeatLateIntervals is the number of heartbeat intervals after which a heartbeat is late
	// and the machine is queried directly. Heartbeats may come up to a quarter of the interval
	// late.
	HeartbeatLateIntervals = 1.4
	// UnresponsiveCalls is the number of consecutive direct calls without an answer after which a
	// machine whose heartbeat is late is unresponsive.
	UnresponsiveCalls = 2
	// SweepEvery is the interval at which an owner checks all its machines, including those without
	// an event. This also retries to record ended tasks that were held back while writes are
	// scarce: users expect to see an end within 3 s.
	SweepEvery = 400 * time.Millisecond
	// PlaceRetryDelay is the pause before a shard tries again to place a task for which it found no
	// machine.
	PlaceRetryDelay = 300 * time.Millisecond
	// FreshHeartbeatIntervals is the maximum age, in heartbeat intervals, of the last heartbeat of
	// a machine that new tasks are placed on.
	FreshHeartbeatIntervals = 1.6
	// UnansweredBackoff is how long a machine that left a command unanswered gets no new tasks. The
	// tasks start sooner on another machine.
	UnansweredBackoff = 5 * time.Second
	// ForgetSession is the time without a heartbeat after which the session of a machine that has
	// no record is dropped.
	ForgetSession = 2 * time.Minute
	// PreemptionNoticeFactor bounds how long a task without checkpoints may continue on a machine
	// that will be preempted: the task is stopped at once if its expected remaining time exceeds
	// the time until the preemption by more than this factor.
	PreemptionNoticeFactor = 1.2
	// CheckpointMargin, in seconds, is added to a task's checkpoint time to decide when it must
	// start its checkpoint before its machine is preempted.
	CheckpointMargin = 6.0
	// RefusedBackoff is how long a machine gets no new tasks after it refused one for lack of
	// capacity that its record shows as free, or because it still holds another attempt of the
	// task.
	RefusedBackoff = time.Second
)
