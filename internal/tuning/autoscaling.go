package tuning

import "time"

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
	// MaxLaunchMachines: machines per rent request (the cloud's limit).
	MaxLaunchMachines = 50
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
	// UnresponsiveDeleteShare: share of lease_s beyond lease_s after which an unresponsive
	// machine is given up and deleted.
	UnresponsiveDeleteShare = 0.3
)
