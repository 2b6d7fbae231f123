package tuning

import "time"

// Agents: sessions, commands, unresponsive machines.
const (
	// AdoptAgain: pause between two attempts to reach a machine.
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
	// MaxSessions: machines that one controller keeps a session for.
	MaxSessions = 5000
	// MaxUnresponsiveLists: values of the state service that name an owner's unresponsive machines.
	// At the least value_kb in service, 8, they hold 5,000 names of MaxMachineName bytes; of the
	// usual 8 to 10 bytes 4,000 take seven.
	MaxUnresponsiveLists = 100
	// MaxMachineName, bytes: longer names cannot be keys.
	MaxMachineName = 150
	// MaxCommands: orders in one message, far below 64 KiB.
	MaxCommands = 200
	// UnresponsiveReports, reports: a machine unheard for this many report intervals
	// is unresponsive.
	UnresponsiveReports = 2.0
	// ReportLate, reports: reports come up to a quarter late; a machine unheard
	// for longer than this is asked directly.
	ReportLate = 1.4
	// UnresponsiveCalls: a machine that is late and has left this many direct calls
	// in a row without answer is unresponsive.
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
