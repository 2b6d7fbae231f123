package tuning

import "time"

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
