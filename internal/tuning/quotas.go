package tuning

import "time"

// Quotas.
const (
	// MaxQuotaDepth is the maximum number of levels of organisations, teams and classes.
	MaxQuotaDepth = 8
	// MaxQuotaNodes is the maximum number of nodes of a quota tree. Its document must also fit into
	// one value of the state service.
	MaxQuotaNodes = 2000
	// MaxWeight is the maximum weight of a node. A larger one would in effect give the node
	// everything.
	MaxWeight = 1e6
	// QuotaGrace is the default time for which, after a change of the tree, tasks beyond a limit
	// may continue before they are stopped.
	QuotaGrace = 60 * time.Second
	// MaxGrace is the maximum grace period that can be set in place of QuotaGrace.
	MaxGrace = 24 * time.Hour
	// ReclaimEvery is the interval of the checks for usage beyond a limit, and the pause before
	// more borrowed capacity is reclaimed for the same job.
	ReclaimEvery = time.Second
	// MaxReclaimTasks is the maximum number of a job's tasks for which borrowed capacity is
	// reclaimed in one scheduling cycle.
	MaxReclaimTasks = 8
	// MaxReclaimStops is the maximum number of tasks stopped in one pass for being beyond a limit,
	// so that a large reduction does not use up all writes.
	MaxReclaimStops = 50
)
