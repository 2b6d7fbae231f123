package tuning

import "time"

// Pipelines, snapshots and packed records.
const (
	// MaxPipelineBytes is the maximum size of a pipeline file in bytes, that of a request body.
	MaxPipelineBytes = 64 << 10
	// MaxSteps is the maximum number of steps of a run once its matrices are expanded. Their states
	// fit into one value of the state service together with the document.
	MaxSteps = 500
	// MaxNamedSteps is the maximum number of steps named in one explanation.
	MaxNamedSteps = 20
	// MaxRepeats is the maximum number of times that a step may be repeated.
	MaxRepeats = 20
	// MaxFaults is the maximum number of faults of a file that are reported, and of tasks to be
	// stopped that the preview of a quota tree lists.
	MaxFaults = 100
	// MaxMatrixText is the maximum length, in bytes, of a matrix value, which becomes part of a
	// name, and of the name of a node in a quota tree.
	MaxMatrixText = 64
	// MaxWhen is the maximum length of a condition in bytes. Hand-written ones take a tenth of it.
	MaxWhen = 1 << 10
	// MaxWhenNodes is the maximum number of nodes of a condition's expression. Hand-written ones
	// have a tenth of it.
	MaxWhenNodes = 200
	// OutcomeCombinations is the maximum number of ancestors of a step for which its condition is
	// evaluated for all combinations of their outcomes (4 to the 5th), to find out whether it can
	// ever hold.
	OutcomeCombinations = 5
	// StepFailureTimeout is the default time for which a step's job may fail on every machine
	// before it counts as failed. At first a machine is probed about every ten seconds.
	StepFailureTimeout = 120 * time.Second
	// StepStateBytes is the maximum number of bytes that a step takes in its run's record: state,
	// repeats, three times and cause, plus a third for the text encoding.
	StepStateBytes = 20
	// RunHeadBytes is the number of bytes that a run's record takes besides its document and
	// steps.
	RunHeadBytes = 300
	// MaxRuns is the default maximum number of live runs; more are refused.
	MaxRuns = 2000
	// MaxRunSteps is the default maximum number of steps of live runs that have not ended; runs
	// beyond it are refused.
	MaxRunSteps = 20000
	// RunWriteShare is the default share of a controller's writes that runs may take. Decisions
	// that the protocol's rules depend on go first.
	RunWriteShare = 0.3
	// RunSweepEvery is the interval at which every owned run is checked for what is due by time.
	// Events are handled at once.
	RunSweepEvery = time.Second
	// RunReadRetry is the pause before a step's job that the mirror does not show is read again.
	RunReadRetry = 2 * time.Second
	// RunReads is the maximum number of such reads in one pass, for a controller that takes over
	// many runs.
	RunReads = 20
	// RunsPerPass is the maximum number of runs examined in one pass. A run of a few steps takes
	// some 10 microseconds, one that must be compiled first some hundred.
	RunsPerPass = 100
	// JobRecordBytes is the estimated size, in bytes, of a job's record without its longer texts
	// but with the preconditions of its write.
	JobRecordBytes = 700
	// CancelFirst is how long the owner makes no other change of a run after a user asked to
	// cancel it. The user's client retries after a second.
	CancelFirst = 3 * time.Second
	// CancelAttempts is the maximum number of attempts to cancel a run, each on a newer record of
	// it, before the request is refused. The owner's own changes conflict with it at most once or
	// twice.
	CancelAttempts = 3
	// PlanCache is the maximum number of compiled plans in the cache.
	PlanCache = 64
	// SnapshotRPS is the default number of requests a second made to take a snapshot.
	SnapshotRPS = 5.0
	// SnapshotPatience is how long a snapshot waits for a state service that does not answer.
	SnapshotPatience = 2 * time.Minute
	// SnapshotBlock is the maximum size, in bytes, of a decompressed block of a snapshot. A page of
	// the state service is 512 KiB; the changes made meanwhile may be more.
	SnapshotBlock = 256 << 20
	// MaxUnpacked is the maximum size of a decompressed record in bytes.
	MaxUnpacked = 1 << 20
)
