package tuning

import "time"

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
	// MaxFaults: faults of one file that are reported.
	MaxFaults = 100
	// MaxMatrixText, bytes: a value of a matrix, which becomes part of a name.
	MaxMatrixText = 64
	// MaxWhen, bytes, and MaxWhenNodes: a condition; hand-written ones have a
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
	// MaxRuns, MaxRunSteps: runs live at once, and their steps that have not
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
	// SnapshotRPS: requests a second that taking a snapshot makes unless set otherwise.
	SnapshotRPS = 5.0
	// SnapshotPatience: a snapshot waits so long for a state service that gives nothing.
	SnapshotPatience = 2 * time.Minute
	// SnapshotBlock, bytes: most that a block of a snapshot unpacks to; a page of the
	// state service is 512 KiB, what changes meanwhile may be more.
	SnapshotBlock = 256 << 20
	// MaxUnpacked, bytes: what a packed record may grow to.
	MaxUnpacked = 1 << 20
)
