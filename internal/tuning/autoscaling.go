package tuning

import "time"

// Autoscaling. The defaults are those of docs/design.md, which marks the ones that may be changed.
const (
	// AutoscalerStep is the interval between two steps of the autoscaler.
	AutoscalerStep = 10 * time.Second
	// PlanSteps is the number of steps that the autoscaler plans ahead (F).
	PlanSteps = 12
	// DemandSamples is the number of demand samples drawn for each step (M).
	DemandSamples = 100
	// ShortfallTolerance is the bound on the mean shortfall, as a share of the expected demand (d).
	ShortfallTolerance = 0.05
	// TrendSteps is the number of steps of history that the demand trend is fitted to.
	TrendSteps = 6
	// TrendDamping is the factor by which the trend is damped for each further step ahead.
	TrendDamping = 0.7
	// ArrivalVarianceShare is the share of the variance of random arrivals that the plan provides
	// for.
	ArrivalVarianceShare = 0.5
	// NewLeaderSteps is the number of steps for which a new leader scales out to current demand
	// only.
	NewLeaderSteps = 10
	// DrainSteps is the length of a drain in steps.
	DrainSteps = 3
	// ReviveSteps is the number of the DrainSteps in which a draining machine may be put back to
	// use.
	ReviveSteps = 2
	// MaxLaunchMachines is the maximum number of machines in a launch request (the cloud's limit).
	MaxLaunchMachines = 50
	// MaxDeleteNames is the maximum number of names in a delete request (the cloud's limit).
	MaxDeleteNames = 100
	// NoCapacityPause is the pause before machines are requested again from a pool (machine type,
	// zone, spot or standard) for which the cloud refused a request.
	NoCapacityPause = 45 * time.Second
	// BootFailedFactor is the multiple of a machine type's boot time after which a machine that has
	// not come up is taken to have failed to boot.
	BootFailedFactor = 4.0
	// BootLateFactor is the multiple of a machine type's boot time after which a booting machine no
	// longer counts as supply. Boots take up to 1.5 times the boot time, seldom several times.
	BootLateFactor = 1.8
	// MinBootSlack is the lower bound of the times that BootFailedFactor and BootLateFactor give,
	// for machine types with very short boot times.
	MinBootSlack = 60 * time.Second
	// ListSlack is added to twice the lag of the cloud's list: after that time a machine that is
	// not listed is taken not to exist.
	ListSlack = 3 * time.Second
	// ListEvery is the interval at which the leader reads the cloud's list of machines.
	ListEvery = 3 * time.Second
	// StandbyReadEvery is the interval at which each of the WarmStandbys reads the cloud's catalog
	// and list. At 2,000 machines that takes five calls; two standbys use a twentieth of the
	// cloud's rate.
	StandbyReadEvery = 30 * time.Second
	// CatalogEvery is the interval at which the leader reads the cloud's catalog with its prices.
	CatalogEvery = 30 * time.Second
	// LeaseOverMarginShare is the share of lease_s that is added to lease_s: after that time
	// without a sign of life an unresponsive machine is given up and deleted.
	LeaseOverMarginShare = 0.3
)
